// Splits a byte stream into the batches that the simulator sends.
#pragma once

#include <cstddef>
#include <cstdio>
#include <vector>

#include "simwire/codec.h"

namespace zincstack::simwire {

/// One batch: its header and its undecoded records.
struct Batch {
    BatchHeader header;
    std::vector<std::byte> body;
};

/// Reads batches from a file, which the caller owns and keeps open while the BatchInput is in use.
class BatchInput {
public:
    explicit BatchInput(std::FILE* file) : file_(file) {}
    /// Reads the next batch into `batch`. Returns false at the end of the input. Throws InputError if the
    /// input ends inside a batch or a batch header is malformed.
    bool read(Batch& batch);

private:
    std::size_t readUpTo(std::span<std::byte> into);
    void readBody(std::size_t size, std::vector<std::byte>& body);

    std::FILE* file_;
};

} // namespace zincstack::simwire

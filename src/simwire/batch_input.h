// Batches from a stream of bytes, one after another.
#pragma once

#include <cstddef>
#include <cstdio>
#include <vector>

#include "simwire/codec.h"

namespace zincstack::simwire {

struct Batch {
    BatchHeader header;
    std::vector<std::byte> body;
};

/// Reads from a file that it does not own.
class BatchInput {
public:
    explicit BatchInput(std::FILE* file) : file_(file) {}
    /// Reads the next batch. False: the input is over. Throws InputError where it ends inside a batch.
    bool read(Batch& batch);

private:
    std::size_t readUpTo(std::span<std::byte> into);
    void readBody(std::size_t size, std::vector<std::byte>& body);

    std::FILE* file_;
};

} // namespace zincstack::simwire

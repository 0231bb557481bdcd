#include "simwire/batch_input.h"

#include <algorithm>
#include <array>

namespace zincstack::simwire {

namespace {

/// A body is read in chunks, so that a wrong length field can't make the buffer much larger than the input.
constexpr std::size_t kReadChunkBytes = std::size_t{1} << 20;

} // namespace

/// Reads until `into` is full or the input ends. Returns the number of bytes read.
std::size_t BatchInput::readUpTo(std::span<std::byte> into) {
    return std::fread(into.data(), 1, into.size(), file_);
}

bool BatchInput::read(Batch& batch) {
    std::array<std::byte, kBatchHeaderBytes> bytes{};
    const std::size_t got = readUpTo(bytes);
    if (got == 0) return false;
    if (got < bytes.size())
        throw InputError("batch.header at offset 0: input truncated, got " + std::to_string(got) + " of " +
                         std::to_string(bytes.size()) + " bytes");
    batch.header = readBatchHeader(bytes);
    readBody(batch.header.bytes, batch.body);
    return true;
}

void BatchInput::readBody(std::size_t size, std::vector<std::byte>& body) {
    body.clear();
    while (body.size() < size) {
        const std::size_t before = body.size();
        body.resize(before + std::min(kReadChunkBytes, size - before));
        const std::size_t got = readUpTo(std::span(body).subspan(before));
        if (before + got < body.size())
            throw InputError("batch.length at offset 4: input truncated, got " +
                             std::to_string(before + got) + " of " + std::to_string(size) +
                             " bytes of records");
    }
}

} // namespace zincstack::simwire

#include "simwire/batch_input.h"

#include <algorithm>
#include <array>

namespace zincstack::simwire {

namespace {

/// A body is read in pieces, so that a wrong length costs no more memory than the input holds.
constexpr std::size_t kPieceBytes = std::size_t{1} << 20;

} // namespace

/// Fills `into` as far as the input goes and returns how much came.
std::size_t BatchInput::readUpTo(std::span<std::byte> into) {
    return std::fread(into.data(), 1, into.size(), file_);
}

bool BatchInput::read(Batch& batch) {
    std::array<std::byte, kBatchHeaderBytes> bytes{};
    const std::size_t got = readUpTo(bytes);
    if (got == 0) return false;
    if (got < bytes.size())
        throw InputError("batch.header at offset " + std::to_string(got) + ": the input ends inside it");
    batch.header = readBatchHeader(bytes);
    readBody(batch.header.bytes, batch.body);
    return true;
}

void BatchInput::readBody(std::size_t size, std::vector<std::byte>& body) {
    body.clear();
    while (body.size() < size) {
        const std::size_t before = body.size();
        body.resize(before + std::min(kPieceBytes, size - before));
        const std::size_t got = readUpTo(std::span(body).subspan(before));
        if (before + got < body.size())
            throw InputError("batch.length at offset 4: says " + std::to_string(size) +
                             " bytes, the input ends after " + std::to_string(before + got));
    }
}

} // namespace zincstack::simwire

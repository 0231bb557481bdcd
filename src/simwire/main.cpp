// zincstack_simhost: the planners of one process on the simulator's wire, standard input to standard output.
#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <vector>

#include "simwire/host.h"

namespace {

using zincstack::InputError;

/// Fills `into` as far as the input goes and returns how much came.
std::size_t readUpTo(std::span<std::byte> into) { return std::fread(into.data(), 1, into.size(), stdin); }

/// Reads a body piece by piece, so that a false length costs no more memory than the input holds.
std::vector<std::byte> readBody(std::size_t size) {
    constexpr std::size_t kPiece = std::size_t{1} << 20;
    std::vector<std::byte> out;
    while (out.size() < size) {
        const std::size_t before = out.size();
        out.resize(before + std::min(kPiece, size - before));
        const std::size_t got = readUpTo(std::span(out).subspan(before));
        if (before + got < out.size())
            throw InputError("batch.length at offset 4: says " + std::to_string(size) +
                             " bytes, the input ends after " + std::to_string(before + got));
    }
    return out;
}

void notice(std::string_view line) {
    std::fprintf(stderr, "zincstack_simhost: %.*s\n", static_cast<int>(line.size()), line.data());
}

} // namespace

int main() {
    using namespace zincstack::simwire;
    try {
        Host host(notice);
        std::array<std::byte, kBatchHeaderBytes> head{};
        while (const std::size_t got = readUpTo(head)) {
            if (got < head.size())
                throw InputError("batch.header at offset " + std::to_string(got) +
                                 ": the input ends inside it");
            const BatchHeader header = readBatchHeader(head);
            const auto body = readBody(header.bytes);
            const auto reply = host.play(header, body);
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0) {
                notice("the reply could not be written");
                return 1;
            }
        }
    } catch (const std::exception& error) {
        notice(error.what());
        return 1;
    }
    return 0;
}

// zincstack_simhost: runs planners for the simulator. Reads batches from standard input and writes a reply to
// each of them to standard output.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <span>
#include <string_view>

#include "simwire/batch_input.h"
#include "simwire/host.h"

namespace {

void printNotice(std::string_view line) {
    std::fprintf(stderr, "zincstack_simhost: %.*s\n", static_cast<int>(line.size()), line.data());
}

bool writeReply(std::span<const std::byte> reply) {
    return std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size() && std::fflush(stdout) == 0;
}

/// Handles batches until the input ends. Returns false if a reply could not be written.
bool runBatches() {
    zincstack::simwire::Host host(printNotice);
    zincstack::simwire::BatchInput input(stdin);
    zincstack::simwire::Batch batch;
    while (input.read(batch))
        if (!writeReply(host.processBatch(batch.header, batch.body))) return false;
    return true;
}

} // namespace

int main() {
    try {
        if (runBatches()) return EXIT_SUCCESS;
        printNotice("cannot write a reply to standard output");
    } catch (const std::exception& error) { printNotice(error.what()); }
    return EXIT_FAILURE;
}

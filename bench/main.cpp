// zincstack_bench: runs the benchmark that the first argument names.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

#include "bench.h"
#include "log/log.h"

namespace zincstack::bench {

namespace {

constexpr int kUsageErrorExitCode = 2;

struct Benchmark {
    std::string_view name;
    nlohmann::ordered_json (*run)(bool quick);
};
constexpr std::array kBenchmarks = {Benchmark{"pubsub", pubsub}, Benchmark{"json", json},
                                    Benchmark{"planner", planner}};

int printUsage() {
    std::fprintf(stderr, "usage: zincstack_bench NAME [--quick]\n--quick  a run of a few seconds, which only "
                         "checks that the benchmark works\nNAME is one of:");
    for (const Benchmark& benchmark : kBenchmarks)
        std::fprintf(stderr, " %.*s", static_cast<int>(benchmark.name.size()), benchmark.name.data());
    std::fprintf(stderr, "\n");
    return kUsageErrorExitCode;
}

int runByName(std::string_view name, bool quick) {
    const auto found = std::ranges::find(kBenchmarks, name, &Benchmark::name);
    if (found == kBenchmarks.end()) return printUsage();
    std::printf("%s\n", found->run(quick).dump().c_str());
    return 0;
}

double toMicros(const timeval& time) {
    return 1e6 * static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec);
}

} // namespace

std::size_t heapBytes() {
    const auto heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

double cpuMicros() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return toMicros(used.ru_utime) + toMicros(used.ru_stime);
}

} // namespace zincstack::bench

int main(int count, char** arguments) {
    using namespace zincstack;
    log::start(log::Format::Text, log::Level::Critical);
    if (count < 2) return bench::printUsage();
    const bool quick = count > 2 && std::string_view(arguments[2]) == "--quick";
    return bench::runByName(arguments[1], quick);
}

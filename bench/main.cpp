// zincstack_bench: runs one measurement by its name.
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

constexpr int kWrongUsage = 2;

struct Measurement {
    std::string_view name;
    nlohmann::ordered_json (*run)(bool quick);
};
constexpr std::array kMeasurements = {Measurement{"pubsub", pubsub}, Measurement{"json", json},
                                      Measurement{"planner", planner}};

int printUsage() {
    std::fprintf(stderr, "zincstack_bench NAME [--quick]; names:");
    for (const Measurement& measurement : kMeasurements)
        std::fprintf(stderr, " %.*s", static_cast<int>(measurement.name.size()), measurement.name.data());
    std::fprintf(stderr, "\n");
    return kWrongUsage;
}

int runByName(std::string_view name, bool quick) {
    const auto found = std::ranges::find(kMeasurements, name, &Measurement::name);
    if (found == kMeasurements.end()) return printUsage();
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

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <cstring>
#include <string_view>
#include <utility>

#include "bench.h"
#include "log/log.h"

namespace zincstack::bench {

std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

double cpuMicros() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto micros = [](const timeval& at) {
        return 1e6 * static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_usec);
    };
    return micros(used.ru_utime) + micros(used.ru_stime);
}

} // namespace zincstack::bench

int main(int count, char** words) {
    using namespace zincstack;
    constexpr std::pair<std::string_view, nlohmann::ordered_json (*)(bool)> kAll[] = {
        {"pubsub", bench::pubsub}, {"json", bench::json}, {"planner", bench::planner}};
    log::start(log::Format::Text, log::Level::Critical);
    const bool quick = count > 2 && std::string_view(words[2]) == "--quick";
    for (const auto& [name, measure] : kAll)
        if (count > 1 && name == words[1]) {
            std::printf("%s\n", measure(quick).dump().c_str());
            return 0;
        }
    std::fprintf(stderr, "zincstack_bench NAME [--quick]; names:");
    for (const auto& [name, measure] : kAll) std::fprintf(stderr, " %s", std::string(name).c_str());
    std::fprintf(stderr, "\n");
    return 2;
}

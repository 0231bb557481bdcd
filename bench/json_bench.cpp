// Benchmark `json`: time to parse an endpoint list, and memory of the parsed list.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "bench.h"

namespace zincstack::bench {

namespace {

constexpr int kSmallListEndpoints = 30;
constexpr int kLargeListEndpoints = 1000;
constexpr int kFirstEndpointNumber = 0x5be2a07c;

/// An endpoint list in the format of the discovery service.
std::string endpointListText(int endpoints) {
    std::string out = R"({"revision":41,"complete":true,"members":[)";
    for (int number = 0; number < endpoints; ++number) {
        if (number > 0) out += ",";
        out += R"({"id":"s-)" + std::to_string(kFirstEndpointNumber + number);
        out += R"(","host_port":"10.1.0.18:9000","locality":"a","flavor":"m2","cell":3,"phase":"Ready",)";
        out += R"("size":1.0,"up_since_ms":1790000000000})";
    }
    return out + "]}";
}

/// The function's name is part of the names of the results.
void readsAList(benchmark::State& state) {
    const std::string text = endpointListText(static_cast<int>(state.range(0)));
    for ([[maybe_unused]] const auto iteration : state) benchmark::DoNotOptimize(json::read(text));
    state.SetBytesProcessed(static_cast<std::int64_t>(text.size()) * state.iterations());
}
BENCHMARK(readsAList)->Arg(kSmallListEndpoints)->Arg(kLargeListEndpoints)->Unit(benchmark::kMicrosecond);

/// Prints the runs like its base class, and collects their times for the JSON output.
class FigureReporter : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override {
        ConsoleReporter::ReportRuns(runs);
        for (const Run& run : runs) figures[run.benchmark_name() + "_us"] = run.GetAdjustedRealTime();
    }

    nlohmann::ordered_json figures;
};

void initializeLibrary(bool quick) {
    char program[] = "zincstack_bench";
    char shortRuns[] = "--benchmark_min_time=0.05";
    char* arguments[] = {program, shortRuns, nullptr};
    int count = quick ? 2 : 1;
    benchmark::Initialize(&count, arguments);
}

} // namespace

nlohmann::ordered_json json(bool quick) {
    initializeLibrary(quick);
    FigureReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    const std::string text = endpointListText(kLargeListEndpoints);
    const std::size_t before = heapBytes();
    const auto tree = zincstack::json::read(text);
    reporter.figures["tree_of_1000_bytes"] = heapBytes() - before;
    reporter.figures["text_of_1000_bytes"] = text.size();
    return reporter.figures;
}

} // namespace zincstack::bench

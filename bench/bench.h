// Benchmarks of zincstack_bench and helpers that they share. `zincstack_bench NAME [--quick]` runs one
// benchmark; the last line of its output is a JSON object with the results.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "json/json.h"

namespace zincstack::bench {

// The benchmarks. Each returns its results. With `quick` a benchmark takes a few seconds and only checks that
// it runs; its results are not meaningful.
nlohmann::ordered_json pubsub(bool quick);
nlohmann::ordered_json json(bool quick);
nlohmann::ordered_json planner(bool quick);

/// The given percentile of the values; 0 if there are no values.
inline double percentile(std::vector<double> values, double percent) {
    if (values.empty()) return 0;
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(percent / 100 * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}
/// Bytes in use on the heap of this process.
std::size_t heapBytes();
/// CPU time (user and system) of this process, in microseconds.
double cpuMicros();

} // namespace zincstack::bench

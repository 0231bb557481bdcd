// Measurements by name: `zincstack_bench NAME [--quick]`. The last line of each is one JSON object of figures.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "json/json.h"

namespace zincstack::bench {

// The measurements; `quick` takes a few seconds and is no more than a check that they run.
nlohmann::ordered_json pubsub(bool quick);
nlohmann::ordered_json json(bool quick);
nlohmann::ordered_json planner(bool quick);

/// The value that so many percent do not exceed; 0 where there are none.
inline double percentile(std::vector<double> values, double percent) {
    if (values.empty()) return 0;
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(percent / 100 * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}
/// Bytes of this process that are in use on its heap.
std::size_t heapBytes();
/// CPU time that this process has used, in microseconds.
double cpuMicros();

} // namespace zincstack::bench

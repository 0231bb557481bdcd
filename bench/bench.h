// Measurements by name: `zincstack_bench NAME [--quick]`. The last line of each is one JSON object of figures.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "json/json.h"

namespace zincstack::bench {

nlohmann::ordered_json pubsub(bool quick);
nlohmann::ordered_json json(bool quick);
nlohmann::ordered_json planner(bool quick);

/// The value that so many hundredths of them do not pass; 0 where there are none.
inline double percentile(std::vector<double> values, double hundredths) {
    if (values.empty()) return 0;
    std::ranges::sort(values);
    const auto place = static_cast<std::size_t>(hundredths / 100 * static_cast<double>(values.size()));
    return values[std::min(place, values.size() - 1)];
}
/// Bytes of this process that are in use on its heap.
std::size_t heapBytes();
/// CPU that this process has used, in microseconds.
double cpuMicros();

} // namespace zincstack::bench

// Quantiles of samples that count by weight, as those of endpoints by their share of the traffic.
#pragma once

#include <algorithm>
#include <compare>
#include <vector>

namespace zincstack {

/// A value and how much it counts.
struct WeightedSample {
    double value = 0;
    double weight = 0;
    friend auto operator<=>(const WeightedSample&, const WeightedSample&) = default;
};

/// The least value that is reached by the fraction `part` of the total weight; 0 without samples. Sorts the samples.
inline double weightedQuantile(std::vector<WeightedSample>& samples, double part) {
    double remaining = 0;
    for (const WeightedSample& sample : samples) remaining += sample.weight * part;
    std::ranges::sort(samples);
    for (const WeightedSample& sample : samples) {
        remaining -= sample.weight;
        if (remaining <= 0) return sample.value;
    }
    return 0;
}

} // namespace zincstack

// Quantiles of weighted samples, such as figures of endpoints weighted by their share of the traffic.
#pragma once

#include <algorithm>
#include <compare>
#include <vector>

namespace zincstack {

/// A value and its weight in the quantile.
struct WeightedSample {
    double value = 0;
    double weight = 0;
    friend auto operator<=>(const WeightedSample&, const WeightedSample&) = default;
};

/// Returns the smallest value such that the samples up to it have at least the fraction `fraction` of the
/// total weight; 0 if there are no samples. Sorts the samples.
inline double weightedQuantile(std::vector<WeightedSample>& samples, double fraction) {
    double remaining = 0;
    for (const WeightedSample& sample : samples) remaining += sample.weight * fraction;
    std::ranges::sort(samples);
    for (const WeightedSample& sample : samples) {
        remaining -= sample.weight;
        if (remaining <= 0) return sample.value;
    }
    return 0;
}

} // namespace zincstack

// A log-linear histogram of latencies in whole microseconds. The width of a bucket is a fixed fraction of its
// values, so that memory is bounded whatever values are recorded. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

/// Counts values by bucket. Minimum, maximum and mean are exact.
class Histogram {
public:
    /// The width of a bucket is 2^-kPrecisionBits of its values. A value is reported with an error of at most
    /// half the width, 0.4%.
    static constexpr unsigned kPrecisionBits = 7;
    static constexpr double kMaxRelativeError = 1.0 / (1U << (kPrecisionBits + 1));
    /// About twelve days; longer values count as this one.
    static constexpr Micros kMaxValue = Micros((std::int64_t{1} << 40) - 1);

    /// A bucket that is not empty: the middle of its values and their number.
    struct Bucket {
        Micros midpoint;
        std::uint64_t count;
        friend bool operator==(const Bucket&, const Bucket&) = default;
    };

    /// Negative values count as zero.
    void add(Micros value, std::uint64_t times = 1);
    /// Adds all values of the other histogram. The order of merges does not matter.
    void merge(const Histogram& other);

    std::uint64_t count() const { return count_; }
    Micros min() const { return count_ ? min_ : Micros{}; }
    Micros max() const { return max_; }
    double meanMicros() const { return count_ ? sum_ / static_cast<double>(count_) : 0; }
    /// The value at a rank, from 1 for the smallest value to count() for the largest.
    Micros valueAtRank(std::uint64_t rank) const;
    /// The value that `percent` percent of the values do not exceed; zero if the histogram is empty.
    Micros percentile(double percent) const;
    /// The number of values that are at most `value`, with the resolution of a bucket.
    std::uint64_t countUpTo(Micros value) const;

    /// The buckets that are not empty, for plots and reports.
    std::vector<Bucket> buckets() const;
    std::size_t memoryBytes() const { return counts_.capacity() * sizeof counts_[0]; }
    friend bool operator==(const Histogram&, const Histogram&) = default;

private:
    static std::size_t bucketOf(std::uint64_t value);
    static std::uint64_t midpointOf(std::size_t bucket);

    std::vector<std::uint64_t> counts_; // by bucket, up to that of the greatest value
    std::uint64_t count_ = 0;
    double sum_ = 0;
    Micros min_ = Micros::max();
    Micros max_{};
};

/// The rank of a percentile among `count` values; at least 1.
std::uint64_t rankOf(double percent, std::uint64_t count);

} // namespace zincstack::load

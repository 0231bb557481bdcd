// A log-linear histogram of latencies: whole microseconds in buckets whose width is a fixed fraction of their value,
// so that memory is bounded whatever is recorded. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

/// Owns its counts. Values are in microseconds; minimum, maximum and mean are exact.
class Histogram {
public:
    /// Buckets are 2^-kPrecisionBits of their value wide; a value is reported within half of that, 0.4%.
    static constexpr unsigned kPrecisionBits = 7;
    static constexpr double kMaxRelativeError = 1.0 / (1U << (kPrecisionBits + 1));
    /// Twelve days; longer values count as this one.
    static constexpr Micros kMaxValue = Micros((std::int64_t{1} << 40) - 1);

    struct Bucket {
        Micros middle;
        std::uint64_t count;
        friend bool operator==(const Bucket&, const Bucket&) = default;
    };

    /// Negative values count as zero.
    void add(Micros value, std::uint64_t times = 1);
    /// As if all values of the other had been added here; the order of merges does not matter.
    void merge(const Histogram& other);

    std::uint64_t count() const { return count_; }
    Micros min() const { return count_ ? min_ : Micros{}; }
    Micros max() const { return max_; }
    double meanMicros() const { return count_ ? sum_ / static_cast<double>(count_) : 0; }
    /// The value at that rank, from 1 for the smallest up to count().
    Micros valueAtRank(std::uint64_t rank) const;
    /// The value that so many percent do not exceed; zero where nothing was added.
    Micros percentile(double percent) const;
    /// How many values were no greater than that, to the width of a bucket.
    std::uint64_t countUpTo(Micros value) const;

    /// Buckets that are not empty, for plots and for writing down.
    std::vector<Bucket> buckets() const;
    std::size_t memoryBytes() const { return counts_.capacity() * sizeof counts_[0]; }
    friend bool operator==(const Histogram&, const Histogram&) = default;

private:
    static std::size_t bucketOf(std::uint64_t value);
    static std::uint64_t middleOf(std::size_t bucket);

    std::vector<std::uint64_t> counts_; // as long as the greatest value needs
    std::uint64_t count_ = 0;
    double sum_ = 0;
    Micros min_ = Micros::max();
    Micros max_{};
};

/// The rank that a percentile of that many values has, 1 at least.
std::uint64_t rankOf(double percent, std::uint64_t count);

} // namespace zincstack::load

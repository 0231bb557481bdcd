// A log-linear histogram of latencies: whole microseconds in buckets whose width is a stated part of their value,
// so that memory is bounded whatever comes. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

class Histogram {
public:
    /// Buckets are 2^-kBits of their value wide; a value is told within half of that, 0.4%.
    static constexpr unsigned kBits = 7;
    static constexpr double kErrorMost = 1.0 / (1U << (kBits + 1));
    static constexpr Micros kMost =
        Micros((std::int64_t{1} << 40) - 1); ///< twelve days; what is longer counts as that

    void add(Micros value, std::uint64_t times = 1);
    /// As if all that went into the other had come here; the order does not matter.
    void merge(const Histogram& other);

    std::uint64_t count() const { return count_; }
    Micros least() const { return count_ ? least_ : Micros{}; } ///< exact, as the greatest is
    Micros greatest() const { return greatest_; }
    double mean() const { return count_ ? sum_ / static_cast<double>(count_) : 0; } ///< in microseconds
    /// The value at that rank, from 1 for the smallest up to count().
    Micros atRank(std::uint64_t rank) const;
    /// The value that so many hundredths do not pass; zero where nothing came.
    Micros percentile(double hundredths) const;

    /// How many were no longer than that, to the width of a bucket.
    std::uint64_t upTo(Micros value) const;

    /// Buckets that hold something: middle and count, for plots and for writing down.
    std::vector<std::pair<Micros, std::uint64_t>> buckets() const;
    std::size_t bytes() const { return counts_.capacity() * sizeof counts_[0]; }
    friend bool operator==(const Histogram&, const Histogram&) = default;

private:
    static std::size_t bucketOf(std::uint64_t value);
    static std::uint64_t middleOf(std::size_t bucket);

    std::vector<std::uint64_t> counts_; // as long as the greatest value needs
    std::uint64_t count_ = 0;
    double sum_ = 0;
    Micros least_ = Micros::max(), greatest_{};
};

/// The rank that so many hundredths of a count come to, 1 at least.
std::uint64_t rankOf(double hundredths, std::uint64_t count);

} // namespace zincstack::load

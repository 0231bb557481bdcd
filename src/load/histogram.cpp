#include "load/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace zincstack::load {

namespace {

/// Buckets from one power of two to the next.
constexpr std::uint64_t kBucketsPerDoubling = std::uint64_t{1} << Histogram::kPrecisionBits;

Micros toMicros(std::uint64_t value) { return Micros(static_cast<std::int64_t>(value)); }

} // namespace

std::uint64_t rankOf(double percent, std::uint64_t count) {
    const double rank = std::ceil(percent / 100 * static_cast<double>(count));
    return std::clamp<std::uint64_t>(static_cast<std::uint64_t>(std::max(rank, 1.0)), 1,
                                     std::max<std::uint64_t>(count, 1));
}

/// Each value below 2 * kBucketsPerDoubling has its own bucket; above, each doubling has kBucketsPerDoubling
/// buckets.
std::size_t Histogram::bucketOf(std::uint64_t value) {
    if (value < 2 * kBucketsPerDoubling) return value;
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - (kPrecisionBits + 1);
    return shift * kBucketsPerDoubling + (value >> shift);
}

std::uint64_t Histogram::midpointOf(std::size_t bucket) {
    if (bucket < 2 * kBucketsPerDoubling) return bucket;
    const auto shift = static_cast<unsigned>(bucket / kBucketsPerDoubling - 1);
    return ((bucket - shift * kBucketsPerDoubling) << shift) + (std::uint64_t{1} << shift) / 2;
}

void Histogram::add(Micros value, std::uint64_t times) {
    if (times == 0) return;
    value = std::clamp(value, Micros{}, kMaxValue);
    const std::size_t bucket = bucketOf(static_cast<std::uint64_t>(value.count()));
    if (bucket >= counts_.size()) counts_.resize(bucket + 1);
    counts_[bucket] += times;
    count_ += times;
    sum_ += static_cast<double>(value.count()) * static_cast<double>(times);
    min_ = std::min(min_, value);
    max_ = std::max(max_, value);
}

void Histogram::merge(const Histogram& other) {
    if (other.counts_.size() > counts_.size()) counts_.resize(other.counts_.size());
    for (std::size_t bucket = 0; bucket < other.counts_.size(); ++bucket)
        counts_[bucket] += other.counts_[bucket];
    count_ += other.count_;
    sum_ += other.sum_;
    min_ = std::min(min_, other.min_);
    max_ = std::max(max_, other.max_);
}

Micros Histogram::valueAtRank(std::uint64_t rank) const {
    std::uint64_t seen = 0;
    if (rank >= count_) return max_;
    for (std::size_t bucket = 0; bucket < counts_.size(); ++bucket) {
        seen += counts_[bucket];
        if (seen >= rank) return std::clamp(toMicros(midpointOf(bucket)), min_, max_);
    }
    return max_;
}

Micros Histogram::percentile(double percent) const { return valueAtRank(rankOf(percent, count_)); }

std::uint64_t Histogram::countUpTo(Micros value) const {
    if (value < Micros{}) return 0;
    const auto last = bucketOf(static_cast<std::uint64_t>(std::min(value, kMaxValue).count()));
    std::uint64_t total = 0;
    for (std::size_t bucket = 0; bucket < counts_.size() && bucket <= last; ++bucket)
        total += counts_[bucket];
    return total;
}

std::vector<Histogram::Bucket> Histogram::buckets() const {
    std::vector<Bucket> filled;
    for (std::size_t bucket = 0; bucket < counts_.size(); ++bucket)
        if (counts_[bucket] > 0) filled.push_back({toMicros(midpointOf(bucket)), counts_[bucket]});
    return filled;
}

} // namespace zincstack::load

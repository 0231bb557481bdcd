#include "load/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace zincstack::load {

namespace {

constexpr std::uint64_t kSteps = std::uint64_t{1}
                                 << Histogram::kBits; // buckets from a power of two to the next

} // namespace

std::uint64_t rankOf(double hundredths, std::uint64_t count) {
    const double rank = std::ceil(hundredths / 100 * static_cast<double>(count));
    return std::clamp<std::uint64_t>(static_cast<std::uint64_t>(std::max(rank, 1.0)), 1,
                                     std::max<std::uint64_t>(count, 1));
}

/// Values below 2 * kSteps have a bucket each; above, each doubling has kSteps of them.
std::size_t Histogram::bucketOf(std::uint64_t value) {
    if (value < 2 * kSteps) return value;
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - (kBits + 1);
    return shift * kSteps + (value >> shift);
}

std::uint64_t Histogram::middleOf(std::size_t bucket) {
    if (bucket < 2 * kSteps) return bucket;
    const auto shift = static_cast<unsigned>(bucket / kSteps - 1);
    return ((bucket - shift * kSteps) << shift) + (std::uint64_t{1} << shift) / 2;
}

void Histogram::add(Micros value, std::uint64_t times) {
    if (times == 0) return;
    value = std::clamp(value, Micros{}, kMost);
    const std::size_t bucket = bucketOf(static_cast<std::uint64_t>(value.count()));
    if (bucket >= counts_.size()) counts_.resize(bucket + 1);
    counts_[bucket] += times;
    count_ += times;
    sum_ += static_cast<double>(value.count()) * static_cast<double>(times);
    least_ = std::min(least_, value);
    greatest_ = std::max(greatest_, value);
}

void Histogram::merge(const Histogram& other) {
    if (other.counts_.size() > counts_.size()) counts_.resize(other.counts_.size());
    for (std::size_t k = 0; k < other.counts_.size(); ++k) counts_[k] += other.counts_[k];
    count_ += other.count_;
    sum_ += other.sum_;
    least_ = std::min(least_, other.least_);
    greatest_ = std::max(greatest_, other.greatest_);
}

Micros Histogram::atRank(std::uint64_t rank) const {
    std::uint64_t seen = 0;
    if (rank >= count_) return greatest_;
    for (std::size_t k = 0; k < counts_.size(); ++k)
        if ((seen += counts_[k]) >= rank)
            return std::clamp(Micros(static_cast<std::int64_t>(middleOf(k))), least_, greatest_);
    return greatest_;
}

Micros Histogram::percentile(double hundredths) const { return atRank(rankOf(hundredths, count_)); }

std::uint64_t Histogram::upTo(Micros value) const {
    if (value < Micros{}) return 0;
    const auto last = bucketOf(static_cast<std::uint64_t>(std::min(value, kMost).count()));
    std::uint64_t out = 0;
    for (std::size_t k = 0; k < counts_.size() && k <= last; ++k) out += counts_[k];
    return out;
}

std::vector<std::pair<Micros, std::uint64_t>> Histogram::buckets() const {
    std::vector<std::pair<Micros, std::uint64_t>> out;
    for (std::size_t k = 0; k < counts_.size(); ++k)
        if (counts_[k]) out.emplace_back(Micros(static_cast<std::int64_t>(middleOf(k))), counts_[k]);
    return out;
}

} // namespace zincstack::load

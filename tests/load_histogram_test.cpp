// The latency histogram: error bound, merging and range.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "load/histogram.h"

namespace zincstack::load {
namespace {

using namespace std::chrono_literals;

std::vector<std::int64_t> anyValues() {
    auto out = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 40));
    for (auto& value : out) value = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << value);
    return out;
}

RC_GTEST_PROP(Histogram, EveryRankIsReportedWithinTheStatedError, ()) {
    auto values = anyValues();
    Histogram histogram;
    for (const auto value : values) histogram.add(Micros(value));
    std::ranges::sort(values);
    RC_ASSERT(histogram.count() == values.size());
    for (std::size_t k = 0; k < values.size(); ++k) {
        const auto reported = static_cast<double>(histogram.valueAtRank(k + 1).count());
        const auto exact = static_cast<double>(values[k]);
        RC_ASSERT(std::abs(reported - exact) <= Histogram::kMaxRelativeError * exact + 1e-9);
    }
    if (!values.empty()) {
        RC_ASSERT(histogram.min().count() == values.front());
        RC_ASSERT(histogram.percentile(100).count() == values.back());
    }
    RC_ASSERT(histogram.memoryBytes() < 64U * 1024);
}

RC_GTEST_PROP(Histogram, MergeIsIndependentOfOrderAndEqualsAddingAllToOne, ()) {
    Histogram parts[3];
    Histogram all;
    for (auto& part : parts)
        for (const auto value : anyValues()) {
            part.add(Micros(value));
            all.add(Micros(value));
        }
    Histogram forwards;
    Histogram backwards;
    for (int k = 0; k < 3; ++k) {
        forwards.merge(parts[k]);
        backwards.merge(parts[2 - k]);
    }
    RC_ASSERT(forwards.buckets() == all.buckets());
    RC_ASSERT(backwards.buckets() == all.buckets());
    RC_ASSERT(forwards.min() == all.min() && backwards.max() == all.max());
}

TEST(Histogram, ValuesOutOfRangeAreClamped) {
    Histogram histogram;
    EXPECT_EQ(histogram.percentile(50), 0us);
    histogram.add(-5us);
    histogram.add(Micros::max(), 3);
    EXPECT_EQ(histogram.min(), 0us);
    EXPECT_EQ(histogram.max(), Histogram::kMaxValue);
    EXPECT_EQ(histogram.count(), 4U);
}

} // namespace
} // namespace zincstack::load

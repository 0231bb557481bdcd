// Rate profiles: the expected count as their integral, its inverse, and the shape of a surge.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "any_rate_profile.h"
#include "load/rate_profile.h"

namespace zincstack::load {
namespace {

using namespace std::chrono_literals;
using tests::anyRateProfile;

RC_GTEST_PROP(RateProfile, ExpectedCountIsTheIntegralOfTheRateAndItsTimeIsTheInverse, ()) {
    const RateProfile profile = anyRateProfile();
    double sum = 0;
    constexpr auto kStep = 1ms;
    for (Micros time{}; time < profile.end(); time += kStep) sum += profile.rateAt(time + kStep / 2) / 1000;
    RC_ASSERT(std::abs(sum - profile.expectedTotal()) <= 0.005 * profile.expectedTotal() + 1);
    for (int part = 1; part < 10; ++part) {
        const double count = profile.expectedTotal() * part / 10;
        const auto time = profile.microsUntilExpected(count);
        RC_ASSERT(time.has_value());
        RC_ASSERT(std::abs(profile.expectedUntil(Micros(static_cast<std::int64_t>(*time))) - count) <= 1e-2);
    }
    RC_ASSERT(!profile.microsUntilExpected(profile.expectedTotal() * 1.01 + 1));
}

TEST(RateProfile, SurgeRisesSteeplyAndHasALongTail) {
    const RateProfile surge = RateProfile::surge(10s, 600, 1s, 20s, 200s);
    EXPECT_EQ(surge.rateAt(9s), 0);
    EXPECT_NEAR(surge.rateAt(10500ms), 300, 1);
    EXPECT_EQ(surge.rateAt(11s), 600);
    EXPECT_NEAR(surge.rateAt(31s), 300, 10);
    EXPECT_NEAR(surge.rateAt(71s), 150, 10);
    EXPECT_GT(surge.rateAt(199s), 50);
    EXPECT_EQ(surge.rateAt(201s), 0);
    const RateProfile both = surge + RateProfile::constant(10, 50s);
    EXPECT_EQ(both.rateAt(5s), 10);
    EXPECT_EQ(both.rateAt(11s), 610);
    EXPECT_NEAR(both.expectedTotal(), surge.expectedTotal() + 500, 1);
}

} // namespace
} // namespace zincstack::load

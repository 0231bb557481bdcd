// Arrival times drawn from a rate profile: their count, their gaps, and that the seed determines them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "any_rate_profile.h"
#include "load/arrival_schedule.h"

namespace zincstack::load {
namespace {

using namespace std::chrono_literals;
using tests::anyRateProfile;

RC_GTEST_PROP(ArrivalSchedule, CountFollowsTheProfileAndTheSeedDeterminesTheTimes, ()) {
    const RateProfile profile = anyRateProfile();
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    for (const auto process : {ArrivalSchedule::Process::Even, ArrivalSchedule::Process::Poisson}) {
        ArrivalSchedule schedule(profile, process, seed);
        ArrivalSchedule same(profile, process, seed);
        std::vector<Micros> all;
        while (const auto at = schedule.next()) {
            RC_ASSERT((all.empty() || *at >= all.back()));
            RC_ASSERT(*at <= profile.end());
            RC_ASSERT(same.next() == at);
            all.push_back(*at);
        }
        const double spread =
            process == ArrivalSchedule::Process::Even ? 1.5 : 6 * std::sqrt(profile.expectedTotal()) + 2;
        RC_ASSERT(std::abs(static_cast<double>(all.size()) - profile.expectedTotal()) <= spread);
        // The same holds for the first half alone.
        const Micros half = profile.end() / 2;
        const auto early = std::ranges::count_if(all, [half](Micros at) { return at < half; });
        RC_ASSERT(std::abs(static_cast<double>(early) - profile.expectedUntil(half)) <= spread);
    }
}

TEST(ArrivalSchedule, GapsOfPoissonArrivalsAreExponential) {
    ArrivalSchedule schedule(RateProfile::constant(1000, 100s), ArrivalSchedule::Process::Poisson, 7);
    Micros before{};
    double sum = 0;
    double squares = 0;
    int count = 0;
    int longer = 0;
    while (const auto at = schedule.next()) {
        const double gap = static_cast<double>((*at - before).count()) / 1000; // relative to the mean
        sum += gap;
        squares += gap * gap;
        if (gap > 1) ++longer;
        ++count;
        before = *at;
    }
    EXPECT_NEAR(count, 100'000, 2000);
    EXPECT_NEAR(sum / count, 1, 0.02);
    EXPECT_NEAR(squares / count, 2, 0.08);
    EXPECT_NEAR(static_cast<double>(longer) / count, std::exp(-1), 0.01);
}

} // namespace
} // namespace zincstack::load

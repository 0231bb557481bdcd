// Tests the reconnect delays and the choice of the planner.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "client/reconnect_backoff.h"

namespace zincstack::client {
namespace {

using namespace std::chrono_literals;

TEST(ReconnectBackoff, DelaysDoubleWithJitterAndPlannersAreTriedInTurn) {
    ReconnectBackoff backoff(2, {.initialDelay = 100ms, .maxDelay = 1s, .resetAfter = 10s}, 7);
    Micros longest{};
    for (std::size_t k = 0; k < 12; ++k) {
        const auto attempt = backoff.nextAttempt(0s, {});
        EXPECT_EQ(attempt.plannerIndex, (k + 1) % 2);
        const Micros delay = std::min(Micros(100ms * (1 << k / 2)), Micros(1s));
        EXPECT_GE(attempt.delay, delay / 2);
        EXPECT_LE(attempt.delay, delay);
        longest = std::max(longest, attempt.delay);
    }
    EXPECT_GT(longest, 500ms);
    EXPECT_EQ(backoff.nextAttempt(0s, 3s).delay, 3s); // the delay the planner requested, same planner
    EXPECT_EQ(backoff.plannerIndex(), 0U);
    EXPECT_LE(backoff.nextAttempt(11s, {}).delay, 100ms);
    const auto first = ReconnectBackoff(2, {}, 1).nextAttempt(0s, {}).delay;
    const auto second = ReconnectBackoff(2, {}, 2).nextAttempt(0s, {}).delay;
    EXPECT_NE(first, second);
}

} // namespace
} // namespace zincstack::client

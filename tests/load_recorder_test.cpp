// The recorder of an open-loop run: its statistics include stalls and unanswered requests.
#include <gtest/gtest.h>

#include <algorithm>

#include "load/recorder.h"

namespace zincstack::load {
namespace {

using namespace std::chrono_literals;

/// Guards against coordinated omission. An endpoint stalls for two seconds under 100 requests per second: the
/// requests scheduled during the stall wait for its end, so that a sixth of all are late by up to two
/// seconds. A closed loop would have seen one slow request.
TEST(Recorder, StallAppearsInOpenLoopLatencyAndNotInClosedLoopLatency) {
    Recorder open;
    Recorder closed;
    const Micros stallFrom = 5s;
    const Micros stallTo = 7s;
    const Micros service = 10ms;
    const auto answerAt = [&](Micros sentAt) {
        return (sentAt >= stallFrom && sentAt < stallTo ? stallTo : sentAt) + service;
    };
    for (int k = 0; k < 1200; ++k) {
        const Micros scheduledAt = k * 10ms;
        open.requestSent(scheduledAt, scheduledAt);
        open.requestCompleted(scheduledAt, scheduledAt, answerAt(scheduledAt), RequestOutcome::Served);
    }
    Micros free{}; // the closed loop sends the next request after the previous answer
    for (int k = 0; k < 1200; ++k) {
        const Micros scheduledAt = k * 10ms;
        const Micros sentAt = std::max(scheduledAt, free);
        free = answerAt(sentAt);
        closed.requestSent(scheduledAt, sentAt);
        closed.requestCompleted(scheduledAt, sentAt, free, RequestOutcome::Served);
    }
    const auto expectNear = [](Micros actual, double expected) {
        EXPECT_NEAR(static_cast<double>(actual.count()), expected,
                    Histogram::kMaxRelativeError * expected + 10'000);
    };
    // Expected: 1,000 requests take 10 ms and 200 are spread evenly from 20 to 2,010 ms, so percentile p lies
    // at (p - 83.33%) / 16.67% of that range.
    expectNear(*open.percentile(50), 10'000);
    expectNear(*open.percentile(90), 10'000 + (0.9 - 1000.0 / 1200) * 1200 * 10'000);
    expectNear(*open.percentile(99), 10'000 + (0.99 - 1000.0 / 1200) * 1200 * 10'000);
    expectNear(*open.percentile(100), 2'010'000);
    expectNear(closed.closedLoopLatency().percentile(99.9), 10'000); // one in 1,200 was slow
    EXPECT_GT(closed.latency().percentile(99), 1500ms); // the latency from the scheduled time shows the stall
    EXPECT_FALSE(closed.keptSchedule(1ms, 0.001));      // and the closed loop did not keep its schedule
    EXPECT_TRUE(open.keptSchedule(1ms, 0.001));
}

TEST(Recorder, UnansweredRejectedAndUnsentRequestsAreIncluded) {
    Recorder recorder;
    for (int k = 0; k < 98; ++k) recorder.requestSent(0s, 0s);
    for (int k = 0; k < 90; ++k) recorder.requestCompleted(0s, 0s, Micros(1ms), RequestOutcome::Served);
    for (int k = 0; k < 4; ++k) recorder.requestCompleted(0s, 0s, Micros(1us), RequestOutcome::Rejected);
    for (int k = 0; k < 2; ++k) recorder.requestNotSent();
    EXPECT_EQ(recorder.scheduled(), 100U);
    EXPECT_EQ(recorder.unanswered(), 6U);
    EXPECT_EQ(recorder.percentile(50), Micros(1ms));
    EXPECT_EQ(recorder.percentile(90), Micros(1ms));
    EXPECT_FALSE(recorder.percentile(91)); // never
    EXPECT_EQ(recorder.servedWithin(1ms), 90U);
    Recorder both;
    both.merge(recorder);
    both.merge(recorder);
    EXPECT_EQ(both.scheduled(), 200U);
    EXPECT_EQ(both.unanswered(), 12U);
    EXPECT_FALSE(Recorder().percentile(50));
}

} // namespace
} // namespace zincstack::load

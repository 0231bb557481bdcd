// Tests of the pub-sub channel's flow control and of the Retry-After delays of disconnected subscribers.
#include <gtest/gtest.h>

#include <chrono>

#include "pubsub/flow_control.h"

namespace zincstack::pubsub {
namespace {

using namespace std::chrono_literals;

// Guards against one subscriber, or all of them together, filling the queue so that urgent messages cannot be
// sent.
TEST(FlowControl, EnforcesPerSubscriberAndTotalLimitsAndReservesCapacityForUrgentMessages) {
    FlowControl flowControl(
        {.maxLinesPerSubscriber = 100, .maxBytesPerSubscriber = 1000, .maxQueuedLines = 1000});
    using Decision = FlowControl::Decision;
    const MessageSize large{300, 9000};
    const MessageSize medium{100, 100};
    Window first;
    Window second;
    // A message of any size may be sent if nothing else is unacknowledged.
    EXPECT_EQ(flowControl.check(MessagePriority::Snapshot, large, first, 0), Decision::Send);
    flowControl.onSent(first, large);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, {1, 1}, first, 0), Decision::SubscriberWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Snapshot, medium, second, 150), Decision::TotalWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, medium, second, 150), Decision::Send);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, medium, second, 400), Decision::TotalWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Exclusion, medium, second, 400), Decision::Send);
    EXPECT_EQ(flowControl.check(MessagePriority::Exclusion, medium, second, 600), Decision::TotalWindowFull);
    flowControl.onAcknowledged(first, large);
    EXPECT_EQ(flowControl.lines(), 0U);
    flowControl.enqueueWaiter({1}, MessagePriority::Snapshot, false);
    flowControl.enqueueWaiter({2}, MessagePriority::Snapshot, false);
    flowControl.enqueueWaiter({3}, MessagePriority::Exclusion, false);
    flowControl.enqueueWaiter({4}, MessagePriority::Snapshot, true);
    for (const std::uint64_t next : {3U, 4U, 1U, 2U})
        EXPECT_EQ(flowControl.dequeueWaiter(), SubscriberId{next});
    EXPECT_FALSE(flowControl.dequeueWaiter());
}

// The lines of a subscriber that does not acknowledge may still be in the queue. If they were no longer
// counted, exclusions would be admitted beyond the limit.
TEST(FlowControl, CountsLinesOfStalledSubscriberAgainstLimitForExclusions) {
    FlowControl flowControl(
        {.maxLinesPerSubscriber = 100, .maxBytesPerSubscriber = 1000, .maxQueuedLines = 100});
    using Decision = FlowControl::Decision;
    Window stalled;
    Window other;
    flowControl.onSent(stalled, {60, 10});
    FlowControl::markAckOverdue(stalled);
    EXPECT_EQ(flowControl.lines(), 60U);
    EXPECT_EQ(flowControl.check(MessagePriority::Exclusion, {40, 1}, stalled, 0), Decision::TotalWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, {1, 1}, stalled, 0), Decision::SubscriberWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Exclusion, {36, 1}, other, 0), Decision::TotalWindowFull);
    flowControl.onAcknowledged(stalled, {60, 10});
    EXPECT_FALSE(stalled.isAckOverdue);
    EXPECT_EQ(flowControl.lines(), 0U);
}

TEST(RetryAfterScheduler, SpreadsReconnectsOfSubscribersDisconnectedTogether) {
    RetryAfterScheduler scheduler(1s, 100);
    EXPECT_EQ(scheduler.nextRetryAfter(5s), 1s);
    for (int k = 1; k < 300; ++k) EXPECT_EQ(scheduler.nextRetryAfter(5s), 1s + k * 10ms);
    EXPECT_EQ(scheduler.nextRetryAfter(60s), 1s);
}

} // namespace
} // namespace zincstack::pubsub

// Flow control of the pub-sub channel.
#include <gtest/gtest.h>

#include "pubsub/flow_control.h"

namespace zincstack::pubsub {
namespace {

TEST(FlowControlTest, CountsTheLinesOfAStalledSubscriberAndKeepsTheLimitForWithdrawals) {
    FlowControl flow({.maxLinesPerSubscriber = 100, .maxBytesPerSubscriber = 1000, .maxQueuedLines = 100});
    Window stalled;
    Window other;
    flow.sent(stalled, 60, 10);
    flow.stuck(stalled);
    EXPECT_EQ(flow.lines(), 60U);
    EXPECT_EQ(flow.may(Urgency::Withdrawal, 40, 1, stalled, 0), FlowControl::Verdict::AllFull);
    EXPECT_EQ(flow.may(Urgency::Change, 1, 1, stalled, 0), FlowControl::Verdict::OwnFull);
    EXPECT_EQ(flow.may(Urgency::Withdrawal, 36, 1, other, 0), FlowControl::Verdict::AllFull);
    flow.answered(stalled, 60, 10);
    EXPECT_FALSE(stalled.stuck);
    EXPECT_EQ(flow.lines(), 0U);
}

} // namespace
} // namespace zincstack::pubsub

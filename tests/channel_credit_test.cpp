// The exact account of the channel, and that what it refuses waits and merges.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>

#include "planner/channel_credit.h"
#include "platform/update_queue.h"
#include "pubsub/flow_control.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::tests {
namespace {

using namespace std::chrono_literals;
using Verdict = ChannelCredit::Admission;

constexpr ControlChannelLimits kTerms{1000, 6, 1000, 0, 10s, 100ms, 200ms};
constexpr ProxyId kOne{1}, kTwo{2};

Verdict urgent(const ChannelCredit& credit, ProxyId proxy, double lines, Micros now = 1s) {
    return credit.check(proxy, lines, Urgency::Deadline, 0, now);
}

TEST(ChannelCredit, NoTimeGivesCreditBackOnlyAnAnswerDoes) {
    ChannelCredit credit(kTerms);
    for (const ProxyId proxy : {kOne, kTwo}) credit.sessionOpened(proxy);
    credit.messageWritten(kOne, {1}, 900, 1s);
    EXPECT_EQ(urgent(credit, kTwo, 100, 1s), Verdict::QueueFull);
    credit.detectSilentSessions(1h);
    EXPECT_EQ(urgent(credit, kTwo, 100, 1h), Verdict::QueueFull);
    EXPECT_TRUE(credit.acknowledged(kOne, {1}));
    EXPECT_FALSE(credit.acknowledged(kOne, {1}));
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
    EXPECT_EQ(urgent(credit, kTwo, 100), Verdict::Granted);
}

TEST(ChannelCredit, WhatCanWaitLeavesHalfOfTheQueueToTheRest) {
    ChannelCredit credit(kTerms);
    for (const ProxyId proxy : {kOne, kTwo}) credit.sessionOpened(proxy);
    EXPECT_EQ(credit.check(kOne, 501, Urgency::Ordinary, 0, 1s),
              Verdict::Granted); // alone it must go some time
    credit.messageWritten(kTwo, {1}, 100, 1s);
    EXPECT_EQ(credit.check(kOne, 401, Urgency::Ordinary, 0, 1s), Verdict::QueueFull);
    EXPECT_EQ(credit.check(kOne, 400, Urgency::Ordinary, 0, 1s), Verdict::Granted);
    EXPECT_EQ(credit.check(kOne, 400, Urgency::Ordinary, 1, 1s), Verdict::QueueFull); // of other fronts
    EXPECT_EQ(urgent(credit, kOne, 850), Verdict::Granted);
    EXPECT_EQ(urgent(credit, kOne, 851), Verdict::QueueFull);
}

TEST(ChannelCredit, WhatAStreamThatEndedWasWrittenCountsUntilALaterMessageIsAnswered) {
    ChannelCredit credit(kTerms);
    for (const ProxyId proxy : {kOne, kTwo}) credit.sessionOpened(proxy);
    credit.messageWritten(kTwo, {1}, 10, 1s); // before the end: its answer proves nothing of what came after
    credit.messageWritten(kOne, {1}, 900, 1s);
    credit.sessionEnded(kOne);
    EXPECT_TRUE(credit.acknowledged(kTwo, {1}));
    EXPECT_EQ(credit.unacknowledgedLines(), 900);
    EXPECT_EQ(urgent(credit, kTwo, 100),
              Verdict::Granted); // into the reserve: nobody else is left to prove it
    credit.messageWritten(kTwo, {2}, 100, 2s);
    EXPECT_EQ(urgent(credit, kTwo, 1), Verdict::QueueFull);
    EXPECT_TRUE(credit.acknowledged(kTwo, {2}));
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
}

TEST(ChannelCredit, AProxyThatStandsStillGetsLittleAndASilentOneHoldsNothingForGood) {
    ChannelCredit credit(kTerms);
    for (const ProxyId proxy : {kOne, kTwo}) credit.sessionOpened(proxy);
    credit.messageWritten(kOne, {1}, 300, 1s);
    for (std::uint16_t k = 1; k <= 20; ++k) {
        const Micros now = k * 1s;
        credit.messageWritten(kTwo, {k}, 10, now);
        EXPECT_TRUE(credit.acknowledged(kTwo, {k}));
        credit.detectSilentSessions(now);
        if (k == 4) {
            EXPECT_EQ(credit.check(kOne, 10, Urgency::Ordinary, 0, now), Verdict::ProxyBlocked);
            EXPECT_EQ(credit.check(kOne, 10, Urgency::Deadline, 0, now), Verdict::Granted);
            EXPECT_EQ(credit.unacknowledgedLines(), 300);
        }
    }
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
    EXPECT_TRUE(credit.acknowledged(kOne, {1})); // late, but an answer
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
}

TEST(ChannelCredit, MessagesToAProxyAreCountedOverTheSpan) {
    ControlChannelLimits terms = kTerms;
    terms.maxMessagesPerProxy = 2;
    ChannelCredit credit(terms);
    for (const ProxyId proxy : {kOne, kTwo}) credit.sessionOpened(proxy);
    for (std::uint16_t k = 1; k <= 2; ++k) {
        credit.messageWritten(kOne, {k}, 1, k * 1s);
        EXPECT_TRUE(credit.acknowledged(kOne, {k}));
    }
    EXPECT_EQ(urgent(credit, kOne, 1, 11s), Verdict::ProxyBlocked);
    EXPECT_EQ(urgent(credit, kTwo, 1, 11s), Verdict::Granted);
    EXPECT_EQ(urgent(credit, kOne, 1, 11s + 1us), Verdict::Granted);
}

/// Whatever is written, answered, ended and begun anew: what may wait in a channel that is in order and takes no time
/// limits into account is never more than is counted, nor than the limit.
RC_GTEST_PROP(ChannelCredit, IsNeverBelowWhatTheChannelHolds, ()) {
    ChannelCredit credit(kTerms);
    struct Sent {
        ProxyId proxy;
        BarrierId mark;
        int stream;
        double lines;
    };
    std::deque<Sent> channel;
    std::map<ProxyId, int> streams;
    double held = 0;
    int opened = 0;
    std::uint16_t mark = 0;
    Micros now{1s};
    const auto steps = *rc::gen::inRange(20, 400);
    for (int k = 0; k < steps; ++k) {
        const ProxyId proxy{*rc::gen::inRange<std::uint16_t>(0, 5)};
        now += *rc::gen::inRange(1, 3000) * 1ms;
        const int what = *rc::gen::inRange(0, 8);
        if (what == 0) {
            credit.sessionOpened(proxy);
            streams[proxy] = ++opened;
        } else if (what == 1) {
            credit.sessionEnded(proxy);
            streams.erase(proxy);
        } else if (what < 5 && !channel.empty()) { // the first leaves; who is still there answers
            const Sent first = channel.front();
            channel.pop_front();
            held -= first.lines;
            const auto stream = streams.find(first.proxy);
            if (stream != streams.end() && stream->second == first.stream && *rc::gen::inRange(0, 4) > 0)
                RC_ASSERT(credit.acknowledged(first.proxy, first.mark));
        } else if (streams.contains(proxy)) {
            const double lines = *rc::gen::inRange(7, 300);
            const auto urgency = *rc::gen::element(Urgency::Deadline, Urgency::Ordinary);
            if (credit.check(proxy, lines, urgency, 0, now) != Verdict::Granted) continue;
            credit.messageWritten(proxy, {++mark}, lines, now);
            channel.push_back({proxy, {mark}, streams[proxy], lines});
            held += lines;
        }
        RC_ASSERT(held <= credit.unacknowledgedLines());
        RC_ASSERT(held <= kTerms.maxQueuedLines);
    }
}

/// A stream that keeps what it is written.
struct Reader : net::PushStream {
    std::string got;
    bool push(std::string_view bytes) override {
        got += bytes;
        return true;
    }
    bool idle() const override { return true; }
    void replaced() override {}
    std::string take() { return std::exchange(got, {}); }
};

/// Two proxies with whole tables on a channel for fifty lines, and how a batch of orders ends.
struct Writer : testing::Test {
    net::Counters counters;
    net::NameRegistry names{{"lookup"}, {"a"}};
    routing::RoutingState book{
        names, counters, [](EndpointId) {}, [](Micros) {}, {1000, 6, 50, 0, 10s, 100ms, 200ms}};
    net::UpdateQueue outbox{book, names, counters};
    Reader first, second;
    std::vector<EndpointId> servers;
    static constexpr TableId kTable{0};
    std::uint16_t marks = 0;
    Micros now{1s};

    void SetUp() override {
        for (int k = 0; k < 12; ++k) servers.push_back(names.registerEndpoint("s-" + std::to_string(k)));
        outbox.sessionOpened(kOne, {0}, first);
        outbox.sessionOpened(kTwo, {0}, second);
        for (int k = 0; k < 3; ++k) book.setWeight(kTable, servers[static_cast<std::size_t>(k)], 1);
        book.assignTable(kOne, 0, kTable);
        end();
        answer(kOne);
        book.assignTable(kTwo, 0, kTable);
        end();
        answer(kTwo);
        first.take(), second.take();
    }
    void end() {
        book.requestBarrier({++marks}, false);
        book.flush(now += 1ms);
    }
    void answer(ProxyId proxy) { EXPECT_TRUE(outbox.barrierAcknowledged(proxy, {marks})); }
};

TEST_F(Writer, WhatDoesNotFitWaitsMergesAndFollowsTheWithdrawals) {
    for (std::size_t k = 3; k < 12; ++k) book.setWeight(kTable, servers[k], 1);
    end(); // 9 rows, a head and a mark: 16 lines, of 25 that may be filled by what can wait
    EXPECT_NE(first.take().find("s-11:1"), std::string::npos);
    EXPECT_EQ(second.take(), "");
    EXPECT_EQ(book.pendingLines(), 32);

    for (std::size_t k = 4; k < 12; ++k) book.setWeight(kTable, servers[k], 2);
    book.setWeight(kTable, servers[0], 0);
    end();
    const std::string stamp = " stamp=" + std::to_string(marks) + "\r\n";
    // The one that waits longer gets all as it stands now; for the other only the removal has room.
    EXPECT_EQ(second.take(),
              "push rows=s-0:0,s-3:1,s-4:2,s-5:2,s-6:2,s-7:2,s-8:2,s-9:2,s-10:2,s-11:2" + stamp);
    EXPECT_EQ(first.take(), "push rows=s-0:0" + stamp);
}

/// The module paces by what is pending: rows kept for a proxy that stood still held up everybody's.
TEST_F(Writer, WhatWaitsForAProxyThatStandsStillIsNoLoadOnTheChannel) {
    book.setWeight(kTable, servers[3], 1);
    end();
    EXPECT_NE(first.take(), ""); // it never answers
    answer(kTwo);
    for (int k = 0; k < 3; ++k) { // others go on
        now += 1s;
        outbox.sessionOpened(kTwo, {0}, second);
        book.assignTable(kTwo, 0, kTable);
        end();
        answer(kTwo);
    }
    EXPECT_EQ(book.pendingLines(), 8); // one row, head and mark
    for (std::size_t k = 4; k < 12; ++k) book.setWeight(kTable, servers[k], 1);
    end();
    EXPECT_EQ(first.take(), "");
    EXPECT_EQ(book.pendingLines(), 8 + 15); // what the other was written, not what waits for the first
}

TEST_F(Writer, AServerIsNotForgottenWhileItsRemovalWaits) {
    for (std::size_t k = 3; k < 12; ++k) book.setWeight(kTable, servers[k], 1);
    end();
    for (std::size_t k = 3; k < 12; ++k) book.setWeight(kTable, servers[k], 2);
    end();
    first.take(), second.take();
    const EndpointId gone = servers[0];
    book.setWeight(kTable, gone, 0);
    EXPECT_FALSE(book.forgetEndpoint(gone));
    end();
    EXPECT_NE(first.take().find("s-0:0"), std::string::npos);
}

TEST(SharedQueue, AStalledSubscribersLinesCountAndWithdrawalsToItKeepTheLimit) {
    pubsub::FlowControl pacing(
        {.maxLinesPerSubscriber = 100, .maxBytesPerSubscriber = 1000, .maxQueuedLines = 100});
    pubsub::Window stalled, other;
    pacing.sent(stalled, 60, 10);
    pacing.stuck(stalled);
    EXPECT_EQ(pacing.lines(), 60U);
    EXPECT_EQ(pacing.may(pubsub::Urgency::Withdrawal, 40, 1, stalled, 0),
              pubsub::FlowControl::Verdict::AllFull);
    EXPECT_EQ(pacing.may(pubsub::Urgency::Change, 1, 1, stalled, 0), pubsub::FlowControl::Verdict::OwnFull);
    EXPECT_EQ(pacing.may(pubsub::Urgency::Withdrawal, 36, 1, other, 0),
              pubsub::FlowControl::Verdict::AllFull);
    pacing.answered(stalled, 60, 10);
    EXPECT_FALSE(stalled.stuck);
    EXPECT_EQ(pacing.lines(), 0U);
}

} // namespace
} // namespace zincstack::tests

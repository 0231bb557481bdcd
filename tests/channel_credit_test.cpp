// Flow control of the control channel: what may be written while earlier messages are unacknowledged.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "planner/channel_credit.h"

namespace zincstack::tests {
namespace {

using namespace std::chrono_literals;
using Admission = ChannelCredit::Admission;

constexpr ControlChannelLimits kLimits{1000, 6, 1000, 0, 10s, 100ms, 200ms};
constexpr ProxyId kFirst{1};
constexpr ProxyId kSecond{2};

Admission checkUrgent(const ChannelCredit& credit, ProxyId proxy, double lines, Micros now = 1s) {
    return credit.check(proxy, lines, Urgency::Deadline, 0, now);
}

TEST(ChannelCredit, OnlyAnAcknowledgementReturnsCredit) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    credit.messageWritten(kFirst, {1}, 900, 1s);
    EXPECT_EQ(checkUrgent(credit, kSecond, 100, 1s), Admission::QueueFull);
    credit.giveUpOverdueMessages(1h);
    EXPECT_EQ(credit.unacknowledgedLines(), 900);
    EXPECT_EQ(checkUrgent(credit, kSecond, 101, 1h), Admission::QueueFull);
    EXPECT_TRUE(credit.acknowledged(kFirst, {1}));
    EXPECT_FALSE(credit.acknowledged(kFirst, {1}));
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
    EXPECT_EQ(checkUrgent(credit, kSecond, 100), Admission::Granted);
}

TEST(ChannelCredit, OrdinaryUpdatesLeaveHalfOfTheQueueFree) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    // A message larger than the ordinary fraction may be written while no acknowledgement is awaited;
    // otherwise it could never be written.
    EXPECT_EQ(credit.check(kFirst, 501, Urgency::Ordinary, 0, 1s), Admission::Granted);
    credit.messageWritten(kSecond, {1}, 100, 1s);
    EXPECT_EQ(credit.check(kFirst, 401, Urgency::Ordinary, 0, 1s), Admission::QueueFull);
    EXPECT_EQ(credit.check(kFirst, 400, Urgency::Ordinary, 0, 1s), Admission::Granted);
    // One line is unacknowledged on another transport.
    EXPECT_EQ(credit.check(kFirst, 400, Urgency::Ordinary, 1, 1s), Admission::QueueFull);
    EXPECT_EQ(checkUrgent(credit, kFirst, 850), Admission::Granted);
    EXPECT_EQ(checkUrgent(credit, kFirst, 851), Admission::QueueFull);
}

/// Regression (docs/incidents/2026-12-lost-acknowledgements.md): once lost acknowledgements had filled the queue,
/// no message could be written any more whose acknowledgement would have returned the credit.
TEST(ChannelCredit, AQueueThatIsFullOfLostAcknowledgementsAdmitsOneMessageAtATime) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    credit.messageWritten(kFirst, {1}, 950, 1s);
    // A queue of 1000 lines takes 1 s, the slowest round trip 0.4 s, and 1 s is the margin.
    EXPECT_EQ(checkUrgent(credit, kFirst, 10, 3400ms), Admission::QueueFull);
    EXPECT_EQ(checkUrgent(credit, kFirst, 51, 3401ms), Admission::QueueFull); // never over the limit
    EXPECT_EQ(checkUrgent(credit, kFirst, 10, 3401ms), Admission::Granted);
    EXPECT_EQ(credit.check(kFirst, 50, Urgency::Ordinary, 0, 3401ms), Admission::Granted);
    credit.messageWritten(kFirst, {2}, 10, 3401ms);
    EXPECT_EQ(checkUrgent(credit, kFirst, 10, 3402ms), Admission::QueueFull);
    EXPECT_EQ(credit.unacknowledgedLines(), 960);
    EXPECT_TRUE(credit.acknowledged(kFirst, {2}));
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
    // A channel that is only slow must keep room for messages with a deadline.
    credit.messageWritten(kFirst, {3}, 500, 4s);
    EXPECT_EQ(credit.check(kFirst, 51, Urgency::Ordinary, 0, 9s), Admission::QueueFull);
    EXPECT_EQ(credit.check(kFirst, 50, Urgency::Ordinary, 0, 9s), Admission::Granted);
}

TEST(ChannelCredit, LinesOfAnEndedSessionCountUntilALaterMessageIsAcknowledged) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    // This message is written before the session ends, so its acknowledgement does not prove that the lines
    // of the ended session have left the channel.
    credit.messageWritten(kSecond, {1}, 10, 1s);
    credit.messageWritten(kFirst, {1}, 900, 1s);
    credit.sessionEnded(kFirst);
    EXPECT_TRUE(credit.acknowledged(kSecond, {1}));
    EXPECT_EQ(credit.unacknowledgedLines(), 900);
    // Granted from the reserve: no other message is awaited whose acknowledgement could return credit.
    EXPECT_EQ(checkUrgent(credit, kSecond, 100), Admission::Granted);
    credit.messageWritten(kSecond, {2}, 100, 2s);
    EXPECT_EQ(checkUrgent(credit, kSecond, 1), Admission::QueueFull);
    EXPECT_TRUE(credit.acknowledged(kSecond, {2}));
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
}

TEST(ChannelCredit, LimitsAStalledProxyAndReturnsTheCreditOfASilentOne) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    credit.messageWritten(kFirst, {1}, 300, 1s);
    for (std::uint16_t k = 1; k <= 20; ++k) {
        const Micros now = k * 1s;
        credit.messageWritten(kSecond, {k}, 10, now);
        EXPECT_TRUE(credit.acknowledged(kSecond, {k}));
        credit.giveUpOverdueMessages(now);
        if (k == 4) {
            EXPECT_EQ(credit.check(kFirst, 10, Urgency::Ordinary, 0, now), Admission::ProxyBlocked);
            EXPECT_EQ(credit.check(kFirst, 10, Urgency::Deadline, 0, now), Admission::Granted);
            EXPECT_EQ(credit.unacknowledgedLines(), 300);
        }
    }
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
    EXPECT_TRUE(credit.acknowledged(kFirst, {1})); // a late acknowledgement is accepted
    EXPECT_EQ(credit.unacknowledgedLines(), 0);
}

/// Writes a message to the second proxy, which acknowledges it: the clock by which other proxies are late.
void letSecondProxyProgress(ChannelCredit& credit, std::uint16_t barrier, Micros now) {
    credit.messageWritten(kSecond, {barrier}, 10, now);
    EXPECT_TRUE(credit.acknowledged(kSecond, {barrier}));
    credit.giveUpOverdueMessages(now);
}

/// Regression (docs/incidents/2026-12-lost-acknowledgements.md): lost acknowledgements stopped all updates to a
/// proxy whose stream was alive, for as long as the stream lasted.
TEST(ChannelCredit, LostAcknowledgementsDoNotRestrictAProxyThatIsAlive) {
    for (const bool answersArriveUnusable : {true, false}) {
        ChannelCredit credit(kLimits);
        for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
        for (std::uint16_t k = 1; k <= 30; ++k) {
            const Micros now = k * 1s;
            letSecondProxyProgress(credit, k, now);
            EXPECT_EQ(credit.check(kFirst, 10, Urgency::Ordinary, 0, now), Admission::Granted) << k;
            EXPECT_EQ(checkUrgent(credit, kFirst, 10, now), Admission::Granted) << k;
            credit.messageWritten(kFirst, {k}, 10, now);
            if (answersArriveUnusable) credit.unusableAcknowledgementReceived(kFirst);
            credit.inputReceived(kFirst, now + 300ms);
            EXPECT_GE(credit.unacknowledgedLines(), 10 * std::min<int>(k, 10))
                << k; // no credit returned early
        }
        EXPECT_LE(credit.unacknowledgedLines(), 130);
        EXPECT_TRUE(credit.acknowledged(kFirst, {30})); // settles the earlier messages too
        letSecondProxyProgress(credit, 31, 31s);
        EXPECT_EQ(credit.unacknowledgedLines(), 0);
    }
}

/// Regression (docs/incidents/2026-12-lost-acknowledgements.md): a proxy that sends nothing but
/// acknowledgements got no ordinary update any more after a single unusable one.
TEST(ChannelCredit, OneUnusableAcknowledgementDoesNotRestrictAProxyWithoutTraffic) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    credit.messageWritten(kFirst, {1}, 10, 1s);
    credit.inputReceived(kFirst, 1300ms);
    credit.unusableAcknowledgementReceived(kFirst);
    for (std::uint16_t k = 2; k <= 30; ++k) {
        letSecondProxyProgress(credit, k, k * 1s);
        EXPECT_EQ(credit.check(kFirst, 10, Urgency::Ordinary, 0, k * 1s), Admission::Granted) << k;
    }
}

/// Regression (docs/incidents/2026-12-lost-acknowledgements.md): the messages of a stream that had been silent
/// counted against its limit for good, so that no later message could show that the proxy was back.
TEST(ChannelCredit, ASilentProxyKeepsGettingAFewMessages) {
    ChannelCredit credit(kLimits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    constexpr int kMaxGapSeconds = 12; // 10 s until the previous message is given up, two steps of 1 s
    int lastWritten = 0;
    for (std::uint16_t k = 1; k <= 60; ++k) {
        const Micros now = k * 1s;
        letSecondProxyProgress(credit, k, now);
        if (credit.check(kFirst, 10, Urgency::Ordinary, 0, now) != Admission::Granted) continue;
        credit.messageWritten(kFirst, {k}, 10, now);
        EXPECT_LE(k - lastWritten, kMaxGapSeconds);
        lastWritten = k;
        EXPECT_LE(credit.unacknowledgedLines(), 50);
    }
    EXPECT_GT(lastWritten, 60 - kMaxGapSeconds);
}

TEST(ChannelCredit, LimitsMessagesPerProxyWithinTheWindow) {
    ControlChannelLimits limits = kLimits;
    limits.maxMessagesPerProxy = 2;
    ChannelCredit credit(limits);
    for (const ProxyId proxy : {kFirst, kSecond}) credit.sessionOpened(proxy);
    for (std::uint16_t k = 1; k <= 2; ++k) {
        credit.messageWritten(kFirst, {k}, 1, k * 1s);
        EXPECT_TRUE(credit.acknowledged(kFirst, {k}));
    }
    EXPECT_EQ(checkUrgent(credit, kFirst, 1, 11s), Admission::ProxyBlocked);
    EXPECT_EQ(checkUrgent(credit, kSecond, 1, 11s), Admission::Granted);
    EXPECT_EQ(checkUrgent(credit, kFirst, 1, 11s + 1us), Admission::Granted);
}

/// For any order of sessions, messages and acknowledgements, a FIFO channel of any speed contains at most as
/// many lines as are counted, and never more than the limit.
RC_GTEST_PROP(ChannelCredit, NeverUndercountsTheLinesInTheChannel, ()) {
    ChannelCredit credit(kLimits);
    struct Message {
        ProxyId proxy;
        BarrierId barrier;
        int session;
        double lines;
    };
    std::deque<Message> channel;
    std::map<ProxyId, int> openSessions;
    double linesInChannel = 0;
    int sessionCount = 0;
    std::uint16_t lastBarrier = 0;
    Micros now{1s};
    const auto steps = *rc::gen::inRange(20, 400);
    for (int k = 0; k < steps; ++k) {
        const ProxyId proxy{*rc::gen::inRange<std::uint16_t>(0, 5)};
        now += *rc::gen::inRange(1, 3000) * 1ms;
        const int step = *rc::gen::inRange(0, 10);
        if (step == 0) {
            credit.sessionOpened(proxy);
            openSessions[proxy] = ++sessionCount;
        } else if (step == 1) {
            credit.sessionEnded(proxy);
            openSessions.erase(proxy);
        } else if (step == 8) {
            credit.inputReceived(proxy, now);
            credit.unusableAcknowledgementReceived(proxy);
        } else if (step == 9) {
            credit.giveUpOverdueMessages(now);
        } else if (step < 5 && !channel.empty()) {
            // The first message arrives. Its proxy may acknowledge it if the session is still open.
            const Message first = channel.front();
            channel.pop_front();
            linesInChannel -= first.lines;
            const auto session = openSessions.find(first.proxy);
            if (session != openSessions.end() && session->second == first.session &&
                *rc::gen::inRange(0, 4) > 0)
                RC_ASSERT(credit.acknowledged(first.proxy, first.barrier));
        } else if (openSessions.contains(proxy)) {
            const double lines = *rc::gen::inRange(7, 300);
            const auto urgency = *rc::gen::element(Urgency::Deadline, Urgency::Ordinary);
            if (credit.check(proxy, lines, urgency, 0, now) != Admission::Granted) continue;
            credit.messageWritten(proxy, {++lastBarrier}, lines, now);
            channel.push_back({proxy, {lastBarrier}, openSessions[proxy], lines});
            linesInChannel += lines;
        }
        RC_ASSERT(linesInChannel <= credit.unacknowledgedLines());
        RC_ASSERT(linesInChannel <= kLimits.maxQueuedLines);
    }
}

} // namespace
} // namespace zincstack::tests

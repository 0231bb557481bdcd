// Tests which messages a connection of the platform protocol accepts from which peer, and when it is closed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "input_pieces.h"
#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::string_view_literals;

using tests::CapturingStream;

struct PeerSessionTest : tests::PlatformHarness {};

TEST_F(PeerSessionTest, ClosingAReplacedStreamDoesNotRemoveTheProxy) {
    CapturingStream olderStream;
    CapturingStream newerStream;
    const auto olderSession = openProxySession(olderStream);
    const auto newerSession = openProxySession(newerStream);
    olderSession->feed("ack proxy=17 mark=4 took_ms=1\r\n");
    olderSession->connectionClosed();
    const std::vector<std::string> expected{"joined 17 zone 1", "joined 17 zone 1"};
    EXPECT_EQ(planner.received, expected);
    EXPECT_EQ(counters.of(Counter::Stale), 1U);
    newerSession->connectionClosed();
    EXPECT_EQ(planner.received.back(), "left 17");
}

TEST_F(PeerSessionTest, NewStreamClosesTheStreamThatItReplaces) {
    CapturingStream olderStream;
    CapturingStream newerStream;
    const auto olderSession = openProxySession(olderStream);
    const auto newerSession = openProxySession(newerStream);
    EXPECT_TRUE(olderStream.wasReplaced);
    EXPECT_FALSE(newerStream.wasReplaced);
}

TEST_F(PeerSessionTest, RejectsAPeerThatDoesNotIdentifyItself) {
    const std::string tooLong(5000, 'p');
    for (const std::string_view invalid :
         {"GET / HTTP/1.1\r\n"sv, "GET "sv, "agent zone=x\r\n"sv,
          "hello proxy=99 zone=a weight=1 fresh=1\r\n"sv, "push drop=s-1\r\n"sv,
          "demand proxy=1 class=order tries=1 failed=0 span_ms=1\r\n"sv, "\x16\x03\x01"sv, "\r\n"sv,
          "*1\r\n"sv, "hello proxy\r\n"sv, std::string_view(tooLong)}) {
        CapturingStream stream;
        const auto session = openSession(stream);
        EXPECT_FALSE(session->feed(invalid)) << invalid;
        EXPECT_TRUE(session->isRejected()) << invalid;
    }
    EXPECT_TRUE(planner.received.empty());
}

/// Regression: a stream stayed open and its proxy stayed joined although it sent bytes that are not a
/// message.
TEST_F(PeerSessionTest, UnreadableInputClosesAProxyStream) {
    for (const std::string_view invalid :
         {"\x8c\xf5\x01"sv, "{\"a\":1"sv, "xyzzy 1\r\n"sv, "demand proxy=17 class=order ack\r\n"sv}) {
        CapturingStream stream;
        const auto session = openProxySession(stream);
        EXPECT_TRUE(session->feed("demand proxy=17 class=order tries=2 failed=0 span_ms=1\r\nde"));
        EXPECT_FALSE(
            session->feed("mand proxy=17 class=order tries=3 failed=0 span_ms=1\r\n" + std::string(invalid)))
            << invalid;
        EXPECT_FALSE(session->isRejected());
        EXPECT_EQ(planner.received.back(), "demand 1 3"); // the messages before it were accepted
        session->connectionClosed();
        EXPECT_EQ(planner.received.back(), "left 17");
    }
}

/// Regression (docs/incidents/2026-12-half-messages.md): peers that sent half a message and waited used up the
/// buffers, and the next peer whose message came in two pieces was closed, even a joined proxy.
TEST_F(PeerSessionTest, HalfMessagesOfUnidentifiedPeersDoNotCloseOtherPeers) {
    CapturingStream stream;
    const auto proxySession = openProxySession(stream);
    const auto collectorSession = openSession(stream);
    EXPECT_TRUE(collectorSession->feed("agent zone=a\r\n"));
    std::vector<std::unique_ptr<PeerSession>> strangers;
    while (strangers.size() < 2 * pool.capacity()) {
        strangers.push_back(openSession(stream));
        EXPECT_TRUE(strangers.back()->feed("hello proxy=1"));
    }
    EXPECT_TRUE(proxySession->feed("demand proxy=17 class=order tries=2 fai"));
    EXPECT_TRUE(proxySession->feed("led=0 span_ms=1\r\n"));
    EXPECT_EQ(planner.received.back(), "demand 1 2");
    EXPECT_TRUE(collectorSession->feed("demand proxy=4 class=order tries=3 failed=0 "));
    EXPECT_TRUE(collectorSession->feed("span_ms=1\r\n"));
    EXPECT_EQ(planner.received.back(), "demand 1 3");
    const auto lateSession = openSession(stream);
    EXPECT_TRUE(lateSession->feed("hello proxy=5 zone=a wei"));
    EXPECT_TRUE(lateSession->feed("ght=1 fresh=1\r\n"));
    EXPECT_EQ(planner.received.back(), "joined 5 zone 0 fresh");
    for (const auto& session : {proxySession.get(), lateSession.get()}) session->connectionClosed();
}

/// Regression (docs/incidents/2026-12-half-messages.md): collectors with long incomplete messages could use up
/// the buffers too.
TEST_F(PeerSessionTest, LongHalfMessagesOfCollectorsLeaveBuffersToProxies) {
    CapturingStream stream;
    const auto proxySession = openProxySession(stream);
    const std::string longHalf = "outcomes zone=a server=" + std::string(60'000, 's');
    std::vector<std::unique_ptr<PeerSession>> collectors;
    for (int k = 0; k < 10; ++k) {
        collectors.push_back(openSession(stream));
        EXPECT_TRUE(collectors.back()->feed("agent zone=a\r\n"));
        collectors.back()->feed(longHalf);
    }
    EXPECT_TRUE(proxySession->feed("demand proxy=17 class=order tries=2 failed=0 span_ms=1 x="));
    EXPECT_TRUE(proxySession->feed(std::string(2 * kBlockBytes, 'x')));
    EXPECT_TRUE(proxySession->feed("\r\n"));
    EXPECT_EQ(planner.received.back(), "demand 1 2");
    proxySession->connectionClosed();
}

struct CollectorSessionTest : PeerSessionTest {
    struct Collector {
        CapturingStream stream;
        std::unique_ptr<PeerSession> session;
    };
    std::vector<std::unique_ptr<Collector>> collectors;

    ~CollectorSessionTest() override {
        for (const auto& collector : collectors) collector->session->connectionClosed();
    }
    Collector& connectCollector() {
        Collector& collector = *collectors.emplace_back(std::make_unique<Collector>());
        collector.session = openSession(collector.stream);
        EXPECT_TRUE(collector.session->feed("agent zone=a\r\n"));
        return collector;
    }
    static void report(Collector& collector) {
        EXPECT_TRUE(collector.session->feed("demand proxy=4 class=order tries=3 failed=0 span_ms=1\r\n"));
        EXPECT_FALSE(collector.session->isProvisional());
    }
};

/// Regression (docs/incidents/2026-12-half-messages.md): peers that joined as collectors of an existing zone and
/// sent half a report were never closed.
TEST_F(CollectorSessionTest, HalfAFirstReportEndsTheConnectionAtTheSecondDeadline) {
    Collector& collector = connectCollector();
    EXPECT_TRUE(collector.session->feed("outcomes zone=a server=s-1 tri"));
    EXPECT_TRUE(collector.session->joinDeadlineExpired(false));
    EXPECT_TRUE(collector.session->isProvisional());
    EXPECT_FALSE(collector.session->joinDeadlineExpired(false));
    EXPECT_FALSE(collector.session->isRejected()); // nothing is written to a collector
    EXPECT_EQ(counters.of(Counter::RefusedStranger), 1U);
}

TEST_F(CollectorSessionTest, AFirstReportThatArrivesInPiecesAroundADeadlineIsHeard) {
    Collector& collector = connectCollector();
    EXPECT_TRUE(collector.session->feed("demand proxy=4 class=order tri"));
    EXPECT_TRUE(collector.session->joinDeadlineExpired(false));
    EXPECT_TRUE(collector.session->feed("es=x failed=0 span_ms=1\r\ndemand proxy=4 "));
    EXPECT_TRUE(collector.session->isProvisional()); // the report is invalid
    EXPECT_TRUE(collector.session->joinDeadlineExpired(false));
    EXPECT_TRUE(collector.session->feed("class=order tries=3 failed=0 span_ms=1\r\n"));
    EXPECT_FALSE(collector.session->isProvisional());
    EXPECT_EQ(planner.received, std::vector<std::string>{"demand 1 3"});
}

/// Regression (docs/incidents/2026-12-half-messages.md): a zone could have any number of collectors. The one that
/// reports and the newest, which may be the real one after a restart, must stay.
TEST_F(CollectorSessionTest, CollectorsWithoutReportsStayOnlyIfTheyAreTheNewestOfTheirZone) {
    Collector& real = connectCollector();
    report(real);
    for (int k = 0; k < 10; ++k) connectCollector();
    for (const auto& collector : collectors) EXPECT_TRUE(collector->session->joinDeadlineExpired(false));
    int open = 0;
    for (const auto& collector : collectors)
        if (collector->session->joinDeadlineExpired(false)) ++open;
    EXPECT_EQ(open, 1 + CollectorRegistry::kNeededPerZone);
    EXPECT_TRUE(collectors.back()->session->joinDeadlineExpired(false));
    report(real);
    Collector& restarted = connectCollector();
    Collector& stranger = connectCollector();
    connectCollector();
    EXPECT_FALSE(restarted.session->joinDeadlineExpired(true)); // connections are scarce
    EXPECT_TRUE(stranger.session->joinDeadlineExpired(true));
    report(stranger);
    EXPECT_TRUE(stranger.session->joinDeadlineExpired(true));
}

TEST_F(CollectorSessionTest, AZoneKeepsTheCollectorsThatReportedLast) {
    Collector& first = connectCollector();
    Collector& second = connectCollector();
    Collector& third = connectCollector();
    report(second);
    report(first);
    EXPECT_FALSE(second.stream.wasReplaced);
    report(third);
    EXPECT_TRUE(second.stream.wasReplaced);
    EXPECT_FALSE(first.stream.wasReplaced);
    first.session->connectionClosed();
    report(connectCollector());
    EXPECT_FALSE(third.stream.wasReplaced);
}

RC_GTEST_FIXTURE_PROP(PeerSessionTest, AcceptsArbitraryInputInArbitraryPieces, ()) {
    const auto words =
        *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(std::vector<std::string>{
            "hello",    "ack",         "demand",     "agent",    "outcomes", "probe",
            " proxy=1", " zone=a",     " weight=1",  " fresh=1", " mark=2",  " class=order",
            " tries=3", " failed=9",   " span_ms=5", "\r\n",     "\n",       " ",
            "=",        " load=:,x:1", "\xff"}));
    std::string text;
    for (const auto& word : words) text += word;
    CapturingStream stream;
    const auto session = openSession(stream);
    bool open = true;
    tests::feedInPieces(text, [&](std::string_view piece) { open = open && session->feed(piece); });
    session->connectionClosed();
}

} // namespace
} // namespace zincstack::net

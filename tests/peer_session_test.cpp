// Tests which messages a connection of the platform protocol accepts from which peer, and when it is closed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

// Tests which connections a listener with the platform protocol closes, and when.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "platform/session_acceptor.h"
#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;
using namespace std::string_view_literals;

struct ListenerTest : tests::PlatformHarness {
    SessionAcceptor acceptor{inputs, counters, pool};

    std::shared_ptr<Listener> listen(std::size_t maxPeers) {
        const auto listener = std::make_shared<Listener>(
            io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), maxPeers,
            SessionAcceptor::kMaxQueuedBytes, counters, pool,
            [this](Connection& connection) { return acceptor.accept(connection); });
        listener->start();
        return listener;
    }
};

/// Peers that never identify themselves fill the listener while a proxy waits in the backlog. The shorter
/// join timeout of a full listener must close them, so that the proxy is accepted.
TEST_F(ListenerTest, AdmitsAProxyWhenUnidentifiedPeersFillTheListener) {
    using boost::asio::ip::tcp;
    const auto listener = listen(3);
    std::vector<tcp::socket> peers;
    for (int k = 0; k < 6; ++k) peers.emplace_back(io).connect(listener->address());
    boost::asio::write(peers.back(), boost::asio::buffer("hello proxy=17 zone=b weight=1 fresh=1\r\n"sv));
    const auto start = std::chrono::steady_clock::now();
    while (planner.received.empty() && io.run_one_for(10s)) {}
    EXPECT_EQ(planner.received, std::vector<std::string>{"joined 17 zone 1 fresh"});
    // A listener that is not full closes unidentified peers only after 1 s.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 900ms);
    EXPECT_GE(counters.of(Counter::RefusedStranger), 3U);
}

/// Regression: peers that sent nothing, half a message or only a health check kept their connections
/// indefinitely.
TEST_F(ListenerTest, ClosesOnlyPeersThatMissTheJoinDeadline) {
    using boost::asio::ip::tcp;
    const auto listener = listen(9);
    acceptor.startServing();
    std::vector<tcp::socket> peers;
    for (const auto text : {""sv, "hello proxy=1"sv, "probe\r\n"sv, "agent zone=a\r\n"sv}) {
        peers.emplace_back(io).connect(listener->address());
        boost::asio::write(peers.back(), boost::asio::buffer(text));
    }
    while (counters.of(Counter::Closed) < 3 && io.run_one_for(10s)) {}
    for (const int k : {0, 1, 2}) {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(peers[static_cast<std::size_t>(k)], boost::asio::dynamic_buffer(received), error);
        EXPECT_EQ(received.substr(k == 2 ? 7 : 0, 6), "error ") << received;
    }
    io.run_for(50ms);
    EXPECT_EQ(counters.of(Counter::Closed), 3U);
    EXPECT_EQ(peers[3].available(), 0U);
}

/// Regression (docs/incidents/2026-12-half-messages.md): collectors that sent half a report and waited filled
/// the listener for good, so that no proxy was accepted.
TEST_F(ListenerTest, AdmitsAProxyWhenCollectorsWithHalfAReportFillTheListener) {
    using boost::asio::ip::tcp;
    const auto listener = listen(6);
    std::vector<tcp::socket> peers;
    for (int k = 0; k < 12; ++k) {
        peers.emplace_back(io).connect(listener->address());
        boost::asio::write(peers.back(), boost::asio::buffer("agent zone=a\r\noutcomes zone=a ser"sv));
    }
    peers.emplace_back(io).connect(listener->address());
    boost::asio::write(peers.back(), boost::asio::buffer("hello proxy=17 zone=b weight=1 fresh=1\r\n"sv));
    while (planner.received.empty() && io.run_one_for(10s)) {}
    EXPECT_EQ(planner.received, std::vector<std::string>{"joined 17 zone 1 fresh"});
    while (counters.of(Counter::Closed) < 12 && io.run_one_for(10s)) {}
    EXPECT_EQ(listener->peers(), 1U);
}

/// Regression (docs/incidents/2026-12-slow-accept.md): one connection was accepted in each turn of the event
/// loop. While busy peers made the turns long, clients that connected all the time kept the backlog full.
TEST_F(ListenerTest, AcceptsTheWaitingConnectionsInOneTurn) {
    using boost::asio::ip::tcp;
    constexpr std::size_t kWaiting = 20;
    const auto listener = listen(kWaiting + 10);
    std::vector<tcp::socket> peers;
    for (std::size_t k = 0; k < kWaiting; ++k) peers.emplace_back(io).connect(listener->address());
    while (counters.of(Counter::Accepted) == 0 && io.run_one_for(10s)) {}
    // Not all: the operating system may show the last ones a little later.
    EXPECT_GE(counters.of(Counter::Accepted), kWaiting / 2);
}

/// The number of connections stays within the limit, however many are waiting.
TEST_F(ListenerTest, AcceptsNoMoreThanItHasRoomFor) {
    using boost::asio::ip::tcp;
    constexpr std::size_t kRoom = 5;
    const auto listener = listen(kRoom);
    std::vector<tcp::socket> peers;
    for (std::size_t k = 0; k < 3 * kRoom; ++k) peers.emplace_back(io).connect(listener->address());
    while (counters.of(Counter::Closed) < 2 * kRoom && io.run_one_for(10s))
        EXPECT_LE(listener->peers(), kRoom);
    EXPECT_GE(counters.of(Counter::Accepted), 2 * kRoom);
}

/// Regression (docs/incidents/2026-12-late-hello.md): a `hello` that was read after the same proxy had joined
/// on a newer connection ended that stream, although nobody was left on the older one.
TEST_F(ListenerTest, IgnoresAHelloOnAnOlderConnectionThanTheProxysStream) {
    using boost::asio::ip::tcp;
    constexpr auto kHello = "hello proxy=17 zone=b weight=1 fresh=1\r\n"sv;
    const auto listener = listen(9);
    tcp::socket older(io);
    tcp::socket newer(io);
    older.connect(listener->address());
    boost::asio::write(older, boost::asio::buffer(kHello.substr(0, 9)));
    while (counters.of(Counter::Accepted) < 1 && io.run_one_for(10s)) {}
    newer.connect(listener->address());
    boost::asio::write(newer, boost::asio::buffer(kHello));
    while (planner.received.empty() && io.run_one_for(10s)) {}
    boost::asio::write(older, boost::asio::buffer(kHello.substr(9)));
    older.close();
    while (counters.of(Counter::Closed) < 1 && io.run_one_for(10s)) {}
    EXPECT_EQ(planner.received, std::vector<std::string>{"joined 17 zone 1 fresh"});
    EXPECT_EQ(counters.of(Counter::Stale), 1U);
    EXPECT_EQ(listener->peers(), 1U);
    // A newer connection takes over, as before.
    tcp::socket newest(io);
    newest.connect(listener->address());
    boost::asio::write(newest, boost::asio::buffer(kHello));
    while (counters.of(Counter::Takeovers) < 1 && io.run_one_for(10s)) {}
    EXPECT_EQ(planner.received.size(), 2U);
}

} // namespace
} // namespace zincstack::net

// Tests of SubscriptionServer's sessions: refusals, protocol errors, replacement, leases and suspension.
#include <gtest/gtest.h>

#include <set>

#include "pubsub_entries.h"
#include "subscription_server_fixture.h"

namespace zincstack::pubsub {
namespace {

using tests::frameOf;
using namespace std::chrono_literals;

struct SubscriptionSessionTest : tests::SubscriptionServerFixture {
    /// Returns the reason for which the hello is refused, or an empty string if it is accepted.
    std::string refusalReason(const Hello& hello) {
        Client client(*this, 1, "a");
        client.connection = std::make_shared<Connection>(*this);
        Frame frame{FrameType::Hello};
        frame.body = encode(hello);
        client.send(encodeFrame(frame, false));
        std::string reason;
        FrameReader reader(kMaxServerFrameBytes);
        reader.feed(client.connection->toClient, [&](Frame& received) {
            if (received.type == FrameType::Refused) reason = decodeDisconnectNotice(received.body)->reason;
            return true;
        });
        EXPECT_FALSE(client.connection->isOpen && !reason.empty());
        client.disconnect();
        return reason;
    }
};

TEST_F(SubscriptionSessionTest, StalledAndSilentSubscribersAreDisconnectedWithAReason) {
    addEndpoints(50);
    Client& stalled = addJoinedClient(3);
    Client& silent = addJoinedClient(4);
    Client& healthy = addJoinedClient(5);
    stalled.isStalled = true;
    runBatch([&] { setWeight(0, 1, 9); });
    for (int k = 0; k < 30; ++k) {
        now += 1s;
        for (std::uint32_t tick = 0; tick < SubscriptionServer::kTicksPerHeartbeat; ++tick) server->tick();
        for (auto* client : {&stalled, &healthy}) client->send(client->subscription.tick(now));
        healthy.receive();
    }
    EXPECT_FALSE(planner.joined.contains({3}));
    EXPECT_FALSE(planner.joined.contains({4}));
    EXPECT_TRUE(planner.joined.contains({5}));
    silent.receive(kReadAll, false);
    ASSERT_TRUE(silent.subscription.disconnectNotice());
    EXPECT_NE(silent.subscription.disconnectNotice()->reason.find("lease"), std::string::npos);
    EXPECT_TRUE(silent.subscription.disconnectNotice()->retryAfter);
    EXPECT_EQ(server->flowControl().lines(), 0U);
}

TEST_F(SubscriptionSessionTest, ANewSessionOfAProxyReplacesTheOldOneWhoseLateEndDoesNotMakeTheProxyLeave) {
    addEndpoints(5);
    Client& old = addJoinedClient(3);
    old.isStalled = true;
    Client& newer = addJoinedClient(3);
    old.isStalled = false;
    EXPECT_TRUE(isUpToDate(newer, 0));
    EXPECT_TRUE(planner.joined.contains({3}));
    old.receive(kReadAll, false);
    ASSERT_TRUE(old.subscription.disconnectNotice());
    EXPECT_NE(old.subscription.disconnectNotice()->reason.find("newer stream"), std::string::npos);
    EXPECT_FALSE(old.subscription.disconnectNotice()->retryAfter);
    EXPECT_TRUE(planner.joined.contains({3}));
    newer.disconnect();
    EXPECT_FALSE(planner.joined.contains({3}));
}

TEST_F(SubscriptionSessionTest, AHelloThatCannotBeServedIsRefusedWithAReason) {
    Hello hello;
    hello.zone = "a";
    hello.proxy = ProxyId{3};
    EXPECT_EQ(refusalReason(hello), "");
    hello.zone = "zz";
    EXPECT_EQ(refusalReason(hello), "no such zone: zz");
    hello.zone = "a";
    hello.proxy = ProxyId{2000};
    EXPECT_EQ(refusalReason(hello), "no such proxy: 2000");
    hello.proxy = ProxyId{3};
    hello.minVersion = 2;
    hello.maxVersion = 4;
    EXPECT_NE(refusalReason(hello).find("speaks 1, it was asked for 2 to 4"), std::string::npos);
    hello.minVersion = 0; // 0 to 4 includes the supported version
    EXPECT_EQ(refusalReason(hello), "");
    EXPECT_TRUE(planner.joined.empty());
}

TEST_F(SubscriptionSessionTest, ConnectionsThatViolateTheProtocolAreClosedWithoutAffectingOtherSessions) {
    addEndpoints(5);
    Client& healthy = addJoinedClient(3);
    const std::string bye = healthy.subscription.encodeBye("x");
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), std::string(5000, '\xff'),
          std::string(5000, '\0'), bye, encodeFrame(frameOf(FrameType::Applied), false),
          encodeFrame(frameOf(FrameType::Hello, "\xa0"), false),
          encodeFrame(frameOf(FrameType{77}), false)}) {
        Client violator(*this, 9, "a");
        violator.connection = std::make_shared<Connection>(*this);
        violator.send(bytes);
        EXPECT_FALSE(violator.connection->isOpen) << bytes.substr(0, 10);
        violator.disconnect();
    }
    runBatch([&] { setWeight(0, 1, 3); });
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(healthy, 0));
    EXPECT_EQ(planner.joined.size(), 1U);
    // After the hello, frames of an unknown type are ignored, since a later protocol version may send them.
    healthy.send(encodeFrame(frameOf(FrameType{77}), false));
    EXPECT_TRUE(planner.joined.contains({3}));
    healthy.send(std::string(5000, '\xff'));
    EXPECT_FALSE(planner.joined.contains({3}));
}

TEST_F(SubscriptionSessionTest, SuspensionSendsSubscribersDistinctRetryDelaysAndTheyCatchUpAfterResume) {
    constexpr std::uint16_t kClients = 100;
    addEndpoints(5);
    addClients(kClients);
    runBatch();
    runUntilQuiet();
    server->suspend();
    EXPECT_TRUE(planner.joined.empty());
    std::set<Micros> delays;
    for (const auto& client : clients) {
        client->receive(kReadAll, false);
        ASSERT_TRUE(client->subscription.disconnectNotice());
        delays.insert(client->subscription.disconnectNotice()->retryAfter.value());
    }
    EXPECT_EQ(delays.size(), 100U);
    EXPECT_NE(clients[0]->table(), nullptr); // clients keep using the tables they have received
    server->resume();
    runBatch([&] { setWeight(0, 2, 5); });
    for (const auto& client : clients) client->connect();
    runBatch();
    runUntilQuiet();
    for (const auto& client : clients) EXPECT_TRUE(isUpToDate(*client, 0));
}

} // namespace
} // namespace zincstack::pubsub

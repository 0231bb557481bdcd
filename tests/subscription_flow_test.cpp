// Tests of SubscriptionServer's flow control with slow, stalled and many subscribers: no update is lost,
// memory is bounded, and no subscriber starves.
#include <gtest/gtest.h>

#include "subscription_server_fixture.h"

namespace zincstack::pubsub {
namespace {

using net::Counter;

struct SubscriptionFlowTest : tests::SubscriptionServerFixture {};

TEST_F(SubscriptionFlowTest, AStalledSubscriberHasABoundedWindowAndCatchesUpOnceItReads) {
    addEndpoints(300);
    Client& slow = addJoinedClient(3);
    Client& live = addJoinedClient(4);
    slow.isStalled = true;
    for (int k = 0; k < 400; ++k) {
        runBatch([&] { setWeight(0, k % 300, 10 + k); });
        live.receive();
    }
    runBatch([&] {
        setWeight(0, 7, 0);
        setExcluded(7, true);
    });
    EXPECT_EQ(slow.connection->subscriber->state(), SessionState::Lagging);
    EXPECT_GE(counted(Counter::Lags), 1U);
    EXPECT_LE(slow.connection->subscriber->window.lines, 2 * flowControlLimits.maxLinesPerSubscriber);
    live.receive();
    EXPECT_TRUE(isUpToDate(live, 0));
    slow.isStalled = false;
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(slow, 0));
    EXPECT_EQ(slow.connection->subscriber->state(), SessionState::Live);
    EXPECT_EQ(slow.connection->subscriber->window.lines, 0U);
}

/// Regression: stalled subscribers occupied so much of the shared queue that no other subscriber was sent
/// anything.
TEST_F(SubscriptionFlowTest, StalledSubscribersDoNotStarveTheOthersAndTheirQueuedBytesAreBounded) {
    constexpr std::size_t kClients = 200;
    constexpr std::size_t kStalledEvery = 10;
    addEndpoints(300);
    addClients(kClients);
    for (std::size_t k = 0; k < kClients; k += kStalledEvery) clients[k]->isStalled = true;
    runBatch();
    for (int k = 0; k < 30; ++k) runOneSecond();
    std::size_t queuedBytes = 0;
    for (std::size_t k = 0; k < kClients; k += kStalledEvery)
        if (clients[k]->connection) queuedBytes += clients[k]->connection->toClient.size();
    EXPECT_LE(queuedBytes, 20U * 2 * flowControlLimits.maxBytesPerSubscriber);
    runBatch([&] {
        setWeight(0, 7, 9);
        setExcluded(8, true);
    });
    runUntilQuiet();
    std::size_t upToDate = 0;
    for (std::size_t k = 0; k < kClients; ++k)
        upToDate += k % kStalledEvery != 0 && isUpToDate(*clients[k], 0);
    EXPECT_EQ(upToDate, 180U);
    EXPECT_EQ(server->flowControl().lines(), 0U);
}

TEST_F(SubscriptionFlowTest, AnExclusionIsDeliveredBeforeTheRestOfAnUnreadTable) {
    addEndpoints(1000);
    flowControlLimits.maxLinesPerSubscriber = 300;
    Client& client = addClient(3);
    runBatch(); // the first part of the table has been sent, the rest is queued
    client.receive(4096);
    runBatch([&] {
        setExcluded(999, true);
        setWeight(0, 999, 0);
    });
    bool isNotified = false;
    for (int k = 0; k < 1000 && !isNotified; ++k) {
        client.receive(512);
        isNotified = client.replica().isExcluded("s-999", now);
    }
    EXPECT_TRUE(isNotified);
    EXPECT_EQ(client.table(), nullptr); // not yet received completely
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
}

TEST_F(SubscriptionFlowTest, ASubscriberThatReadsOneByteAtATimeReceivesTheCurrentTable) {
    addEndpoints(40);
    Client& client = addClient(3);
    runBatch();
    for (int k = 0; k < 20'000 && !(client.table() && isUpToDate(client, 0)); ++k) {
        if (k % 50 == 0) runBatch([&] { setWeight(0, k / 50 % 40, 2 + k); });
        client.receive(1);
    }
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
}

TEST_F(SubscriptionFlowTest, HundredsOfSimultaneousConnectsNeitherFillTheQueueNorStarveASubscriber) {
    addEndpoints(300);
    Client& live = addJoinedClient(0);
    for (std::uint16_t proxy = 1; proxy <= 300; ++proxy) addClient(proxy);
    runBatch();
    std::size_t rounds = 0;
    for (; rounds < 200; ++rounds) {
        runBatch([&] { setWeight(0, 5, 10 + static_cast<double>(rounds)); });
        live.receive();
        EXPECT_TRUE(isUpToDate(live, 0)) << rounds; // still receives changes while the others catch up
        bool haveAllTables = true;
        for (const auto& client : clients) {
            client->receive(3000);
            haveAllTables = haveAllTables && client->table();
        }
        if (haveAllTables) break;
    }
    EXPECT_LT(rounds, 100U);
    runUntilQuiet();
    for (const auto& client : clients) EXPECT_TRUE(isUpToDate(*client, 0));
    EXPECT_LE(static_cast<double>(server->flowControl().maxLinesSeen()),
              0.75 * flowControlLimits.maxQueuedLines);
}

TEST_F(SubscriptionFlowTest, AnExclusionReachesAllSubscribersWhileAThirdOfThemAreInResync) {
    constexpr std::size_t kClients = 90;
    addEndpoints(300);
    addClients(kClients);
    runBatch();
    runUntilQuiet();
    for (std::size_t k = 0; k < kClients; k += 3) requestSnapshot(*clients[k]);
    EXPECT_GT(server->countInState(SessionState::Resync), 0U);
    runBatch([&] {
        setExcluded(8, true);
        setWeight(0, 8, 0);
    });
    for (const auto& client : clients) client->receive(8 * 1024); // one read of limited size each
    std::size_t notified = 0;
    for (const auto& client : clients) notified += client->replica().isExcluded("s-8", now);
    EXPECT_EQ(notified, clients.size());
    runUntilQuiet();
    for (const auto& client : clients) EXPECT_TRUE(isUpToDate(*client, 0));
    EXPECT_EQ(server->countInState(SessionState::Live), 90U);
}

} // namespace
} // namespace zincstack::pubsub

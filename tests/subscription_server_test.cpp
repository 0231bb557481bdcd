// Tests of the messages that SubscriptionServer sends to subscribers and of the position from which they
// resume.
#include "pubsub/subscription_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "subscription_server_fixture.h"

namespace zincstack::pubsub {
namespace {

using net::Counter;
using tests::PubsubHarness;
using namespace std::chrono_literals;

struct SubscriptionServerTest : tests::SubscriptionServerFixture {};

TEST_F(SubscriptionServerTest, ASubscriberGetsASnapshotThenChangesAndItsBarriersAreAcknowledged) {
    addEndpoints(20);
    Client& client = addClient(3);
    EXPECT_EQ(planner.inputs, std::vector<std::string>{"joined 3 fresh"});
    runUntilQuiet();
    EXPECT_EQ(client.table(), nullptr); // the planner has assigned no table yet
    runBatch([&] { routingState.setAdmission(tableOf(0), 1, 0.5, RetryPolicy::AfterProofOfNoEffect); });
    EXPECT_TRUE(planner.acknowledgedBarriers.empty());
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
    EXPECT_EQ(client.table()->requestClasses, (std::vector<std::string>{"lookup", "order"}));
    EXPECT_EQ(client.table()->admission.at("lookup"),
              (AdmissionLimit{0.5, RetryPolicy::AfterProofOfNoEffect}));
    EXPECT_EQ(planner.acknowledgedBarriers, std::vector<BarrierId>{{lastBarrier}});
    const auto snapshots = counted(Counter::Snapshots);
    runBatch([&] {
        setWeight(0, 3, 0);
        setWeight(0, 4, 9);
        setExcluded(3, true);
    });
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
    EXPECT_EQ(planner.acknowledgedBarriers.back(), BarrierId{lastBarrier});
    EXPECT_EQ(counted(Counter::Snapshots), snapshots);
    client.send(client.subscription.encodeDemand("order", 19, 2, 1s));
    EXPECT_EQ(planner.inputs.back(), "usage 1 19");
    runOneSecond();
    EXPECT_EQ(client.subscription.state(), client::Subscription::State::Live);
    EXPECT_EQ(server->countInState(SessionState::Live), 1U);
}

TEST_F(SubscriptionServerTest, ChangesAreEncodedOnceForAllSubscribers) {
    addEndpoints(40);
    addClients(50);
    runBatch();
    runUntilQuiet();
    const auto before = counted(Counter::FramesEncoded);
    runBatch([&] { setWeight(0, 7, 5); });
    runUntilQuiet();
    EXPECT_EQ(counted(Counter::FramesEncoded), before + 1);
    for (const auto& client : clients) EXPECT_TRUE(isUpToDate(*client, 0));
}

TEST_F(SubscriptionServerTest, AReconnectBeforeAChangeIsReadResumesFromThePositionHeld) {
    addEndpoints(200);
    Client& client = addJoinedClient(3);
    const auto snapshots = counted(Counter::Snapshots);
    runBatch([&] { setWeight(0, 1, 8); });
    client.disconnect(); // the change has been sent but not read
    runBatch([&] {
        setWeight(0, 2, 8);
        setWeight(0, 3, 0);
    });
    client.connect();
    EXPECT_EQ(planner.inputs.back(), "joined 3");
    runBatch();
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
    // No second snapshot, neither of the table nor of the exclusions.
    EXPECT_EQ(counted(Counter::Snapshots), snapshots);
    EXPECT_EQ(planner.acknowledgedBarriers.back(), BarrierId{lastBarrier});
}

TEST_F(SubscriptionServerTest, ASnapshotOlderThanAppliedChangesIsIgnored) {
    addEndpoints(20);
    Client& client = addJoinedClient(3);
    std::string oldBytes; // contains a snapshot encoded before the changes below and delivered after them
    {
        Client observer(*this, std::nullopt, "a");
        observer.connect();
        routingState.flush(now);
        oldBytes = observer.connection->toClient;
        observer.disconnect();
    }
    runBatch([&] {
        setWeight(0, 1, 8);
        setWeight(0, 2, 0);
        setExcluded(2, true);
    });
    runUntilQuiet();
    const auto duplicates = client.subscription.frameCounts().duplicates;
    FrameReader reader(kMaxServerFrameBytes);
    reader.feed(oldBytes, [&](Frame& frame) {
        if (frame.type == FrameType::Snapshot) client.subscription.feed(encodeFrame(frame, false), now);
        return true;
    });
    EXPECT_EQ(client.subscription.frameCounts().duplicates, duplicates + 2);
    EXPECT_TRUE(isUpToDate(client, 0));
}

TEST_F(SubscriptionServerTest, ASubscriberAtAPositionThatTheLogNoLongerCoversGetsASnapshot) {
    addEndpoints(30);
    Client& client = addJoinedClient(3);
    client.disconnect();
    for (int number = 100; number < 200; ++number) {
        runBatch([&] { setWeight(0, number, 1); });
        runBatch([&] { setWeight(0, number, 0); });
    }
    const TopicId topic = topicOf(tableOf(0));
    EXPECT_FALSE(server->log(topic)->covers(*client.replica().at(topic)));
    client.connect();
    runBatch([&] { setWeight(0, 5, 0); });
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
    EXPECT_LE(server->log(topic)->tombstones(), maxTombstones);
}

TEST_F(SubscriptionServerTest, ASubscriberFollowsARestartedPlannerWithANewEpochAndLowerSequences) {
    addEndpoints(30);
    for (int k = 0; k < 9; ++k) runBatch([&] { setWeight(0, 1, 2 + k); });
    Client& client = addJoinedClient(3);
    runBatch([&] {
        setExcluded(4, true);
        setWeight(0, 4, 0);
    });
    runUntilQuiet();
    const auto before = *client.replica().at(topicOf(tableOf(0)));
    restart();
    client.connect();
    EXPECT_NE(client.table(), nullptr); // the old table is kept until the new one is complete
    runBatch([&] { setWeight(0, 2, 0); });
    runUntilQuiet();
    EXPECT_LT(*client.replica().at(topicOf(tableOf(0))), before);
    EXPECT_EQ(client.table()->weights, expectedWeights(0));
    // The new incarnation does not know this exclusion. The client keeps it until it expires.
    EXPECT_TRUE(client.replica().isExcluded("s-4", now));
    now += 11s;
    EXPECT_FALSE(client.replica().isExcluded("s-4", now));
}

TEST(TwoSubscriptionServers, ASubscriberThatSwitchesPlannersReplacesItsTable) {
    PubsubHarness first;
    PubsubHarness second;
    second.incarnation = 9;
    second.startServer();
    for (PubsubHarness* harness : {&first, &second})
        harness->runBatch([&] {
            for (int number = 0; number < 10; ++number)
                harness->setWeight(0, number, harness == &first ? 1 : 2);
        });
    PubsubHarness::Client client(first, 3, "a");
    for (int move = 0; move < 6; ++move) {
        PubsubHarness& current = move % 2 ? second : first;
        client.disconnect();
        client.harness = &current;
        client.connect();
        current.runBatch([&] { current.setWeight(0, move, 7); });
        for (int k = 0; k < 10; ++k) client.receive();
        EXPECT_TRUE(current.isUpToDate(client, 0)) << move;
        EXPECT_EQ(client.replica().tables().size(), 1U);
    }
    client.disconnect();
    EXPECT_TRUE(first.violations.empty() && second.violations.empty());
}

TEST_F(SubscriptionServerTest, AnAdmissionChangeThatASnapshotOvertakesIsContainedInIt) {
    addEndpoints(300);
    Client& client = addJoinedClient(3);
    client.isStalled = true;
    runBatch([&] { routingState.setAdmission(tableOf(0), 1, 0.3, RetryPolicy::Never); });
    requestSnapshot(client);
    runBatch([&] { routingState.setAdmission(tableOf(0), 1, 0.7, RetryPolicy::Never); });
    client.isStalled = false;
    runUntilQuiet();
    EXPECT_EQ(client.table()->admission.at("lookup").limit, 0.7);
    EXPECT_TRUE(isUpToDate(client, 0));
}

TEST_F(SubscriptionServerTest, ATopicOfAThousandEndpointsIsSentInPartsAndAChangeOfOneEndpointIsASmallFrame) {
    flowControlLimits.maxQueuedLines = 20000;
    server.reset();
    startServer();
    addEndpoints(1000);
    Client& client = addJoinedClient(3);
    EXPECT_TRUE(isUpToDate(client, 0));
    const auto sent = counted(Counter::FramesOut);
    runBatch([&] { setWeight(0, 500, 4); });
    EXPECT_EQ(counted(Counter::FramesOut), sent + 1);
    EXPECT_LT(client.connection->toClient.size(), 100U);
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
}

TEST_F(SubscriptionServerTest, AnObserverDoesNotJoinAsAProxyAndFollowsTheTablesOfItsZonesProxies) {
    addEndpoints(5);
    Client& observer = addClient(std::nullopt);
    runUntilQuiet();
    EXPECT_EQ(observer.table(), nullptr);
    addJoinedClient(3);
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(observer, 0));
    EXPECT_EQ(planner.joined.size(), 1U);
    runBatch([&] {
        setWeight(0, 1, 8);
        setExcluded(2, true);
    });
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(observer, 0));
    EXPECT_EQ(planner.acknowledgedBarriers.back(), BarrierId{lastBarrier});
}

TEST_F(SubscriptionServerTest, AForgottenEndpointThatReturnsUnderTheSameNameIsEligible) {
    addEndpoints(5);
    Client& client = addJoinedClient(3);
    runBatch([&] {
        setWeight(0, 2, 0);
        setExcluded(2, true);
    });
    runUntilQuiet();
    const EndpointId before = endpoint(2);
    runBatch([&] {
        routingState.forgetEndpoint(before);
        excludedSince.erase("s-2");
    });
    runUntilQuiet();
    EXPECT_NE(endpoint(2), before);
    runBatch([&] { setWeight(0, 2, 1); });
    runUntilQuiet();
    EXPECT_TRUE(isUpToDate(client, 0));
    const auto eligible = client.replica().eligibleEndpoints(*client.table(), now);
    EXPECT_TRUE(std::ranges::any_of(eligible, [](const auto& line) { return line.endpoint == "s-2"; }));
}

/// Performs one random step of the property below.
void performRandomStep(PubsubHarness& harness, std::mt19937& random) {
    const auto below = [&](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    auto& client = *harness.clients[below(harness.clients.size())];
    switch (below(12)) {
    case 0:
    case 1:
    case 2:
        harness.runBatch([&] {
            for (std::size_t changes = below(6); changes > 0; --changes) {
                const int number = static_cast<int>(below(60));
                const bool isRemoved = below(4) == 0;
                const std::size_t zone = below(2);
                harness.setWeight(zone, number, isRemoved ? 0 : 1 + static_cast<double>(below(3)));
                if (below(3) == 0) harness.setExcluded(number, isRemoved);
            }
        });
        break;
    case 3: client.disconnect(); break;
    case 4: client.connect(); break;
    case 5: client.isStalled = !client.isStalled; break;
    case 6:
    case 7: client.receive(1 + below(400)); break;
    case 8: harness.runOneSecond(below(2)); break;
    case 9: {
        Frame request{FrameType::Ask};
        request.topic = {static_cast<std::uint16_t>(below(3))};
        request.epoch = harness.server->epoch();
        client.send(encodeFrame(request, false));
        break;
    }
    case 10: harness.runUntilQuiet(); break;
    case 11:
        if (below(6) == 0) harness.restart();
    }
}

/// After any interleaving of changes, disconnects, stalls, slow reads, snapshot requests, restarts and
/// passing time, every replica converges to the log. Throughout, the queue stays bounded and no replica uses
/// an endpoint that it knows to be excluded (PubsubHarness::checkInvariants).
RC_GTEST_PROP(SubscriptionServerProperty, EveryReplicaEndsEqualToItsTable, ()) {
    constexpr std::size_t kProxies = 12;
    const auto zoneOf = [](std::size_t proxy) -> std::size_t { return proxy % 3 ? 0 : 1; };
    PubsubHarness harness;
    for (std::uint16_t proxy = 0; proxy < kProxies; ++proxy)
        harness.addClient(proxy, zoneOf(proxy) == 0 ? "a" : "b");
    harness.addClient(std::nullopt, "a");
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    harness.runBatch([&] {
        for (int number = 0; number < 40; ++number)
            harness.setWeight(static_cast<std::size_t>(number) % 2, number, 1);
    });
    for (int steps = *rc::gen::inRange(0, 250); steps > 0; --steps) performRandomStep(harness, random);
    for (auto& client : harness.clients) {
        client->isStalled = false;
        if (!client->connection) client->connect();
    }
    for (int k = 0; k < 3; ++k) {
        harness.runBatch();
        harness.runUntilQuiet();
        harness.runOneSecond();
    }
    harness.now += 11s; // exclusions announced only by an earlier incarnation have expired
    for (std::size_t index = 0; index < harness.clients.size(); ++index) {
        const std::size_t zone = index < kProxies ? zoneOf(index) : 0;
        RC_ASSERT(harness.isUpToDate(*harness.clients[index], zone));
    }
    RC_ASSERT(harness.violations.empty());
    RC_ASSERT(harness.server->flowControl().lines() == 0U);
}

} // namespace
} // namespace zincstack::pubsub

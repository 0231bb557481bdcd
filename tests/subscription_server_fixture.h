// Fixture for the tests of SubscriptionServer: a PubsubHarness whose invariants are checked at the end of
// each test.
#pragma once

#include <gtest/gtest.h>

#include "pubsub_harness.h"

namespace zincstack::tests {

/// Fails a test in which the harness or the server found an invariant violated.
struct SubscriptionServerFixture : testing::Test, PubsubHarness {
    void TearDown() override {
        EXPECT_TRUE(violations.empty()) << violations.front();
        EXPECT_EQ(counters.of(net::Counter::BrokenInvariant), 0U);
    }
    /// Gives the endpoints 0 to `count` - 1 a weight in the zone's table.
    void addEndpoints(int count, std::size_t zone = 0) {
        runBatch([&] {
            for (int number = 0; number < count; ++number) setWeight(zone, number, 1 + number % 3);
        });
    }
    /// Adds a client and runs until it has joined and received its table.
    Client& addJoinedClient(std::uint16_t proxy) {
        Client& client = addClient(proxy);
        runBatch();
        runUntilQuiet();
        return client;
    }
    /// Adds `count` clients, for the proxies 0 to `count` - 1.
    void addClients(std::uint16_t count) {
        for (std::uint16_t proxy = 0; proxy < count; ++proxy) addClient(proxy);
    }
    /// Sends the client's request for a snapshot of the table of zone 0.
    void requestSnapshot(Client& client) {
        pubsub::Frame request{pubsub::FrameType::Ask};
        request.topic = pubsub::topicOf(tableOf(0));
        request.epoch = server->epoch();
        client.send(encodeFrame(request, false));
    }
    std::uint64_t counted(net::Counter counter) const { return counters.of(counter); }
};

} // namespace zincstack::tests

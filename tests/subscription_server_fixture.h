// The fixture of the tests of SubscriptionServer: a harness whose invariants must hold in each test.
#pragma once

#include <gtest/gtest.h>

#include "pubsub_harness.h"

namespace zincstack::tests {

struct SubscriptionServerFixture : testing::Test, PubsubHarness {
    void TearDown() override {
        EXPECT_TRUE(violations.empty()) << violations.front();
        EXPECT_EQ(counters.of(net::Counter::BrokenInvariant), 0U);
    }
    /// Gives the first `count` endpoints a weight in a zone's table.
    void addEndpoints(int count, std::size_t zone = 0) {
        runBatch([&] {
            for (int number = 0; number < count; ++number) setWeight(zone, number, 1 + number % 3);
        });
    }
    /// A client that has joined and read its table.
    Client& addJoinedClient(std::uint16_t proxy) {
        Client& client = addClient(proxy);
        runBatch();
        runUntilQuiet();
        return client;
    }
    void addClients(std::uint16_t count) {
        for (std::uint16_t proxy = 0; proxy < count; ++proxy) addClient(proxy);
    }
    void requestSnapshot(Client& client) {
        pubsub::Frame ask{pubsub::FrameType::Ask};
        ask.topic = pubsub::topicOf(tableOf(0));
        ask.epoch = server->epoch();
        client.send(encodeFrame(ask, false));
    }
    std::uint64_t counted(net::Counter counter) const { return counters.of(counter); }
};

} // namespace zincstack::tests

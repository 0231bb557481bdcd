// Tests of PubsubService over loopback with the production planner, up to 300 clients in one process, and
// faults from a fixed random seed.
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include "capturing_stream.h"
#include "client/subscription_client.h"
#include "engine/batch_runner.h"
#include "platform/input_translator.h"
#include "platform/peer_session.h"
#include "pubsub/pubsub_service.h"
#include "pubsub/subscriber_session.h"

namespace zincstack {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

struct PubsubServiceTest : testing::Test {
    static constexpr std::size_t kProxies = 300;
    net::BufferPool bufferPool{4096};
    asio::io_context io{1};
    net::Counters counters;
    net::NameRegistry names{{"lookup", "order"}, {"a", "b"}};
    net::BatchRunner* wakeUpTarget = nullptr;
    routing::RoutingState routingState{names, counters, [](EndpointId) {},
                                       [this](Micros span) { wakeUpTarget->scheduleWakeUp(span); }};
    net::UpdateQueue updateQueue{routingState, names, counters};
    ControlChannelLimits channelLimits{200'000, 6, 14'000, 0, 0s, 0s, 0s};
    SafetyLimits safetyLimits{3s, 2s, 0.2, 16s, 4, 3s};
    std::vector<RequestClassConfig> requestClasses{
        {1s, 3s, 3, .1, Idempotency::Idempotent, false, false},
        {1s, 3s, 2, .1, Idempotency::IdempotencyKeyed, false, true}};
    std::unique_ptr<Planner> planner = makePlanner(
        {7, FleetConfig{.zoneCount = 2, .plannerCount = 1, .hasEndpointWeights = true, .reportInterval = 1s},
         ProxyFleetConfig{
             .proxyCount = kProxies, .bootstrapTableSize = 3, .throttleMode = ThrottleMode::Rate},
         channelLimits, safetyLimits, requestClasses},
        routingState);
    net::BatchRunner batchRunner{io, *planner, routingState, counters, 2ms};
    net::InputTranslator inputTranslator{batchRunner, updateQueue, names, counters, kProxies};
    pubsub::SubscriptionServer* server = nullptr;
    pubsub::PubsubService service{
        io, counters, bufferPool,
        [this] {
            auto out = std::make_unique<pubsub::SubscriptionServer>(
                routingState, names, counters,
                pubsub::ServerConfig{
                    .plannerName = "n1",
                    .epoch = pubsub::Epoch{5},
                    .proxyCount = kProxies,
                    .flowControl = {512, 16 * 1024, channelLimits.maxQueuedLines},
                    .leases = {.heartbeatInterval = 1s, .leaseDuration = 60s, .stallTimeout = 60s},
                    .maxTombstones = 100},
                [this]() -> Planner& { return batchRunner.openBatch(); },
                [this] { return batchRunner.now(); });
            server = out.get();
            return out;
        },
        1s};
    std::vector<std::shared_ptr<client::SubscriptionClient>> clients;
    std::set<std::size_t> stalled;
    std::mt19937 random{20261201};
    std::string violation;
    std::map<std::string, pubsub::Sequence> excludedSince; ///< exclusions sequence by drained endpoint

    void SetUp() override {
        wakeUpTarget = &batchRunner;
        alarm(100); // seconds; ends a test that hangs
        service.configure(pubsub::PubsubService::ListenConfig{"127.0.0.1:0", 400});
    }
    void TearDown() override {
        for (auto& subscriber : clients) subscriber->stop();
        io.restart();
        while (io.poll()) {}
        alarm(0);
        EXPECT_EQ(violation, "");
        EXPECT_EQ(counters.of(net::Counter::BrokenInvariant), 0U);
    }
    void updateEndpoints(EndpointListUpdate update, int from, int to, std::string_view phase) {
        std::string all = "[";
        for (int k = from; k < to; ++k)
            all += std::string(k > from ? "," : "") + R"({"id":"s-)" + std::to_string(k) +
                   R"(","host_port":"127.0.0.1:1","locality":")" + (k % 2 ? "a" : "b") + R"(","phase":")" +
                   std::string(phase) + R"(","size":1})";
        ASSERT_TRUE(inputTranslator.updateEndpoints(update, json::read(all + "]")));
    }
    void join(std::size_t from, std::size_t to) {
        for (std::size_t k = from; k < to; ++k) {
            clients.push_back(std::make_shared<client::SubscriptionClient>(
                io, std::vector{*service.address()},
                client::Identity{ProxyId{static_cast<std::uint16_t>(k)}, k % 2 ? "a" : "b", 5},
                client::ReconnectConfig{.initialDelay = 5ms, .maxDelay = 50ms}, k, 10s));
            clients.back()->start();
        }
    }
    std::map<std::string, double> expectedWeights(std::size_t zone) const {
        std::map<std::string, double> weights;
        for (const auto& [table, state] : routingState.tables())
            if (state.zone == ZoneId{static_cast<std::uint8_t>(zone)})
                for (const auto& [endpoint, weight] : state.weights)
                    if (!routingState.excludedEndpoints().contains(endpoint))
                        weights[names.nameOf(endpoint)] = weight;
        return weights;
    }
    bool isUpToDate(std::size_t k) const {
        const auto& replica = clients[k]->subscription().replica();
        const auto* table = replica.tableOf("lookup");
        if (!table || !clients[k]->subscription().usable()) return false;
        std::map<std::string, double> eligible;
        for (const auto& [endpoint, weight] :
             replica.eligibleEndpoints(*table, client::SubscriptionClient::now()))
            eligible[endpoint] = weight;
        const auto expected = expectedWeights(k % 2 ? 0 : 1);
        return !expected.empty() && eligible == expected;
    }
    bool allUpToDate() const {
        for (std::size_t k = 0; k < clients.size(); ++k)
            if (!stalled.contains(k) && !isUpToDate(k)) return false;
        return true;
    }
    /// Checks that the shared queue stays within its limit. Called after each event.
    void checkQueue() {
        const auto lines =
            static_cast<double>(server->flowControl().lines() + routingState.unacknowledgedLines());
        if (lines > 0.95 * channelLimits.maxQueuedLines) violation = "too many unacknowledged lines";
    }
    /// Checks that each client has an eligible endpoint in every table, and none that it knows to be
    /// excluded.
    void checkTables() {
        for (const auto& subscriber : clients) {
            const auto& replica = subscriber->subscription().replica();
            const auto known = replica.at(pubsub::kExclusionsTopic);
            for (const auto& [topic, table] : replica.tables()) {
                const auto eligible = replica.eligibleEndpoints(table, client::SubscriptionClient::now());
                if (eligible.empty()) violation = "a subscribed proxy has no eligible endpoint";
                for (const auto& [endpoint, weight] : eligible)
                    if (const auto excluded = excludedSince.find(endpoint);
                        excluded != excludedSince.end() && known && *known >= excluded->second)
                        violation = "an endpoint known to be excluded is eligible";
            }
        }
    }
    /// Runs the event loop until the condition holds, which is checked after every `checkInterval` events.
    /// The alarm ends the test if the condition never holds.
    void runUntil(const std::function<bool()>& condition, int checkInterval = 200) {
        for (int k = 0;; ++k) {
            io.run_one();
            checkQueue();
            if (k % checkInterval == 0) {
                checkTables();
                if (condition()) return;
            }
        }
    }
    /// Drains endpoints, and records the exclusions sequence from which each of them is excluded.
    void drain(int from, int to) {
        updateEndpoints(EndpointListUpdate::Delta, from, to, "Terminating");
        runUntil([&] {
            for (int k = from; k < to; ++k)
                if (!routingState.excludedEndpoints().contains(*names.endpoint("s-" + std::to_string(k))))
                    return false;
            return true;
        });
        const auto head = server->log(pubsub::kExclusionsTopic)->head();
        for (int k = from; k < to; ++k) excludedSince["s-" + std::to_string(k)] = head;
    }
};

// Clients that disconnect or stop reading must neither keep the others from receiving drains and new
// endpoints, nor miss a change themselves, nor make the shared queue exceed its limit.
TEST_F(PubsubServiceTest, SubscribersConvergeThroughDisconnectsStallsAndDrains) {
    updateEndpoints(EndpointListUpdate::Snapshot, 0, 60, "Ready");
    join(0, kProxies);
    runUntil([&] { return allUpToDate(); });
    // More than one per proxy if a session expires on a slow machine.
    EXPECT_GE(counters.of(net::Counter::Subscriptions), kProxies);

    for (int round = 0; round < 4; ++round) {
        for (std::size_t k = 0; k < kProxies; ++k) { // without running the event loop
            if (random() % 10 == 0) {
                clients[k]->pauseReading(true);
                stalled.insert(k);
            }
            if (random() % 3 == 0) clients[k]->dropConnection();
        }
        drain(round * 5, round * 5 + 3);
        updateEndpoints(EndpointListUpdate::Delta, 60 + round * 4, 64 + round * 4, "Ready");
        runUntil([&] { return allUpToDate(); });
        for (const std::size_t k : std::exchange(stalled, {})) clients[k]->pauseReading(false);
        runUntil([&] { return allUpToDate(); });
    }
    EXPECT_GT(counters.of(net::Counter::Takeovers) + counters.of(net::Counter::StreamsEnded), 100U);
    EXPECT_LE(server->flowControl().maxLinesSeen(),
              static_cast<std::size_t>(0.95 * channelLimits.maxQueuedLines));
}

// Switching the channel off and on must not send snapshots to every client, since their tables are still
// valid.
TEST_F(PubsubServiceTest, ClientsReconnectAfterSuspensionWithoutSnapshots) {
    updateEndpoints(EndpointListUpdate::Snapshot, 0, 20, "Ready");
    join(0, 60);
    runUntil([&] { return allUpToDate(); });
    const std::string address = "127.0.0.1:" + std::to_string(service.address()->port());
    service.configure({});
    EXPECT_FALSE(service.address());
    runUntil([&] {
        return std::ranges::none_of(clients, [](auto& client) { return client->subscription().usable(); });
    });
    for (const auto& subscriber : clients)
        EXPECT_NE(subscriber->subscription().replica().tableOf("lookup"), nullptr);
    const auto snapshots = counters.of(net::Counter::Snapshots);
    service.configure(pubsub::PubsubService::ListenConfig{address, 400});
    updateEndpoints(EndpointListUpdate::Delta, 20, 22, "Ready");
    runUntil([&] { return allUpToDate(); });
    EXPECT_EQ(counters.of(net::Counter::Snapshots), snapshots);
}

/// A proxy that has joined over both transports must be served by its newest session only. The late end of
/// the older session must not be taken for the proxy leaving.
TEST_F(PubsubServiceTest, ProxyOnBothTransportsIsServedByNewestSession) {
    tests::CapturingStream reader;
    updateEndpoints(EndpointListUpdate::Snapshot, 0, 4, "Ready");
    net::PeerSession session(inputTranslator, counters, bufferPool, reader, [] {});
    session.feed("hello proxy=1 zone=a weight=5 fresh=1\r\n");
    runUntil([&] { return reader.received.find("replace=1") != std::string::npos; }, 1);
    join(1, 2);
    runUntil([&] { return clients[0]->subscription().replica().tableOf("lookup") != nullptr; }, 1);
    EXPECT_TRUE(reader.wasReplaced);
    session.connectionClosed(); // the proxy still has its newer session
    const auto receivedBytes = reader.received.size();
    updateEndpoints(EndpointListUpdate::Delta, 4, 5, "Ready");
    runUntil(
        [&] {
            const auto* table = clients[0]->subscription().replica().tableOf("lookup");
            return table && table->weights.size() == 5;
        },
        1);
    EXPECT_EQ(reader.received.size(), receivedBytes);
    // The reverse: a session of the platform transport takes over, and the channel's client gets the reason.
    tests::CapturingStream second;
    net::PeerSession again(inputTranslator, counters, bufferPool, second, [] {});
    again.feed("hello proxy=1 zone=a weight=5 fresh=0\r\n");
    // Checked after each event, because the client reconnects.
    runUntil([&] { return clients[0]->subscription().disconnectNotice().has_value(); }, 1);
    EXPECT_NE(clients[0]->subscription().disconnectNotice()->reason.find("newer stream"), std::string::npos);
    clients[0]->stop();
    runUntil([&] { return second.received.find("replace=1") != std::string::npos; }, 1);
    again.connectionClosed();
}

/// A pending write can keep a connection alive after its subscriber was destroyed, and the listener still
/// calls its session.
TEST_F(PubsubServiceTest, ClosedSessionIsNotProvisionalAndAcceptsNoInput) {
    const auto block = bufferPool.take();
    net::Connection connection(asio::ip::tcp::socket(io), counters, bufferPool, block, 1024);
    const auto session = pubsub::makeSubscriberSession(*server, connection);
    EXPECT_TRUE(session->isProvisional());
    session->connectionClosed();
    EXPECT_FALSE(session->isProvisional());
    EXPECT_FALSE(session->joinDeadlineExpired(false));
    EXPECT_FALSE(session->feed("x"));
    session->connectionClosed();
    EXPECT_EQ(server->subscriberCount(), 0U);
}

// Connections with other protocols or invalid frames must be closed with a reason, without effect on other
// clients.
TEST_F(PubsubServiceTest, ClosesConnectionsThatViolateProtocolWithReason) {
    updateEndpoints(EndpointListUpdate::Snapshot, 0, 10, "Ready");
    join(0, 20);
    runUntil([&] { return allUpToDate(); });
    std::vector<asio::ip::tcp::socket> violators;
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(3000, '\xff'),
                                     std::string("\0\0\0\x24\1", 5), std::string()}) {
        violators.emplace_back(io).connect(*service.address());
        asio::write(violators.back(), asio::buffer(bytes));
    }
    const auto before = counters.of(net::Counter::Closed);
    updateEndpoints(EndpointListUpdate::Delta, 10, 12, "Ready");
    runUntil([&] { return allUpToDate() && counters.of(net::Counter::Closed) >= before + 4; });
    for (std::size_t k = 0; k < 4; ++k) {
        std::string received;
        boost::system::error_code error;
        asio::read(violators[k], asio::dynamic_buffer(received), error);
        EXPECT_NE(received.find("reason"), std::string::npos) << k;
    }
}

} // namespace
} // namespace zincstack

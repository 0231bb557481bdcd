// Test harness for the pub-sub channel without sockets: routing state, server and any number of clients on
// in-memory connections that a test can close, stall and slow down, with a clock that the test advances. The
// invariants are checked after every batch, every round of reads and every simulated second.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "client/subscription.h"
#include "pubsub/subscription_server.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

/// Test double of the planner. Records its inputs and the proxies that have joined but have no table yet,
/// which PubsubHarness::runBatch assigns to the table of their zone.
struct ZoneTablePlanner : Planner {
    std::map<ProxyId, ZoneId> unassignedProxies;
    std::set<ProxyId> joined;
    std::vector<BarrierId> acknowledgedBarriers;
    std::vector<std::string> inputs; ///< joins, leaves and demand reports as text, in order of arrival

    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate, std::span<const EndpointUpdate>) override {}
    void proxyJoined(ProxyId proxy, ZoneId zone, double, bool onlyBootstrapTable) override {
        unassignedProxies[proxy] = zone;
        joined.insert(proxy);
        inputs.push_back("joined " + std::to_string(proxy.value) + (onlyBootstrapTable ? " fresh" : ""));
    }
    void proxyLeft(ProxyId proxy) override {
        unassignedProxies.erase(proxy);
        joined.erase(proxy);
        inputs.push_back("left " + std::to_string(proxy.value));
    }
    void reportLoad(const EndpointLoadReport&) override {}
    void reportDemand(const DemandReport& demand) override {
        inputs.push_back("usage " + std::to_string(demand.requestClass.value) + " " +
                         std::to_string(demand.requests));
    }
    void barrierAcknowledged(ProxyId, BarrierId barrier) override { acknowledgedBarriers.push_back(barrier); }
    void probeCompleted(const ProbeResult&) override {}
    void timerExpired() override {}
    void decide() override {}
};

/// A planner's pub-sub server with in-memory clients. The server uses the values that `flowControlLimits`,
/// `leases`, `incarnation` and `maxTombstones` have when it is started.
struct PubsubHarness {
    static constexpr std::size_t kZones = 2;
    static constexpr std::size_t kMaxQueuedBytes = 64 * 1024; ///< per connection, from server to client
    static constexpr std::size_t kReadAll = 1 << 20;
    static constexpr std::uint32_t kProxyCount = 2000;

    Micros now{1h};
    net::Counters counters;
    net::NameRegistry names{{"lookup", "order"}, {"a", "b"}};
    ZoneTablePlanner planner;
    routing::RoutingState routingState{names, counters, [](EndpointId) {}, [](Micros) {}};
    pubsub::FlowControlLimits flowControlLimits{
        .maxLinesPerSubscriber = 300, .maxBytesPerSubscriber = 16 * 1024, .maxQueuedLines = 4000};
    pubsub::LeaseConfig leases{};
    std::uint64_t incarnation = 1;
    std::size_t maxTombstones = 50;
    std::unique_ptr<pubsub::SubscriptionServer> server;
    std::uint16_t lastBarrier = 0;
    std::vector<std::string> violations; ///< violated invariants, in order of detection
    /// The excluded endpoints and the sequence, in this incarnation, from which each is excluded.
    std::map<std::string, pubsub::Sequence> excludedSince;
    enum class Direction { ToSubscriber, FromSubscriber };
    /// If set, called with all bytes that either side writes to a connection. Connections are numbered in the
    /// order in which they were opened.
    std::function<void(std::size_t connection, Direction, std::string_view bytes)> onBytes;
    std::size_t connectionsOpened = 0;

    PubsubHarness() { startServer(); }
    ~PubsubHarness() {
        for (auto& connection : connections) connection->end();
    }
    /// Starts a server with the current limits and incarnation, replacing the previous one if one is running.
    void startServer() {
        const pubsub::ServerConfig config{
            "n1", pubsub::Epoch{incarnation}, kProxyCount, flowControlLimits, leases, maxTombstones};
        server = std::make_unique<pubsub::SubscriptionServer>(
            routingState, names, counters, config, [this]() -> Planner& { return planner; },
            [this] { return now; });
    }

    /// An in-memory connection. Holds the bytes that the server has written and the client has not read.
    /// Bytes from the client are handled by the server immediately.
    struct Connection : pubsub::FrameTarget {
        explicit Connection(PubsubHarness& owner)
            : harness(owner), number(owner.connectionsOpened++),
              subscriber(&owner.server->sessionOpened(*this)) {}
        bool push(const pubsub::SharedFrame& frame) override {
            if (!isOpen) return true;
            if (toClient.size() > kMaxQueuedBytes) return false;
            if (harness.onBytes) harness.onBytes(number, Direction::ToSubscriber, *frame);
            toClient += *frame;
            return true;
        }
        void close(std::string closingMessage) override {
            if (isOpen && harness.onBytes) harness.onBytes(number, Direction::ToSubscriber, closingMessage);
            if (isOpen) toClient += closingMessage;
            isOpen = false;
        }
        /// Closes the connection from the client's side and reports the end of the session to the server.
        void end() {
            isOpen = false;
            if (subscriber) harness.server->sessionClosed(*std::exchange(subscriber, nullptr));
        }
        PubsubHarness& harness;
        std::size_t number;
        std::string toClient;
        bool isOpen = true;
        pubsub::FrameReader reader{pubsub::kMaxClientFrameBytes};
        pubsub::Subscriber* subscriber;
    };
    std::vector<std::shared_ptr<Connection>> connections;

    /// A subscriber or an observer with at most one connection to the harness's server.
    struct Client {
        Client(PubsubHarness& owner, std::optional<std::uint16_t> proxy, std::string zone)
            : harness(&owner),
              subscription({proxy ? std::optional(ProxyId{*proxy}) : std::nullopt, zone, 5}, 10s) {}
        PubsubHarness* harness;
        client::Subscription subscription;
        std::shared_ptr<Connection> connection;
        bool isStalled = false; ///< if true, `receive` reads nothing

        void connect() {
            if (connection) disconnect();
            connection = std::make_shared<Connection>(*harness);
            harness->connections.push_back(connection);
            send(subscription.connected(harness->now));
        }
        void disconnect() {
            if (!connection) return;
            const auto old = std::exchange(connection, nullptr);
            old->end();
            std::erase(harness->connections, old);
            subscription.connectionClosed();
        }
        void send(std::string_view bytes) {
            if (!connection || !connection->subscriber) return;
            const auto from = connection;
            if (harness->onBytes && !bytes.empty())
                harness->onBytes(from->number, Direction::FromSubscriber, bytes);
            const auto fault = from->reader.feed(bytes, [&](pubsub::Frame& frame) {
                return from->subscriber && harness->server->handleFrame(*from->subscriber, frame);
            });
            if (fault && from->subscriber) harness->server->protocolError(*from->subscriber, *fault);
        }
        /// Reads up to `maxBytes`, unless the client is stalled. Disconnects if the session has ended, and
        /// then connects again if `reconnects` is set.
        void receive(std::size_t maxBytes = kReadAll, bool reconnects = true) {
            if (!connection || isStalled) return;
            const std::string received = connection->toClient.substr(0, maxBytes);
            connection->toClient.erase(0, received.size());
            send(subscription.feed(received, harness->now));
            if (subscription.usable() && (connection->isOpen || !connection->toClient.empty())) return;
            disconnect();
            if (reconnects) connect();
        }
        bool hasUnreadBytes() const { return connection && !connection->toClient.empty(); }
        const pubsub::Replica& replica() const { return subscription.replica(); }
        const pubsub::RoutingTable* table() const { return replica().tableOf("lookup"); }
    };
    std::vector<std::unique_ptr<Client>> clients;

    /// Adds a client and connects it. A client without a proxy is an observer.
    Client& addClient(std::optional<std::uint16_t> proxy, std::string zone = "a") {
        clients.push_back(std::make_unique<Client>(*this, proxy, std::move(zone)));
        clients.back()->connect();
        return *clients.back();
    }
    static TableId tableOf(std::size_t zone) { return {static_cast<std::uint16_t>(zone)}; }
    static std::string endpointName(int number) { return "s-" + std::to_string(number); }
    EndpointId endpoint(int number) { return names.registerEndpoint(endpointName(number)); }
    /// Runs one batch of the planner: applies the changes, assigns tables to the proxies that have joined,
    /// requests a barrier.
    void runBatch(const std::function<void()>& changes = {}) {
        if (changes) changes();
        for (const auto& [proxy, zone] : std::exchange(planner.unassignedProxies, {}))
            routingState.assignTable(proxy, 0, tableOf(zone.value));
        ++lastBarrier;
        routingState.requestBarrier({lastBarrier}, false);
        routingState.flush(now);
        checkInvariants();
    }
    void setWeight(std::size_t zone, int number, double weight) {
        routingState.setWeight(tableOf(zone), endpoint(number), weight);
    }
    void setExcluded(int number, bool excluded) {
        routingState.setExcluded(endpoint(number), excluded);
        if (excluded)
            excludedSince[endpointName(number)] = server->log(pubsub::kExclusionsTopic)->head();
        else
            excludedSince.erase(endpointName(number));
    }
    /// Lets every client read and acknowledge until only stalled clients have unread bytes. Records a
    /// violation if that takes more than kMaxRounds.
    void runUntilQuiet() {
        constexpr int kMaxRounds = 400;
        for (int round = 0; round < kMaxRounds; ++round) {
            bool hasProgress = false;
            for (auto& client : clients) {
                hasProgress |= client->hasUnreadBytes() && !client->isStalled;
                client->receive();
            }
            routingState.flush(now);
            checkInvariants();
            if (!hasProgress) return;
        }
        violations.emplace_back("clients still have unread bytes after " + std::to_string(kMaxRounds) +
                                " rounds");
    }
    /// Advances the clock by one second with its heartbeats, lease checks and acknowledgement timeouts.
    void runOneSecond(bool isReading = true) {
        for (std::uint32_t k = 0; k < pubsub::SubscriptionServer::kTicksPerHeartbeat; ++k) {
            now += 100ms;
            server->tick();
            for (auto& client : clients) {
                client->send(client->subscription.tick(now));
                if (isReading) client->receive();
            }
        }
        checkInvariants();
    }
    /// Simulates a planner that is killed: a new incarnation starts with the same tables and no exclusions.
    void restart() {
        for (auto& client : clients) client->disconnect();
        for (auto& connection : std::exchange(connections, {})) connection->end();
        server.reset();
        ++incarnation;
        excludedSince.clear();
        for (const auto& excluded : std::set(routingState.excludedEndpoints()))
            routingState.setExcluded(excluded, false);
        startServer();
    }

    /// The weights in the zone's table, by endpoint name. Empty if the zone has no table.
    std::map<std::string, double> expectedWeights(std::size_t zone) const {
        std::map<std::string, double> expected;
        const auto found = routingState.tables().find(tableOf(zone));
        if (found == routingState.tables().end()) return expected;
        for (const auto& [endpointId, weight] : found->second.weights)
            expected[names.nameOf(endpointId)] = weight;
        return expected;
    }
    /// Whether the client has exactly the zone's table and knows which of its endpoints are excluded.
    bool isUpToDate(const Client& client, std::size_t zone) const {
        const auto* table = client.table();
        const auto expected = expectedWeights(zone);
        if (!table || table->weights != expected) return false;
        return std::ranges::all_of(expected, [&](const auto& item) {
            const bool isExcluded = routingState.excludedEndpoints().contains(*names.endpoint(item.first));
            return client.replica().isExcluded(item.first, now) == isExcluded;
        });
    }
    /// Records the violation unless the condition holds.
    void expect(bool holds, const char* violation) {
        if (!holds) violations.emplace_back(violation);
    }
    /// Checks that the queues are within their limits and that no replica of this epoch uses an endpoint that
    /// it knows to be excluded.
    void checkInvariants() {
        const std::size_t lines = server->flowControl().lines() + routingState.unacknowledgedLines();
        expect(static_cast<double>(lines) <= 0.95 * flowControlLimits.maxQueuedLines,
               "queued and unacknowledged lines exceed 95 % of maxQueuedLines");
        for (const auto& connection : connections)
            expect(connection->toClient.size() <= 3 * flowControlLimits.maxBytesPerSubscriber + 4096,
                   "bytes queued to one subscriber exceed 3 * maxBytesPerSubscriber + 4096");
        for (const auto& client : clients)
            if (client->replica().epoch() == server->epoch()) checkExclusions(client->replica());
    }
    /// Checks that no endpoint is eligible that the replica knows to be excluded.
    void checkExclusions(const pubsub::Replica& replica) {
        const auto known = replica.at(pubsub::kExclusionsTopic);
        for (const auto& [topic, table] : replica.tables())
            for (const auto& [name, weight] : replica.eligibleEndpoints(table, now)) {
                const auto excluded = excludedSince.find(name);
                expect(excluded == excludedSince.end() || !known || *known < excluded->second,
                       "an endpoint is eligible that the replica knows to be excluded");
            }
    }
};

} // namespace zincstack::tests

// A planner's channel without sockets: the order book, the hub and any number of front ends on pipes that a test
// can cut, stall and starve, under a clock that the test moves. Rules are looked at after every step.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "client/subscription.h"
#include "pubsub/subscription_server.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

/// Binds whoever joins to the table of its zone and closes every batch with a mark, as the module does.
struct SmallPlanner : Planner {
    std::map<ProxyId, ZoneId> unbound;
    std::set<ProxyId> in;
    std::vector<BarrierId> applications;
    std::vector<std::string> seen;
    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate, std::span<const EndpointUpdate>) override {}
    void proxyJoined(ProxyId proxy, ZoneId zone, double, bool fresh) override {
        unbound[proxy] = zone;
        in.insert(proxy);
        seen.push_back("joined " + std::to_string(proxy.value) + (fresh ? " fresh" : ""));
    }
    void proxyLeft(ProxyId proxy) override {
        unbound.erase(proxy);
        in.erase(proxy);
        seen.push_back("left " + std::to_string(proxy.value));
    }
    void reportLoad(const EndpointLoadReport&) override {}
    void reportDemand(const DemandReport& line) override {
        seen.push_back("usage " + std::to_string(line.requestClass.value) + " " +
                       std::to_string(line.requests));
    }
    void barrierAcknowledged(ProxyId, BarrierId mark) override { applications.push_back(mark); }
    void probeCompleted(const ProbeResult&) override {}
    void timerExpired() override {}
    void decide() override {}
};

struct Yard {
    static constexpr std::size_t kZones = 2;
    Micros now{1h};
    net::Counters counters;
    net::NameRegistry names{{"lookup", "order"}, {"a", "b"}};
    SmallPlanner planner;
    routing::RoutingState book{names, counters, [](EndpointId) {}, [](Micros) {}};
    pubsub::FlowControlLimits pace{
        .maxLinesPerSubscriber = 300, .maxBytesPerSubscriber = 16 * 1024, .maxQueuedLines = 4000};
    pubsub::LeaseConfig leases{};
    std::uint64_t life = 1;
    std::size_t tombstones = 50;
    std::unique_ptr<pubsub::SubscriptionServer> hub;
    std::uint16_t marks = 0;
    std::vector<std::string> broken;
    std::map<std::string, pubsub::Sequence> outAt; // withdrawn servers: since which sequence of this life
    enum class Direction { ToSubscriber, FromSubscriber };
    /// Called with everything that is written to a stream by either side, if it is set. Streams are numbered in
    /// the order in which they were opened.
    std::function<void(std::size_t stream, Direction, std::string_view bytes)> onBytes;
    std::size_t streamsOpened = 0;

    Yard() { open(); }
    ~Yard() {
        for (auto& one : ends) one->gone();
    }
    void open() {
        hub = std::make_unique<pubsub::SubscriptionServer>(
            book, names, counters,
            pubsub::ServerConfig{"n1", pubsub::Epoch{life}, 2000, pace, leases, tombstones},
            [this]() -> Planner& { return planner; }, [this] { return now; });
    }

    /// One stream: what the planner wrote and the front end has not read, and the other way.
    struct End : pubsub::FrameTarget {
        explicit End(Yard& its)
            : yard(its), number(its.streamsOpened++), subscriber(&its.hub->sessionOpened(*this)) {}
        bool push(const pubsub::SharedFrame& frame) override {
            if (!up) return true;
            if (toClient.size() > most) return false;
            if (yard.onBytes) yard.onBytes(number, Direction::ToSubscriber, *frame);
            toClient += *frame;
            return true;
        }
        void close(std::string words) override {
            if (up && yard.onBytes) yard.onBytes(number, Direction::ToSubscriber, words);
            if (up) toClient += words;
            up = false;
        }
        void gone() {
            up = false;
            if (subscriber) yard.hub->sessionClosed(*std::exchange(subscriber, nullptr));
        }
        Yard& yard;
        std::size_t number;
        std::string toClient;
        std::size_t most = 64 * 1024;
        bool up = true;
        pubsub::FrameReader reader{pubsub::kMaxClientFrameBytes};
        pubsub::Subscriber* subscriber;
    };
    std::vector<std::shared_ptr<End>> ends;

    struct Client {
        Client(Yard& its, std::optional<std::uint16_t> proxy, std::string zone)
            : yard(&its),
              subscription({proxy ? std::optional(ProxyId{*proxy}) : std::nullopt, zone, 5}, 10s) {}
        Yard* yard;
        client::Subscription subscription;
        std::shared_ptr<End> end;
        bool stalled = false;

        void dial() {
            if (end) cut();
            end = std::make_shared<End>(*yard);
            yard->ends.push_back(end);
            say(subscription.connected(yard->now));
        }
        void cut() {
            if (!end) return;
            const auto old = std::exchange(end, nullptr);
            old->gone();
            std::erase(yard->ends, old);
            subscription.connectionClosed();
        }
        void say(std::string_view bytes) {
            if (!end || !end->subscriber) return;
            const auto from = end;
            if (yard->onBytes && !bytes.empty())
                yard->onBytes(from->number, Direction::FromSubscriber, bytes);
            const auto fault = from->reader.feed(bytes, [&](pubsub::Frame& frame) {
                return from->subscriber && yard->hub->handleFrame(*from->subscriber, frame);
            });
            if (fault && from->subscriber) yard->hub->protocolError(*from->subscriber, *fault);
        }
        /// Reads at most so many bytes; dials again where the stream is spent.
        void read(std::size_t most = 1 << 20, bool redials = true) {
            if (!end || stalled) return;
            const std::string got = end->toClient.substr(0, most);
            end->toClient.erase(0, got.size());
            say(subscription.feed(got, yard->now));
            if (subscription.usable() && (end->up || !end->toClient.empty())) return;
            cut();
            if (redials) dial();
        }
        const pubsub::Replica& replica() const { return subscription.replica(); }
        const pubsub::RoutingTable* table() const { return replica().tableOf("lookup"); }
    };
    std::vector<std::unique_ptr<Client>> clients;

    Client& add(std::optional<std::uint16_t> proxy, std::string zone = "a") {
        clients.push_back(std::make_unique<Client>(*this, proxy, std::move(zone)));
        clients.back()->dial();
        return *clients.back();
    }
    static TableId tableOf(std::size_t zone) { return {static_cast<std::uint16_t>(zone)}; }
    EndpointId server(int k) { return names.registerEndpoint("s-" + std::to_string(k)); }
    /// One batch of the planner's: orders, those that joined bound, a mark.
    void batch(const std::function<void()>& orders = {}) {
        if (orders) orders();
        for (const auto& [proxy, zone] : std::exchange(planner.unbound, {}))
            book.assignTable(proxy, 0, tableOf(zone.value));
        book.requestBarrier({++marks}, false);
        book.flush(now);
        check();
    }
    void line(std::size_t zone, int k, double weight) { book.setWeight(tableOf(zone), server(k), weight); }
    void withdraw(int k, bool out) {
        book.setExcluded(server(k), out);
        if (out)
            outAt["s-" + std::to_string(k)] = hub->log(pubsub::kExclusionsTopic)->head();
        else
            outAt.erase("s-" + std::to_string(k));
    }
    /// All read and answer until nothing more moves.
    void settle() {
        for (int turns = 0; turns < 400; ++turns) {
            bool moved = false;
            for (auto& one : clients) {
                moved |= one->end && !one->end->toClient.empty() && !one->stalled;
                one->read();
            }
            book.flush(now);
            check();
            if (!moved) return;
        }
        broken.emplace_back("nothing settles");
    }
    /// A second passes: beats, leases, stalls.
    void second(bool reading = true) {
        for (std::uint32_t k = 0; k < pubsub::SubscriptionServer::kTicksPerHeartbeat; ++k) {
            now += 100ms;
            hub->tick();
            for (auto& one : clients) {
                one->say(one->subscription.tick(now));
                if (reading) one->read();
            }
        }
        check();
    }
    /// The planner is killed; another life begins with the same tables, or with none.
    void restart() {
        for (auto& one : clients) one->cut();
        for (auto& one : std::exchange(ends, {})) one->gone();
        hub.reset();
        ++life;
        outAt.clear();
        for (const auto& server : std::set(book.excludedEndpoints())) book.setExcluded(server, false);
        open();
    }

    std::map<std::string, double> ordered(std::size_t zone) const {
        std::map<std::string, double> out;
        if (const auto at = book.tables().find(tableOf(zone)); at != book.tables().end())
            for (const auto& [server, weight] : at->second.weights) out[names.nameOf(server)] = weight;
        return out;
    }
    bool same(const Client& one, std::size_t zone) const {
        const auto* table = one.table();
        const auto wanted = ordered(zone);
        if (!table || table->weights != wanted) return false;
        for (const auto& [server, weight] : wanted)
            if (one.replica().isExcluded(server, now) !=
                book.excludedEndpoints().contains(*names.endpoint(server)))
                return false;
        return true;
    }
    void expect(bool holds, const char* what) {
        if (!holds) broken.emplace_back(what);
    }
    void check() {
        const auto& pacing = hub->flowControl();
        expect(static_cast<double>(pacing.lines() + book.unacknowledgedLines()) <= 0.95 * pace.maxQueuedLines,
               "short queue: too many lines wait");
        for (const auto& one : ends)
            expect(one->toClient.size() <= 3 * pace.maxBytesPerSubscriber + 4096,
                   "too much waits for one subscriber");
        for (const auto& one : clients) {
            if (one->replica().epoch() != hub->epoch()) continue;
            const auto known = one->replica().at(pubsub::kExclusionsTopic);
            for (const auto& [topic, table] : one->replica().tables())
                for (const auto& [server, weight] : one->replica().eligibleEndpoints(table, now)) {
                    const auto out = outAt.find(server);
                    expect(out == outAt.end() || !known || *known < out->second,
                           "drains kept: a server is picked that is known to be withdrawn");
                }
        }
    }
};

} // namespace zincstack::tests

// An independent model of a whole fleet of proxies on one planner's streams: it reads the bytes that the planner
// writes, reckons the planner's channel and what each proxy may pick as the protocol page states them, and checks
// the rules after every step. It shares no code with the planner beyond the interface that it drives.
#pragma once

#include <algorithm>
#include <bitset>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "planner/planner.h"
#include "platform/update_queue.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

/// The figures of one simulated deployment. Lines are counted as on the wire: heads included.
struct FleetFigures {
    std::uint16_t proxies = 2400;
    std::uint8_t zones = 3;
    double linesPerSecond = 6800;
    double queueMost = 62'400;
    double headLines = 6;
    double slowdown = 1; ///< the channel takes so many times longer than the settings say
    Micros meanTransit = 250ms;
    Micros drainGrace = 10'100ms;
    Micros bareMost = 14'700ms;
    std::uint32_t standingLines = 6;
    std::uint32_t messagesMost = 0; ///< to one proxy within ten seconds; 0: no such limit
    std::uint64_t seed = 1;
};

class Fleet {
public:
    static constexpr std::size_t kServersMost = 1024;
    using ServerSet = std::bitset<kServersMost>;
    static constexpr std::size_t kProducts = 3;

    explicit Fleet(const FleetFigures& figures)
        : terms(figures), random(figures.seed),
          names({"lookup", "hold", "confirm"}, zoneNames(figures.zones)),
          book(
              names, counters, [this](EndpointId server) { probes.push_back(server); }, [](Micros) {},
              channelTerms(figures)),
          outbox(std::make_unique<net::UpdateQueue>(book, names, counters)) {
        const FleetConfig fleet{.zoneCount = terms.zones,
                                .plannerCount = 5,
                                .hasEndpointWeights = true,
                                .probingAllowed = true,
                                .reportInterval = 1s};
        const ProxyFleetConfig forwarders{.proxyCount = terms.proxies,
                                          .bootstrapTableSize = terms.standingLines,
                                          .throttleMode = ThrottleMode::Rate};
        const ControlChannelLimits channel = channelTerms(terms);
        const SafetyLimits guards{terms.bareMost, terms.drainGrace, 0.2, 16s, 4, 3s};
        const std::vector<RequestClassConfig> products{
            {1s, 3s, 3, .1, Idempotency::Idempotent, false, false},
            {1s, 4s, 2, .1, Idempotency::IdempotencyKeyed, false, true},
            {1s, 2s, 3, .1, Idempotency::NonIdempotent, false, true}};
        planner = makePlanner(terms.seed, fleet, forwarders, channel, guards, products, book);
        startedAt = now;
    }

    // ---- the list of servers ------------------------------------------------------------------------------

    /// A server that was ready long ago, as far as the planner's first list knows.
    std::size_t addServer(EndpointState state = EndpointState::Ready, Micros startedUp = 0us) {
        const std::size_t server = servers.size();
        servers.push_back({names.registerEndpoint("s-" + std::to_string(server)), state, startedUp, {}});
        return server;
    }
    void tellWholeList(EndpointListUpdate news = EndpointListUpdate::Snapshot) {
        std::vector<EndpointUpdate> entries;
        for (const Server& one : servers)
            if (one.state != EndpointState::Removed) entries.push_back(entryOf(one));
        batch([&] { planner->updateEndpoints(news, entries); });
    }
    /// Discovery tells of all these changes at once.
    void tellChanges(const std::vector<std::pair<std::size_t, EndpointState>>& changes) {
        std::vector<EndpointUpdate> entries;
        for (const auto& [server, state] : changes) {
            Server& one = servers[server];
            if (state != EndpointState::Ready && !one.endToldAt) one.endToldAt = now;
            one.state = state;
            entries.push_back(entryOf(one));
        }
        batch([&] { planner->updateEndpoints(EndpointListUpdate::Delta, entries); });
    }
    std::size_t startServer() {
        const std::size_t server = addServer(EndpointState::Ready, now);
        tellChanges({{server, EndpointState::Ready}});
        return server;
    }

    // ---- streams ------------------------------------------------------------------------------------------

    /// The proxy dials in with the table that it holds, or with nothing but a standing one.
    void join(std::uint16_t proxy, const ServerSet& holds, bool fresh) {
        Proxy& one = proxies[proxy];
        one.stream = std::make_unique<Stream>(*this, proxy);
        one.generation = ++generations;
        one.writtenAt.clear();
        one.zone = static_cast<std::uint8_t>(proxy % terms.zones);
        one.joinedAt = now;
        one.bareSince.reset();
        one.holds.fill(holds);
        const ProxyId id{proxy};
        outbox->sessionOpened(id, {one.zone}, *one.stream);
        batch([&] { planner->proxyJoined(id, {one.zone}, rateOf(proxy), fresh); });
    }
    void leave(std::uint16_t proxy) {
        const auto found = proxies.find(proxy);
        if (found == proxies.end()) return;
        const ProxyId id{proxy};
        outbox->sessionClosed(id, *found->second.stream);
        proxies.erase(found);
        batch([&] { planner->proxyLeft(id); });
    }
    /// It reads nothing and answers nothing from now on, or goes on with what came meanwhile.
    void stall(std::uint16_t proxy, bool stalled) { proxies.at(proxy).stalled = stalled; }

    // ---- time ---------------------------------------------------------------------------------------------

    void tick() {
        now += kTick;
        transmit();
        open();
        deliver();
        if (lastDecision + kBeat <= now) pending = true;
        close();
        check();
    }
    void pass(Micros span) {
        for (const Micros end = now + span; now < end;) tick();
    }
    /// Each proxy met each server that it may pick, and all went well.
    void reportWell() {
        report([](std::size_t) { return false; });
    }
    /// The same, but what was tried at the sick failed.
    void report(const auto& sick) {
        open();
        for (std::size_t server = 0; server < servers.size(); ++server)
            if (servers[server].state == EndpointState::Ready)
                for (std::uint8_t zone = 0; zone < terms.zones; ++zone)
                    planner->reportLoad(
                        {servers[server].id, {zone}, 20, sick(server) ? 18U : 0U, 200ms, 1s, {}});
        for (const auto& [id, one] : proxies)
            for (std::uint16_t product = 0; product < kProducts; ++product)
                planner->reportDemand({{id}, {product}, static_cast<std::uint32_t>(rateOf(id)), 0, 1s});
        pending = true;
    }

    /// Every server that was probed says nothing in time.
    void probesTimeOut() {
        open();
        for (const EndpointId server : std::exchange(probes, {}))
            planner->probeCompleted({server, ProbeStatus::TimedOut, 1s, {}});
        pending = true;
    }

    /// Every server that was probed answers at once.
    void probesAreAnswered() {
        open();
        for (const EndpointId server : std::exchange(probes, {}))
            planner->probeCompleted({server, ProbeStatus::Answered, 5ms, {}});
        pending = true;
    }

    // ---- what was seen ------------------------------------------------------------------------------------

    ServerSet readyServers() const {
        ServerSet out;
        for (std::size_t k = 0; k < servers.size(); ++k) out[k] = servers[k].state == EndpointState::Ready;
        return out;
    }

    FleetFigures terms;
    Micros now{1000s};
    std::mt19937_64 random;
    std::map<std::string, std::pair<int, std::string>> broken; ///< by rule: how often, and the first case
    /// Called with everything that is written to a proxy's stream, if it is set.
    std::function<void(std::uint16_t proxy, std::string_view bytes)> onBytes;

private:
    static constexpr Micros kMessagesOver = 10s;
    static constexpr Micros kTick = 20ms, kBeat = 100ms, kSlack = 300ms, kFirstSecond = 1s;

    struct Server {
        EndpointId id;
        EndpointState state;
        Micros upSince;
        std::optional<Micros> endToldAt;
    };
    struct Stream : net::PushStream {
        Stream(Fleet& its, std::uint16_t of) : fleet(its), proxy(of) {}
        bool push(std::string_view bytes) override {
            fleet.written(proxy, bytes);
            return true;
        }
        bool idle() const override { return true; }
        void replaced() override {}
        Fleet& fleet;
        std::uint16_t proxy;
    };
    struct Proxy {
        std::unique_ptr<Stream> stream;
        std::uint64_t generation = 0;
        std::uint8_t zone = 0;
        Micros joinedAt{};
        bool stalled = false;
        std::array<ServerSet, kProducts> holds;
        ServerSet shutOut;
        std::optional<Micros> bareSince;
        std::vector<std::string> unread = {};
        std::deque<Micros> writtenAt = {};
    };
    struct Message {
        std::uint16_t proxy;
        std::uint64_t generation;
        double lines;
        std::string text;
        Micros due{};
    };

    static ControlChannelLimits channelTerms(const FleetFigures& of) {
        return {of.linesPerSecond, of.headLines,   of.queueMost,      of.messagesMost,
                kMessagesOver,     of.meanTransit, 2 * of.meanTransit};
    }
    static std::vector<std::string> zoneNames(std::uint8_t zones) {
        std::vector<std::string> out;
        for (int k = 0; k < zones; ++k) out.push_back(std::string(1, static_cast<char>('a' + k)));
        return out;
    }
    EndpointUpdate entryOf(const Server& one) const {
        const auto zone = static_cast<std::uint8_t>(one.id.value % terms.zones);
        return {one.id, one.state, one.upSince, 1, {0}, {zone}};
    }
    static double rateOf(std::uint16_t proxy) { return proxy % 20 == 0 ? 30 : 2; }

    void open() {
        if (!std::exchange(isOpen, true)) planner->beginBatch(now);
    }
    void batch(const auto& input) {
        open();
        input();
        pending = true;
    }
    void close() {
        if (!std::exchange(isOpen, false) || !std::exchange(pending, false)) return;
        planner->beginBatch(now);
        planner->decide();
        lastDecision = now;
        book.flush(now);
    }

    static void eachPart(std::string_view text, char separator, const auto& part) {
        while (!text.empty()) {
            const auto end = text.find(separator);
            part(text.substr(0, end));
            text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        }
    }
    static double partsOf(std::string_view list) {
        return list.empty() ? 0 : 1 + static_cast<double>(std::ranges::count(list, ','));
    }
    /// The words of the message's lines; a message is one or more `push` lines, all but the last with `part=1`.
    static void eachWord(std::string_view text, const auto& word) {
        eachPart(text, '\n', [&](std::string_view line) {
            if (line.ends_with('\r')) line.remove_suffix(1);
            eachPart(line, ' ', [&](std::string_view one) {
                const auto equals = one.find('=');
                word(one.substr(0, equals),
                     equals == std::string_view::npos ? std::string_view{} : one.substr(equals + 1));
            });
        });
    }
    static double linesOf(std::string_view text) {
        double lines = 0;
        eachWord(text, [&](std::string_view name, std::string_view value) {
            if (name == "rows" || name == "drop" || name == "undrop") lines += partsOf(value);
            if (name == "gate" || name == "stamp" || name == "replace") lines += 1;
        });
        return lines;
    }

    void written(std::uint16_t proxy, std::string_view bytes) {
        if (onBytes) onBytes(proxy, bytes);
        const double lines = terms.headLines + linesOf(bytes);
        queue.push_back({proxy, proxies.at(proxy).generation, lines, std::string(bytes)});
        waiting += lines;
        auto& writtenAt = proxies.at(proxy).writtenAt;
        writtenAt.push_back(now);
        while (now - writtenAt.front() > kMessagesOver) writtenAt.pop_front();
        if (terms.messagesMost > 0 && writtenAt.size() > terms.messagesMost)
            breaks("messages", "proxy " + std::to_string(proxy) + " is written too many messages");
        if (waiting > terms.queueMost)
            breaks("backlog", std::to_string(static_cast<long>(waiting)) + " lines wait where " +
                                  std::to_string(static_cast<long>(terms.queueMost)) + " may");
    }
    /// Messages leave one after the other; to whom the stream has ended they are lost on the way.
    void transmit() {
        credit += terms.linesPerSecond / terms.slowdown * std::chrono::duration<double>(kTick).count();
        while (!queue.empty() && queue.front().lines <= credit) {
            credit -= queue.front().lines;
            waiting -= queue.front().lines;
            const Micros jitter{static_cast<std::int64_t>(random() % 100'000)};
            const Micros due = now + terms.meanTransit - 50ms + jitter;
            queue.front().due = flight.empty() ? due : std::max(due, flight.back().due);
            flight.push_back(std::move(queue.front()));
            queue.pop_front();
        }
        if (queue.empty()) credit = 0;
    }
    void deliver() {
        for (; !flight.empty() && flight.front().due <= now; flight.pop_front()) {
            const Message& message = flight.front();
            const auto found = proxies.find(message.proxy);
            if (found == proxies.end() || found->second.generation != message.generation) continue;
            found->second.unread.push_back(message.text);
        }
        for (auto& [id, one] : proxies)
            if (!one.stalled)
                for (const auto& text : std::exchange(one.unread, {})) apply(id, one, text);
    }
    void apply(std::uint16_t id, Proxy& one, std::string_view text) {
        std::vector<std::size_t> products;
        const auto all = [&] { products = {0, 1, 2}; };
        eachWord(text, [&](std::string_view name, std::string_view value) {
            if (name == "push") all();
            if (name == "for") {
                products.clear();
                eachPart(value, '+', [&](std::string_view product) {
                    products.push_back(names.requestClass(product).value().value);
                });
            }
            if (name == "replace") {
                for (const auto product : products) one.holds[product].reset();
            }
            if (name == "rows")
                eachPart(value, ',', [&](std::string_view row) {
                    const auto colon = row.find(':');
                    const bool kept = row.substr(colon + 1) != "0";
                    for (const auto product : products)
                        one.holds[product].set(numberOf(row.substr(0, colon)), kept);
                });
            if (name == "drop" || name == "undrop")
                eachPart(value, ',',
                         [&](std::string_view server) { one.shutOut.set(numberOf(server), name == "drop"); });
            if (name == "stamp") {
                const BarrierId mark{static_cast<std::uint16_t>(std::stoi(std::string(value)))};
                if (!outbox->barrierAcknowledged({id}, mark))
                    breaks("mark", "a mark that was not written is answered");
                batch([&] { planner->barrierAcknowledged({id}, mark); });
            }
        });
    }
    static std::size_t numberOf(std::string_view server) {
        return static_cast<std::size_t>(std::stoul(std::string(server.substr(2))));
    }

    void breaks(const std::string& rule, const std::string& what) {
        auto& [count, first] = broken[rule];
        if (count++ == 0)
            first = std::to_string(std::chrono::duration<double>(now - startedAt).count()) + " s: " + what;
    }
    /// A joined proxy sends wherever its table lets it; limits are 0.3 s longer than the settings say.
    void check() {
        if (now - startedAt < kFirstSecond) return;
        std::map<Micros, ServerSet> ended; // by when it was told, oldest first
        bool warm = false;
        for (std::size_t k = 0; k < servers.size(); ++k) {
            if (servers[k].endToldAt) ended[*servers[k].endToldAt].set(k);
            warm |= servers[k].state == EndpointState::Ready && now - servers[k].upSince >= 16s;
        }
        const auto grace = std::chrono::duration_cast<Micros>(terms.slowdown * terms.drainGrace) + kSlack;
        const auto bareMost = std::chrono::duration_cast<Micros>(terms.slowdown * terms.bareMost) + kSlack;
        const Micros earliest = startedAt + kFirstSecond;
        for (auto& [id, one] : proxies) {
            if (one.stalled) continue; // it sends nothing either
            bool bare = false;
            for (const auto& table : one.holds) {
                const ServerSet picks = table & ~one.shutOut;
                bare |= picks.none();
                for (const auto& [toldAt, which] : ended) {
                    if (now - std::max({toldAt, one.joinedAt, earliest}) <= grace) break;
                    if (const auto late = picks & which; late.any())
                        breaks("drain", "proxy " + std::to_string(id) + " may send to s-" +
                                            std::to_string(late._Find_first()) + ", told " +
                                            std::to_string((now - toldAt).count() / 1000) +
                                            " ms ago, joined " +
                                            std::to_string((now - one.joinedAt).count() / 1000) + " ms ago");
                }
            }
            if (!bare || !warm) one.bareSince.reset();
            if (bare && warm && !one.bareSince) one.bareSince = now;
            if (one.bareSince && now - std::max(*one.bareSince, earliest) > bareMost)
                breaks("bare", "proxy " + std::to_string(id) + " has nothing to pick");
        }
    }

    net::Counters counters;
    net::NameRegistry names;
    routing::RoutingState book;
    std::unique_ptr<net::UpdateQueue> outbox;
    std::unique_ptr<Planner> planner;
    std::vector<Server> servers;
    std::vector<EndpointId> probes;
    std::map<std::uint16_t, Proxy> proxies;
    std::deque<Message> queue, flight;
    Micros startedAt{}, lastDecision{};
    double waiting = 0, credit = 0;
    std::uint64_t generations = 0;
    bool isOpen = false, pending = false;
};

} // namespace zincstack::tests

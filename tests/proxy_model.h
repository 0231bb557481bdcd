// The one file of helpers: a small model of what proxies hold, of the channel and of the list, with the rules
// checked after every step. It knows the planner's interface and nothing of its insides.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "planner/planner.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

struct World : RoutingUpdateSink {
    struct Held;
    struct Message {
        ProxyId proxy;
        double lines = 0;
        std::vector<std::function<void(Held&)>> told = {};
        BarrierId mark{};
        Micros due{};
    };
    struct Held { // by a joined proxy, as it has applied it
        ZoneId zone{};
        Micros joinedAt{}, bareSince{-1};
        std::set<EndpointId> standing = {};
        bool bound = false;
        std::map<EndpointId, double> lines = {};
        std::set<EndpointId> out = {};
        std::map<EndpointId, bool> said = {}; // of withdrawals, on this stream
        std::deque<Micros> written = {};
    };
    struct Known {
        EndpointUpdate entry;
        Micros startToldAt{-1h}, endToldAt{-1};
    };

    FleetConfig fleet{.zoneCount = 2,
                      .plannerCount = 2,
                      .hasEndpointWeights = true,
                      .probingAllowed = true,
                      .reportInterval = 1s};
    ProxyFleetConfig forwarders{
        .proxyCount = 8, .bootstrapTableSize = 3, .throttleMode = ThrottleMode::Fraction};
    ControlChannelLimits channel{4000, 6, 4000, 30, 10s, 200ms, 500ms};
    SafetyLimits guards{3s, 2s, 0.2, 16s, 4, 3s};
    std::vector<RequestClassConfig> products{{1s, 3s, 3, .1, Idempotency::Idempotent, false, false},
                                             {1s, 3s, 2, .1, Idempotency::IdempotencyKeyed, false, true},
                                             {1s, 3s, 4, .1, Idempotency::NonIdempotent, false, true}};

    std::unique_ptr<Planner> planner;
    Micros now{100s}, wakeAt{-1};
    double slow = 1;
    bool forgets = false;    // as the front on sockets does
    bool tellsOnce = false;  // so too: what a stream was told is not said again
    bool checksRules = true; // false: for days that are only recorded, which take less time then
    std::map<EndpointId, Known> known;
    std::map<ProxyId, Held> proxies;
    std::map<ProxyId, TableId> assigned;
    std::map<TableId, std::map<EndpointId, double>> tables;
    std::map<TableId, std::set<RequestClassSet>> levelled;
    std::set<EndpointId> withdrawn;
    std::map<ProxyId, Message> open;
    std::deque<Message> queue, flight;
    double progress = 0;
    std::vector<EndpointId> probes;
    std::vector<std::pair<EndpointId, double>> lines; // orders since the last clear(), for plain cases
    std::vector<std::pair<ProxyId, TableId>> binds;
    std::vector<std::pair<RequestClassSet, double>> levels;
    std::vector<PlannerEvent> events;
    std::vector<std::string> broken;

    void start(std::uint64_t seed = 7) {
        tables = {}, levelled = {}, withdrawn = {}, assigned = {}, queue = {}, open = {}, wakeAt = -1us;
        planner = makePlanner({seed, fleet, forwarders, channel, guards, products}, *this);
        std::vector<EndpointUpdate> all;
        for (auto& [id, one] : known)
            if (one.entry.state != EndpointState::Removed) all.push_back(one.entry);
        batch([&] { planner->updateEndpoints(EndpointListUpdate::Cached, all); });
    }
    /// The planner is killed and starts over; its proxies come back with what they hold.
    void restart(std::uint64_t seed) {
        const auto before = std::exchange(proxies, {});
        flight.clear();
        start(seed);
        for (const auto& [id, old] : before) {
            std::set<EndpointId> keeps = old.standing;
            for (const auto& [server, weight] : old.lines) keeps.insert(server);
            join(id.value, old.zone.value, 10, keeps);
            proxies[id].out = old.out;
        }
    }
    /// One batch: an input, then the decisions.
    void batch(const auto& input) {
        planner->beginBatch(now);
        input();
        finish();
    }
    EndpointUpdate& server(std::uint64_t id, double weight = 1, std::uint8_t zone = 0) {
        EndpointUpdate& entry = known[{id}].entry;
        entry = {{id}, EndpointState::Ready, 0us, weight, {0}, {zone}};
        return entry;
    }
    /// The list says something of one server.
    void news(std::uint64_t id, EndpointState state, Micros startedAt = -1us) {
        Known& one = known[{id}];
        one.entry.id = {id};
        if (startedAt >= 0us) one.entry.startedAt = startedAt, one.startToldAt = now;
        if (state == EndpointState::Ready) one.endToldAt = -1us;
        if (state != EndpointState::Ready && one.endToldAt < 0us) one.endToldAt = now;
        one.entry.state = state;
        batch([&] { planner->updateEndpoints(EndpointListUpdate::Delta, std::span(&one.entry, 1)); });
    }
    void join(std::uint16_t id, std::uint8_t zone, double rate, std::set<EndpointId> standing) {
        leave(id);
        Held& held = proxies[{id}];
        held.zone = {zone};
        held.joinedAt = now;
        held.standing = std::move(standing);
        batch([&] { planner->proxyJoined({id}, {zone}, rate, proxies[{id}].standing.size() <= 6); });
    }
    void leave(std::uint16_t id) {
        if (!proxies.erase({id})) return;
        assigned.erase({id});
        const auto lost = [&](const Message& one) { return one.proxy == ProxyId{id}; };
        std::erase_if(queue, lost);
        std::erase_if(flight, lost);
        batch([&] { planner->proxyLeft({id}); });
    }
    /// A period's sums: every served server gets `tries`, of which the share `failed(server)` fails.
    void sums(
        std::uint32_t tries, const auto& failed,
        const std::function<Micros(std::uint64_t)>& delay = [](auto) { return 200ms; }) {
        planner->beginBatch(now);
        for (auto& [id, one] : known) {
            if (one.entry.state != EndpointState::Ready || withdrawn.contains(id)) continue;
            const auto bad = static_cast<std::uint32_t>(tries * failed(id.value));
            planner->reportLoad({id, {0}, tries, bad, bad == tries ? 0us : delay(id.value), 1s, {}});
        }
        for (auto& [id, held] : proxies)
            for (std::uint16_t p = 0; p < products.size(); ++p) planner->reportDemand({id, {p}, 10, 0, 1s});
        finish();
    }
    void answerProbes(ProbeStatus status, Micros delay = 5ms) {
        const auto asked = std::exchange(probes, {});
        batch([&] {
            for (const auto id : asked) planner->probeCompleted({id, status, delay, {}});
        });
    }
    void pass(Micros span) {
        for (const Micros end = now + span; now < end;) tick();
    }
    void tick() {
        constexpr Micros kTick = 50ms;
        now += kTick;
        progress += channel.linesPerSecond / slow * 0.05;
        while (!queue.empty() && queue.front().lines <= progress) {
            progress -= queue.front().lines;
            flight.push_back(std::move(queue.front()));
            flight.back().due = now + channel.meanTransitTime;
            queue.pop_front();
        }
        if (queue.empty()) progress = 0;
        planner->beginBatch(now);
        while (!flight.empty() && flight.front().due <= now) {
            apply(flight.front());
            flight.pop_front();
        }
        if (wakeAt >= 0us && wakeAt <= now) wakeAt = -1us, planner->timerExpired();
        finish();
        if (checksRules) check();
    }

    // -- orders --
    void setWeight(TableId table, EndpointId server, double weight) override {
        expect(weight >= 0, "a weight below 0");
        lines.emplace_back(server, weight);
        const bool back = forgets && weight > 0 && !withdrawn.contains(server);
        const auto put = [=](std::map<EndpointId, double>& at) {
            at[server] = weight;
            if (weight <= 0) at.erase(server);
        };
        put(tables[table]);
        for (auto& [id, held] : proxies)
            if (assigned.contains(id) && assigned[id] == table)
                tell(id, 1, [=](Held& at) {
                    put(at.lines);
                    if (back) at.out.erase(server);
                });
    }
    void assignTable(ProxyId proxy, RequestClassSet, TableId table) override {
        expect(proxies.contains(proxy), "bound a proxy that has not joined");
        binds.emplace_back(proxy, table);
        assigned[proxy] = table;
        const double cost =
            1.0 + static_cast<double>(tables[table].size() + levelled[table].size() + withdrawn.size());
        tell(proxy, cost, [lines = tables[table], out = withdrawn](Held& at) {
            at.bound = true;
            at.lines = lines;
            at.out = out;
        });
    }
    void setExcluded(EndpointId server, bool out) override {
        const auto turn = [=](std::set<EndpointId>& set) {
            out ? (void)set.insert(server) : (void)set.erase(server);
        };
        turn(withdrawn);
        for (auto& [id, held] : proxies) // a line only where a table names the server
            if (assigned.contains(id) ? !tables[assigned[id]].contains(server)
                                      : !held.standing.contains(server))
                turn(held.out);
            else if (const auto [said, fresh] = held.said.try_emplace(server, out);
                     fresh || said->second != out || !tellsOnce)
                said->second = out, tell(id, 1, [=](Held& at) { turn(at.out); });
    }
    void setAdmission(std::optional<TableId> table, RequestClassSet mask, double level,
                      RetryPolicy tries) override {
        expect(level >= 0, "a level below 0");
        for (std::size_t p = 0; p < products.size(); ++p)
            expect(!(mask >> p & 1U) || tries <= RetryPolicy::AfterProofOfNoEffect ||
                       products[p].idempotency == Idempotency::Idempotent,
                   "no effect twice: a product that must not run twice may be sent again");
        levels.emplace_back(mask, level);
        if (table) levelled[*table].insert(mask);
        for (auto& [id, held] : proxies)
            if (!table || (assigned.contains(id) && assigned[id] == *table)) tell(id, 1, [](Held&) {});
    }
    bool clearStaleExclusions(ProxyId proxy, std::size_t) override {
        if (!tellsOnce || tables[assigned[proxy]].empty()) return false;
        tell(proxy, static_cast<double>(tables[assigned[proxy]].size()), [](Held&) {});
        return true;
    }
    void requestBarrier(BarrierId number, bool) override {
        for (auto& [id, message] : open) message.mark = number, message.lines += 1;
    }
    void probe(EndpointId server) override { probes.push_back(server); }
    void subscribeToEndpoints() override {}
    void scheduleWakeUp(Micros span) override {
        expect(wakeAt < 0us && span > 0us, "a wake-up beside another, or in the past");
        wakeAt = now + span;
    }
    void report(const PlannerEvent& event) override { events.push_back(event); }
    bool forgetEndpoint(EndpointId server) override {
        if (forgets) withdrawn.erase(server);
        return forgets;
    }

private:
    void expect(bool holds, const char* what) {
        if (!holds) broken.emplace_back(what);
    }
    void finish() {
        planner->decide();
        for (auto& [id, message] : open) {
            proxies[id].written.push_back(now);
            queue.push_back(std::move(message));
        }
        open.clear();
    }
    void tell(ProxyId proxy, double cost, std::function<void(Held&)> what) {
        auto& message = open.try_emplace(proxy, Message{proxy, channel.messageOverheadLines}).first->second;
        message.told.push_back(std::move(what));
        message.lines += cost;
    }
    void apply(const Message& message) {
        for (const auto& what : message.told) what(proxies[message.proxy]);
        planner->barrierAcknowledged(message.proxy, message.mark);
    }
    bool picks(const Held& held, EndpointId id) const {
        return !held.out.contains(id) && (held.bound ? held.lines.contains(id) : held.standing.contains(id));
    }
    void check() {
        const Micros slack = 250ms; // of this model: its tick and the time that a message needs
        bool warm = false;
        for (const auto& [id, one] : known)
            warm |=
                one.entry.state == EndpointState::Ready && now - one.entry.startedAt >= guards.warmUpDuration;
        double waiting = 0;
        for (const auto& message : queue) waiting += message.lines;
        expect(waiting <= channel.maxQueuedLines, "short queue: too many lines wait");
        for (auto& [id, held] : proxies) {
            bool bare = true;
            for (const auto& [server, one] : known) {
                if (!picks(held, server)) continue;
                bare = false;
                const auto since = std::max(one.endToldAt, held.joinedAt);
                expect(one.endToldAt < 0us || now - since <= slow * guards.drainGracePeriod + slack,
                       "drains kept: a proxy still sends to a server that drains or is gone");
                const auto age = static_cast<double>((now - one.entry.startedAt).count());
                const double part = std::min(age / static_cast<double>(guards.warmUpDuration.count()), 1.0);
                const double warmed = guards.coldCapacityFraction + (1 - guards.coldCapacityFraction) * part;
                const bool told =
                    now - std::max(one.startToldAt, held.joinedAt) > slow * guards.drainGracePeriod + slack;
                expect(!held.bound || !told ||
                           held.lines.at(server) <= one.entry.weight * guards.overloadFactor * warmed,
                       "no cold server pushed over: its weight is above the multiple of what it can do");
            }
            if (!bare || !warm) held.bareSince = -1us;
            if (bare && warm && held.bareSince < 0us) held.bareSince = now;
            expect(held.bareSince < 0us || now - held.bareSince <= slow * guards.maxTimeWithoutEndpoint,
                   "nobody without a server: a proxy has no line to pick");
            while (!held.written.empty() && now - held.written.front() > channel.messageWindow)
                held.written.pop_front();
            expect(!channel.maxMessagesPerProxy || held.written.size() <= channel.maxMessagesPerProxy,
                   "short queue: too many messages to one proxy");
        }
    }
};

} // namespace zincstack::tests

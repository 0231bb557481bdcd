// What the decision module keeps: figures on servers, proxies, tables and the lines on their way. No
// decision, no table of decisions and no tuned value stands here; planner.cpp has them all.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack {

using EndpointIndex = std::size_t;

inline double seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

/// A row of a decision table: state, input, next state and effect; `read` finds the one that applies.
template <class State, class Input, class Effect>
struct Transition {
    State state;
    Input input;
    State next;
    Effect effect;
};
const auto* findTransition(const auto& rows, auto state, const auto& holds) {
    const auto at = std::find_if(std::begin(rows), std::end(rows), [&](const auto& row) {
        return (row.state == state || row.state == decltype(state)::Any) && holds(row.input);
    });
    return at == std::end(rows) ? nullptr : &*at;
}

/// The figure that so much of the weight does not pass; each comes with its weight.
inline double weightedQuantile(std::vector<std::pair<double, double>>& figures, double part) {
    double rest = 0;
    for (const auto& [figure, weight] : figures) rest += weight * part;
    std::ranges::sort(figures);
    for (const auto& [figure, weight] : figures)
        if ((rest -= weight) <= 0) return figure;
    return 0;
}

enum class HealthState { Removed, Healthy, Suspect, Unlisted, Ejected, Any };

/// Figures on servers in parallel arrays under a dense index. That of a server that is forgotten goes to the
/// next new one; what comes late for the old one finds no index by its id.
struct EndpointRegistry {
    std::map<EndpointId, EndpointIndex> indexById;
    std::vector<EndpointIndex> freeIndexes; // of servers that are forgotten: ended, and in no table
    std::vector<EndpointId> id;
    std::vector<ZoneId> zone;
    std::vector<HealthState> health;
    std::vector<Micros> startedAt, nextProbeAt, holdUntil, healthChangedAt, excludedAt;
    std::vector<int> slowStartStep, consecutiveGoodProbes;
    std::vector<char> excluded, probeInFlight, hasReported, weightReduced,
        forgotten; // withdrawn: ordered out of all tables
    std::vector<double> listedWeight, attempts, failures, latencySum, saturation, inFlight,
        reportsWhenLastSeen, attemptsWhenLastSeen;

    EndpointIndex size() const { return id.size(); }
    EndpointIndex add(const EndpointUpdate& entry) {
        const EndpointIndex next = freeIndexes.empty() ? size() : freeIndexes.back();
        const auto [at, fresh] = indexById.emplace(entry.id, next);
        if (!fresh) return at->second;
        const auto put = [next](auto& figures, auto value) {
            if (next == figures.size()) figures.emplace_back();
            figures[next] = value;
        };
        if (next < size()) freeIndexes.pop_back();
        put(zone, entry.zone);
        put(health, HealthState::Removed);
        for (auto* one : {&startedAt, &nextProbeAt, &holdUntil, &healthChangedAt, &excludedAt})
            put(*one, Micros{});
        for (auto* one : {&slowStartStep, &consecutiveGoodProbes}) put(*one, 0);
        for (auto* one : {&excluded, &probeInFlight, &hasReported, &weightReduced, &forgotten})
            put(*one, char{0});
        for (auto* one : {&listedWeight, &attempts, &failures, &latencySum, &saturation, &inFlight,
                          &reportsWhenLastSeen, &attemptsWhenLastSeen})
            put(*one, 0.0);
        put(id, entry.id);
        return next;
    }
    void forget(EndpointIndex s) {
        indexById.erase(id[s]);
        freeIndexes.push_back(s);
        forgotten[s] = 1;
        excluded[s] = 0;
    }
    EndpointIndex knownCount() const { return indexById.size(); }
    const EndpointIndex* find(EndpointId server) const {
        const auto found = indexById.find(server);
        return found == indexById.end() ? nullptr : &found->second;
    }
    double sum(const auto& figure) const { ///< of a figure, over all servers
        double all = 0;
        for (EndpointIndex s = 0; s < size(); ++s) all += figure(s);
        return all;
    }
    double failureRatio(EndpointIndex s) const { return attempts[s] > 0 ? failures[s] / attempts[s] : 0; }
    double excludedFraction(ZoneId of) const { ///< the part of a zone's servers that is withdrawn
        double out = 0, all = 0;
        for (EndpointIndex s = 0; s < size(); ++s)
            if (zone[s] == of && !forgotten[s]) all += 1, out += excluded[s];
        return all > 0 ? out / all : 0;
    }
    bool isInService(EndpointIndex s) const {
        return health[s] == HealthState::Healthy || health[s] == HealthState::Suspect ||
               health[s] == HealthState::Unlisted;
    }
};

struct Proxy {
    ZoneId zone;
    bool hasFullTable = false, hasOnlyBootstrapTable = true; // bound: to whole tables
    std::vector<double> demand;                              // txns a second by product
    double stagedLines = 0;                                  // lines of the message now being put together
    std::deque<std::pair<BarrierId, double>> unacknowledged = {}; // lines of each message without an answer
    Micros joinedAt{};
    bool staleExclusionsCleared = false;          // let back is what earlier planners withdrew
    std::vector<EndpointIndex> subsetTables = {}; // the starter tables that it holds; empty: none, or bound
    bool usesInheritedTable() const { return !hasFullTable && subsetTables.empty(); }
    double requestRate() const { return std::accumulate(demand.begin(), demand.end(), 0.0); }
};
using ProxyRegistry = std::map<ProxyId, Proxy>;

/// Txns a second of each product, of all proxies.
inline std::vector<double> demandByClass(const ProxyRegistry& proxies, EndpointIndex products) {
    std::vector<double> out(products, 0);
    for (const auto& [id, proxy] : proxies)
        for (EndpointIndex p = 0; p < products; ++p) out[p] += proxy.demand[p];
    return out;
}

struct PlannedTable {
    TableId id;
    ZoneId zone;
    bool zoneLocal;
    RequestClassSet requestClasses;
    std::vector<double> installed = {};             // weight of each server as last ordered
    std::map<EndpointIndex, double> admission = {}; // by product, as last ordered
    bool inUse = false;                             // some proxy of its zone has joined
    double rateLimitFraction = 1;                   // the share at which a deadlocked table moves
    std::optional<EndpointIndex> subsetOf = {};     // the place of its whole table; none: it is whole itself
    EndpointIndex holderCount = 0; // of a starter table: proxies that hold it, and their traffic
    double holderRate = 0;
    bool serves(const Proxy& proxy) const {
        if (!subsetOf) return proxy.hasFullTable && proxy.zone == zone;
        return std::ranges::find(proxy.subsetTables, EndpointIndex{id.value}) != proxy.subsetTables.end();
    }
    double endpointCount() const { ///< servers that it names
        return static_cast<double>(
            std::ranges::count_if(installed, [](double weight) { return weight > 0; }));
    }
    double demand(const ProxyRegistry& all) const { ///< txns a second of the proxies that it serves
        double sum = 0;
        for (const auto& [proxyId, proxy] : all)
            for (EndpointIndex p = 0; serves(proxy) && p < proxy.demand.size(); ++p)
                sum += requestClasses >> p & 1U ? proxy.demand[p] : 0;
        return sum;
    }
};

/// Which messages have no answer yet, and the lines on their way as reckoned where no front counts them: staged in
/// this batch, or sent and perhaps still in the channel. Messages leave in order, so an answer to one tells that all
/// sent before it have left.
struct MessageLedger {
    struct Batch {
        BarrierId barrier;
        Micros sentAt;
        double lines;              // that may still wait in the channel
        EndpointIndex awaitedAcks; // bound proxies whose answer is missing
    };
    ProxyRegistry& proxies;
    const double messageOverheadLines; // of a message; its mark is a line more
    double stagedLines = 0;
    std::deque<Batch> batches = {};

    double outstandingLines() const {
        return std::accumulate(batches.begin(), batches.end(), stagedLines,
                               [](double sum, const Batch& one) { return sum + one.lines; });
    }
    void stage(Proxy& proxy, double lines) {
        stagedLines += lines + (proxy.stagedLines > 0 ? 0 : messageOverheadLines + 1);
        proxy.stagedLines += lines;
    }
    void chargeTable(const PlannedTable& table, double lines) {
        for (auto& [id, proxy] : proxies)
            if (table.serves(proxy)) stage(proxy, lines);
    }
    /// For those that keep an old table: a standing one names a server with this chance, a whole one surely.
    /// Only for those that joined since they were last told the same.
    void chargeInheritedTables(double named, Micros since) {
        for (auto& [id, proxy] : proxies) {
            if (!proxy.usesInheritedTable() || proxy.joinedAt <= since) continue;
            if (proxy.hasOnlyBootstrapTable)
                stagedLines += named * (messageOverheadLines + 2);
            else
                stage(proxy, 1);
        }
    }
    void closeBatch(BarrierId mark, Micros now) {
        Batch batch{mark, now, std::exchange(stagedLines, 0), 0};
        for (auto& [id, proxy] : proxies) {
            const double lines = std::exchange(proxy.stagedLines, 0);
            if (lines <= 0 || proxy.usesInheritedTable())
                continue; // one that keeps its old table may get no message
            proxy.unacknowledged.emplace_back(mark, lines + messageOverheadLines + 1);
            ++batch.awaitedAcks;
        }
        batches.push_back(batch);
    }
    void acknowledged(ProxyId id, BarrierId number) {
        const auto found = proxies.find(id);
        const auto newest = std::ranges::find(batches, number, &Batch::barrier);
        if (found == proxies.end() || newest == batches.end()) return;
        for (auto one = batches.begin(); one != newest; ++one) one->lines = 0;
        auto& waiting = found->second.unacknowledged;
        const auto at = std::ranges::find(waiting, number, &std::pair<BarrierId, double>::first);
        if (at == waiting.end()) return;
        for (auto one = waiting.begin(); one != at + 1; ++one)
            if (Batch* batch = find(one->first))
                batch->lines = --batch->awaitedAcks > 0 ? std::max(batch->lines - one->second, 0.0) : 0;
        waiting.erase(waiting.begin(), at + 1);
    }
    void proxyLeft(ProxyId id) { // what was on its way to it may still wait
        const auto found = proxies.find(id);
        if (found == proxies.end()) return;
        for (const auto& [mark, lines] : found->second.unacknowledged)
            if (Batch* batch = find(mark)) --batch->awaitedAcks;
        proxies.erase(found);
    }
    /// Drops what was sent before `all`, and before `unasked` if no bound proxy is left to answer.
    void expire(Micros all, Micros unasked) {
        std::erase_if(batches, [&](const Batch& one) {
            return one.sentAt < all || (one.awaitedAcks == 0 && one.sentAt < unasked);
        });
    }
    bool isAcknowledged(std::optional<BarrierId> number) const {
        return std::ranges::none_of(batches, [&](const Batch& one) {
            return number && one.barrier == *number && one.awaitedAcks > 0;
        });
    }

private:
    Batch* find(BarrierId mark) {
        const auto at = std::ranges::find(batches, mark, &Batch::barrier);
        return at == batches.end() ? nullptr : &*at;
    }
};

} // namespace zincstack

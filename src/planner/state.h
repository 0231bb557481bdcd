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
struct Row {
    State state;
    Input input;
    State next;
    Effect effect;
};
const auto* read(const auto& rows, auto state, const auto& holds) {
    const auto at = std::find_if(std::begin(rows), std::end(rows), [&](const auto& row) {
        return (row.state == state || row.state == decltype(state)::Any) && holds(row.input);
    });
    return at == std::end(rows) ? nullptr : &*at;
}

/// The figure that so much of the weight does not pass; each comes with its weight.
inline double reached(std::vector<std::pair<double, double>>& figures, double part) {
    double rest = 0;
    for (const auto& [figure, weight] : figures) rest += weight * part;
    std::ranges::sort(figures);
    for (const auto& [figure, weight] : figures)
        if ((rest -= weight) <= 0) return figure;
    return 0;
}

enum class Duty { Ended, Serving, Suspect, Missed, ShutOut, Any };

/// Figures on servers in parallel arrays under a dense index. That of a server that is forgotten goes to the
/// next new one; what comes late for the old one finds no index by its id.
struct Servers {
    std::map<EndpointId, EndpointIndex> index;
    std::vector<EndpointIndex> spare; // of servers that are forgotten: ended, and in no table
    std::vector<EndpointId> id;
    std::vector<ZoneId> zone;
    std::vector<Duty> duty;
    std::vector<Micros> startedAt, probeDue, heldUntil, changedAt, withdrawnAt;
    std::vector<int> rung, goodProbes;
    std::vector<char> withdrawn, probing, heard, eased, forgotten; // withdrawn: ordered out of all tables
    std::vector<double> listed, tries, unanswered, delay, pressed, load, linesThen, triedThen;

    EndpointIndex size() const { return id.size(); }
    EndpointIndex add(const EndpointUpdate& entry) {
        const EndpointIndex next = spare.empty() ? size() : spare.back();
        const auto [at, fresh] = index.emplace(entry.id, next);
        if (!fresh) return at->second;
        const auto put = [next](auto& figures, auto value) {
            if (next == figures.size()) figures.emplace_back();
            figures[next] = value;
        };
        if (next < size()) spare.pop_back();
        put(zone, entry.zone);
        put(duty, Duty::Ended);
        for (auto* one : {&startedAt, &probeDue, &heldUntil, &changedAt, &withdrawnAt}) put(*one, Micros{});
        for (auto* one : {&rung, &goodProbes}) put(*one, 0);
        for (auto* one : {&withdrawn, &probing, &heard, &eased, &forgotten}) put(*one, char{0});
        for (auto* one : {&listed, &tries, &unanswered, &delay, &pressed, &load, &linesThen, &triedThen})
            put(*one, 0.0);
        put(id, entry.id);
        return next;
    }
    void forget(EndpointIndex s) {
        index.erase(id[s]);
        spare.push_back(s);
        forgotten[s] = 1;
        withdrawn[s] = 0;
    }
    EndpointIndex known() const { return index.size(); }
    const EndpointIndex* find(EndpointId server) const {
        const auto found = index.find(server);
        return found == index.end() ? nullptr : &found->second;
    }
    double sum(const auto& figure) const { ///< of a figure, over all servers
        double all = 0;
        for (EndpointIndex s = 0; s < size(); ++s) all += figure(s);
        return all;
    }
    double failing(EndpointIndex s) const { return tries[s] > 0 ? unanswered[s] / tries[s] : 0; }
    double outShare(ZoneId of) const { ///< the part of a zone's servers that is withdrawn
        double out = 0, all = 0;
        for (EndpointIndex s = 0; s < size(); ++s)
            if (zone[s] == of && !forgotten[s]) all += 1, out += withdrawn[s];
        return all > 0 ? out / all : 0;
    }
    bool serves(EndpointIndex s) const {
        return duty[s] == Duty::Serving || duty[s] == Duty::Suspect || duty[s] == Duty::Missed;
    }
};

struct Proxy {
    ZoneId zone;
    bool bound = false, onlyStanding = true;               // bound: to whole tables
    std::vector<double> usage;                             // txns a second by product
    double staged = 0;                                     // lines of the message now being put together
    std::deque<std::pair<BarrierId, double>> waiting = {}; // lines of each message without an answer
    Micros joinedAt{};
    bool cleared = false;                     // let back is what earlier planners withdrew
    std::vector<EndpointIndex> starters = {}; // the starter tables that it holds; empty: none, or bound
    bool keepsOldTable() const { return !bound && starters.empty(); }
    double rate() const { return std::accumulate(usage.begin(), usage.end(), 0.0); }
};
using Proxies = std::map<ProxyId, Proxy>;

/// Txns a second of each product, of all proxies.
inline std::vector<double> usageOf(const Proxies& proxies, EndpointIndex products) {
    std::vector<double> out(products, 0);
    for (const auto& [id, proxy] : proxies)
        for (EndpointIndex p = 0; p < products; ++p) out[p] += proxy.usage[p];
    return out;
}

struct Table {
    TableId id;
    ZoneId zone;
    bool zoneOnly;
    RequestClassSet products;
    std::vector<double> standing = {};           // weight of each server as last ordered
    std::map<EndpointIndex, double> levels = {}; // by product, as last ordered
    bool used = false;                           // some proxy of its zone has joined
    double slowed = 1;                           // the share at which a deadlocked table moves
    std::optional<EndpointIndex> starterOf = {}; // the place of its whole table; none: it is whole itself
    EndpointIndex holders = 0; // of a starter table: proxies that hold it, and their traffic
    double heldRate = 0;
    bool serves(const Proxy& proxy) const {
        if (!starterOf) return proxy.bound && proxy.zone == zone;
        return std::ranges::find(proxy.starters, EndpointIndex{id.value}) != proxy.starters.end();
    }
    double rows() const { ///< servers that it names
        return static_cast<double>(std::ranges::count_if(standing, [](double weight) { return weight > 0; }));
    }
    double usage(const Proxies& all) const { ///< txns a second of the proxies that it serves
        double sum = 0;
        for (const auto& [proxyId, proxy] : all)
            for (EndpointIndex p = 0; serves(proxy) && p < proxy.usage.size(); ++p)
                sum += products >> p & 1U ? proxy.usage[p] : 0;
        return sum;
    }
};

/// Which messages have no answer yet, and the lines on their way as reckoned where no front counts them: staged in
/// this batch, or sent and perhaps still in the channel. Messages leave in order, so an answer to one tells that all
/// sent before it have left.
struct MessageLedger {
    struct Batch {
        BarrierId mark;
        Micros sentAt;
        double lines;          // that may still wait in the channel
        EndpointIndex awaited; // bound proxies whose answer is missing
    };
    Proxies& proxies;
    const double headLines; // of a message; its mark is a line more
    double stagedLines = 0;
    std::deque<Batch> batches = {};

    double lines() const {
        return std::accumulate(batches.begin(), batches.end(), stagedLines,
                               [](double sum, const Batch& one) { return sum + one.lines; });
    }
    void stage(Proxy& proxy, double lines) {
        stagedLines += lines + (proxy.staged > 0 ? 0 : headLines + 1);
        proxy.staged += lines;
    }
    void charge(const Table& table, double lines) {
        for (auto& [id, proxy] : proxies)
            if (table.serves(proxy)) stage(proxy, lines);
    }
    /// For those that keep an old table: a standing one names a server with this chance, a whole one surely.
    /// Only for those that joined since they were last told the same.
    void chargeOld(double named, Micros since) {
        for (auto& [id, proxy] : proxies) {
            if (!proxy.keepsOldTable() || proxy.joinedAt <= since) continue;
            if (proxy.onlyStanding)
                stagedLines += named * (headLines + 2);
            else
                stage(proxy, 1);
        }
    }
    void close(BarrierId mark, Micros now) {
        Batch batch{mark, now, std::exchange(stagedLines, 0), 0};
        for (auto& [id, proxy] : proxies) {
            const double lines = std::exchange(proxy.staged, 0);
            if (lines <= 0 || proxy.keepsOldTable())
                continue; // one that keeps its old table may get no message
            proxy.waiting.emplace_back(mark, lines + headLines + 1);
            ++batch.awaited;
        }
        batches.push_back(batch);
    }
    void applied(ProxyId id, BarrierId number) {
        const auto found = proxies.find(id);
        const auto newest = std::ranges::find(batches, number, &Batch::mark);
        if (found == proxies.end() || newest == batches.end()) return;
        for (auto one = batches.begin(); one != newest; ++one) one->lines = 0;
        auto& waiting = found->second.waiting;
        const auto at = std::ranges::find(waiting, number, &std::pair<BarrierId, double>::first);
        if (at == waiting.end()) return;
        for (auto one = waiting.begin(); one != at + 1; ++one)
            if (Batch* batch = find(one->first))
                batch->lines = --batch->awaited > 0 ? std::max(batch->lines - one->second, 0.0) : 0;
        waiting.erase(waiting.begin(), at + 1);
    }
    void left(ProxyId id) { // what was on its way to it may still wait
        const auto found = proxies.find(id);
        if (found == proxies.end()) return;
        for (const auto& [mark, lines] : found->second.waiting)
            if (Batch* batch = find(mark)) --batch->awaited;
        proxies.erase(found);
    }
    /// Drops what was sent before `all`, and before `unasked` if no bound proxy is left to answer.
    void forget(Micros all, Micros unasked) {
        std::erase_if(batches, [&](const Batch& one) {
            return one.sentAt < all || (one.awaited == 0 && one.sentAt < unasked);
        });
    }
    bool answered(std::optional<BarrierId> number) const {
        return std::ranges::none_of(
            batches, [&](const Batch& one) { return number && one.mark == *number && one.awaited > 0; });
    }

private:
    Batch* find(BarrierId mark) {
        const auto at = std::ranges::find(batches, mark, &Batch::mark);
        return at == batches.end() ? nullptr : &*at;
    }
};

} // namespace zincstack

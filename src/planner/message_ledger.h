// An estimate of the lines in the control channel, for transports that do not count them.
#pragma once

#include <algorithm>
#include <deque>
#include <numeric>
#include <utility>

#include "planner/planned_table.h"

namespace zincstack {

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

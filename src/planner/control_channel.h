// When messages go out on the control channel, and to which proxies first.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "planner/channel_credit.h"
#include "planner/message_ledger.h"
#include "planner/slow_start.h"

namespace zincstack {

using namespace std::chrono_literals;

inline constexpr Micros kBatchBudget = 500ms;
inline constexpr Micros kIdleBudget = 100ms;
inline constexpr Micros kLedgerExpiry = 10s;
inline constexpr Micros kUnawaitedExpiry = 2s;

/// When messages go out, and to whom first.
struct ControlChannel {
    ProxyRegistry& proxies;
    RoutingUpdateSink& sink;
    const ControlChannelLimits limits;
    const double bootstrapTableSize;
    MessageLedger ledger{proxies, limits.messageOverheadLines};
    std::optional<Micros> batchSentAt = {};
    std::uint32_t barrierCount = 0;

    /// Where messages to a proxy are counted, the gap alone keeps the count: no batch writes sooner.
    bool mayWriteBatch(Micros now) const {
        return !batchSentAt || limits.maxMessagesPerProxy < 2 ||
               now - *batchSentAt >= limits.messageWindow / (limits.maxMessagesPerProxy - 1);
    }
    /// Whoever writes the orders counts them as encoded and keeps the limit: here they are only paced.
    bool isMetered() const { return sink.pendingLines().has_value(); }
    double outstandingLines() const {
        const auto pending = sink.pendingLines();
        return pending ? *pending + ledger.stagedLines : ledger.outstandingLines();
    }
    /// Whether an urgent order of so many lines may be given.
    bool hasDeadlineCapacity(double each) const {
        return isMetered() ||
               kDeadlineQueueFraction * limits.maxQueuedLines - ledger.outstandingLines() >= each;
    }
    /// For what can wait, beside what is on its way: the queue stays short for what can't.
    double spareLines(Micros span) const {
        const double most = limits.linesPerSecond * seconds(limits.meanTransitTime + span);
        return std::min(most, kOrdinaryQueueFraction * limits.maxQueuedLines) - outstandingLines();
    }

    /// Proxies that keep an old table are bound a few at a time, busiest first.
    void assignFullTables(const std::vector<PlannedTable>& tables, const EndpointRegistry& servers,
                          double budget) {
        if (totalTargetWeight(servers) <= 0) return;
        std::vector<std::pair<double, ProxyId>> order;
        for (const auto& [id, proxy] : proxies)
            if (!proxy.hasFullTable) order.emplace_back(-proxy.requestRate(), id);
        std::ranges::sort(order);
        const auto out = std::count(servers.excluded.begin(), servers.excluded.end(), 1);
        for (const auto& [rate, id] : order) {
            if (budget <= 0) return;
            Proxy& proxy = proxies[id];
            proxy.hasFullTable = true;
            proxy.subsetTables.clear();
            const double before = ledger.stagedLines;
            for (const auto& table : tables) {
                if (table.subsetOf || !table.serves(proxy)) continue;
                sink.assignTable(id, table.requestClasses, table.id);
                const auto others = static_cast<double>(out + std::ssize(table.admission));
                ledger.stage(proxy, 1 + table.endpointCount() + others);
            }
            budget -= ledger.stagedLines - before;
        }
    }

    /// Servers that earlier planners withdrew from old tables are let back where bound, once all is done:
    /// most of these lines change nothing, and a table without them is short of a few servers at worst.
    void clearStaleExclusions(const EndpointRegistry& servers) {
        for (auto& [id, proxy] : proxies) {
            if (!proxy.hasFullTable || std::exchange(proxy.staleExclusionsCleared, true) ||
                !sink.clearStaleExclusions(id, servers.size()))
                continue;
            ledger.stage(proxy, servers.sum([&](EndpointIndex s) { return targetWeight(servers, s) > 0; }));
            if (spareLines(kIdleBudget) <= 0) return;
        }
    }

    /// Closes the message of every proxy that something was ordered for with a mark; marks wrap under 65536.
    std::optional<BarrierId> closeBatch(Micros now) {
        if (ledger.stagedLines <= 0 && !sink.needsBarrier()) return {};
        barrierCount = barrierCount % 65535 + 1;
        const BarrierId mark{static_cast<std::uint16_t>(barrierCount)};
        sink.requestBarrier(mark, false);
        ledger.closeBatch(mark, now);
        batchSentAt = now;
        return mark;
    }
};

} // namespace zincstack

// Consistent updates in rounds, as in the Coeus paper: targets, pending operations, capacity, deadlock.
#pragma once

#include <algorithm>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "planner/control_channel.h"
#include "planner/health_monitor.h"
#include "planner/subset_tables.h"
#include "planner/transition_table.h"

namespace zincstack {

using namespace std::chrono_literals;

inline constexpr Micros kGatheringWindow = 500ms;
inline constexpr Micros kMaxRoundTime = 2s;
inline constexpr double kHeadroom = 1.2;
inline constexpr Micros kMaxInheritedTableAge = 30s;
inline constexpr double kInheritedTableFactor = 2;
inline constexpr double kDepletedFraction = 0.25;
inline constexpr std::size_t kFirstReadmissions = 2;

enum class RoundState { Idle, Gathering, AwaitingAck, Any };
enum class RoundEvent { ChangesPending, WindowElapsed, AcknowledgedWithChanges, Acknowledged };
enum class RoundAction { OpenWindow, SendStep, EndRound };
inline constexpr Transition<RoundState, RoundEvent, RoundAction> kRoundTransitions[] = {
    {RoundState::Idle, RoundEvent::ChangesPending, RoundState::Gathering, RoundAction::OpenWindow},
    {RoundState::Gathering, RoundEvent::WindowElapsed, RoundState::AwaitingAck, RoundAction::SendStep},
    {RoundState::AwaitingAck, RoundEvent::AcknowledgedWithChanges, RoundState::AwaitingAck,
     RoundAction::SendStep},
    {RoundState::AwaitingAck, RoundEvent::Acknowledged, RoundState::Idle, RoundAction::EndRound}};

/// The design: targets, differences, the ledger and rounds.
struct UpdateScheduler {
    EndpointRegistry& endpoints;
    const HealthMonitor& health;
    ProxyRegistry& proxies;
    ControlChannel& channel;
    RoutingUpdateSink& sink;
    std::vector<PlannedTable> tables;
    RoundState state = RoundState::Idle;
    Micros batchStartedAt{}, windowOpenedAt{}, stepSentAt{}, exclusionsRepeatedAt{};
    std::optional<BarrierId> stepBarrier = {};
    SubsetTables subsets;

    /// What can't wait: withdrawals, and the shrinking of a server that has just started. Past the ledger.
    void orderUrgentUpdates(bool idle, Micros now) {
        const auto each =
            static_cast<double>(proxies.size()) * (2 + channel.limits.messageOverheadLines); // a message
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            // Guards against growth, and lines for each that joins: no old table is as old as its end.
            const bool past = endpoints.health[s] == Removed && endpoints.excluded[s] &&
                              !endpoints.forgotten[s] &&
                              now - endpoints.healthChangedAt[s] > kMaxInheritedTableAge;
            const auto free = [&](const PlannedTable& table) { return table.installed[s] <= 0; };
            if (past && std::ranges::all_of(tables, free) && sink.forgetEndpoint(endpoints.id[s]))
                endpoints.forget(s);
            if (endpoints.forgotten[s]) continue;
            const bool out = !endpoints.isInService(s) && !endpoints.excluded[s];
            const bool lowered =
                health.warmUpFraction(s, now) < 1 || (idle && endpoints.slowStartStep[s] < kSlowStartSteps);
            for (auto& table : tables)
                if (table.installed[s] > targetWeightIn(table, s) &&
                    (out ? channel.hasDeadlineCapacity(each)
                         : lowered && channel.spareLines(kBatchBudget) > 0))
                    installWeight(table, s);
            // Only old tables hold it now. They have few lines: the sick must not take them all.
            const bool sick = endpoints.health[s] == Ejected &&
                              endpoints.excludedFraction(endpoints.zone[s]) >= kDepletedFraction;
            if (out && !sick && channel.hasDeadlineCapacity(each)) setExcluded(s, true);
        }
        // Guards against a table without a line to pick, whatever took the last one: it waits for no round.
        for (auto& table : tables)
            if (!table.subsetOf && endpoints.sum([&](EndpointIndex s) {
                    return !endpoints.excluded[s] * table.installed[s];
                }) <= 0)
                for (EndpointIndex s = 0; s < endpoints.size(); ++s)
                    if (targetWeightIn(table, s) > 0 && channel.hasDeadlineCapacity(each))
                        installWeight(table, s);
    }

    /// Those who joined since may hold ended servers, and hundreds can't be bound within the grace: they are told
    /// again of what was withdrawn.
    void repeatExclusions(bool idle, Micros now) {
        if (now - exclusionsRepeatedAt < kGatheringWindow) return;
        exclusionsRepeatedAt = now;
        const auto each = static_cast<double>(proxies.size()) * (2 + channel.limits.messageOverheadLines);
        const Micros newest = lastInheritedJoin();
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            const bool ended = endpoints.health[s] == Removed; // the sick may wait: no rule ends with them
            if (!endpoints.forgotten[s] && endpoints.excluded[s] && newest > endpoints.excludedAt[s] &&
                (ended || idle) && channel.hasDeadlineCapacity(each))
                setExcluded(s, true);
        }
    }

    /// Servers that may get their full part at once: warm, and in this table; any others only where none is warm.
    std::vector<EndpointIndex> subsetEndpoints(const PlannedTable& whole, Micros now) const {
        std::vector<EndpointIndex> warm, cold;
        for (EndpointIndex s = 0; s < endpoints.size(); ++s)
            if (targetWeightIn(whole, s) > 0 && !endpoints.excluded[s])
                (health.warmUpFraction(s, now) >= 1 ? warm : cold).push_back(s);
        return warm.empty() ? cold : warm;
    }
    /// All that keep an old table and can be bound over later get a starter table, busiest first.
    void assignSubsetTables(Micros now) {
        std::vector<std::pair<double, ProxyId>> order;
        for (const auto& [id, proxy] : proxies)
            if (proxy.usesInheritedTable() && sink.supportsReassignment(id))
                order.emplace_back(-proxy.requestRate(), id);
        const EndpointIndex wholes = fullTableCount();
        if (order.empty() && wholes == tables.size()) return;
        subsets.recount();
        clearUnusedSubsets();
        for (EndpointIndex whole = 0; whole < wholes; ++whole) {
            if (!tables[whole].inUse) continue;
            const auto usable = subsetEndpoints(tables[whole], now);
            for (const auto& [table, s] : subsets.refill(whole, usable)) addEndpoint(tables[table], s);
            if (order.empty()) continue;
            for (const auto& [table, s] : subsets.distribute(whole, usable)) addEndpoint(tables[table], s);
        }
        std::ranges::sort(order);
        for (const auto& [rate, id] : order) assignSubsetsTo(id, wholes);
    }
    EndpointIndex fullTableCount() const {
        return static_cast<EndpointIndex>(
            std::ranges::count_if(tables, [](const PlannedTable& table) { return !table.subsetOf; }));
    }
    void addEndpoint(PlannedTable& table, EndpointIndex s) {
        table.installed.resize(endpoints.size(), 0);
        table.installed[s] = targetWeight(endpoints, s);
        sink.setWeight(table.id, endpoints.id[s], table.installed[s]);
        channel.ledger.chargeTable(table, 1);
    }
    /// Starter tables that nobody holds any more are emptied, to be dealt anew for those who join later.
    void clearUnusedSubsets() {
        for (PlannedTable& table : tables) {
            if (!table.subsetOf || table.holderCount > 0) continue;
            for (EndpointIndex s = 0; s < table.installed.size(); ++s)
                if (std::exchange(table.installed[s], 0) > 0) sink.setWeight(table.id, endpoints.id[s], 0);
        }
    }
    /// A starter table lets in what its whole table does; from then on its levels follow by themselves.
    void copyAdmission(const PlannedTable& whole, PlannedTable& starter) {
        for (const auto& [product, level] : whole.admission) {
            if (level < 0) continue; // none was ordered yet
            sink.setAdmission(starter.id, static_cast<RequestClassSet>(1U << product), level,
                              RetryPolicy::AfterProofOfNoEffect);
            starter.admission[product] = level;
        }
    }
    void assignSubsetsTo(ProxyId id, EndpointIndex wholes) {
        Proxy& proxy = proxies[id];
        std::vector<EndpointIndex> given;
        for (EndpointIndex whole = 0; whole < wholes; ++whole) {
            if (tables[whole].zone != proxy.zone) continue;
            const auto table = subsets.assign(whole, proxy.requestRate());
            if (!table) return; // no server is left for it: it keeps what it holds
            if (tables[*table].holderCount == 1) copyAdmission(tables[whole], tables[*table]);
            given.push_back(*table);
        }
        proxy.subsetTables = std::move(given);
        double rows = 0;
        for (const EndpointIndex t : proxy.subsetTables) {
            sink.assignTable(id, tables[t].requestClasses, tables[t].id);
            rows += 1 + tables[t].endpointCount();
        }
        // An earlier planner may have withdrawn what it names.
        if (!proxy.hasOnlyBootstrapTable && sink.clearStaleExclusions(id, kFirstReadmissions))
            rows += kFirstReadmissions;
        channel.ledger.stage(proxy, rows + 1);
    }

    /// When the last of those joined that keep an old table: it may name what was withdrawn before.
    Micros lastInheritedJoin() const {
        Micros newest{-1};
        for (const auto& [id, proxy] : proxies)
            if (proxy.usesInheritedTable()) newest = std::max(newest, proxy.joinedAt);
        return newest;
    }

    void advance(Micros now) {
        for (bool moved = true; moved;) {
            moved = false;
            const bool over = isStepAcknowledged(now), more = hasPendingChanges();
            const bool input[] = {more, now - windowOpenedAt >= kGatheringWindow, over && more, over};
            const auto* row = findTransition(kRoundTransitions, state,
                                             [&](RoundEvent tick) { return input[static_cast<int>(tick)]; });
            if (!row) break;
            if (state == RoundState::AwaitingAck)
                for (auto& table : tables) table.rateLimitFraction = 1;
            state = row->next;
            moved = row->effect != RoundAction::SendStep;
            if (row->effect == RoundAction::OpenWindow) windowOpenedAt = now;
            if (row->effect == RoundAction::SendStep) executeStep(now);
        }
    }
    bool isStepAcknowledged(Micros now) const {
        return state == RoundState::AwaitingAck && stepSentAt != now &&
               (now - stepSentAt >= kMaxRoundTime || channel.ledger.isAcknowledged(stepBarrier));
    }

    /// A zone where no proxy has joined needs no lines.
    double targetWeightIn(const PlannedTable& table, EndpointIndex s) const {
        if (table.subsetOf) return table.installed[s] > 0 ? targetWeight(endpoints, s) : 0;
        return table.inUse && (!table.zoneLocal || endpoints.zone[s] == table.zone)
                   ? targetWeight(endpoints, s)
                   : 0;
    }
    bool hasPendingChanges() const {
        return std::ranges::any_of(tables, [&](const PlannedTable& table) {
            if (table.subsetOf) return false;
            for (EndpointIndex s = 0; s < endpoints.size(); ++s)
                if (targetWeightIn(table, s) != table.installed[s]) return true;
            return false;
        });
    }
    void setExcluded(EndpointIndex s, bool out) {
        const bool again = out && endpoints.excluded[s];
        sink.setExcluded(endpoints.id[s], out);
        endpoints.excluded[s] = out;
        const double named =
            kInheritedTableFactor * channel.bootstrapTableSize / static_cast<double>(endpoints.knownCount());
        channel.ledger.chargeInheritedTables(std::min(1.0, named), again ? endpoints.excludedAt[s] : -1us);
        endpoints.excludedAt[s] = batchStartedAt;
    }
    void installWeight(PlannedTable& table, EndpointIndex s) {
        table.installed[s] = targetWeightIn(table, s);
        if (table.installed[s] > 0 && endpoints.excluded[s]) setExcluded(s, false);
        sink.setWeight(table.id, endpoints.id[s], table.installed[s]);
        channel.ledger.chargeTable(table, 1);
    }

    struct PendingOperation {
        PlannedTable* table;
        double demand, totalWeight, addedWeight = 0; // weights: standing, and that its raised lines add
        std::vector<EndpointIndex> additions = {}, removals = {};
    };
    /// One step of a round: releases, then the changes that fit, ranked by the servers that they free.
    void executeStep(Micros now) {
        stepSentAt = now, stepBarrier = {};
        const EndpointIndex n = endpoints.size();
        std::vector<double> capacity(n, 0), load(n, 0);
        std::vector<PendingOperation> nodes;
        double usage = 0;
        for (auto& table : tables) {
            if (table.subsetOf) continue;
            PendingOperation node{&table, table.demand(proxies), 0};
            usage += node.demand;
            for (EndpointIndex s = 0; s < n; ++s) {
                node.totalWeight += endpoints.excluded[s] ? 0 : table.installed[s];
                if (targetWeightIn(table, s) > table.installed[s]) {
                    node.additions.push_back(s);
                    node.addedWeight +=
                        targetWeightIn(table, s) - (endpoints.excluded[s] ? 0 : table.installed[s]);
                }
                if (targetWeightIn(table, s) < table.installed[s]) node.removals.push_back(s);
            }
            for (EndpointIndex s = 0; s < n; ++s) load[s] += node.demand * weightFraction(node, s);
            nodes.push_back(std::move(node));
        }
        estimateCapacities(capacity, usage);
        bool sent = false;
        const auto go = [&](const PendingOperation& node, EndpointIndex s) {
            if (channel.spareLines(kBatchBudget) <= 0) return;
            installWeight(*node.table, s), sent = true;
        };
        for (const auto& node : nodes) // releases; a table that serves nobody and the dead skip the fit check
            for (const EndpointIndex s : node.removals)
                if (node.demand <= 0 || node.additions.empty() || !endpoints.isInService(s)) go(node, s);
        std::ranges::stable_sort(nodes, {},
                                 [](const PendingOperation& node) { return -std::ssize(node.removals); });
        const PendingOperation* least = nullptr;
        double leastRatio = 2, leastPart = 0;
        for (const auto& node : nodes) {
            double fits = 2, over = 0;
            for (const EndpointIndex s : node.additions) {
                const double aim = targetWeightIn(*node.table, s);
                const double after =
                    aim / (node.totalWeight + node.addedWeight); // the raised lines share the demand
                const double more = node.demand * (after - weightFraction(node, s)),
                             residual = capacity[s] - load[s];
                if (node.demand <= 0 || node.totalWeight <= 0 || more <= residual) {
                    load[s] += more;
                    go(node, s);
                } else {
                    fits = std::min(fits, std::max(residual, 0.0) / more);
                    over += more;
                }
            }
            if (fits < 1 && 1 - fits < leastRatio) least = &node, leastRatio = 1 - fits, leastPart = over;
        }
        if (sent || !least) return;
        // Deadlock: the least loss moves, slowed by the part of its demand that its step brings too much of.
        least->table->rateLimitFraction = std::clamp(1 - leastRatio * leastPart / least->demand, 0.0, 1.0);
        sink.log("deadlock: " + std::to_string(least->table->id.value) + " at " +
                 text(least->table->rateLimitFraction));
        for (const EndpointIndex s : least->additions) go(*least, s);
    }
    double weightFraction(const PendingOperation& node, EndpointIndex s) const {
        return node.totalWeight > 0 && !endpoints.excluded[s] ? node.table->installed[s] / node.totalWeight
                                                              : 0;
    }
    /// Listed share of heard usage times the headroom; unheard servers count as average.
    void estimateCapacities(std::vector<double>& capacity, double usage) const {
        double known = 0, heard = 0;
        for (EndpointIndex s = 0; s < endpoints.size(); ++s)
            if (endpoints.isInService(s) && endpoints.hasReported[s])
                known += endpoints.listedWeight[s], ++heard;
        for (EndpointIndex s = 0; s < endpoints.size(); ++s)
            capacity[s] =
                targetWeight(endpoints, s) *
                (endpoints.hasReported[s] || heard <= 0 ? 1 : known / heard / endpoints.listedWeight[s]);
        const double all = std::accumulate(capacity.begin(), capacity.end(), 0.0);
        for (double& one : capacity) one = all > 0 ? kHeadroom * usage * one / all : 0;
    }
};

} // namespace zincstack

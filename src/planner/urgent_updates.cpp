// Decides which updates cannot wait for a round and whether the control channel has capacity for them.
#include "planner/urgent_updates.h"

#include <algorithm>

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// No proxy joins with an inherited table that is older than this.
constexpr Micros kMaxInheritedTableAge = 30s;
/// Fraction of a zone's endpoints that must be excluded for the zone to count as depleted.
constexpr double kDepletedFraction = 0.25;

} // namespace

bool isZoneDepleted(const EndpointRegistry& endpoints, ZoneId zone) {
    return endpoints.excludedFraction(zone) >= kDepletedFraction;
}

void UrgentUpdates::issueUrgentUpdates(bool channelIsIdle, Micros now) {
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        forgetIfUnreferenced(index, now);
        if (endpoints_.forgotten[index]) continue;
        const bool awaitsExclusion = !endpoints_.isInService(index) && !endpoints_.excluded[index];
        lowerWeights(index, awaitsExclusion, channelIsIdle, now);
        if (awaitsExclusion) exclude(index);
    }
    refillTablesWithoutUsableEndpoint();
}

void UrgentUpdates::forgetIfUnreferenced(EndpointIndex index, Micros now) {
    if (endpoints_.health[index] != HealthState::Removed) return;
    if (!endpoints_.excluded[index] || endpoints_.forgotten[index]) return;
    if (now - endpoints_.healthChangedAt[index] <= kMaxInheritedTableAge) return;
    const bool isReferenced = std::ranges::any_of(
        routing_.tables, [index](const PlannedTable& table) { return table.installedWeight[index] > 0; });
    if (!isReferenced && sink_.forgetEndpoint(endpoints_.id[index])) endpoints_.forget(index);
}

/// An endpoint that is warming up cannot carry its installed weight, so the weight is lowered immediately.
/// That of any other endpoint in slow start (readmitted, or with a reduced weight) is lowered only while the
/// channel is idle.
void UrgentUpdates::lowerWeights(EndpointIndex index, bool awaitsExclusion, bool channelIsIdle, Micros now) {
    const bool isWarmingUp = health_.warmUpFraction(index, now) < 1;
    const bool isInSlowStart = endpoints_.slowStartStep[index] < kSlowStartSteps;
    const bool mayLower = isWarmingUp || (channelIsIdle && isInSlowStart);
    for (PlannedTable& table : routing_.tables) {
        if (table.installedWeight[index] <= routing_.targetWeightIn(table, index)) continue;
        const bool hasCapacity = awaitsExclusion ? channel_.hasDeadlineCapacity(channel_.broadcastLines())
                                                 : mayLower && channel_.spareLines(kBatchBudget) > 0;
        if (hasCapacity) routing_.installWeight(table, index);
    }
}

void UrgentUpdates::exclude(EndpointIndex index) {
    // Only inherited tables still name the endpoint. They are short, so ejections must not remove their last
    // endpoints.
    const bool isEjected = endpoints_.health[index] == HealthState::Ejected;
    if (isEjected && isZoneDepleted(endpoints_, endpoints_.zone[index])) return;
    if (channel_.hasDeadlineCapacity(channel_.broadcastLines())) routing_.setExcluded(index, true);
}

/// Issues the target weights of full tables that have no usable endpoint, whatever the cause, without waiting
/// for a round.
void UrgentUpdates::refillTablesWithoutUsableEndpoint() {
    for (PlannedTable& table : routing_.tables) {
        if (table.subsetOf || !routing_.hasNoUsableEndpoint(table)) continue;
        for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
            if (routing_.targetWeightIn(table, index) <= 0) continue;
            if (channel_.hasDeadlineCapacity(channel_.broadcastLines())) routing_.installWeight(table, index);
        }
    }
}

void UrgentUpdates::repeatExclusions(bool channelIsIdle, Micros now) {
    if (now - exclusionsRepeatedAt_ < kCoalescingWindow) return;
    exclusionsRepeatedAt_ = now;
    const Micros lastJoin = lastJoinWithInheritedTable();
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        if (endpoints_.forgotten[index] || !endpoints_.excluded[index]) continue;
        if (lastJoin <= endpoints_.excludedAt[index]) continue;
        // Only removed endpoints have a deadline (the drain grace period). The exclusion of ejected ones can
        // wait until the channel is idle.
        const bool isUrgent = endpoints_.health[index] == HealthState::Removed;
        if ((isUrgent || channelIsIdle) && channel_.hasDeadlineCapacity(channel_.broadcastLines()))
            routing_.setExcluded(index, true);
    }
}

Micros UrgentUpdates::lastJoinWithInheritedTable() const {
    Micros latest{-1};
    for (const auto& [id, proxy] : proxies_)
        if (proxy.usesInheritedTable()) latest = std::max(latest, proxy.joinedAt);
    return latest;
}

} // namespace zincstack

// Compares what the endpoints can serve at their age with the demand that their tables bring to them.
#include "planner/warm_up_limits.h"

#include "planner/capacity_ledger.h"

namespace zincstack {

AdmittedDemand WarmUpLimits::update(std::vector<PlannedTable>& tables, const AdmittedDemand& demand,
                                    Micros now) {
    if (!canLimitAdmission_) return demand;
    double totalDemand = demand.anyZone;
    for (const auto& [zone, rate] : demand.zoneLocal) totalDemand += rate;
    Pools pools = findPools(now);
    estimateCapacities(pools, totalDemand, now);

    for (PlannedTable& table : tables) table.warmUpFraction = 1; // also those without demand
    const double fleetFraction = admittedFraction(pools.fleet, totalDemand);
    setFraction(tables, std::nullopt, fleetFraction);
    AdmittedDemand admitted{.anyZone = demand.anyZone * fleetFraction};
    for (const auto& [zone, rate] : demand.zoneLocal) {
        const EndpointPool& pool = pools.zones[zone];
        const double zoneShare =
            pools.fleet.targetWeight > 0 ? pool.targetWeight / pools.fleet.targetWeight : 0;
        const double fraction = admittedFraction(pool, rate + admitted.anyZone * zoneShare);
        setFraction(tables, zone, fraction);
        admitted.zoneLocal[zone] = rate * fraction;
    }
    for (PlannedTable& table : tables) {
        if (table.subsetOf)
            table.warmUpFraction = tables[*table.subsetOf].warmUpFraction;
        else
            reportChange(table);
    }
    // Slow start weighs endpoints that are warming up against warm ones. Without any, weights only divide the
    // demand, and raising them would cost lines for nothing.
    return pools.fleet.warmWeight > 0 ? admitted : demand;
}

WarmUpLimits::Pools WarmUpLimits::findPools(Micros now) const {
    Pools pools;
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        if (!endpoints_.isInService(endpoint)) continue;
        const double listed = endpoints_.listedWeight[endpoint];
        const double warm = health_.warmUpFraction(endpoint, now) >= 1 ? listed : 0;
        for (EndpointPool* pool : {&pools.fleet, &pools.zones[endpoints_.zone[endpoint]]}) {
            pool->listedWeight += listed;
            pool->warmWeight += warm;
            pool->targetWeight += targetWeight(endpoints_, endpoint);
        }
    }
    return pools;
}

/// A warm endpoint is trusted to carry what no rule forbids, since slow start protects the others from its
/// overload. One that is warming up gets no more than its warm-up fraction of what a warm one serves.
void WarmUpLimits::estimateCapacities(Pools& pools, double totalDemand, Micros now) const {
    const std::optional<double> assumed = assumedRate(pools.fleet, totalDemand);
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        if (!endpoints_.isInService(endpoint)) continue;
        const ZoneId zone = endpoints_.zone[endpoint];
        const std::optional<double> served = rates_.rateOf(zone);
        const double rate = served ? *served : assumed.value_or(0);
        const double warmUp = health_.warmUpFraction(endpoint, now);
        const double factor = warmUp >= 1 ? safeOverload(safety_) : kCapacityHeadroom * warmUp;
        const double capacity = factor * rate * endpoints_.listedWeight[endpoint];
        pools.fleet.capacity += capacity;
        pools.zones[zone].capacity += capacity;
    }
}

/// The rate to assume before any report has come: an equal share of the demand. It is unknown if no endpoint
/// is warm: the whole fleet has just started, and its demand may be below or above what it can serve.
std::optional<double> WarmUpLimits::assumedRate(const EndpointPool& fleet, double totalDemand) const {
    if (fleet.warmWeight <= 0) return {};
    return totalDemand / fleet.listedWeight;
}

double WarmUpLimits::admittedFraction(const EndpointPool& pool, double demand) const {
    const bool warmOnesCarryAll = pool.warmWeight * safeOverload(safety_) >= pool.listedWeight;
    const bool isUnknown = pool.capacity <= 0;
    if (warmOnesCarryAll || isUnknown || demand <= pool.capacity) return 1;
    return pool.capacity / demand;
}

/// Sets the fraction of the full tables that are local to the zone, or of those that are not zone-local.
void WarmUpLimits::setFraction(std::vector<PlannedTable>& tables, std::optional<ZoneId> zoneLocalIn,
                               double fraction) {
    for (PlannedTable& table : tables) {
        const bool isMeant = zoneLocalIn ? table.zoneLocal && table.zone == *zoneLocalIn : !table.zoneLocal;
        if (isMeant && !table.subsetOf) table.warmUpFraction = fraction;
    }
}

void WarmUpLimits::reportChange(const PlannedTable& table) {
    const bool isLimited = table.warmUpFraction < 1;
    const bool wasLimited = limitedTables_.contains(table.id);
    if (isLimited && !wasLimited) {
        limitedTables_.insert(table.id);
        sink_.report(WarmUpLimitStarted{table.id, table.warmUpFraction});
    }
    if (!isLimited && wasLimited) {
        limitedTables_.erase(table.id);
        sink_.report(WarmUpLimitStopped{table.id});
    }
}

} // namespace zincstack

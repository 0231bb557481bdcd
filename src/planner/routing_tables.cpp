// Computes target weights, and issues weight updates and exclusions to the sink.
#include "planner/routing_tables.h"

#include <algorithm>
#include <utility>

#include "planner/slow_start.h"

namespace zincstack {

namespace {

/// Ratio between the assumed probability that a bootstrap table names an endpoint and the probability if all
/// endpoints were named equally often.
constexpr double kBootstrapTableSkew = 2;
/// Earlier than the join time of any proxy.
constexpr Micros kBeforeAllJoins{-1};

} // namespace

void RoutingTables::createFullTables(const std::vector<RequestClassConfig>& requestClasses,
                                     std::uint8_t zoneCount) {
    for (const bool zoneLocal : {false, true}) {
        RequestClassSet served = 0;
        for (EndpointIndex classIndex = 0; classIndex < requestClasses.size(); ++classIndex)
            if (requestClasses[classIndex].zoneLocal == zoneLocal)
                served = static_cast<RequestClassSet>(served | 1U << classIndex);
        if (served == 0) continue;
        for (std::uint8_t zone = 0; zone < zoneCount; ++zone)
            tables.push_back({{static_cast<std::uint16_t>(tables.size())}, {zone}, zoneLocal, served});
    }
}

void RoutingTables::beginBatch(const ProxyRegistry& proxies, Micros now) {
    batchStartedAt_ = now;
    for (PlannedTable& table : tables) {
        table.installedWeight.resize(endpoints_.size(), 0);
        table.inUse = !table.subsetOf && std::ranges::any_of(proxies, [&](const auto& entry) {
            return entry.second.zone == table.zone;
        });
    }
}

EndpointIndex RoutingTables::fullTableCount() const {
    const auto count =
        std::ranges::count_if(tables, [](const PlannedTable& table) { return !table.subsetOf; });
    return static_cast<EndpointIndex>(count);
}

double RoutingTables::targetWeightIn(const PlannedTable& table, EndpointIndex index) const {
    if (table.subsetOf) return table.installedWeight[index] > 0 ? targetWeight(endpoints_, index) : 0;
    if (!table.inUse) return 0;
    if (table.zoneLocal && endpoints_.zone[index] != table.zone) return 0;
    return targetWeight(endpoints_, index);
}

bool RoutingTables::hasPendingChanges() const {
    return std::ranges::any_of(tables, [&](const PlannedTable& table) {
        if (table.subsetOf) return false;
        for (EndpointIndex index = 0; index < endpoints_.size(); ++index)
            if (targetWeightIn(table, index) != table.installedWeight[index]) return true;
        return false;
    });
}

bool RoutingTables::hasNoUsableEndpoint(const PlannedTable& table) const {
    const double usableWeight = endpoints_.sum(
        [&](EndpointIndex index) { return !endpoints_.excluded[index] * table.installedWeight[index]; });
    return usableWeight <= 0;
}

void RoutingTables::installWeight(PlannedTable& table, EndpointIndex index) {
    const double weight = targetWeightIn(table, index);
    if (weight > 0 && endpoints_.excluded[index]) setExcluded(index, false);
    issueWeight(table, index, weight);
}

void RoutingTables::addEndpoint(PlannedTable& table, EndpointIndex index) {
    table.installedWeight.resize(endpoints_.size(), 0);
    issueWeight(table, index, targetWeight(endpoints_, index));
}

void RoutingTables::clear(PlannedTable& table) {
    for (EndpointIndex index = 0; index < table.installedWeight.size(); ++index) {
        const double installed = std::exchange(table.installedWeight[index], 0);
        if (installed > 0) sink_.setWeight(table.id, endpoints_.id[index], 0);
    }
}

void RoutingTables::setExcluded(EndpointIndex index, bool excluded) {
    const bool repeated = excluded && endpoints_.excluded[index];
    sink_.setExcluded(endpoints_.id[index], excluded);
    endpoints_.excluded[index] = excluded ? 1 : 0;
    const auto endpointCount = static_cast<double>(endpoints_.knownCount());
    const double bootstrapProbability =
        std::min(1.0, kBootstrapTableSkew * bootstrapTableSize_ / endpointCount);
    channel_.ledger.chargeInheritedTables(bootstrapProbability,
                                          repeated ? endpoints_.excludedAt[index] : kBeforeAllJoins);
    endpoints_.excludedAt[index] = batchStartedAt_;
}

void RoutingTables::issueWeight(PlannedTable& table, EndpointIndex index, double weight) {
    table.installedWeight[index] = weight;
    sink_.setWeight(table.id, endpoints_.id[index], weight);
    channel_.ledger.chargeTable(table, 1);
}

} // namespace zincstack

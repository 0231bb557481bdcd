// Assigns tables to proxies in descending order of request rate and stages the lines that this costs.
#include "planner/table_assignment.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "planner/slow_start.h"

namespace zincstack {

namespace {

/// Number of endpoints that are readmitted at a proxy when subset tables are assigned to it, so that it has
/// at least one that is not excluded there by an earlier planner.
constexpr std::size_t kFirstReadmissions = 2;

/// A proxy and the rate, in requests per second, by which it is ranked.
struct RankedProxy {
    ProxyId id;
    double requestRate;
};

/// Returns the candidates in descending order of request rate; proxies with equal rates in the order of their
/// ids.
std::vector<RankedProxy> rankByRequestRate(const ProxyRegistry& proxies, const auto& isCandidate) {
    std::vector<RankedProxy> ranked;
    for (const auto& [id, proxy] : proxies)
        if (isCandidate(id, proxy)) ranked.push_back({id, proxy.requestRate()});
    std::ranges::stable_sort(ranked, std::greater{}, &RankedProxy::requestRate);
    return ranked;
}

} // namespace

void TableAssignment::assignFullTables(double budgetLines) {
    if (totalTargetWeight(endpoints_) <= 0) return;
    const auto ranked =
        rankByRequestRate(proxies_, [](ProxyId /*id*/, const Proxy& proxy) { return !proxy.hasFullTable; });
    const auto excludedCount = std::ranges::count(endpoints_.excluded, 1);
    for (const RankedProxy& next : ranked) {
        if (budgetLines <= 0) return;
        const double stagedBefore = channel_.ledger.stagedLines();
        assignFullTablesTo(next.id, excludedCount);
        budgetLines -= channel_.ledger.stagedLines() - stagedBefore;
    }
}

void TableAssignment::assignFullTablesTo(ProxyId id, std::ptrdiff_t excludedCount) {
    Proxy& proxy = proxies_[id];
    proxy.hasFullTable = true;
    proxy.subsetTables.clear();
    for (const PlannedTable& table : routing_.tables) {
        if (table.subsetOf || !table.isHeldBy(proxy)) continue;
        sink_.assignTable(id, table.requestClasses, table.id);
        const auto otherLines = static_cast<double>(excludedCount + std::ssize(table.admission));
        channel_.ledger.stage(proxy, 1 + table.endpointCount() + otherLines);
    }
}

bool TableAssignment::mayAssignFullTables(Micros drainGracePeriod, Micros now) const {
    if (!channel_.isMetered()) return true;
    double updateLines = 1;
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index)
        if (endpoints_.health[index] == HealthState::Removed && !endpoints_.forgotten[index] &&
            endpoints_.healthChangedAt[index] > now - drainGracePeriod)
            ++updateLines;
    const auto holders = static_cast<double>(
        std::ranges::count_if(proxies_, [](const auto& entry) { return entry.second.hasFullTable; }));
    const double linesForAll =
        holders * (channel_.limits().messageOverheadLines + kBarrierLines + updateLines);
    return linesForAll <= kOrdinaryQueueFraction * channel_.limits().maxQueuedLines;
}

void TableAssignment::assignSubsetTables(Micros now) {
    const auto ranked = rankByRequestRate(proxies_, [this](ProxyId id, const Proxy& proxy) {
        return proxy.usesInheritedTable() && sink_.supportsReassignment(id);
    });
    const EndpointIndex fullTableCount = routing_.fullTableCount();
    const bool hasSubsets = fullTableCount < routing_.tables.size();
    if (ranked.empty() && !hasSubsets) return;
    subsets_.recountHolders();
    clearUnusedSubsets();
    for (EndpointIndex fullTable = 0; fullTable < fullTableCount; ++fullTable) {
        if (!routing_.tables[fullTable].inUse) continue;
        const auto usable = usableEndpoints(routing_.tables[fullTable], now);
        addEndpoints(subsets_.refill(fullTable, usable));
        if (!ranked.empty()) addEndpoints(subsets_.distribute(fullTable, usable));
    }
    for (const RankedProxy& next : ranked) assignSubsetsTo(next.id, fullTableCount);
}

std::vector<EndpointIndex> TableAssignment::usableEndpoints(const PlannedTable& fullTable, Micros now) const {
    std::vector<EndpointIndex> warm;
    std::vector<EndpointIndex> warmingUp;
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        if (routing_.targetWeightIn(fullTable, index) <= 0 || endpoints_.excluded[index]) continue;
        const bool isWarm = health_.warmUpFraction(index, now) >= 1;
        (isWarm ? warm : warmingUp).push_back(index);
    }
    return warm.empty() ? warmingUp : warm;
}

void TableAssignment::addEndpoints(const std::vector<SubsetTables::EndpointAddition>& additions) {
    for (const auto& [table, endpoint] : additions) routing_.addEndpoint(routing_.tables[table], endpoint);
}

void TableAssignment::clearUnusedSubsets() {
    for (PlannedTable& table : routing_.tables)
        if (table.subsetOf && table.holderCount == 0) routing_.clear(table);
}

void TableAssignment::copyAdmission(const PlannedTable& fullTable, PlannedTable& subset) {
    for (const auto& [requestClass, limit] : fullTable.admission) {
        if (limit < 0) continue; // no limit has been issued yet
        sink_.setAdmission(subset.id, static_cast<RequestClassSet>(1U << requestClass), limit,
                           RetryPolicy::AfterProofOfNoEffect);
        subset.admission[requestClass] = limit;
    }
}

std::optional<std::vector<EndpointIndex>> TableAssignment::chooseSubsets(const Proxy& proxy,
                                                                         EndpointIndex fullTableCount) {
    std::vector<EndpointIndex> chosen;
    for (EndpointIndex fullTable = 0; fullTable < fullTableCount; ++fullTable) {
        if (routing_.tables[fullTable].zone != proxy.zone) continue;
        const auto subset = subsets_.assign(fullTable, proxy.requestRate());
        if (!subset) return std::nullopt;
        PlannedTable& table = routing_.tables[*subset];
        const bool isFirstHolder = table.holderCount == 1;
        if (isFirstHolder) copyAdmission(routing_.tables[fullTable], table);
        chosen.push_back(*subset);
    }
    return chosen;
}

void TableAssignment::assignSubsetsTo(ProxyId id, EndpointIndex fullTableCount) {
    Proxy& proxy = proxies_[id];
    auto chosen = chooseSubsets(proxy, fullTableCount);
    if (!chosen) return; // the proxy keeps the table that it holds
    proxy.subsetTables = std::move(*chosen);
    double lines = 0;
    for (const EndpointIndex tableIndex : proxy.subsetTables) {
        const PlannedTable& table = routing_.tables[tableIndex];
        sink_.assignTable(id, table.requestClasses, table.id);
        lines += 1 + table.endpointCount();
    }
    // An earlier planner may have excluded endpoints of these tables at the proxy.
    if (!proxy.hasOnlyBootstrapTable && sink_.clearStaleExclusions(id, kFirstReadmissions))
        lines += kFirstReadmissions;
    channel_.ledger.stage(proxy, lines + 1);
}

void TableAssignment::clearStaleExclusions() {
    const auto hasTarget = [this](EndpointIndex index) { return targetWeight(endpoints_, index) > 0; };
    for (auto& [id, proxy] : proxies_) {
        if (!proxy.hasFullTable || std::exchange(proxy.staleExclusionsCleared, true)) continue;
        if (!sink_.clearStaleExclusions(id, endpoints_.size())) continue;
        channel_.ledger.stage(proxy, endpoints_.sum(hasTarget));
        if (channel_.spareLines(kIdleBudget) <= 0) return;
    }
}

} // namespace zincstack

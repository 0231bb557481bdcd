// Distributes endpoints over subset tables, and proxies over these tables by load.
#include "planner/subset_tables.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace zincstack {

namespace {

/// A subset table is refilled when at most this fraction of `endpointsPerTable` endpoints is usable.
constexpr double kRefillThreshold = 0.5;

} // namespace

std::vector<EndpointIndex> SubsetTables::subsetsOf(EndpointIndex fullTable) const {
    std::vector<EndpointIndex> subsets;
    for (EndpointIndex tableIndex = 0; tableIndex < tables_.size(); ++tableIndex)
        if (tables_[tableIndex].subsetOf == fullTable) subsets.push_back(tableIndex);
    return subsets;
}

void SubsetTables::recountHolders() {
    for (PlannedTable& table : tables_) {
        if (!table.subsetOf) continue;
        table.holderCount = 0;
        table.holderRate = 0;
    }
    for (const auto& [id, proxy] : proxies_)
        for (const EndpointIndex tableIndex : proxy.subsetTables) {
            ++tables_[tableIndex].holderCount;
            tables_[tableIndex].holderRate += proxy.requestRate();
        }
}

EndpointIndex SubsetTables::createSubset(EndpointIndex fullTable) {
    const PlannedTable& parent = tables_[fullTable];
    const EndpointIndex tableIndex = tables_.size();
    PlannedTable subset{
        {static_cast<std::uint16_t>(tableIndex)}, parent.zone, parent.zoneLocal, parent.requestClasses};
    subset.subsetOf = fullTable;
    subset.installedWeight.resize(endpoints_.size(), 0);
    tables_.push_back(std::move(subset));
    return tableIndex;
}

std::vector<SubsetTables::EndpointAddition>
SubsetTables::distribute(EndpointIndex fullTable, const std::vector<EndpointIndex>& usable) {
    if (usable.empty() || endpointsPerTable_ == 0) return {};
    const std::size_t tableCount = (usable.size() + endpointsPerTable_ - 1) / endpointsPerTable_;
    std::vector<EndpointIndex> subsets = subsetsOf(fullTable);
    while (subsets.size() < tableCount) subsets.push_back(createSubset(fullTable));
    std::erase_if(subsets, [&](EndpointIndex tableIndex) { return tables_[tableIndex].holderCount > 0; });
    if (subsets.empty()) return {};

    std::vector<EndpointIndex> shuffled = usable;
    std::ranges::shuffle(shuffled, random_);
    // All tables get the same number of endpoints. If the endpoints do not divide evenly, some are named
    // twice.
    const std::size_t additionCount = subsets.size() * std::min(endpointsPerTable_, usable.size());
    std::vector<EndpointAddition> additions;
    additions.reserve(additionCount);
    for (std::size_t k = 0; k < additionCount; ++k)
        additions.push_back({subsets[k % subsets.size()], shuffled[k % shuffled.size()]});
    return additions;
}

bool SubsetTables::hasEnoughEndpoints(const PlannedTable& table) const {
    std::size_t usable = 0;
    for (EndpointIndex index = 0; index < table.installedWeight.size(); ++index)
        if (table.installedWeight[index] > 0 && endpoints_.isInService(index) && !endpoints_.excluded[index])
            ++usable;
    return static_cast<double>(usable) > kRefillThreshold * static_cast<double>(endpointsPerTable_);
}

std::vector<SubsetTables::EndpointAddition> SubsetTables::refill(EndpointIndex fullTable,
                                                                 const std::vector<EndpointIndex>& usable) {
    std::vector<EndpointAddition> additions;
    for (const EndpointIndex tableIndex : subsetsOf(fullTable)) {
        const PlannedTable& table = tables_[tableIndex];
        if (table.holderCount == 0 || hasEnoughEndpoints(table)) continue;
        std::vector<EndpointIndex> candidates;
        std::ranges::copy_if(usable, std::back_inserter(candidates),
                             [&](EndpointIndex index) { return table.installedWeight[index] <= 0; });
        std::ranges::shuffle(candidates, random_);
        const std::size_t count = std::min(candidates.size(), endpointsPerTable_ / 2 + 1);
        for (std::size_t k = 0; k < count; ++k) additions.push_back({tableIndex, candidates[k]});
    }
    return additions;
}

std::optional<EndpointIndex> SubsetTables::assign(EndpointIndex fullTable, double requestRate) {
    std::optional<EndpointIndex> leastLoaded;
    double leastLoad = 0;
    for (const EndpointIndex tableIndex : subsetsOf(fullTable)) {
        const PlannedTable& table = tables_[tableIndex];
        const double weight =
            std::accumulate(table.installedWeight.begin(), table.installedWeight.end(), 0.0);
        if (weight <= 0) continue;
        const double load = (table.holderRate + requestRate) / weight;
        if (leastLoaded && load >= leastLoad) continue;
        leastLoaded = tableIndex;
        leastLoad = load;
    }
    if (!leastLoaded) return std::nullopt;
    ++tables_[*leastLoaded].holderCount;
    tables_[*leastLoaded].holderRate += requestRate;
    return leastLoaded;
}

} // namespace zincstack

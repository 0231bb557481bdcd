#include "planner/subset_tables.h"

#include <algorithm>

namespace zincstack {

namespace {

constexpr double kRefillThreshold = 0.5; // part of its rows under which a table gets more

} // namespace

std::vector<EndpointIndex> SubsetTables::subsetsOf(EndpointIndex whole) const {
    std::vector<EndpointIndex> out;
    for (EndpointIndex t = 0; t < tables_.size(); ++t)
        if (tables_[t].subsetOf == whole) out.push_back(t);
    return out;
}

void SubsetTables::recount() {
    for (PlannedTable& table : tables_)
        if (table.subsetOf) table.holderCount = 0, table.holderRate = 0;
    for (const auto& [id, proxy] : proxies_)
        for (const EndpointIndex t : proxy.subsetTables) {
            ++tables_[t].holderCount;
            tables_[t].holderRate += proxy.requestRate();
        }
}

std::vector<SubsetTables::TableEndpoint> SubsetTables::distribute(EndpointIndex whole,
                                                                  const std::vector<EndpointIndex>& usable) {
    std::vector<TableEndpoint> out;
    if (usable.empty() || endpointsPerTable_ == 0) return out;
    const std::size_t wanted = (usable.size() + endpointsPerTable_ - 1) / endpointsPerTable_;
    std::vector<EndpointIndex> starters = subsetsOf(whole);
    while (starters.size() < wanted) {
        const PlannedTable& parent = tables_[whole];
        PlannedTable fresh{{static_cast<std::uint16_t>(tables_.size())},
                           parent.zone,
                           parent.zoneLocal,
                           parent.requestClasses};
        fresh.subsetOf = whole;
        fresh.installed.resize(endpoints_.size(), 0);
        starters.push_back(tables_.size());
        tables_.push_back(std::move(fresh));
    }
    std::erase_if(starters, [&](EndpointIndex t) { return tables_[t].holderCount > 0; });
    if (starters.empty()) return out;
    std::vector<EndpointIndex> dealt = usable;
    std::ranges::shuffle(dealt, random_);
    // Each table gets the same number of rows, whether or not all servers go round.
    for (std::size_t k = 0; k < starters.size() * std::min(endpointsPerTable_, usable.size()); ++k)
        out.push_back({starters[k % starters.size()], dealt[k % dealt.size()]});
    return out;
}

bool SubsetTables::hasEnoughEndpoints(const PlannedTable& table) const {
    std::size_t usable = 0;
    for (EndpointIndex s = 0; s < table.installed.size(); ++s)
        usable += table.installed[s] > 0 && endpoints_.isInService(s) && !endpoints_.excluded[s];
    return static_cast<double>(usable) > kRefillThreshold * static_cast<double>(endpointsPerTable_);
}

std::vector<SubsetTables::TableEndpoint> SubsetTables::refill(EndpointIndex whole,
                                                              const std::vector<EndpointIndex>& usable) {
    std::vector<TableEndpoint> out;
    for (const EndpointIndex t : subsetsOf(whole)) {
        const PlannedTable& table = tables_[t];
        if (table.holderCount == 0 || hasEnoughEndpoints(table)) continue;
        std::vector<EndpointIndex> others;
        std::ranges::copy_if(usable, std::back_inserter(others),
                             [&](EndpointIndex s) { return table.installed[s] <= 0; });
        std::ranges::shuffle(others, random_);
        for (std::size_t k = 0; k < std::min(others.size(), endpointsPerTable_ / 2 + 1); ++k)
            out.push_back({t, others[k]});
    }
    return out;
}

std::optional<EndpointIndex> SubsetTables::assign(EndpointIndex whole, double rate) {
    std::optional<EndpointIndex> least;
    double leastLoad = 0;
    for (const EndpointIndex t : subsetsOf(whole)) {
        const double weight = std::accumulate(tables_[t].installed.begin(), tables_[t].installed.end(), 0.0);
        if (weight <= 0) continue;
        const double load = (tables_[t].holderRate + rate) / weight;
        if (least && load >= leastLoad) continue;
        least = t;
        leastLoad = load;
    }
    if (!least) return least;
    ++tables_[*least].holderCount;
    tables_[*least].holderRate += rate;
    return least;
}

} // namespace zincstack

#include "planner/subset_tables.h"

#include <algorithm>

namespace zincstack {

namespace {

constexpr double kFewServers = 0.5; // part of its rows under which a table gets more

} // namespace

std::vector<EndpointIndex> StarterTables::startersOf(EndpointIndex whole) const {
    std::vector<EndpointIndex> out;
    for (EndpointIndex t = 0; t < tables_.size(); ++t)
        if (tables_[t].starterOf == whole) out.push_back(t);
    return out;
}

void StarterTables::count() {
    for (Table& table : tables_)
        if (table.starterOf) table.holders = 0, table.heldRate = 0;
    for (const auto& [id, proxy] : proxies_)
        for (const EndpointIndex t : proxy.starters) {
            ++tables_[t].holders;
            tables_[t].heldRate += proxy.rate();
        }
}

std::vector<StarterTables::Row> StarterTables::deal(EndpointIndex whole,
                                                    const std::vector<EndpointIndex>& usable) {
    std::vector<Row> out;
    if (usable.empty() || rows_ == 0) return out;
    const std::size_t wanted = (usable.size() + rows_ - 1) / rows_;
    std::vector<EndpointIndex> starters = startersOf(whole);
    while (starters.size() < wanted) {
        const Table& parent = tables_[whole];
        Table fresh{
            {static_cast<std::uint16_t>(tables_.size())}, parent.zone, parent.zoneOnly, parent.products};
        fresh.starterOf = whole;
        fresh.standing.resize(servers_.size(), 0);
        starters.push_back(tables_.size());
        tables_.push_back(std::move(fresh));
    }
    std::erase_if(starters, [&](EndpointIndex t) { return tables_[t].holders > 0; });
    if (starters.empty()) return out;
    std::vector<EndpointIndex> dealt = usable;
    std::ranges::shuffle(dealt, chance_);
    // Each table gets the same number of rows, whether or not all servers go round.
    for (std::size_t k = 0; k < starters.size() * std::min(rows_, usable.size()); ++k)
        out.push_back({starters[k % starters.size()], dealt[k % dealt.size()]});
    return out;
}

bool StarterTables::holdsEnough(const Table& table) const {
    std::size_t usable = 0;
    for (EndpointIndex s = 0; s < table.standing.size(); ++s)
        usable += table.standing[s] > 0 && servers_.serves(s) && !servers_.withdrawn[s];
    return static_cast<double>(usable) > kFewServers * static_cast<double>(rows_);
}

std::vector<StarterTables::Row> StarterTables::refill(EndpointIndex whole,
                                                      const std::vector<EndpointIndex>& usable) {
    std::vector<Row> out;
    for (const EndpointIndex t : startersOf(whole)) {
        const Table& table = tables_[t];
        if (table.holders == 0 || holdsEnough(table)) continue;
        std::vector<EndpointIndex> others;
        std::ranges::copy_if(usable, std::back_inserter(others),
                             [&](EndpointIndex s) { return table.standing[s] <= 0; });
        std::ranges::shuffle(others, chance_);
        for (std::size_t k = 0; k < std::min(others.size(), rows_ / 2 + 1); ++k)
            out.push_back({t, others[k]});
    }
    return out;
}

std::optional<EndpointIndex> StarterTables::assign(EndpointIndex whole, double rate) {
    std::optional<EndpointIndex> least;
    double leastLoad = 0;
    for (const EndpointIndex t : startersOf(whole)) {
        const double weight = std::accumulate(tables_[t].standing.begin(), tables_[t].standing.end(), 0.0);
        if (weight <= 0) continue;
        const double load = (tables_[t].heldRate + rate) / weight;
        if (least && load >= leastLoad) continue;
        least = t;
        leastLoad = load;
    }
    if (!least) return least;
    ++tables_[*least].holders;
    tables_[*least].heldRate += rate;
    return least;
}

} // namespace zincstack

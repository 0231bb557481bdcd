// Which proxies have joined, what they hold and what they ask for. State only.
#pragma once

#include <deque>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include "planner/endpoint_registry.h"

namespace zincstack {

struct Proxy {
    ZoneId zone;
    bool hasFullTable = false, hasOnlyBootstrapTable = true; // bound: to whole tables
    std::vector<double> demand;                              // txns a second by product
    double stagedLines = 0;                                  // lines of the message now being put together
    std::deque<std::pair<BarrierId, double>> unacknowledged = {}; // lines of each message without an answer
    Micros joinedAt{};
    bool staleExclusionsCleared = false;          // let back is what earlier planners withdrew
    std::vector<EndpointIndex> subsetTables = {}; // the starter tables that it holds; empty: none, or bound
    bool usesInheritedTable() const { return !hasFullTable && subsetTables.empty(); }
    double requestRate() const { return std::accumulate(demand.begin(), demand.end(), 0.0); }
};
using ProxyRegistry = std::map<ProxyId, Proxy>;

/// Txns a second of each product, of all proxies.
inline std::vector<double> demandByClass(const ProxyRegistry& proxies, EndpointIndex products) {
    std::vector<double> out(products, 0);
    for (const auto& [id, proxy] : proxies)
        for (EndpointIndex p = 0; p < products; ++p) out[p] += proxy.demand[p];
    return out;
}

} // namespace zincstack

// Which proxies have joined, what they hold and what they request. State only.
#pragma once

#include <deque>
#include <map>
#include <numeric>
#include <vector>

#include "planner/endpoint_registry.h"

namespace zincstack {

/// A message that was sent to a proxy and that it has not acknowledged.
struct UnacknowledgedMessage {
    BarrierId barrier;
    double lines = 0; ///< with its overhead
};

struct Proxy {
    ZoneId zone;
    bool hasFullTable = false; ///< it is assigned the full tables of its zone
    /// Of a proxy with an inherited table: that is the bootstrap table; false: a table of an earlier planner.
    bool hasOnlyBootstrapTable = true;
    std::vector<double> demand; ///< requests a second, by place of the request class
    double stagedLines = 0;     ///< in the message of the open batch
    std::deque<UnacknowledgedMessage> unacknowledged = {}; ///< oldest first
    Micros joinedAt{};
    bool staleExclusionsCleared = false; ///< what earlier planners excluded at it has been readmitted
    /// Places of the subset tables that it holds. Empty: it holds full tables, or an inherited one.
    std::vector<EndpointIndex> subsetTables = {};

    /// Nothing has been assigned to it yet: it holds what it joined with.
    bool usesInheritedTable() const { return !hasFullTable && subsetTables.empty(); }
    /// Requests a second of all classes.
    double requestRate() const { return std::accumulate(demand.begin(), demand.end(), 0.0); }
};
using ProxyRegistry = std::map<ProxyId, Proxy>;

/// Requests a second of each class, summed over all proxies.
inline std::vector<double> demandByClass(const ProxyRegistry& proxies, EndpointIndex classCount) {
    std::vector<double> total(classCount, 0);
    for (const auto& [id, proxy] : proxies)
        for (EndpointIndex place = 0; place < classCount; ++place) total[place] += proxy.demand[place];
    return total;
}

} // namespace zincstack

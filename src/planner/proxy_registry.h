// Registry of the joined proxies: the tables that they hold, their demand and their unacknowledged messages.
// State only.
#pragma once

#include <deque>
#include <map>
#include <numeric>
#include <vector>

#include "planner/endpoint_registry.h"

namespace zincstack {

/// A message that was sent to a proxy and has not been acknowledged.
struct UnacknowledgedMessage {
    BarrierId barrier;
    double lines = 0; ///< including the overhead of the message
};

/// State of a joined proxy.
struct Proxy {
    ZoneId zone;
    bool hasFullTable = false; ///< the full tables of its zone are assigned to it
    /// Kind of the inherited table that it joined with: true for the bootstrap table, false for a table from
    /// an earlier planner.
    bool hasOnlyBootstrapTable = true;
    std::vector<double> demand; ///< requests per second, by index of the request class
    double stagedLines = 0;     ///< lines of its message in the open batch, without overhead
    std::deque<UnacknowledgedMessage> unacknowledged = {}; ///< oldest first
    Micros joinedAt{};
    bool staleExclusionsCleared = false; ///< exclusions by earlier planners have been reverted at it
    /// Indexes of the subset tables that it holds. Empty: it holds full tables or an inherited one.
    std::vector<EndpointIndex> subsetTables = {};

    /// Whether it still holds the table that it joined with, since none has been assigned to it yet.
    bool usesInheritedTable() const { return !hasFullTable && subsetTables.empty(); }
    /// Requests per second, summed over all request classes.
    double requestRate() const { return std::accumulate(demand.begin(), demand.end(), 0.0); }
};
using ProxyRegistry = std::map<ProxyId, Proxy>;

/// Requests per second of each request class, summed over all proxies.
inline std::vector<double> demandByClass(const ProxyRegistry& proxies, EndpointIndex classCount) {
    std::vector<double> total(classCount, 0);
    for (const auto& [id, proxy] : proxies)
        for (EndpointIndex requestClass = 0; requestClass < classCount; ++requestClass)
            total[requestClass] += proxy.demand[requestClass];
    return total;
}

} // namespace zincstack

// A routing table as it was last ordered, and which proxies it serves. State only.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "planner/proxy_registry.h"

namespace zincstack {

/// A table is full (it names all endpoints that may serve its request classes) or a subset table: a short
/// table for proxies that have just joined, which names a few of the endpoints of one full table.
struct PlannedTable {
    TableId id;
    ZoneId zone;
    bool zoneLocal; ///< it names endpoints of its own zone only
    RequestClassSet requestClasses;
    std::vector<double> installed = {}; ///< by endpoint: the weight as last ordered
    std::map<EndpointIndex, double> admission =
        {};                       ///< by place of the request class: the limit as last ordered
    bool inUse = false;           ///< of a full table: some proxy of its zone has joined
    double rateLimitFraction = 1; ///< of its demand, that is admitted while an update is deadlocked
    std::optional<EndpointIndex> subsetOf = {}; ///< place of the full table; none: it is full itself
    EndpointIndex holderCount = 0;              ///< of a subset table: proxies that hold it
    double holderRate = 0;                      ///< requests a second of these proxies

    /// Whether the proxy holds this table.
    bool serves(const Proxy& proxy) const;
    /// Endpoints with a weight above zero.
    double endpointCount() const;
    /// Requests a second of its classes, from the proxies that hold it.
    double demand(const ProxyRegistry& proxies) const;
};

} // namespace zincstack

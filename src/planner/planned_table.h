// State of one routing table as last issued by the planner, and the proxies that hold it.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "planner/proxy_registry.h"

namespace zincstack {

/// A full table names all endpoints that may serve its request classes. A subset table names a few endpoints
/// of one full table and is assigned to proxies that have just joined.
struct PlannedTable {
    TableId id;
    ZoneId zone;
    /// The table names only endpoints of its own zone.
    bool zoneLocal;
    RequestClassSet requestClasses;
    /// Weight of each endpoint as last issued, indexed by endpoint.
    std::vector<double> installedWeight = {};
    /// Admission limit of each request class as last issued, by index of the request class; negative until
    /// one is issued.
    std::map<EndpointIndex, double> admission = {};
    /// For a full table: at least one proxy of its zone has joined.
    bool inUse = false;
    /// Fraction of the table's demand that is admitted; below 1 only while a deadlocked update is resolved.
    double rateLimitFraction = 1;
    /// Fraction of the table's demand that is admitted while nearly all of its endpoints are warming up.
    double warmUpFraction = 1;
    /// For a subset table: index of its full table; std::nullopt for a full table.
    std::optional<EndpointIndex> subsetOf = {};
    /// For a subset table: number of proxies that hold it.
    EndpointIndex holderCount = 0;
    /// For a subset table: requests per second of the proxies that hold it.
    double holderRate = 0;

    /// Whether the proxy holds this table.
    bool isHeldBy(const Proxy& proxy) const;
    /// Number of endpoints with a weight above 0.
    double endpointCount() const;
    /// Requests per second, in the table's request classes, of the proxies that hold it.
    double demand(const ProxyRegistry& proxies) const;
};

} // namespace zincstack

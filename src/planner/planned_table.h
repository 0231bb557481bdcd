// A routing table as it was last ordered, and which proxies it serves. State only.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "planner/proxy_registry.h"

namespace zincstack {

struct PlannedTable {
    TableId id;
    ZoneId zone;
    bool zoneLocal;
    RequestClassSet requestClasses;
    std::vector<double> installed = {};             // weight of each server as last ordered
    std::map<EndpointIndex, double> admission = {}; // by product, as last ordered
    bool inUse = false;                             // some proxy of its zone has joined
    double rateLimitFraction = 1;                   // the share at which a deadlocked table moves
    std::optional<EndpointIndex> subsetOf = {};     // the place of its whole table; none: it is whole itself
    EndpointIndex holderCount = 0; // of a starter table: proxies that hold it, and their traffic
    double holderRate = 0;
    bool serves(const Proxy& proxy) const {
        if (!subsetOf) return proxy.hasFullTable && proxy.zone == zone;
        return std::ranges::find(proxy.subsetTables, EndpointIndex{id.value}) != proxy.subsetTables.end();
    }
    double endpointCount() const { ///< servers that it names
        return static_cast<double>(
            std::ranges::count_if(installed, [](double weight) { return weight > 0; }));
    }
    double demand(const ProxyRegistry& all) const { ///< txns a second of the proxies that it serves
        double sum = 0;
        for (const auto& [proxyId, proxy] : all)
            for (EndpointIndex p = 0; serves(proxy) && p < proxy.demand.size(); ++p)
                sum += requestClasses >> p & 1U ? proxy.demand[p] : 0;
        return sum;
    }
};

} // namespace zincstack

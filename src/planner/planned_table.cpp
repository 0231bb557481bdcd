// Which proxies hold a routing table, and the demand that they bring to it.
#include "planner/planned_table.h"

#include <algorithm>

namespace zincstack {

bool PlannedTable::isHeldBy(const Proxy& proxy) const {
    if (!subsetOf) return proxy.hasFullTable && proxy.zone == zone;
    return std::ranges::find(proxy.subsetTables, EndpointIndex{id.value}) != proxy.subsetTables.end();
}

double PlannedTable::endpointCount() const {
    const auto count = std::ranges::count_if(installedWeight, [](double weight) { return weight > 0; });
    return static_cast<double>(count);
}

double PlannedTable::demand(const ProxyRegistry& proxies) const {
    double sum = 0;
    for (const auto& [proxyId, proxy] : proxies) {
        if (!isHeldBy(proxy)) continue;
        for (EndpointIndex classIndex = 0; classIndex < proxy.demand.size(); ++classIndex)
            sum += requestClasses >> classIndex & 1U ? proxy.demand[classIndex] : 0;
    }
    return sum;
}

} // namespace zincstack

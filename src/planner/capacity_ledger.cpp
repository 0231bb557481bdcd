// Estimates the endpoints' capacities from their weights and the total demand.
#include "planner/capacity_ledger.h"

#include <numeric>

#include "planner/slow_start.h"

namespace zincstack {

namespace {

/// Mean listed weight of the endpoints in service at which an attempt has succeeded; 0 if there are none.
double meanListedWeightOfSuccessful(const EndpointRegistry& endpoints) {
    double weight = 0;
    double count = 0;
    for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
        if (!endpoints.isInService(index) || !endpoints.hasSucceeded[index]) continue;
        weight += endpoints.listedWeight[index];
        ++count;
    }
    return count > 0 ? weight / count : 0;
}

} // namespace

CapacityLedger::CapacityLedger(const EndpointRegistry& endpoints, double totalDemand)
    : capacity_(endpoints.size(), 0), load_(endpoints.size(), 0) {
    const double meanWeight = meanListedWeightOfSuccessful(endpoints);
    for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
        // The listed weight of an endpoint is not trusted until an attempt has succeeded there. Until then,
        // the mean weight is used instead.
        const bool isTrusted = endpoints.hasSucceeded[index] || meanWeight <= 0;
        const double correction = isTrusted ? 1 : meanWeight / endpoints.listedWeight[index];
        capacity_[index] = targetWeight(endpoints, index) * correction;
    }
    const double totalWeight = std::accumulate(capacity_.begin(), capacity_.end(), 0.0);
    for (double& capacity : capacity_)
        capacity = totalWeight > 0 ? kCapacityHeadroom * totalDemand * capacity / totalWeight : 0;
}

} // namespace zincstack

#include "planner/capacity_ledger.h"

#include <numeric>

#include "planner/slow_start.h"

namespace zincstack {

namespace {

/// Estimated capacity of an endpoint over its share of the demand. The paper knows the capacities of its
/// links.
constexpr double kHeadroom = 1.2;

/// Listed weight of the endpoints that have served requests, on average; 0 where none has.
double meanWeightOfReporting(const EndpointRegistry& endpoints) {
    double weight = 0;
    double count = 0;
    for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
        if (!endpoints.isInService(index) || !endpoints.hasReported[index]) continue;
        weight += endpoints.listedWeight[index];
        ++count;
    }
    return count > 0 ? weight / count : 0;
}

} // namespace

CapacityLedger::CapacityLedger(const EndpointRegistry& endpoints, double totalDemand)
    : capacity_(endpoints.size(), 0), load_(endpoints.size(), 0) {
    const double meanWeight = meanWeightOfReporting(endpoints);
    for (EndpointIndex index = 0; index < endpoints.size(); ++index) {
        // The listed weight of an endpoint that has served no request yet proves nothing: it counts as
        // average.
        const bool trusted = endpoints.hasReported[index] || meanWeight <= 0;
        const double correction = trusted ? 1 : meanWeight / endpoints.listedWeight[index];
        capacity_[index] = targetWeight(endpoints, index) * correction;
    }
    const double totalWeight = std::accumulate(capacity_.begin(), capacity_.end(), 0.0);
    for (double& capacity : capacity_)
        capacity = totalWeight > 0 ? kHeadroom * totalDemand * capacity / totalWeight : 0;
}

} // namespace zincstack

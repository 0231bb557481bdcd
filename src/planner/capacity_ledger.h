// Capacity and load of each endpoint: the resource nodes of the dependency graph in the Coeus paper.
#pragma once

#include <vector>

#include "planner/endpoint_registry.h"

namespace zincstack {

/// Ratio of an endpoint's estimated capacity to its share of the demand. An estimate is needed because the
/// capacities of endpoints are unknown, unlike those of the links in the paper.
inline constexpr double kCapacityHeadroom = 1.2;

/// Tracks capacity and load per endpoint, in requests per second, during one step of the update scheduler.
class CapacityLedger {
public:
    /// The endpoints' capacities are unknown. Each is estimated as the endpoint's share, by weight, of
    /// `totalDemand` (requests per second), plus some headroom.
    CapacityLedger(const EndpointRegistry& endpoints, double totalDemand);

    /// Adds `rate` to the endpoint's load, even beyond its capacity.
    void reserve(EndpointIndex index, double rate) { load_[index] += rate; }
    /// Residual capacity; negative if the endpoint's load exceeds its capacity.
    double residual(EndpointIndex index) const { return capacity_[index] - load_[index]; }

private:
    std::vector<double> capacity_;
    std::vector<double> load_;
};

} // namespace zincstack

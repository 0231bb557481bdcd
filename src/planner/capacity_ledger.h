// What each endpoint can carry and what it already carries: the resources of the paper's dependency graph.
#pragma once

#include <vector>

#include "planner/endpoint_registry.h"

namespace zincstack {

/// Requests a second, by endpoint. Lives for one step of the update scheduler.
class CapacityLedger {
public:
    /// Capacity is not known: it is estimated as the endpoint's share, by weight, of the total demand, with
    /// some headroom.
    CapacityLedger(const EndpointRegistry& endpoints, double totalDemand);

    /// Reserves capacity, past the endpoint's limit if need be.
    void reserve(EndpointIndex index, double rate) { load_[index] += rate; }
    /// Negative: the endpoint carries more than its capacity.
    double residual(EndpointIndex index) const { return capacity_[index] - load_[index]; }

private:
    std::vector<double> capacity_;
    std::vector<double> load_;
};

} // namespace zincstack

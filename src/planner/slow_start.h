// Slow start: the weight that an endpoint is to get at the step to which it has climbed.
#pragma once

#include "planner/endpoint_registry.h"

namespace zincstack {

inline constexpr int kSlowStartSteps = 5;

/// The design's target: the listed weight of a server that serves, at the fifth to which it has risen.
inline double targetWeight(const EndpointRegistry& servers, EndpointIndex s) {
    return servers.isInService(s) ? servers.listedWeight[s] * servers.slowStartStep[s] / kSlowStartSteps : 0;
}
inline double totalTargetWeight(const EndpointRegistry& servers) {
    return servers.sum([&](EndpointIndex s) { return targetWeight(servers, s); });
}

} // namespace zincstack

// Slow start: how an endpoint that is new, restarted or readmitted gets to its full weight, step by step.
//
// The step of each endpoint is in the EndpointRegistry; health changes set it back, `SlowStart::advance` moves it.
#pragma once

#include "planner/endpoint_registry.h"
#include "planner/fleet_load.h"

namespace zincstack {

/// Steps from nothing to the full listed weight: an endpoint climbs by fifths.
inline constexpr int kSlowStartSteps = 5;

/// Time for which a reduced weight is kept, and then between the steps of its recovery.
inline constexpr Micros kMinReducedTime = std::chrono::seconds(60);

/// The weight that an endpoint is to get now: its listed weight at its slow-start step, 0 out of service.
inline double targetWeight(const EndpointRegistry& endpoints, EndpointIndex endpoint) {
    if (!endpoints.isInService(endpoint)) return 0;
    return endpoints.listedWeight[endpoint] * endpoints.slowStartStep[endpoint] / kSlowStartSteps;
}

/// Sum of the target weights of all endpoints.
inline double totalTargetWeight(const EndpointRegistry& endpoints) {
    return endpoints.sum([&](EndpointIndex endpoint) { return targetWeight(endpoints, endpoint); });
}

/// Moves endpoints through slow start. Owns no state; changes `slowStartStep` and `holdUntil` of the registry.
class SlowStart {
public:
    SlowStart(EndpointRegistry& endpoints, const SafetyLimits& safety)
        : endpoints_(endpoints), safety_(safety) {}

    /// Fraction of its full capacity that an endpoint has by its age: 1 once it is warm.
    double warmUpFraction(EndpointIndex endpoint, Micros now) const;

    /// Moves endpoints up by a step, no faster than the slowest warm-up allows, and down where an endpoint that is
    /// warming up would be brought more than it can carry. `demand`: admitted requests per second; `mayClimb`: a new
    /// round may begin.
    void advance(const FleetLoad& load, double demand, bool mayClimb, Micros now);

private:
    /// What is the same for all endpoints in one call of `advance`.
    struct FleetView {
        const FleetLoad& load;
        double demand;
        double totalTargetWeight;
        double totalListedWeight;
        bool mayClimb;
        bool isOverloadOnset; ///< overload has begun and admission limits cannot show in the reports yet
        bool hasWarmEndpoint; ///< a warm endpoint gets work, so that one that is warming up may get none
        Micros now;
    };
    FleetView viewFleet(const FleetLoad& load, double demand, bool mayClimb, Micros now) const;
    void advanceEndpoint(EndpointIndex endpoint, const FleetView& fleet);
    bool canStepUp(EndpointIndex endpoint, const FleetView& fleet) const;
    bool mustStepDown(EndpointIndex endpoint, const FleetView& fleet) const;
    double safeRate(EndpointIndex endpoint, const FleetView& fleet) const;
    double expectedRate(EndpointIndex endpoint, int step, const FleetView& fleet) const;

    EndpointRegistry& endpoints_;
    const SafetyLimits safety_;
};

} // namespace zincstack

// Slow start: raises the weight of a new, restarted or readmitted endpoint step by step to its full weight.
//
// The step of each endpoint is in the EndpointRegistry. Changes of health lower or reset it (see
// OutlierDetector); `SlowStart::advance` moves it up and down.
#pragma once

#include <map>

#include "planner/endpoint_registry.h"
#include "planner/fleet_load.h"

namespace zincstack {

/// Number of steps from weight 0 to the full listed weight: each step adds a fifth of it.
inline constexpr int kSlowStartSteps = 5;

/// Minimum time that a reduced weight is kept, and then between the steps of its recovery.
inline constexpr Micros kMinReducedTime = std::chrono::seconds(60);

/// Factor by which the load of an endpoint may exceed its capacity without endangering it: a part of the
/// factor at which it fails.
inline double safeOverload(const SafetyLimits& safety) {
    constexpr double kSafeOverloadFraction = 0.75;
    return kSafeOverloadFraction * safety.overloadFactor;
}

/// The weight that an endpoint should have now: the fraction of its listed weight that its slow-start step
/// allows, or 0 if it is out of service.
inline double targetWeight(const EndpointRegistry& endpoints, EndpointIndex endpoint) {
    if (!endpoints.isInService(endpoint)) return 0;
    return endpoints.listedWeight[endpoint] * endpoints.slowStartStep[endpoint] / kSlowStartSteps;
}

/// Sum of the target weights of all endpoints.
inline double totalTargetWeight(const EndpointRegistry& endpoints) {
    return endpoints.sum([&](EndpointIndex endpoint) { return targetWeight(endpoints, endpoint); });
}

/// Moves endpoints through slow start. Has no state; changes `slowStartStep` and `holdUntil` in the registry.
class SlowStart {
public:
    /// `canLimitAdmission`: proxies apply admission limits, so a table may name only endpoints that are
    /// warming up.
    SlowStart(EndpointRegistry& endpoints, const SafetyLimits& safety, bool canLimitAdmission)
        : endpoints_(endpoints), safety_(safety), canLimitAdmission_(canLimitAdmission) {}

    /// Fraction of its full capacity that an endpoint has at its age: 1 if it is warm. An endpoint without a
    /// start time counts as warm.
    double warmUpFraction(EndpointIndex endpoint, Micros now) const;

    /// Moves endpoints up by a step, no faster than the slowest warm-up allows, and down if an endpoint that
    /// is warming up would get more requests than it can serve. `mayStepUp`: a new round may begin.
    void advance(const FleetLoad& load, const AdmittedDemand& demand, bool mayStepUp, Micros now);

private:
    /// The endpoints that share the demand of some request classes: those of one zone, or all.
    struct EndpointPool {
        double demand = 0;       ///< requests per second
        double targetWeight = 0; ///< sum over its endpoints
        /// A warm endpoint gets requests, so one that is warming up may get none.
        bool hasWarmEndpoint = false;
    };
    /// Fleet-wide inputs of one call of `advance`, the same for all endpoints.
    struct FleetConditions {
        const FleetLoad& load;
        EndpointPool allEndpoints;             ///< serves the request classes that are not zone-local
        std::map<ZoneId, EndpointPool> byZone; ///< of the zones with demand for zone-local request classes
        double totalListedWeight;
        bool mayStepUp;
        bool isOverloadOnset; ///< overload is so recent that reports cannot show the effect of limits yet
        Micros now;
    };
    FleetConditions fleetConditions(const FleetLoad& load, const AdmittedDemand& demand, bool mayStepUp,
                                    Micros now) const;
    void advanceEndpoint(EndpointIndex endpoint, const FleetConditions& fleet);
    bool mayHaveNoWeight(EndpointIndex endpoint, const FleetConditions& fleet) const;
    bool canStepUp(EndpointIndex endpoint, const FleetConditions& fleet) const;
    bool mustStepDown(EndpointIndex endpoint, const FleetConditions& fleet) const;
    double safeRate(EndpointIndex endpoint, const FleetConditions& fleet) const;
    double expectedRate(EndpointIndex endpoint, int step, const FleetConditions& fleet) const;
    double expectedRateFrom(const EndpointPool& pool, EndpointIndex endpoint, int step) const;

    EndpointRegistry& endpoints_;
    const SafetyLimits safety_;
    const bool canLimitAdmission_;
};

} // namespace zincstack

// Conditions for the steps up and down of slow start.
#include "planner/slow_start.h"

#include <algorithm>

namespace zincstack {

using namespace std::chrono_literals;

namespace {

/// Factor by which an endpoint's fraction of its weight may exceed its fraction of its capacity. The latter
/// is computed for the slowest warm-up that the settings allow. Without this factor, an endpoint would often
/// wait a whole round, which is shorter than a warm-up, for a step that is nearly due.
constexpr double kWarmUpLeadFactor = 1.25;

/// Hysteresis: an endpoint steps down only if its rate exceeds this multiple of the rate up to which it may
/// step up.
constexpr double kStepDownFactor = 1.5;

/// Time from the onset of overload until admission limits show in the load reports.
constexpr Micros kOverloadOnsetDuration = 3s;

/// At the onset of overload, an endpoint below this fraction of its full capacity gets no requests if a warm
/// one can serve them: proxies that avoid failing endpoints concentrate their requests on those that answer.
constexpr double kNearlyWarmFraction = 0.75;

} // namespace

double SlowStart::warmUpFraction(EndpointIndex endpoint, Micros now) const {
    if (endpoints_.startedAt[endpoint] <= 0us || safety_.warmUpDuration <= 0us) return 1;
    const double age = seconds(now - endpoints_.startedAt[endpoint]) / seconds(safety_.warmUpDuration);
    return safety_.coldCapacityFraction + (1 - safety_.coldCapacityFraction) * std::clamp(age, 0.0, 1.0);
}

void SlowStart::advance(const FleetLoad& load, const AdmittedDemand& demand, bool mayStepUp, Micros now) {
    const FleetConditions fleet = fleetConditions(load, demand, mayStepUp, now);
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        const bool isAtFullWeight = endpoints_.slowStartStep[endpoint] == kSlowStartSteps;
        if (endpoints_.isInService(endpoint) && !isAtFullWeight) advanceEndpoint(endpoint, fleet);
    }
}

SlowStart::FleetConditions SlowStart::fleetConditions(const FleetLoad& load, const AdmittedDemand& demand,
                                                      bool mayStepUp, Micros now) const {
    FleetConditions fleet{
        .load = load,
        .allEndpoints = {.demand = demand.anyZone, .targetWeight = totalTargetWeight(endpoints_)},
        .byZone = {},
        .totalListedWeight = 0,
        .mayStepUp = mayStepUp,
        .isOverloadOnset =
            load.overload > kOverloadOnsetThreshold && now - load.lastBelowOnsetAt < kOverloadOnsetDuration,
        .now = now};
    for (const auto& [zone, rate] : demand.zoneLocal) fleet.byZone[zone].demand = rate;
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        if (!endpoints_.isInService(endpoint)) continue;
        fleet.totalListedWeight += endpoints_.listedWeight[endpoint];
        const double weight = targetWeight(endpoints_, endpoint);
        const bool servesWarm =
            weight > 0 && warmUpFraction(endpoint, now) >= 1 && !endpoints_.excluded[endpoint];
        fleet.allEndpoints.hasWarmEndpoint |= servesWarm;
        const auto zone = fleet.byZone.find(endpoints_.zone[endpoint]);
        if (zone == fleet.byZone.end()) continue;
        zone->second.targetWeight += weight;
        zone->second.hasWarmEndpoint |= servesWarm;
    }
    return fleet;
}

void SlowStart::advanceEndpoint(EndpointIndex endpoint, const FleetConditions& fleet) {
    int& step = endpoints_.slowStartStep[endpoint];
    const int lowestStep = mayHaveNoWeight(endpoint, fleet) ? 0 : 1;
    step = std::max(step, lowestStep);
    if (canStepUp(endpoint, fleet)) {
        ++step;
        if (endpoints_.weightReduced[endpoint]) endpoints_.holdUntil[endpoint] = fleet.now + kMinReducedTime;
    }
    while (step > lowestStep && mustStepDown(endpoint, fleet)) --step;
}

/// Without a warm endpoint, those that are warming up must serve; in a zone with demand for zone-local
/// request classes, provided that admission can be limited to what they can serve. A warm endpoint always has
/// weight: it could not get any back, because it steps up only after an attempt has succeeded there.
bool SlowStart::mayHaveNoWeight(EndpointIndex endpoint, const FleetConditions& fleet) const {
    if (!fleet.allEndpoints.hasWarmEndpoint || warmUpFraction(endpoint, fleet.now) >= 1) return false;
    const auto zone = fleet.byZone.find(endpoints_.zone[endpoint]);
    const bool isNeededInZone = zone != fleet.byZone.end() && !zone->second.hasWarmEndpoint;
    return !isNeededInZone || !canLimitAdmission_;
}

bool SlowStart::canStepUp(EndpointIndex endpoint, const FleetConditions& fleet) const {
    if (!fleet.mayStepUp || fleet.isOverloadOnset || fleet.now < endpoints_.holdUntil[endpoint]) return false;
    const double warmUp = warmUpFraction(endpoint, fleet.now);
    const bool isWarmingUp = warmUp < 1;
    // The endpoint list can name endpoints that do not belong to the fleet, so a warm endpoint steps up only
    // after an attempt has succeeded there.
    if (!endpoints_.hasSucceeded[endpoint] && !isWarmingUp) return false;
    const int next = endpoints_.slowStartStep[endpoint] + 1;
    if (next > kSlowStartSteps * kWarmUpLeadFactor * warmUp) return false;
    const bool hasRateLimit = fleet.load.successRate > 0 && isWarmingUp;
    return !hasRateLimit || expectedRate(endpoint, next, fleet) <= safeRate(endpoint, fleet);
}

bool SlowStart::mustStepDown(EndpointIndex endpoint, const FleetConditions& fleet) const {
    const double warmUp = warmUpFraction(endpoint, fleet.now);
    if (fleet.load.successRate <= 0 || warmUp >= 1) return false;
    if (fleet.isOverloadOnset && warmUp < kNearlyWarmFraction) return true;
    const double expected = expectedRate(endpoint, endpoints_.slowStartStep[endpoint], fleet);
    return expected > kStepDownFactor * safeRate(endpoint, fleet);
}

/// Requests per second that the endpoint can safely serve at its age: its share, by listed weight, of the
/// attempts that succeed in the fleet, scaled by its warm-up fraction, the allowed overload and the fleet's
/// overload.
double SlowStart::safeRate(EndpointIndex endpoint, const FleetConditions& fleet) const {
    return safeOverload(safety_) * warmUpFraction(endpoint, fleet.now) * (1 - fleet.load.overload) *
           fleet.load.successRate * endpoints_.listedWeight[endpoint] / fleet.totalListedWeight;
}

/// Requests per second that the endpoint would get at `step`.
double SlowStart::expectedRate(EndpointIndex endpoint, int step, const FleetConditions& fleet) const {
    const double fromAnyZone = expectedRateFrom(fleet.allEndpoints, endpoint, step);
    const auto zone = fleet.byZone.find(endpoints_.zone[endpoint]);
    if (zone == fleet.byZone.end()) return fromAnyZone;
    return fromAnyZone + expectedRateFrom(zone->second, endpoint, step);
}

double SlowStart::expectedRateFrom(const EndpointPool& pool, EndpointIndex endpoint, int step) const {
    const double weight = endpoints_.listedWeight[endpoint] * step / kSlowStartSteps;
    const double total = pool.targetWeight - targetWeight(endpoints_, endpoint) + weight;
    return pool.demand * weight / std::max(total, weight);
}

} // namespace zincstack

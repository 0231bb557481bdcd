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

/// Fraction of the overload factor up to which an endpoint may be loaded while it warms up.
constexpr double kSafeOverloadFraction = 0.75;

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

void SlowStart::advance(const FleetLoad& load, double demand, bool mayStepUp, Micros now) {
    const FleetConditions fleet = fleetConditions(load, demand, mayStepUp, now);
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        const bool isAtFullWeight = endpoints_.slowStartStep[endpoint] == kSlowStartSteps;
        if (endpoints_.isInService(endpoint) && !isAtFullWeight) advanceEndpoint(endpoint, fleet);
    }
}

SlowStart::FleetConditions SlowStart::fleetConditions(const FleetLoad& load, double demand, bool mayStepUp,
                                                      Micros now) const {
    FleetConditions fleet{.load = load,
                          .demand = demand,
                          .totalTargetWeight = totalTargetWeight(endpoints_),
                          .totalListedWeight = 0,
                          .mayStepUp = mayStepUp,
                          .isOverloadOnset = load.overload > kOverloadOnsetThreshold &&
                                             now - load.lastBelowOnsetAt < kOverloadOnsetDuration,
                          .hasWarmEndpoint = false,
                          .now = now};
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        if (!endpoints_.isInService(endpoint)) continue;
        fleet.totalListedWeight += endpoints_.listedWeight[endpoint];
        fleet.hasWarmEndpoint |= targetWeight(endpoints_, endpoint) > 0 &&
                                 warmUpFraction(endpoint, now) >= 1 && !endpoints_.excluded[endpoint];
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

/// Without a warm endpoint, those that are warming up must serve. A warm endpoint always has weight: it could
/// not get any back, because it steps up only after an attempt has succeeded there.
bool SlowStart::mayHaveNoWeight(EndpointIndex endpoint, const FleetConditions& fleet) const {
    return fleet.hasWarmEndpoint && warmUpFraction(endpoint, fleet.now) < 1;
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
    return kSafeOverloadFraction * safety_.overloadFactor * warmUpFraction(endpoint, fleet.now) *
           (1 - fleet.load.overload) * fleet.load.successRate * endpoints_.listedWeight[endpoint] /
           fleet.totalListedWeight;
}

/// Requests per second that the endpoint would get at `step`.
double SlowStart::expectedRate(EndpointIndex endpoint, int step, const FleetConditions& fleet) const {
    const double weight = endpoints_.listedWeight[endpoint] * step / kSlowStartSteps;
    const double total = fleet.totalTargetWeight - targetWeight(endpoints_, endpoint) + weight;
    return fleet.demand * weight / std::max(total, weight);
}

} // namespace zincstack

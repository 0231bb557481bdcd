// Load of the whole fleet as computed from load reports, and the overload thresholds that decisions use.
// State only.
#pragma once

#include <map>

#include "planner/ids.h"

namespace zincstack {

/// Overload (fraction of the median endpoint's attempts that fail or are late) that admission control
/// regulates towards. A fleet, or a fraction of it, that is below this threshold counts as healthy.
inline constexpr double kTargetOverload = 0.12;

/// Overload above which endpoints that are warming up are protected until admission limits take effect.
inline constexpr double kOverloadOnsetThreshold = 0.2;

/// Requests per second that are admitted, by the endpoints that may serve them.
struct AdmittedDemand {
    double anyZone = 0; ///< of the request classes that every endpoint may serve
    /// Of the zone-local request classes, by zone. If there are such classes, it has an entry for each zone
    /// in which a proxy has joined.
    std::map<ZoneId, double> zoneLocal = {};
};

/// Load of the whole fleet, evaluated once per report interval.
struct FleetLoad {
    double overload = 0;       ///< fraction of the median endpoint's attempts that fail or are late
    double successRate = 0;    ///< attempts that succeeded, per second
    double attemptRate = 0;    ///< attempts per second
    Micros lastBelowOnsetAt{}; ///< last evaluation at which the overload was at most kOverloadOnsetThreshold
};

} // namespace zincstack

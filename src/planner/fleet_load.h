// What load reports tell of the whole fleet, and the levels of overload at which decisions change. State only.
#pragma once

#include "planner/ids.h"

namespace zincstack {

/// Overload (fraction of the median endpoint's attempts) that admission control regulates towards. A fleet that is
/// below it counts as well.
inline constexpr double kTargetOverload = 0.12;

/// Overload above which endpoints that are warming up are protected before admission limits show.
inline constexpr double kOnsetOverload = 0.2;

/// Load of the whole fleet, evaluated once a report interval.
struct FleetLoad {
    double overload = 0;    ///< fraction of the median endpoint's attempts that fail or are late
    double successRate = 0; ///< attempts that succeeded, per second
    double attemptRate = 0; ///< attempts per second
    Micros lastCalmAt{};    ///< when the overload was last at most kOnsetOverload
};

} // namespace zincstack

// Set operations on RequestClassSet, which holds one bit per request class.
#pragma once

#include "planner/planner.h"

namespace zincstack::routing {

constexpr RequestClassSet setOf(RequestClassId requestClass) {
    return static_cast<RequestClassSet>(1U << requestClass.value);
}

constexpr RequestClassSet unionOf(RequestClassSet left, RequestClassSet right) {
    return static_cast<RequestClassSet>(left | right);
}

constexpr bool contains(RequestClassSet set, RequestClassId requestClass) {
    return (set >> requestClass.value & 1U) != 0;
}

constexpr bool intersects(RequestClassSet left, RequestClassSet right) { return (left & right) != 0; }

/// The set of the first `count` request classes.
constexpr RequestClassSet firstClasses(std::size_t count) {
    return static_cast<RequestClassSet>((1U << count) - 1);
}

} // namespace zincstack::routing

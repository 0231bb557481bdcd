// Identifier types and the time unit that the planner and its callers share. No logic, no state.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace zincstack {

/// Unit of the planner's time points and durations. The caller chooses the epoch of time points.
using Micros = std::chrono::microseconds;

/// Strongly typed identifier: each tag makes a distinct type, so that a proxy's number cannot be passed as a
/// table's.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    friend constexpr auto operator<=>(const Id&, const Id&) = default;
};
using EndpointId = Id<struct EndpointTag, std::uint64_t>;
using ProxyId = Id<struct ProxyTag, std::uint16_t>;
using TableId = Id<struct TableTag, std::uint16_t>;
using ZoneId = Id<struct ZoneTag, std::uint8_t>;
using PodId = Id<struct PodTag, std::uint16_t>;
using RequestClassId = Id<struct RequestClassTag, std::uint16_t>;
using BarrierId = Id<struct BarrierTag, std::uint16_t>;
/// Bit mask: bit k represents the request class at index k of PlannerConfig::requestClasses.
using RequestClassSet = std::uint16_t;

} // namespace zincstack

// The identifiers that the planner and its callers share, and the unit of time. No logic, no state.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace zincstack {

/// Points in time and durations of the planner; callers choose the epoch.
using Micros = std::chrono::microseconds;

/// A distinct type for each kind of identifier, so that a proxy's number cannot be passed where a table's is meant.
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
/// Bit k stands for the request class at place k of PlannerConfig::requestClasses.
using RequestClassSet = std::uint16_t;

} // namespace zincstack

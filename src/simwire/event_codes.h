// Codes of the records on the simulator's wire. The wire's own words stand beside each code; error messages use them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zincstack::simwire {

/// Records of a batch: what the simulator tells planners.
enum class EventCode : std::uint8_t {
    DemandReport = 1,        ///< INTAKE
    RangeHeld = 2,           ///< HELD: sharded mode, used by no decision
    TimerExpired = 3,        ///< TIMEOUT_FIRED
    ProxyLeft = 4,           ///< LEFT
    BarrierAcknowledged = 5, ///< TOOK_EFFECT
    RangeLeased = 6,         ///< LEASED: sharded mode, used by no decision
    OpenInstance = 7,        ///< OPEN_INSTANCE
    ProxyJoined = 8,         ///< DIALLED_IN
    CloseInstance = 9,       ///< HALT
    EndpointList = 10,       ///< POOL: a list that a later EndpointUpdate names by its number
    RangeLoad = 11,          ///< RANGE_LOAD: sharded mode, used by no decision
    ProbeCompleted = 12,     ///< PROBE_DONE
    EndpointUpdate = 13,     ///< TARGETS
    LoadReport = 14,         ///< OBSERVED
    PeerMessage = 15,        ///< NEIGHBOUR_SAYS: planners decide alone, used by no decision
};

/// Records of a reply: what planners order.
enum class ActionCode : std::uint8_t {
    ReportFailure = 1,         ///< BUG
    ScheduleWakeUp = 3,        ///< SCHEDULE
    SetAdmission = 4,          ///< ADMIT
    Log = 5,                   ///< LOG
    SetExcluded = 6,           ///< CORDON
    AssignTable = 7,           ///< HAND_TABLE
    SetWeight = 8,             ///< ENDPOINT
    Probe = 11,                ///< ASK_LOAD
    RequestBarrier = 12,       ///< STAMP
    SubscribeToEndpoints = 13, ///< TRACK
};

/// The simulator keeps up to 16 endpoint lists under numbers.
inline constexpr std::size_t kEndpointListSlots = 16;
/// Stands for every table where an action names one.
inline constexpr std::uint16_t kEveryTable = 65535;
/// A planner has at most one timer, so all its wake-ups carry the same tag.
inline constexpr std::uint64_t kWakeUpTag = 1;

} // namespace zincstack::simwire

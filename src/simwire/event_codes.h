// Codes of the records in the simulator's protocol. The comment on each code gives its protocol name, which
// error messages about events use.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zincstack::simwire {

/// Records of a batch: events that the simulator sends to planners.
enum class EventCode : std::uint8_t {
    DemandReport = 1,        ///< INTAKE
    RangeHeld = 2,           ///< HELD: sharded mode only; validated and ignored
    TimerExpired = 3,        ///< TIMEOUT_FIRED
    ProxyLeft = 4,           ///< LEFT
    BarrierAcknowledged = 5, ///< TOOK_EFFECT
    RangeLeased = 6,         ///< LEASED: sharded mode only; validated and ignored
    OpenInstance = 7,        ///< OPEN_INSTANCE
    ProxyJoined = 8,         ///< DIALLED_IN
    CloseInstance = 9,       ///< HALT
    EndpointList = 10,       ///< POOL: a numbered list that later EndpointUpdate events refer to
    RangeLoad = 11,          ///< RANGE_LOAD: sharded mode only; validated and ignored
    ProbeCompleted = 12,     ///< PROBE_DONE
    EndpointUpdate = 13,     ///< TARGETS
    LoadReport = 14,         ///< OBSERVED
    PeerMessage = 15,        ///< NEIGHBOUR_SAYS: validated and ignored, since planners decide independently
};

/// Records of a reply: actions that planners request from the simulator.
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

/// Endpoint lists are numbered from 0 to kEndpointListSlots - 1.
inline constexpr std::size_t kEndpointListSlots = 16;
/// Table number in an action that applies to all tables.
inline constexpr std::uint16_t kAllTables = 65535;
/// Tag of all wake-ups: a planner has at most one timer, so there is nothing to tell apart.
inline constexpr std::uint64_t kWakeUpTag = 1;

} // namespace zincstack::simwire

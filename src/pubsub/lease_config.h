// Timing of the pub-sub channel's sessions: heartbeats, leases and acknowledgement timeouts.
#pragma once

#include <chrono>
#include <cstdint>

#include "planner/planner.h"

namespace zincstack::pubsub {

/// Intervals and timeouts of a session, and the reconnect rate.
struct LeaseConfig {
    Micros heartbeatInterval = std::chrono::seconds(1); ///< maximum time between two frames of a side
    Micros leaseDuration = std::chrono::seconds(5);     ///< silence after which a subscriber is disconnected
    /// Time without an acknowledgement after which a subscriber gets only exclusions.
    Micros ackTimeout = std::chrono::milliseconds(500);
    /// Time without an acknowledgement after which a subscriber is disconnected.
    Micros stallTimeout = std::chrono::seconds(20);
    std::uint32_t reconnectsPerSecond = 200; ///< rate at which disconnected subscribers may reconnect
};

} // namespace zincstack::pubsub

// Timing of the pub-sub channel's sessions: heartbeats, leases and acknowledgment timeouts.
#pragma once

#include <chrono>
#include <cstdint>

#include "planner/planner.h"

namespace zincstack::pubsub {

struct LeaseConfig {
    Micros heartbeatInterval = std::chrono::seconds(1); ///< how often each side sends a frame at least
    Micros leaseDuration = std::chrono::seconds(5);     ///< a subscriber silent for so long is disconnected
    /// A subscriber that acknowledges nothing for so long gets exclusions alone.
    Micros ackTimeout = std::chrono::milliseconds(500);
    Micros stallTimeout = std::chrono::seconds(20); ///< and for so long: it is disconnected
    std::uint32_t reconnectsPerSecond = 200; ///< how many disconnected subscribers may return in a second
};

} // namespace zincstack::pubsub

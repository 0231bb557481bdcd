// When to reconnect, and to which planner. Decisions only: no I/O, and clock and seed are handed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "planner/planner.h"

namespace zincstack::client {

struct ReconnectConfig {
    Micros initialDelay =
        std::chrono::milliseconds(50); ///< after the first failure; doubles with each further one
    Micros maxDelay = std::chrono::seconds(5);
    Micros resetAfter = std::chrono::seconds(10); ///< a session that lasted so long clears earlier failures
};

/// Exponential backoff with jitter over a list of planners.
class ReconnectBackoff {
public:
    /// `addressCount`: of planners, at least one; they are tried in turn.
    ReconnectBackoff(std::size_t addressCount, const ReconnectConfig& config, std::uint64_t seed)
        : addressCount_(addressCount), config_(config), random_(static_cast<std::uint32_t>(seed)) {}

    struct Attempt {
        std::size_t address; ///< index of the planner
        Micros delay;
    };
    /// A session ended after `sessionDuration` (zero: it was never established).
    ///
    /// `retryAfter`: what the planner said; that planner is tried again then. Otherwise the next planner is tried with
    /// a delay that doubles once each planner has failed. Each delay is drawn from the upper half of its range, so
    /// that clients that failed together do not reconnect together.
    Attempt nextAttempt(Micros sessionDuration, std::optional<Micros> retryAfter);
    std::size_t address() const { return address_; }

private:
    const std::size_t addressCount_;
    const ReconnectConfig config_;
    std::mt19937 random_;
    std::size_t address_ = 0;
    unsigned failures_ = 0;
};

} // namespace zincstack::client

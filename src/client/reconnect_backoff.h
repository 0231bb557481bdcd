// Decides when to reconnect and to which planner. No I/O; the caller passes the durations and the seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "planner/planner.h"

namespace zincstack::client {

/// The delays between connection attempts.
struct ReconnectConfig {
    /// Used until every planner has failed once; doubles each time that all of them have failed again.
    Micros initialDelay = std::chrono::milliseconds(50);
    Micros maxDelay = std::chrono::seconds(5);
    /// A session of at least this duration resets the failure count.
    Micros resetAfter = std::chrono::seconds(10);
};

/// Exponential backoff with jitter over a list of planners.
class ReconnectBackoff {
public:
    /// `plannerCount`: number of planners, at least one; they are tried in turn. `seed`: seed of the jitter.
    ReconnectBackoff(std::size_t plannerCount, const ReconnectConfig& config, std::uint64_t seed)
        : plannerCount_(plannerCount), config_(config), random_(static_cast<std::uint32_t>(seed)) {}

    /// Where to connect, and after which delay.
    struct Attempt {
        std::size_t plannerIndex;
        Micros delay;
    };
    /// Returns the next attempt after a session that lasted `sessionDuration` (zero if it was never
    /// established).
    ///
    /// If the planner requested a delay (`retryAfter`), the same planner is retried after that delay, up to
    /// an upper limit. Otherwise the next planner is tried, with a delay that doubles each time that all
    /// planners have failed. This delay is drawn from the upper half of its range, so that clients that
    /// failed at the same time do not reconnect at the same time.
    Attempt nextAttempt(Micros sessionDuration, std::optional<Micros> retryAfter);
    /// Index of the planner to connect to.
    std::size_t plannerIndex() const { return plannerIndex_; }

private:
    const std::size_t plannerCount_;
    const ReconnectConfig config_;
    std::mt19937 random_;
    std::size_t plannerIndex_ = 0;
    unsigned failures_ = 0;
};

} // namespace zincstack::client

// When to dial a planner again, and which. Decisions only: no I/O, clock and chance handed in.
#pragma once

#include <cstddef>
#include <optional>
#include <random>

#include "planner/planner.h"

namespace zincstack::client {

struct ReconnectConfig {
    Micros initialDelay = std::chrono::milliseconds(50); ///< the shortest wait after a failure
    Micros maxDelay = std::chrono::seconds(5);           ///< the longest; waits double in between
    Micros resetAfter = std::chrono::seconds(10); ///< a stream that held so long clears what failed before it
};

class ReconnectBackoff {
public:
    /// `addresses`: of planners, one at least; they are tried in turn.
    ReconnectBackoff(std::size_t addresses, const ReconnectConfig& terms, std::uint64_t seed)
        : addresses_(addresses), terms_(terms), chance_(static_cast<std::uint32_t>(seed)) {}

    struct Call {
        std::size_t address;
        Micros wait;
    };
    /// The stream is over after it held for so long (zero: it never came up). `again`: what the planner said.
    /// A planner that said when to come back is asked again then; one that failed gives way to the next, at
    /// once on the first failure after a good time, later with waits that double, each drawn from its upper
    /// half so that those who failed together do not come back together.
    Call next(Micros held, std::optional<Micros> again);
    std::size_t address() const { return address_; }

private:
    const std::size_t addresses_;
    const ReconnectConfig terms_;
    std::mt19937 chance_;
    std::size_t address_ = 0;
    unsigned failures_ = 0;
};

} // namespace zincstack::client

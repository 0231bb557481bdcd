// Runs the planner in batches: an input opens a batch, inputs that arrive shortly after join it, and then the
// planner decides once and the changes are flushed to the transports. Owns the planner's clock and its
// wake-up timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

#include "metrics/counters.h"
#include "planner/planner.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// A Unix clock that never goes back: the Unix time at construction plus the time elapsed since on the
/// steady clock.
class Clock {
public:
    Micros now() const {
        return unixTimeAtStart_ +
               std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - start_);
    }

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    Micros unixTimeAtStart_ =
        std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
};

/// Opens, closes and times the batches of one planner. References must outlive it.
class BatchRunner {
public:
    /// The quiet period that ends a batch and the maximum age of a batch are multiples of `tick`.
    BatchRunner(boost::asio::io_context& io, Planner& planner, routing::RoutingState& state,
                Counters& counters, Micros tick);

    /// Returns the planner, to which the caller passes one input. Opens a batch if none is open.
    /// The batch closes, and the planner decides, once no input has arrived for a while or the batch has
    /// reached its maximum age.
    Planner& openBatch();
    /// Calls Planner::timerExpired() after the delay. Replaces any earlier wake-up that is still pending.
    void scheduleWakeUp(Micros delay);
    Micros now() const { return clock_.now(); }

private:
    void waitForQuiet();
    void drainReadyInputs(int remainingTurns);
    void closeBatch();

    boost::asio::io_context& io_;
    Planner& planner_;
    routing::RoutingState& state_;
    Counters& counters_;
    const Micros quietPeriod_;
    const Micros maxBatchAge_;
    const Clock clock_;
    boost::asio::steady_timer closeTimer_;
    boost::asio::steady_timer wakeUpTimer_;
    bool isOpen_ = false;
    Micros openedAt_{};
    Micros lastInputAt_{};
    std::uint64_t inputCount_ = 0;
    std::uint64_t drainedInputCount_ = 0; ///< `inputCount_` at the previous drainReadyInputs()
};

} // namespace zincstack::net

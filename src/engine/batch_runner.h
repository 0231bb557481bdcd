// Runs the planner in batches: an input opens a batch, whatever else is ready joins it, and then the planner decides
// once and the changes are flushed. Owns the planner's clock and its wake-up timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

#include "metrics/counters.h"
#include "planner/planner.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// Unix time at the start plus what has passed since on the steady clock, so that it never goes back.
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

class BatchRunner {
public:
    BatchRunner(boost::asio::io_context& io, Planner& planner, routing::RoutingState& state,
                Counters& counters, Micros tick);

    /// The planner, ready for input. Opens a batch if none is open; it is decided once no more input comes.
    Planner& openBatch();
    /// The planner's timer expires after the delay, in place of any wake-up scheduled before.
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
    std::uint64_t drainedInputCount_ = 0; ///< as of the previous turn of drainReadyInputs
};

} // namespace zincstack::net

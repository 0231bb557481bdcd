// The planner's clock and its batches: an input opens one, all that is ready is taken in, then it decides and
// the orders go out. Also its wakes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

#include "metrics/counters.h"
#include "planner/planner.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// Unix time at the start plus what has passed since on the steady clock, so that it only moves forward.
class Clock {
public:
    Micros now() const {
        return unixAtStart_ + std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - start_);
    }

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    Micros unixAtStart_ =
        std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
};

class BatchRunner {
public:
    BatchRunner(boost::asio::io_context& io, Planner& planner, routing::RoutingState& book,
                Counters& counters, Micros tick);

    /// The planner, in a batch that is open from now on and is decided once nothing more comes.
    Planner& openBatch();
    void scheduleWakeUp(Micros span);
    Micros now() const { return clock_.now(); }

private:
    void gather();
    void settle(int hops);

    boost::asio::io_context& io_;
    Planner& planner_;
    routing::RoutingState& book_;
    Counters& counters_;
    const Micros quiet_, most_;
    const Clock clock_;
    boost::asio::steady_timer gathered_, wake_;
    bool open_ = false;
    Micros openedAt_{}, lastAt_{};
    std::uint64_t inputs_ = 0, settled_ = 0;
};

} // namespace zincstack::net

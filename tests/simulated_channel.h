// A model of the control channel: a FIFO queue that transmits at a constant rate, and a transit time with
// jitter.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack::tests {

/// A message in the simulated channel.
struct SimulatedMessage {
    std::uint16_t proxy;
    std::uint64_t session; ///< the proxy's session that it was written for; other sessions do not receive it
    double lines;          ///< including the message overhead
    std::string text;
    Micros arrivesAt{};
};

/// Delays messages by queueing and transit. Messages never overtake each other.
class SimulatedChannel {
public:
    SimulatedChannel(double linesPerSecond, Micros meanTransitTime, std::uint64_t seed)
        : linesPerSecond_(linesPerSecond), meanTransitTime_(meanTransitTime), random_(seed) {}

    void send(SimulatedMessage message) {
        queuedLines_ += message.lines;
        queue_.push_back(std::move(message));
    }
    /// Lines that have not been transmitted yet.
    double queuedLines() const { return queuedLines_; }

    /// Transmits as many queued messages as the rate allows in the elapsed time. Unused capacity is kept only
    /// while messages are queued.
    void transmit(Micros now, Micros elapsed) {
        capacity_ += linesPerSecond_ * std::chrono::duration<double>(elapsed).count();
        while (!queue_.empty() && queue_.front().lines <= capacity_) {
            SimulatedMessage message = std::move(queue_.front());
            queue_.pop_front();
            capacity_ -= message.lines;
            queuedLines_ -= message.lines;
            const Micros arrivesAt = now + meanTransitTime_ - kMaxJitter / 2 + nextJitter();
            message.arrivesAt =
                inTransit_.empty() ? arrivesAt : std::max(arrivesAt, inTransit_.back().arrivesAt);
            inTransit_.push_back(std::move(message));
        }
        if (queue_.empty()) capacity_ = 0;
    }

    /// Removes and returns the messages that have arrived, in the order in which they were sent.
    std::vector<SimulatedMessage> takeArrived(Micros now) {
        std::vector<SimulatedMessage> arrived;
        for (; !inTransit_.empty() && inTransit_.front().arrivesAt <= now; inTransit_.pop_front())
            arrived.push_back(std::move(inTransit_.front()));
        return arrived;
    }

private:
    static constexpr Micros kMaxJitter = std::chrono::milliseconds(100);

    Micros nextJitter() {
        return Micros(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(kMaxJitter.count())));
    }

    const double linesPerSecond_;
    const Micros meanTransitTime_;
    std::mt19937_64 random_;
    std::deque<SimulatedMessage> queue_;
    std::deque<SimulatedMessage> inTransit_;
    double queuedLines_ = 0;
    double capacity_ = 0; ///< lines that may be transmitted now
};

} // namespace zincstack::tests

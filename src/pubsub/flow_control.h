// How much of the channel may be on its way, and for whom first. Decisions only: no I/O, no clock.
//
// What is on its way is what was handed to a stream and has no answer yet. Each subscriber has a window of its
// own, and all together stay under what the settings allow for the planner's queue, reckoned with what other
// fronts have on their way. What does not fit waits in the topic's log, where it merges. Withdrawals may use
// nearly all of the queue, changes less, snapshots half: those that come back in numbers leave room for the
// rest.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "planner/planner.h"

namespace zincstack::pubsub {

using SubscriberId = Id<struct SubscriberTag, std::uint64_t>; ///< of one stream; never given twice

/// In the order in which they go first.
enum class Urgency : std::uint8_t { Withdrawal, Change, Snapshot };
inline constexpr std::size_t kUrgencies = 3;

struct FlowControlLimits {
    std::size_t maxLinesPerSubscriber = 1024;      ///< without an answer, at one subscriber
    std::size_t maxBytesPerSubscriber = 32 * 1024; ///< the same in bytes
    double maxQueuedLines = 0; ///< lines that may wait at once, of all fronts (ControlChannelLimits)
    std::size_t maxTotalBytes = 16 * 1024 * 1024; ///< without an answer, at all subscribers
};

/// What one subscriber has not answered yet.
struct Window {
    std::size_t lines = 0, bytes = 0;
    bool stuck = false; ///< it stands still: what it owes lies in its own buffers, and gets no company
};

class FlowControl {
public:
    explicit FlowControl(const FlowControlLimits& terms) : terms_(terms) {}

    enum class Verdict : std::uint8_t { Go, OwnFull, AllFull };
    /// `elsewhere`: lines that other fronts have on their way.
    Verdict may(Urgency urgency, std::size_t lines, std::size_t bytes, const Window& own,
                std::size_t elsewhere) const;
    void sent(Window& own, std::size_t lines, std::size_t bytes);
    void answered(Window& own, std::size_t lines, std::size_t bytes);
    /// It has answered nothing for a while: until it has answered all of its lines it gets withdrawals alone. They
    /// count as long as they have no answer; no time-out shows that they have left the queue.
    void stuck(Window& own);
    std::size_t lines() const { return all_.lines; }
    std::size_t bytes() const { return all_.bytes; }
    std::size_t mostLines() const { return mostLines_; } ///< ever at once

    /// Who waits for room in all, first come first served within an urgency. `first`: it had its turn, and
    /// there was no room yet.
    void wait(SubscriberId subscriber, Urgency urgency, bool first);
    /// Who goes next; none waits: none.
    std::optional<std::pair<SubscriberId, Urgency>> next();
    std::size_t waiting() const;

private:
    const FlowControlLimits terms_;
    Window all_;
    std::size_t mostLines_ = 0;
    std::array<std::deque<SubscriberId>, kUrgencies> waiting_;
};

/// How long those who are sent away stay away: at least the base, and spread so that no more than `rate` come
/// back in a second. The first who is told after a quiet time starts anew.
class RetryAfterPlanner {
public:
    RetryAfterPlanner(Micros base, std::uint32_t rate) : base_(base), gap_(Micros(1'000'000 / rate)) {}
    Micros after(Micros now);

private:
    const Micros base_, gap_;
    Micros next_{};
};

} // namespace zincstack::pubsub

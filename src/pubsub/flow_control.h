// Flow control of the pub-sub channel: how much may be unacknowledged, and which subscriber sends next. Decisions
// only: no I/O, no clock.
//
// A part of a message counts from the moment it is handed to a session until the subscriber acknowledges it or the
// session ends. Each subscriber has a window of its own, and all of them together stay below the limit of the
// planner's queue (ControlChannelLimits::maxQueuedLines), which they share with the other transports. A message that
// does not fit waits in its topic's log, where it coalesces with later changes. Exclusions may use nearly all of the
// queue, changes three quarters and snapshots half, so that subscribers that reconnect in numbers leave capacity for
// urgent messages.
//
// Relation to planner/channel_credit.h: both account for the same queue. ChannelCredit holds the lines of transports
// whose messages RoutingState charges through `messageWritten`; the pub-sub channel reports its messages there with 0
// lines and keeps their account here. Each side's check adds the other side's lines (`linesElsewhere` here,
// `elsewhere` there), so the common bound is kept at both places where a message is admitted, with the queue fractions
// that channel_credit.h defines.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "planner/planner.h"

namespace zincstack::pubsub {

using SubscriberId = Id<struct SubscriberTag, std::uint64_t>; ///< of one session; never reused

/// How urgent a message is; the most urgent first.
enum class MessagePriority : std::uint8_t { Exclusion, Change, Snapshot };
inline constexpr std::size_t kPriorityCount = 3;

struct FlowControlLimits {
    std::size_t maxLinesPerSubscriber = 1024;                   ///< unacknowledged, of one subscriber
    std::size_t maxBytesPerSubscriber = std::size_t{32} * 1024; ///< the same in bytes
    double maxQueuedLines = 0; ///< lines that may be queued at once, of all transports (ControlChannelLimits)
    std::size_t maxTotalBytes = std::size_t{16} * 1024 * 1024; ///< unacknowledged, of all subscribers
};

/// What was sent and is not acknowledged.
struct Window {
    std::size_t lines = 0;
    std::size_t bytes = 0;
    /// The subscriber has acknowledged nothing for `LeaseConfig::ackTimeout`; see `FlowControl::markAckOverdue`.
    bool isAckOverdue = false;
};

/// Lines and bytes of one part of a message.
struct MessageSize {
    std::size_t lines = 0;
    std::size_t bytes = 0;
};

class FlowControl {
public:
    explicit FlowControl(const FlowControlLimits& limits) : limits_(limits) {}

    enum class Decision : std::uint8_t {
        Send,
        SubscriberWindowFull,
        TotalWindowFull, ///< of all subscribers, or of the queue shared with other transports
    };
    /// Whether a part may be sent now. `linesElsewhere`: unacknowledged lines of other transports.
    ///
    /// A message that is larger than a window may be sent where nothing is unacknowledged; otherwise it never could.
    Decision check(MessagePriority priority, const MessageSize& size, const Window& window,
                   std::size_t linesElsewhere) const;
    void onSent(Window& window, const MessageSize& size);
    void onAcknowledged(Window& window, const MessageSize& size);
    /// The subscriber has acknowledged nothing for a while: it gets exclusions alone until it has acknowledged
    /// everything. Its lines still count, since no timeout shows that they have left the queue.
    static void markAckOverdue(Window& window);
    std::size_t lines() const { return total_.lines; }
    std::size_t bytes() const { return total_.bytes; }
    std::size_t maxLinesSeen() const { return maxLinesSeen_; } ///< largest value of `lines()` so far

    /// Queues a subscriber that waits for capacity of the total window, first come first served within a priority.
    /// `atFront`: it was dequeued, and there was still no capacity.
    void enqueueWaiter(SubscriberId subscriber, MessagePriority priority, bool atFront);
    std::optional<SubscriberId> dequeueWaiter();
    std::size_t waiterCount() const;

private:
    bool fitsSubscriberWindow(MessagePriority priority, const MessageSize& size, const Window& window) const;
    bool fitsTotalWindow(MessagePriority priority, const MessageSize& size, std::size_t linesElsewhere) const;

    const FlowControlLimits limits_;
    Window total_;
    std::size_t maxLinesSeen_ = 0;
    std::array<std::deque<SubscriberId>, kPriorityCount> waiters_;
};

/// Retry-After for disconnected subscribers: at least the base delay, and spread so that at most `ratePerSecond` of
/// them reconnect in a second. After a quiet time the spread starts over.
class RetryAfterPlanner {
public:
    RetryAfterPlanner(Micros baseDelay, std::uint32_t ratePerSecond)
        : baseDelay_(baseDelay), interval_(Micros(1'000'000 / ratePerSecond)) {}
    Micros nextRetryAfter(Micros now);

private:
    const Micros baseDelay_;
    const Micros interval_;
    Micros nextSlot_{};
};

} // namespace zincstack::pubsub

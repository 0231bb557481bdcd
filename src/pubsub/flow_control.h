// Flow control of the pub-sub channel: limits the unacknowledged lines and bytes, and decides which waiting
// subscriber is served next. It performs no I/O and reads no clock.
//
// A message part counts as unacknowledged from the moment it is handed to a session until the subscriber
// acknowledges it or the session ends. Each subscriber has its own window. All subscribers together stay
// below the limit of the planner's queue (ControlChannelLimits::maxQueuedLines), which they share with the
// other transports. A message that does not fit stays in its topic's log, where it coalesces with later
// changes. Exclusions may fill nearly all of the queue, changes three quarters of it and snapshots half of
// it, so that a mass reconnect of subscribers leaves capacity for urgent messages.
//
// Relation to planner/channel_credit.h: both account for the same queue. ChannelCredit counts the lines of
// the transports whose messages RoutingState charges through `messageWritten`. The pub-sub channel reports
// its messages there with 0 lines and counts their lines here. The check on each side adds the lines of the
// other side (`otherTransportLines`), so both places that admit a message enforce the common limit, with the
// queue fractions of channel_credit.h for exclusions and snapshots.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "planner/planner.h"

namespace zincstack::pubsub {

using SubscriberId = Id<struct SubscriberTag, std::uint64_t>; ///< identifies one session; never reused

/// Priority of a message, from the most urgent to the least urgent.
enum class MessagePriority : std::uint8_t { Exclusion, Change, Snapshot };
inline constexpr std::size_t kPriorityCount = 3;

/// Limits on unacknowledged messages.
struct FlowControlLimits {
    std::size_t maxLinesPerSubscriber = 1024;                   ///< unacknowledged lines of one subscriber
    std::size_t maxBytesPerSubscriber = std::size_t{32} * 1024; ///< unacknowledged bytes of one subscriber
    double maxQueuedLines = 0; ///< queued lines of all transports together (see ControlChannelLimits)
    std::size_t maxTotalBytes = std::size_t{16} * 1024 * 1024; ///< unacknowledged bytes of all subscribers
};

/// Amount of data that was sent and is not acknowledged yet.
struct Window {
    std::size_t lines = 0;
    std::size_t bytes = 0;
    /// The subscriber has acknowledged nothing for `LeaseConfig::ackTimeout`; see
    /// `FlowControl::markAckOverdue`.
    bool isAckOverdue = false;
};

/// Size of one message part.
struct MessageSize {
    std::size_t lines = 0;
    std::size_t bytes = 0;
};

/// Accounts for unacknowledged message parts and queues the subscribers that wait for capacity.
class FlowControl {
public:
    explicit FlowControl(const FlowControlLimits& limits) : limits_(limits) {}

    enum class Decision : std::uint8_t {
        Send,
        SubscriberWindowFull,
        TotalWindowFull, ///< the limit of all subscribers, or of the queue shared by all transports
    };
    /// Decides whether a message part of that size may be sent now. `otherTransportLines` is the number of
    /// unacknowledged lines of the other transports.
    ///
    /// A part that is larger than a window may be sent if nothing in that window is unacknowledged. Otherwise
    /// it could never be sent.
    Decision check(MessagePriority priority, const MessageSize& size, const Window& window,
                   std::size_t otherTransportLines) const;
    void onSent(Window& window, const MessageSize& size);
    void onAcknowledged(Window& window, const MessageSize& size);
    /// Restricts a subscriber that has acknowledged nothing for `LeaseConfig::ackTimeout` to exclusions until
    /// it has acknowledged everything. Its lines still count, because a timeout does not prove that they have
    /// left the queue.
    static void markAckOverdue(Window& window);
    /// Unacknowledged lines and bytes of all subscribers.
    std::size_t lines() const { return total_.lines; }
    std::size_t bytes() const { return total_.bytes; }
    std::size_t maxLinesSeen() const { return maxLinesSeen_; } ///< largest value of `lines()` so far

    /// Queues a subscriber that waits for capacity in the total window, first come first served within a
    /// priority. `atFront` puts the subscriber at the front of the queue: it was dequeued before, but there
    /// was still no capacity for it.
    void enqueueWaiter(SubscriberId subscriber, MessagePriority priority, bool atFront);
    /// Removes and returns the first waiter of the highest priority; std::nullopt if nobody waits.
    std::optional<SubscriberId> dequeueWaiter();
    std::size_t waiterCount() const;

private:
    bool fitsSubscriberWindow(MessagePriority priority, const MessageSize& size, const Window& window) const;
    bool fitsTotalWindow(MessagePriority priority, const MessageSize& size,
                         std::size_t otherTransportLines) const;

    const FlowControlLimits limits_;
    Window total_;
    std::size_t maxLinesSeen_ = 0;
    std::array<std::deque<SubscriberId>, kPriorityCount> waiters_;
};

/// Assigns Retry-After delays to disconnected subscribers: at least the base delay, spread so that at most
/// `ratePerSecond` of them reconnect per second. The spread starts over once all assigned slots have passed.
class RetryAfterScheduler {
public:
    RetryAfterScheduler(Micros baseDelay, std::uint32_t ratePerSecond)
        : baseDelay_(baseDelay), interval_(Micros(1'000'000 / ratePerSecond)) {}
    Micros nextRetryAfter(Micros now);

private:
    const Micros baseDelay_;
    const Micros interval_;
    Micros nextSlot_{};
};

} // namespace zincstack::pubsub

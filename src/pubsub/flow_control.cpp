#include "pubsub/flow_control.h"

#include <algorithm>

#include "planner/channel_credit.h"

namespace zincstack::pubsub {

namespace {

// Fraction of the queue that each priority may fill: exclusions and snapshots use the planner's fractions for
// urgent and ordinary messages, changes a value between them.
constexpr double kQueueFraction[kPriorityCount] = {kDeadlineQueueFraction, 0.75, kOrdinaryQueueFraction};
// Multiple of the subscriber's window and of `maxTotalBytes` that each priority may fill. Exclusions may fill
// twice the window, so that they are sent even while a slow reader has a full window of unread data.
constexpr std::size_t kWindowFactor[kPriorityCount] = {2, 1, 1};

std::size_t indexOf(MessagePriority priority) { return static_cast<std::size_t>(priority); }

} // namespace

bool FlowControl::fitsSubscriberWindow(MessagePriority priority, const MessageSize& size,
                                       const Window& window) const {
    if (window.isAckOverdue && priority != MessagePriority::Exclusion) return false;
    const std::size_t factor = kWindowFactor[indexOf(priority)];
    const bool fits = window.lines + size.lines <= factor * limits_.maxLinesPerSubscriber &&
                      window.bytes + size.bytes <= factor * limits_.maxBytesPerSubscriber;
    return fits || window.bytes == 0;
}

bool FlowControl::fitsTotalWindow(MessagePriority priority, const MessageSize& size,
                                  std::size_t otherTransportLines) const {
    const std::size_t maxBytes = kWindowFactor[indexOf(priority)] * limits_.maxTotalBytes;
    if (total_.bytes + size.bytes > maxBytes && total_.bytes > 0) return false;
    const double maxLines = kQueueFraction[indexOf(priority)] * limits_.maxQueuedLines;
    const std::size_t queuedLines = total_.lines + otherTransportLines;
    return static_cast<double>(queuedLines + size.lines) <= maxLines || queuedLines == 0;
}

FlowControl::Decision FlowControl::check(MessagePriority priority, const MessageSize& size,
                                         const Window& window, std::size_t otherTransportLines) const {
    if (!fitsSubscriberWindow(priority, size, window)) return Decision::SubscriberWindowFull;
    if (!fitsTotalWindow(priority, size, otherTransportLines)) return Decision::TotalWindowFull;
    return Decision::Send;
}

void FlowControl::onSent(Window& window, const MessageSize& size) {
    window.lines += size.lines;
    window.bytes += size.bytes;
    total_.lines += size.lines;
    total_.bytes += size.bytes;
    maxLinesSeen_ = std::max(maxLinesSeen_, total_.lines);
}

void FlowControl::onAcknowledged(Window& window, const MessageSize& size) {
    window.lines -= size.lines;
    window.bytes -= size.bytes;
    total_.lines -= size.lines;
    total_.bytes -= size.bytes;
    if (window.bytes == 0) window.isAckOverdue = false;
}

void FlowControl::markAckOverdue(Window& window) { window.isAckOverdue = true; }

void FlowControl::enqueueWaiter(SubscriberId subscriber, MessagePriority priority, bool atFront) {
    auto& queue = waiters_[indexOf(priority)];
    if (atFront)
        queue.push_front(subscriber);
    else
        queue.push_back(subscriber);
}

std::optional<SubscriberId> FlowControl::dequeueWaiter() {
    for (auto& queue : waiters_) {
        if (queue.empty()) continue;
        const SubscriberId first = queue.front();
        queue.pop_front();
        return first;
    }
    return {};
}

std::size_t FlowControl::waiterCount() const {
    std::size_t count = 0;
    for (const auto& queue : waiters_) count += queue.size();
    return count;
}

Micros RetryAfterScheduler::nextRetryAfter(Micros now) {
    nextSlot_ = std::max(nextSlot_ + interval_, now);
    return baseDelay_ + (nextSlot_ - now);
}

} // namespace zincstack::pubsub

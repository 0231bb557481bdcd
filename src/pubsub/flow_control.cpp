#include "pubsub/flow_control.h"

#include <algorithm>

#include "planner/channel_credit.h"

namespace zincstack::pubsub {

namespace {

// Fractions of the queue by priority: exclusions and snapshots as the planner's own, changes in between.
constexpr double kQueueFraction[kPriorityCount] = {kDeadlineQueueFraction, 0.75, kOrdinaryQueueFraction};
// An exclusion may use the subscriber's window twice: it is sent beside what a slow reader has not read yet.
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
                                  std::size_t linesElsewhere) const {
    const std::size_t maxBytes = kWindowFactor[indexOf(priority)] * limits_.maxTotalBytes;
    if (total_.bytes + size.bytes > maxBytes && total_.bytes > 0) return false;
    const double maxLines = kQueueFraction[indexOf(priority)] * limits_.maxQueuedLines;
    const std::size_t queuedLines = total_.lines + linesElsewhere;
    return static_cast<double>(queuedLines + size.lines) <= maxLines || queuedLines == 0;
}

FlowControl::Decision FlowControl::check(MessagePriority priority, const MessageSize& size,
                                         const Window& window, std::size_t linesElsewhere) const {
    if (!fitsSubscriberWindow(priority, size, window)) return Decision::SubscriberWindowFull;
    if (!fitsTotalWindow(priority, size, linesElsewhere)) return Decision::TotalWindowFull;
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

Micros RetryAfterPlanner::nextRetryAfter(Micros now) {
    nextSlot_ = std::max(nextSlot_ + interval_, now);
    return baseDelay_ + (nextSlot_ - now);
}

} // namespace zincstack::pubsub

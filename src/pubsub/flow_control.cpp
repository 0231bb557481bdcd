#include "pubsub/flow_control.h"

#include <algorithm>
#include <utility>

#include "planner/channel_credit.h"

namespace zincstack::pubsub {

namespace {

// Parts of the queue: withdrawals and snapshots as the decision module's own, changes between.
constexpr double kPartOf[kUrgencies] = {kDeadlineQueueFraction, 0.75, kOrdinaryQueueFraction};
// Of its own window a withdrawal may use twice: it goes out beside what a slow reader has not taken yet.
constexpr std::size_t kOwnTimes[kUrgencies] = {2, 1, 1};

} // namespace

/// A message larger than a window goes where nothing else is on its way: else it never would.
FlowControl::Verdict FlowControl::may(Urgency urgency, std::size_t lines, std::size_t bytes,
                                      const Window& own, std::size_t elsewhere) const {
    const auto place = static_cast<std::size_t>(urgency);
    const bool ownFits = own.lines + lines <= kOwnTimes[place] * terms_.maxLinesPerSubscriber &&
                         own.bytes + bytes <= kOwnTimes[place] * terms_.maxBytesPerSubscriber;
    if ((!ownFits && own.bytes > 0) || (own.stuck && urgency != Urgency::Withdrawal)) return Verdict::OwnFull;
    if (all_.bytes + bytes > kOwnTimes[place] * terms_.maxTotalBytes && all_.bytes > 0)
        return Verdict::AllFull;
    const auto all = static_cast<double>(all_.lines + elsewhere + lines);
    if (all > kPartOf[place] * terms_.maxQueuedLines && all_.lines + elsewhere > 0) return Verdict::AllFull;
    return Verdict::Go;
}

void FlowControl::sent(Window& own, std::size_t lines, std::size_t bytes) {
    own.lines += lines;
    own.bytes += bytes;
    all_.bytes += bytes;
    all_.lines += lines;
    mostLines_ = std::max(mostLines_, all_.lines);
}

void FlowControl::answered(Window& own, std::size_t lines, std::size_t bytes) {
    own.lines -= lines;
    own.bytes -= bytes;
    all_.bytes -= bytes;
    all_.lines -= lines;
    if (own.bytes == 0) own.stuck = false;
}

void FlowControl::stuck(Window& own) { own.stuck = true; }

void FlowControl::wait(SubscriberId subscriber, Urgency urgency, bool first) {
    auto& line = waiting_[static_cast<std::size_t>(urgency)];
    first ? line.push_front(subscriber) : line.push_back(subscriber);
}

std::optional<std::pair<SubscriberId, Urgency>> FlowControl::next() {
    for (std::size_t place = 0; place < kUrgencies; ++place) {
        if (waiting_[place].empty()) continue;
        const SubscriberId first = waiting_[place].front();
        waiting_[place].pop_front();
        return std::pair(first, static_cast<Urgency>(place));
    }
    return {};
}

std::size_t FlowControl::waiting() const {
    std::size_t out = 0;
    for (const auto& line : waiting_) out += line.size();
    return out;
}

Micros RetryAfterPlanner::after(Micros now) {
    next_ = std::max(next_ + gap_, now);
    return base_ + (next_ - now);
}

} // namespace zincstack::pubsub

// Pacing of updates by the capacity of the control channel, and numbering of barriers.
#include "planner/control_channel.h"

#include <algorithm>

namespace zincstack {

namespace {

/// Highest barrier number; the numbering starts at 1 and wraps around to 1.
constexpr std::uint16_t kMaxBarrier = 65535;

} // namespace

bool ControlChannel::mayWriteBatch(Micros now) const {
    if (!batchSentAt_ || limits_.maxMessagesPerProxy < 2) return true;
    return now - *batchSentAt_ >= limits_.messageWindow / (limits_.maxMessagesPerProxy - 1);
}

double ControlChannel::broadcastLines() const {
    return static_cast<double>(proxies_.size()) * (kOneUpdateLines + limits_.messageOverheadLines);
}

double ControlChannel::outstandingLines() const {
    const auto pending = sink_.pendingLines();
    return pending ? *pending + ledger.stagedLines() : ledger.outstandingLines();
}

bool ControlChannel::hasDeadlineCapacity(double lines) const {
    if (isMetered()) return true;
    return kDeadlineQueueFraction * limits_.maxQueuedLines - ledger.outstandingLines() >= lines;
}

double ControlChannel::spareLines(Micros budget) const {
    const double byTime = limits_.linesPerSecond * seconds(limits_.meanTransitTime + budget);
    return std::min(byTime, kOrdinaryQueueFraction * limits_.maxQueuedLines) - outstandingLines();
}

std::optional<BarrierId> ControlChannel::closeBatch(Micros now) {
    if (ledger.stagedLines() <= 0 && !sink_.needsBarrier()) return {};
    lastBarrier_ = static_cast<std::uint16_t>(lastBarrier_ % kMaxBarrier + 1);
    const BarrierId barrier{lastBarrier_};
    sink_.requestBarrier(barrier, false);
    ledger.closeBatch(barrier, now);
    batchSentAt_ = now;
    return barrier;
}

} // namespace zincstack

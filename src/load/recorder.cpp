#include "load/recorder.h"

#include <algorithm>

namespace zincstack::load {

void Recorder::requestSent(Micros scheduledAt, Micros sentAt) {
    ++sent_;
    sendDelay_.add(std::max(sentAt - scheduledAt, Micros{}));
}

void Recorder::requestCompleted(Micros scheduledAt, Micros sentAt, Micros completedAt,
                                RequestOutcome outcome) {
    if (outcome == RequestOutcome::Rejected) {
        rejectionLatency_.add(completedAt - scheduledAt);
        return;
    }
    latency_.add(completedAt - scheduledAt);
    closedLoopLatency_.add(completedAt - sentAt);
}

void Recorder::merge(const Recorder& other) {
    latency_.merge(other.latency_);
    closedLoopLatency_.merge(other.closedLoopLatency_);
    rejectionLatency_.merge(other.rejectionLatency_);
    sendDelay_.merge(other.sendDelay_);
    sent_ += other.sent_;
    notSent_ += other.notSent_;
}

std::optional<Micros> Recorder::percentile(double percent) const {
    const std::uint64_t rank = rankOf(percent, scheduled());
    if (scheduled() == 0 || rank > served()) return {};
    return latency_.valueAtRank(rank);
}

std::uint64_t Recorder::servedWithin(Micros latency) const { return latency_.countUpTo(latency); }

bool Recorder::keptSchedule(Micros maxDelay, double maxLateFraction) const {
    const auto late = sendDelay_.count() - sendDelay_.countUpTo(maxDelay);
    return static_cast<double>(late) <= maxLateFraction * static_cast<double>(sendDelay_.count());
}

} // namespace zincstack::load

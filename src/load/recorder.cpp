#include "load/recorder.h"

#include <algorithm>

namespace zincstack::load {

void Recorder::sent(Micros intended, Micros at) {
    ++sent_;
    lag_.add(std::max(at - intended, Micros{}));
}

void Recorder::answered(Micros intended, Micros sentAt, Micros at, bool good) {
    if (!good) return refused_.add(at - intended);
    latency_.add(at - intended);
    naive_.add(at - sentAt);
}

void Recorder::merge(const Recorder& other) {
    latency_.merge(other.latency_);
    naive_.merge(other.naive_);
    refused_.merge(other.refused_);
    lag_.merge(other.lag_);
    sent_ += other.sent_;
    unsent_ += other.unsent_;
}

std::optional<Micros> Recorder::percentile(double hundredths) const {
    const std::uint64_t rank = rankOf(hundredths, meant());
    if (meant() == 0 || rank > served()) return {};
    return latency_.atRank(rank);
}

std::uint64_t Recorder::within(Micros span) const { return latency_.upTo(span); }

bool Recorder::sound(Micros most, double part) const {
    const auto late = lag_.count() - lag_.upTo(most);
    return static_cast<double>(late) <= part * static_cast<double>(lag_.count());
}

} // namespace zincstack::load

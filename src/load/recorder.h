// What came of the txns of an open-loop run. No I/O; times are handed in.
//
// A latency counts from the time at which the txn was *meant* to go out: a generator that waits, or a server that
// stands still, delays those behind too, and their callers waited. Counted from the time at which each really went
// out, as a closed loop does (the naive figure, kept beside it), a stall shows as one slow txn. What was never
// answered is in the figures: percentiles that fall among it are "never". The omission is known as coordinated
// omission (G. Tene, "How NOT to Measure Latency", 2013); open and closed loops are told apart by B. Schroeder,
// A. Wierman and M. Harchol-Balter, "Open Versus Closed: A Cautionary Tale", NSDI 2006.
#pragma once

#include <cstdint>
#include <optional>

#include "load/histogram.h"

namespace zincstack::load {

class Recorder {
public:
    /// A txn went out: when it was meant to, and when it did.
    void sent(Micros intended, Micros at);
    /// It could not be sent at all; it counts as never answered.
    void unsent() { ++unsent_; }
    /// It was answered. `good`: served; else refused or failed, which is no quick service.
    void answered(Micros intended, Micros sentAt, Micros at, bool good);
    void merge(const Recorder& other);

    std::uint64_t meant() const { return sent_ + unsent_; }
    std::uint64_t served() const { return latency_.count(); }
    std::uint64_t refused() const { return refused_.count(); }
    /// Neither served nor refused so far; at the end of a run, never answered.
    std::uint64_t open() const { return meant() - served() - refused(); }
    /// The latency that so many hundredths of *all* that were meant do not pass; none: never. What was refused
    /// was not served, so it counts as never, too.
    std::optional<Micros> percentile(double hundredths) const;
    /// How many were served within that time of the moment they were meant for.
    std::uint64_t within(Micros span) const;

    const Histogram& latency() const { return latency_; } ///< of what was served, from the intended time
    const Histogram& naive() const { return naive_; }     ///< the same from the time of sending
    const Histogram& refusals() const { return refused_; }
    const Histogram& lag() const { return lag_; } ///< how late the generator itself was

    /// Whether the generator kept its schedule: a share of at most `part` of the txns went out later than `most`.
    bool sound(Micros most, double part) const;

private:
    Histogram latency_, naive_, refused_, lag_;
    std::uint64_t sent_ = 0, unsent_ = 0;
};

} // namespace zincstack::load

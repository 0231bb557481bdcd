// What became of the requests of an open-loop run. No I/O; times are handed in.
//
// A latency counts from the time at which the request was *scheduled*: a generator that waits, or an endpoint that
// stalls, delays the requests after it too, and their callers waited. Counted from the time at which each was really
// sent, as a closed loop does (kept beside it), a stall shows as one slow request. Requests that were never answered
// are in the figures: percentiles that fall among them are "never". The error is known as coordinated omission (G. Tene,
// "How NOT to Measure Latency", 2013); open and closed loops are told apart by B. Schroeder, A. Wierman and
// M. Harchol-Balter, "Open Versus Closed: A Cautionary Tale", NSDI 2006.
#pragma once

#include <cstdint>
#include <optional>

#include "load/histogram.h"

namespace zincstack::load {

enum class RequestOutcome : std::uint8_t { Served, Rejected };

/// Owns the histograms and counts of one run, or of several merged ones.
class Recorder {
public:
    void requestSent(Micros scheduledAt, Micros sentAt);
    /// It could not be sent at all; it counts as never answered.
    void requestNotSent() { ++notSent_; }
    void requestCompleted(Micros scheduledAt, Micros sentAt, Micros completedAt, RequestOutcome outcome);
    void merge(const Recorder& other);

    std::uint64_t scheduled() const { return sent_ + notSent_; }
    std::uint64_t served() const { return latency_.count(); }
    std::uint64_t rejected() const { return rejectionLatency_.count(); }
    /// Neither served nor rejected so far; at the end of a run, never answered.
    std::uint64_t unanswered() const { return scheduled() - served() - rejected(); }
    /// The latency that so many percent of *all* scheduled requests do not exceed; none: never. A rejected request was
    /// not served, so it counts as never, too.
    std::optional<Micros> percentile(double percent) const;
    /// How many were served within that time of their schedule.
    std::uint64_t servedWithin(Micros latency) const;

    /// Of served requests, from the scheduled time.
    const Histogram& latency() const { return latency_; }
    /// Of served requests, from the time of sending: what a closed loop would report.
    const Histogram& closedLoopLatency() const { return closedLoopLatency_; }
    const Histogram& rejectionLatency() const { return rejectionLatency_; }
    /// How late the generator itself was.
    const Histogram& sendDelay() const { return sendDelay_; }

    /// Whether the generator kept its schedule: at most that fraction of the requests went out later than `maxDelay`.
    bool keptSchedule(Micros maxDelay, double maxLateFraction) const;

private:
    Histogram latency_;
    Histogram closedLoopLatency_;
    Histogram rejectionLatency_;
    Histogram sendDelay_;
    std::uint64_t sent_ = 0;
    std::uint64_t notSent_ = 0;
};

} // namespace zincstack::load

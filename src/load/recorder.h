// Records the outcomes and latencies of the requests of an open-loop run. No I/O; times are parameters.
//
// Latency is measured from the *scheduled* time of a request: if the generator waits or an endpoint stalls,
// later requests are delayed as well, and their callers wait. Measured from the actual send time, as a closed
// loop does, a stall appears as a single slow request, an error known as coordinated omission (G. Tene, "How
// NOT to Measure Latency", 2013). The closed-loop latency is recorded as well, for comparison. Requests that
// are never answered are included: percentiles that fall among them have no value ("never"). B. Schroeder, A.
// Wierman and M. Harchol-Balter compare open and closed loops in "Open Versus Closed: A Cautionary Tale",
// NSDI 2006.
#pragma once

#include <cstdint>
#include <optional>

#include "load/histogram.h"

namespace zincstack::load {

/// How the endpoint answered a request.
enum class RequestOutcome : std::uint8_t { Served, Rejected };

/// Histograms and counts of one run, or of several merged runs.
class Recorder {
public:
    /// Records a request that was sent, and how late.
    void requestSent(Micros scheduledAt, Micros sentAt);
    /// Records a request that could not be sent; it counts as never answered.
    void requestNotSent() { ++notSent_; }
    /// Records the answer to a request that `requestSent` recorded.
    void requestCompleted(Micros scheduledAt, Micros sentAt, Micros completedAt, RequestOutcome outcome);
    /// Adds all requests of another run.
    void merge(const Recorder& other);

    std::uint64_t scheduled() const { return sent_ + notSent_; }
    std::uint64_t served() const { return latency_.count(); }
    std::uint64_t rejected() const { return rejectionLatency_.count(); }
    /// Neither served nor rejected so far; at the end of a run, never answered.
    std::uint64_t unanswered() const { return scheduled() - served() - rejected(); }
    /// The latency that `percent` percent of *all* scheduled requests do not exceed; std::nullopt if fewer
    /// requests were served. Rejected requests count as never served.
    std::optional<Micros> percentile(double percent) const;
    /// The number of requests that were served within `latency` of their scheduled time.
    std::uint64_t servedWithin(Micros latency) const;

    /// Latency of served requests, from the scheduled time.
    const Histogram& latency() const { return latency_; }
    /// Latency of served requests, from the send time: what a closed loop would report.
    const Histogram& closedLoopLatency() const { return closedLoopLatency_; }
    const Histogram& rejectionLatency() const { return rejectionLatency_; }
    /// Delay of the generator itself, from the scheduled time to the send time.
    const Histogram& sendDelay() const { return sendDelay_; }

    /// Whether the generator kept its schedule: at most `maxLateFraction` of the sent requests were sent more
    /// than `maxDelay` late.
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

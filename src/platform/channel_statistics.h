// Statistics of the push streams of the platform protocol: lines written by kind, acknowledgements, and
// streams opened, closed and replaced. Logged at most once a second, and only if there was any activity.
#pragma once

#include <cstddef>
#include <cstdint>

#include "planner/planner.h"

namespace zincstack::net {

/// Number of lines by kind, as the protocol counts them, without the per-message overhead.
struct LineCounts {
    std::size_t weights = 0;
    std::size_t exclusions = 0;
    std::size_t readmissions = 0;
    std::size_t admissionLimits = 0;
    std::size_t framing = 0; ///< table replacements and barriers

    std::size_t total() const { return weights + exclusions + readmissions + admissionLimits + framing; }
    LineCounts& operator+=(const LineCounts& other);
};

/// Accumulates the statistics of one log interval.
class ChannelStatistics {
public:
    void messageWritten(const LineCounts& lines);
    void barrierAcknowledged() { ++current_.acknowledgements; }
    void streamOpened() { ++current_.streamsOpened; }
    void streamClosed() { ++current_.streamsClosed; }
    void streamReplaced() { ++current_.streamsReplaced; }
    /// Records the current number of unacknowledged lines. The log event contains the interval's maximum.
    void sampleUnacknowledgedLines(std::size_t lines);

    /// Values that are logged as of the end of the interval.
    struct Gauges {
        std::size_t unacknowledgedLines = 0; ///< written and possibly still in the channel
        std::size_t deferredLines = 0;       ///< waiting for capacity in the channel
        std::size_t joinedProxies = 0;
        std::size_t unassignedProxies = 0; ///< joined, but without an assigned table
        std::size_t stalledProxies = 0;    ///< with overdue acknowledgements and changes that wait for them
    };
    /// Whether a log interval has passed since the last log event and there has been activity since.
    bool isDue(Micros now) const;
    /// Logs the event `channel` and starts the next interval.
    void logInterval(Micros now, const Gauges& gauges);

private:
    struct Interval {
        LineCounts lines;
        std::uint64_t messages = 0;
        std::uint64_t acknowledgements = 0;
        std::uint64_t streamsOpened = 0;
        std::uint64_t streamsClosed = 0;
        std::uint64_t streamsReplaced = 0;
        std::size_t maxUnacknowledgedLines = 0;

        bool empty() const {
            return messages + acknowledgements + streamsOpened + streamsClosed + streamsReplaced == 0;
        }
    };
    Interval current_;
    Micros loggedAt_{};
};

} // namespace zincstack::net

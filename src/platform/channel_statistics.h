// Statistics of the platform's push streams: lines written by kind, acknowledgements, opened and closed streams.
// Logged once a second while there is any activity.
#pragma once

#include <cstddef>
#include <cstdint>

#include "planner/planner.h"

namespace zincstack::net {

/// Lines of messages by kind, as the protocol counts them, without the overhead of a message.
struct LineCounts {
    std::size_t weights = 0;
    std::size_t exclusions = 0;
    std::size_t readmissions = 0;
    std::size_t admissionLimits = 0;
    std::size_t framing = 0; ///< replacements of a table, and barriers

    std::size_t total() const { return weights + exclusions + readmissions + admissionLimits + framing; }
    LineCounts& operator+=(const LineCounts& other);
};

class ChannelStatistics {
public:
    void messageWritten(const LineCounts& lines);
    void barrierAcknowledged() { ++current_.acknowledgements; }
    void streamOpened() { ++current_.streamsOpened; }
    void streamClosed() { ++current_.streamsClosed; }
    void streamReplaced() { ++current_.streamsReplaced; }
    /// Records the present number of unacknowledged lines; the maximum of an interval is logged.
    void sampleUnacknowledgedLines(std::size_t lines);

    /// What is logged as it is at the end of the interval.
    struct Gauges {
        std::size_t unacknowledgedLines = 0; ///< written, and may still wait in the channel
        std::size_t deferredLines = 0;       ///< wait for capacity in the channel
        std::size_t joinedProxies = 0;
        std::size_t unassignedProxies = 0; ///< joined, but no table is assigned
    };
    /// Whether an interval has passed since the last log event and there was any activity.
    bool isDue(Micros now) const;
    /// Logs the event `channel` and begins the next interval.
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

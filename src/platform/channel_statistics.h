// What went through the planner's channel, told to the log once a second while anything moves: how many lines of
// which kind were written and answered, how many still have no answer, and how many streams opened and ended.
#pragma once

#include <cstddef>
#include <cstdint>

#include "planner/planner.h"

namespace zincstack::net {

/// Lines of one message by kind, as the protocol counts them. The head of the message is not among them.
struct LineCounts {
    std::size_t rows = 0;         ///< servers with weights
    std::size_t withdrawals = 0;  ///< servers that the proxy is to shut out
    std::size_t readmissions = 0; ///< servers that it is to let back
    std::size_t levels = 0;
    std::size_t framing = 0; ///< `replace` and the mark
    std::size_t total() const { return rows + withdrawals + readmissions + levels + framing; }
    LineCounts& operator+=(const LineCounts& other);
};

class ChannelStatistics {
public:
    void written(const LineCounts& lines);
    void answered() { ++now_.answers; }
    void streamOpened() { ++now_.opened; }
    void streamEnded() { ++now_.ended; }
    void takenOver() { ++now_.takenOver; }

    /// How things stand now.
    struct Standing {
        std::size_t unanswered = 0;          ///< lines that were written and may still wait in the channel
        std::size_t heldBack = 0;            ///< lines that were ordered and wait for room
        std::size_t joined = 0, unbound = 0; ///< proxies
    };
    /// How many lines may still wait in the channel now; the most of an interval is told.
    void sample(std::size_t unanswered);
    /// A second has passed since the last event, and anything happened meanwhile.
    bool due(Micros now) const;
    /// Logs the event `channel` and begins the next interval.
    void tell(Micros now, const Standing& standing);

private:
    struct Interval {
        LineCounts lines;
        std::uint64_t messages = 0, answers = 0, opened = 0, ended = 0, takenOver = 0;
        std::size_t mostUnanswered = 0;
        bool empty() const { return messages + answers + opened + ended + takenOver == 0; }
    };
    Interval now_;
    Micros toldAt_{};
};

} // namespace zincstack::net

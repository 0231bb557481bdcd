// The exact account of a planner's channel: which lines have been written and may still wait there, and whether one
// more message may be written. Flow control by credit, as in HTTP/2: a message is charged as it was encoded when its
// bytes are handed to a stream, and only an answer gives its credit back. No estimate and no time-out does.
//
// Sans-I/O and deterministic: the clock is handed in. Lines are those of the protocol page, heads of messages included.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "planner/planner.h"

namespace zincstack {

/// How much of the channel's queue a message may fill.
enum class Urgency : std::uint8_t {
    Deadline, ///< a rule's time limit runs: withdrawals, and the first table of a proxy that has joined
    Ordinary, ///< all else
};

/// Parts of the queue's limit: for what a rule's time limit runs for, and for all else, so that the queue stays short
/// for what can't wait. The module paces by the same parts, and so does the pub-sub channel.
inline constexpr double kDeadlineQueueFraction = 0.95, kOrdinaryQueueFraction = 0.5;

class ChannelCredit {
public:
    /// Terms without a limit (`queueMost` of 0) admit everything.
    explicit ChannelCredit(const ControlChannelLimits& terms) : terms_(terms) {}

    enum class Admission : std::uint8_t {
        Granted,
        ProxyBlocked, ///< this proxy has been written too many messages, or owes answers for too long
        QueueFull,    ///< no message of that size and urgency may be written to anybody
    };
    /// Whether a message of so many lines may be written to the proxy now. `elsewhere`: lines that wait on
    /// channels of other fronts and count against the same limit.
    Admission check(ProxyId proxy, double lines, Urgency urgency, double elsewhere, Micros now) const;

    void sessionOpened(ProxyId proxy);
    /// What was written to the stream may still wait: it counts until a message written after the end is answered.
    void sessionEnded(ProxyId proxy);
    /// A message of so many lines that ends with the mark has been handed to the proxy's stream.
    void messageWritten(ProxyId proxy, BarrierId mark, double lines, Micros now);
    /// The proxy has answered the mark: that message has left the channel, and so has each one written to it before.
    /// False where no such mark waits for its answer.
    bool acknowledged(ProxyId proxy, BarrierId mark);
    /// Looks for silent streams, once a second at most: what they were written counts like that of ended ones.
    void detectSilentSessions(Micros now);

    /// Lines that may still wait in the channel.
    double unacknowledgedLines() const { return waiting_; }

private:
    struct Message {
        std::uint64_t sequence;
        BarrierId mark;
        double lines;
        Micros writtenAt;
        bool counted = true; // false: its stream is silent, and its lines are among those of ended ones
    };
    struct Stream {
        std::deque<Message> unanswered; // oldest first
        std::deque<Micros> writtenAt;   // of messages within the counted span
    };
    struct Ended {              // what a stream that has ended was written and did not answer
        std::uint64_t sequence; // of the first message written after the end
        double lines;
    };
    bool mustWait(const Stream& stream, Urgency urgency, Micros now) const;
    /// For how long others have been answering messages that were written after the oldest that it owes.
    Micros overdue(const Stream& stream) const;
    void giveUp(Stream& stream);
    void returned(double lines);

    const ControlChannelLimits terms_;
    std::map<ProxyId, Stream> streams_;
    std::deque<Ended> ended_; // oldest first
    std::uint64_t nextSequence_ = 0;
    double waiting_ = 0;
    std::size_t awaited_ = 0; // counted messages on open streams
    Micros sweptAt_{};
    Micros newestAnsweredWrite_{}; // when the newest message that has been answered was written
};

} // namespace zincstack

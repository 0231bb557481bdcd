// The exact account of a planner's control channel: which lines have been written and may still be in it, and
// whether one more message may be written. Credit-based flow control, as in HTTP/2: a message is charged as
// encoded when its bytes are handed to a stream, and only an acknowledgement gives its credit back; no
// estimate and no time-out does.
//
// No I/O, and deterministic: the caller hands in the clock. Lines include the overhead of messages. Owns what
// it is told of streams and messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "planner/planner.h"

namespace zincstack {

/// How much of the channel's queue a message may fill.
enum class Urgency : std::uint8_t {
    Deadline, ///< a limit of SafetyLimits runs: exclusions, and the first table of a proxy that joined
    Ordinary, ///< all else
};

/// Part of ControlChannelLimits::maxQueuedLines that messages with a deadline may fill. The rest is a
/// reserve, see ChannelCredit::check().
inline constexpr double kDeadlineQueueFraction = 0.95;
/// The same for all other messages: the queue stays short for those with a deadline. The planner and the
/// pub-sub channel pace themselves by the same part.
inline constexpr double kOrdinaryQueueFraction = 0.5;

class ChannelCredit {
public:
    /// Limits with a maxQueuedLines of 0 admit everything.
    explicit ChannelCredit(const ControlChannelLimits& limits) : limits_(limits) {}

    enum class Admission : std::uint8_t {
        Granted,
        ProxyBlocked, ///< this proxy was sent too many messages, or owes acknowledgements for too long
        QueueFull,    ///< no message of that size and urgency may be written to any proxy
    };
    /// Whether a message of so many lines may be written to the proxy now. `otherTransportLines`: lines on
    /// channels of other transports that count against the same limit.
    Admission check(ProxyId proxy, double lines, Urgency urgency, double otherTransportLines,
                    Micros now) const;

    void sessionOpened(ProxyId proxy);
    /// What was written to the stream may still be in the channel: it counts until a message that was written
    /// after the end is acknowledged.
    void sessionEnded(ProxyId proxy);
    /// A message that ends with the barrier has been handed to the proxy's stream.
    void messageWritten(ProxyId proxy, BarrierId barrier, double lines, Micros now);
    /// That message has left the channel, and so has each one written to the proxy before it. False if the
    /// proxy owes no acknowledgement of the barrier.
    bool acknowledged(ProxyId proxy, BarrierId barrier);
    /// Treats what was written to silent streams like that of ended ones. Does nothing within a second of the
    /// last call that did.
    void detectSilentSessions(Micros now);

    /// Lines that may still be in the channel.
    double unacknowledgedLines() const { return unacknowledgedLines_; }

private:
    struct Message {
        std::uint64_t sequence;
        BarrierId barrier;
        double lines;
        Micros writtenAt;
        bool isAwaited = true; // false: its stream is silent, and its lines are among those of ended ones
    };
    struct Stream {
        std::deque<Message> unacknowledged; // oldest first
        std::deque<Micros> writeTimes;      // within the last messageWindow
    };
    /// What an ended or silent stream was written and did not acknowledge.
    struct EndedStream {
        std::uint64_t firstLaterSequence; // of the first message that is written after the end
        double lines;
    };
    bool mustWait(const Stream& stream, Urgency urgency, Micros now) const;
    /// For how long others have acknowledged messages that were written after the oldest that it owes.
    Micros overdue(const Stream& stream) const;
    void moveToEnded(Stream& stream);
    void returnCredit(double lines);

    const ControlChannelLimits limits_;
    std::map<ProxyId, Stream> streams_;
    std::deque<EndedStream> ended_; // oldest first
    std::uint64_t nextSequence_ = 0;
    double unacknowledgedLines_ = 0;
    std::size_t awaitedMessages_ = 0;
    Micros silenceCheckedAt_{};
    Micros newestAcknowledgedWrite_{}; // when the newest message that has been acknowledged was written
};

} // namespace zincstack

// Exact accounting of a planner's control channel: counts the lines that have been written and may still be
// in it, and decides whether another message may be written. This is credit-based flow control, as in
// HTTP/2: a message is charged at its encoded size when its bytes are handed to a stream, and only an
// acknowledgement returns its credit, never an estimate or a time-out.
//
// An acknowledgement can be lost, for instance because it arrives unreadable. The account then waits for the
// acknowledgement of a later message, which settles the earlier ones too. Hence a proxy that is alive must get
// later messages: only a proxy from which nothing arrives is restricted.
//
// No I/O, and deterministic: the caller passes in the time. Line counts include the overhead of messages.
// Owns the state of the streams and of the unacknowledged messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "planner/planner.h"

namespace zincstack {

/// How much of the channel's queue a message may fill.
enum class Urgency : std::uint8_t {
    Deadline, ///< subject to a time limit in SafetyLimits: exclusions and the first table of a joined proxy
    Ordinary, ///< all other messages
};

/// Fraction of ControlChannelLimits::maxQueuedLines that messages with a deadline may fill. The rest is a
/// reserve, see ChannelCredit::check().
inline constexpr double kDeadlineQueueFraction = 0.95;
/// The same for all other messages, which keeps the queue short for those with a deadline. The planner and
/// the pub-sub channel pace themselves by the same fraction.
inline constexpr double kOrdinaryQueueFraction = 0.5;

/// Flow control for the messages of one planner to all its proxies.
class ChannelCredit {
public:
    /// A maxQueuedLines of 0 disables the limit of the queue.
    explicit ChannelCredit(const ControlChannelLimits& limits) : limits_(limits) {}

    enum class Admission : std::uint8_t {
        Granted,
        ProxyBlocked, ///< no session, too many messages to this proxy, or the proxy is stalled
        QueueFull,    ///< no message of this size and urgency may be written to any proxy
    };
    /// Whether a message of `lines` lines may be written to the proxy now. `otherTransportLines`: lines on
    /// the channels of other transports, which count against the same limit. While no acknowledgement is
    /// awaited, one message may use the whole queue, including the reserve. So may a small one if all that are
    /// awaited are overdue.
    Admission check(ProxyId proxy, double lines, Urgency urgency, double otherTransportLines,
                    Micros now) const;

    /// Whether the proxy's acknowledgements are overdue and nothing else arrives from it, so that it gets only
    /// few messages.
    bool isStalled(ProxyId proxy) const;

    void sessionOpened(ProxyId proxy);
    /// Lines that were written to the session's stream may still be in the channel: they count until a
    /// message written after the end of the session is acknowledged.
    void sessionEnded(ProxyId proxy);
    /// Charges a message, closed by the barrier, that has been handed to the proxy's stream.
    void messageWritten(ProxyId proxy, BarrierId barrier, double lines, Micros now);
    /// Returns the credit of the message, of all messages written to the proxy before it, and of the streams
    /// that had ended and the messages that had been given up before it was written. Messages to the proxy
    /// that have been given up are excepted: their credit returns like that of ended streams. Returns false if
    /// the proxy has no unacknowledged message with this barrier.
    bool acknowledged(ProxyId proxy, BarrierId barrier);
    /// Records that something arrived from the proxy: it is alive, so a missing acknowledgement is lost rather
    /// than late. Returns no credit.
    void inputReceived(ProxyId proxy, Micros now);
    /// Records an acknowledgement that does not tell which message it belongs to. Proxies acknowledge messages
    /// in order, so the oldest message without an answer is assumed to be answered; it no longer counts against
    /// the proxy's limits. Returns no credit.
    void unusableAcknowledgementReceived(ProxyId proxy);
    /// Treats the lines of messages whose acknowledgements are given up like those of ended streams. A message
    /// is given up if it is much older than the newest one that any proxy has acknowledged. The check runs at
    /// most once per second; further calls have no effect.
    void giveUpOverdueMessages(Micros now);

    /// Lines that may still be in the channel.
    double unacknowledgedLines() const { return unacknowledgedLines_; }

private:
    struct Message {
        std::uint64_t sequence;
        BarrierId barrier;
        double lines;
        Micros writtenAt;
        bool isAwaited = true;          // false: given up, and its lines count in `ended_`
        bool hasUnusableAnswer = false; // answered, but by an acknowledgement that could not be used

        /// Whether an acknowledgement of the message can still arrive.
        bool isUnanswered() const { return isAwaited && !hasUnusableAnswer; }
    };
    struct Stream {
        std::deque<Message> unacknowledged; // oldest first
        std::deque<Micros> writeTimes;      // within the last messageWindow
        Micros lastInputAt{};
        bool isSilent = false; // no input for a long time; until the next input
    };
    /// Lines that were written to an ended stream, or given up, and not acknowledged.
    struct EndedStream {
        std::uint64_t firstLaterSequence; // sequence of the first message written after the end
        double lines;
    };
    bool mustWait(const Stream& stream, Urgency urgency, Micros now) const;
    bool areAllAcknowledgementsOverdue(Micros now) const;
    std::size_t maxUnansweredMessages(const Stream& stream, Urgency urgency) const;
    bool isStalled(const Stream& stream) const;
    /// Time from the write of the stream's oldest unanswered message, or from the stream's last input if that
    /// is later, to the write of the newest message that any proxy has acknowledged. Zero if no message is
    /// unanswered.
    Micros inputLag(const Stream& stream) const;
    /// Gives up the stream's messages that were written before the time.
    void giveUpMessages(Stream& stream, Micros writtenBefore);
    static void dropOldestGivenUp(Stream& stream);
    void returnCredit(double lines);

    const ControlChannelLimits limits_;
    std::map<ProxyId, Stream> streams_;
    std::deque<EndedStream> ended_; // oldest first
    std::uint64_t nextSequence_ = 0;
    double unacknowledgedLines_ = 0;
    std::size_t awaitedMessages_ = 0;
    Micros overdueCheckedAt_{};
    Micros lastWriteAt_{};             // of all streams
    Micros newestAcknowledgedWrite_{}; // write time of the newest acknowledged message of all streams
};

} // namespace zincstack

// The planner's state of one subscriber: the state of its session, its position in each topic, its
// unacknowledged messages, and the barriers that wait for their acknowledgement. Subscriber only keeps state
// and decides; SubscriptionServer carries out the effects.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pubsub/flow_control.h"
#include "pubsub/message_body.h"
#include "pubsub/topic_log.h"

namespace zincstack::pubsub {

using SharedFrame = std::shared_ptr<const std::string>;

/// Destination of a subscriber's frames. Abstracts its connection for the server.
class FrameTarget {
public:
    FrameTarget() = default;
    FrameTarget(const FrameTarget&) = delete;
    FrameTarget(FrameTarget&&) = delete;
    FrameTarget& operator=(const FrameTarget&) = delete;
    FrameTarget& operator=(FrameTarget&&) = delete;
    virtual ~FrameTarget() = default;
    /// Queues a complete frame. Returns false if too many bytes are queued already.
    virtual bool push(const SharedFrame& frame) = 0;
    /// Ends the session. `finalFrame`, which may be empty, is sent only if the write queue is empty and as
    /// far as the socket accepts it without waiting.
    virtual void close(std::string finalFrame) = 0;
};

/// State of a subscriber's session.
enum class SessionState : std::uint8_t {
    Greeting,   ///< no valid Hello received yet
    CatchingUp, ///< the initial tables are being sent
    Live,       ///< everything has been sent
    Lagging,    ///< changes wait because the subscriber's window is full
    Resync,  ///< a snapshot is being sent: the log no longer covers the position, or the client asked for it
    Leaving, ///< the session has ended, but the connection still exists
    Any,     ///< wildcard, used in the transition table only
};

/// Input of the session's state machine.
enum class SessionInput : std::uint8_t {
    GreetingAccepted,
    GreetingRejected,
    CaughtUp,         ///< all contents of the subscriber's topics have been sent
    WindowFull,       ///< a message is pending and the subscriber's window is full
    LogTruncated,     ///< the log no longer covers the position, or the subscriber requested a snapshot
    AckTimeout,       ///< no acknowledgement within `LeaseConfig::stallTimeout`
    LeaseExpired,     ///< no frame received within `LeaseConfig::leaseDuration`
    SessionReplaced,  ///< the proxy has a newer session
    ServiceSuspended, ///< the channel is switched off
    ProtocolError,    ///< the subscriber sent invalid data
    Disconnected,     ///< the subscriber sent Bye, or its connection has ended
    Any,              ///< wildcard, used in the transition table only
};

/// Action that the server takes after a transition.
enum class SessionEffect : std::uint8_t {
    Nothing,
    SendWelcome,
    SendRefusal, ///< sends Refused and ends the session
    CountLag,
    CountResync,
    SendGoodbye, ///< sends Bye and ends the session
    Close,       ///< ends the session without a final frame
};

/// Returns the name of a state other than Any.
std::string_view nameOf(SessionState state);

/// Message of a topic, encoded once for all subscribers that receive it.
struct EncodedMessage {
    /// One frame of the message.
    struct Part {
        SharedFrame frame;
        std::size_t lines = 0;

        MessageSize size() const { return {lines, frame->size()}; }
    };
    TopicId topic;
    Sequence head; ///< sequence that a subscriber has reached after the message
    MessagePriority priority = MessagePriority::Change;
    std::vector<Part> parts;
};
using SharedMessage = std::shared_ptr<const EncodedMessage>;

/// A subscriber's progress in a topic that it follows.
struct TopicProgress {
    Sequence sent{};                      ///< up to which messages have been sent completely
    Sequence acknowledged{};              ///< up to which the subscriber has acknowledged the topic
    Sequence barrier{};                   ///< the topic's head at the newest barrier
    bool needsSnapshot = false;           ///< the next message has to be a snapshot
    bool wasSent = false;                 ///< a message of the topic was sent completely in this session
    SharedMessage messageInProgress = {}; ///< partly sent message, if any
    std::size_t nextPart = 0;             ///< index of the next part of `messageInProgress`

    void discardMessageInProgress();
};

/// State of one subscriber's session on the planner's side.
class Subscriber {
public:
    Subscriber(SubscriberId sessionId, FrameTarget& frameTarget, Micros now)
        : id(sessionId), target(&frameTarget), lastReceivedAt(now), lastProgressAt(now) {}

    /// Applies an input to the session's state and returns the action to take. An input without a transition
    /// in the current state is ignored and returns Nothing.
    SessionEffect transition(SessionInput input);
    SessionState state() const { return state_; }
    /// Returns whether the session has been accepted and has not ended.
    bool isEstablished() const { return state_ != SessionState::Greeting && state_ != SessionState::Leaving; }

    /// Records a part that was handed to the session, and charges its size to flow control.
    void onPartSent(const EncodedMessage& message, std::size_t part, FlowControl& flowControl, Micros now);
    /// Records that the subscriber has applied the topic up to the sequence. This acknowledges all earlier
    /// messages of the same topic, but none of other topics, because exclusions overtake other messages.
    /// Returns false if no such message was sent.
    bool acknowledge(TopicId topic, Sequence sequence, FlowControl& flowControl, Micros now);
    /// Records that the subscriber has received a part of the message with that sequence. Returns false if no
    /// such message was sent.
    bool acknowledgePart(TopicId topic, Sequence sequence, std::uint16_t part, FlowControl& flowControl,
                         Micros now);
    /// Adds a barrier after the current contents of the subscriber's topics. `heads` contains the head of
    /// every topic.
    void addBarrier(BarrierId barrier, const std::map<TopicId, Sequence>& heads);
    /// Removes the barriers whose preceding messages are all acknowledged. Returns the newest of them, or
    /// std::nullopt if there is none.
    std::optional<BarrierId> takeAcknowledgedBarrier();
    /// Returns the flow-control credit of all unacknowledged parts.
    void releaseCredit(FlowControl& flowControl);
    bool hasUnacknowledged() const { return !unacknowledged_.empty(); }

    const SubscriberId id;
    FrameTarget* const target;
    std::optional<ProxyId> proxy; ///< std::nullopt for an observer, and once the proxy's session has ended
    ZoneId zone;
    bool acceptsCompression = false;
    std::map<TopicId, TopicProgress> topics; ///< followed topics; the exclusions topic comes first
    Window window;
    Micros lastReceivedAt{};
    /// Time of the last acknowledgement, or of the first part sent since nothing was unacknowledged.
    Micros lastProgressAt{};
    bool isWaitingForCapacity = false;          ///< queued in FlowControl
    std::vector<TopicPosition> resumePositions; ///< positions from the client's Hello

private:
    struct UnacknowledgedPart {
        TopicId topic;
        Sequence head;
        std::uint16_t part = 0;
        MessageSize size;
    };
    /// Barrier with the topic heads that have to be acknowledged first.
    struct PendingBarrier {
        BarrierId barrier;
        std::map<TopicId, Sequence> heads;
    };
    /// Removes the unacknowledged parts for which `isCovered` is true, and returns their flow-control credit.
    template <class Covered>
    void removeUnacknowledged(const Covered& isCovered, FlowControl& flowControl, Micros now);
    bool isAcknowledged(const PendingBarrier& pending) const;

    SessionState state_ = SessionState::Greeting;
    std::deque<UnacknowledgedPart> unacknowledged_;
    std::deque<PendingBarrier> barriers_;
};

} // namespace zincstack::pubsub

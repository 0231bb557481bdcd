// One subscriber as the planner sees it: the state of its session, its position in each topic, what it has not
// acknowledged, and which barriers wait for that. State and decisions only; SubscriptionServer carries out effects.
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

/// Where a subscriber's frames go: its connection, as far as the server knows it.
class FrameTarget {
public:
    FrameTarget() = default;
    FrameTarget(const FrameTarget&) = delete;
    FrameTarget(FrameTarget&&) = delete;
    FrameTarget& operator=(const FrameTarget&) = delete;
    FrameTarget& operator=(FrameTarget&&) = delete;
    virtual ~FrameTarget() = default;
    /// Queues a complete frame; false if too much is queued already.
    virtual bool push(const SharedFrame& frame) = 0;
    /// Ends the session. `farewell` is sent if the reader takes it at once.
    virtual void close(std::string farewell) = 0;
};

enum class SessionState : std::uint8_t {
    Greeting,   ///< no valid Hello yet
    CatchingUp, ///< its first tables are being sent
    Live,       ///< everything has been sent
    Lagging,    ///< changes wait for its window
    Resync,     ///< changes no longer cover its position: a snapshot is being sent
    Leaving,    ///< ended; the connection still exists
    Any,        ///< in the transition table alone
};

enum class SessionInput : std::uint8_t {
    GreetingAccepted,
    GreetingRejected,
    CaughtUp,         ///< everything that its topics hold has been sent
    WindowFull,       ///< something is due and its window is full
    LogTruncated,     ///< the log no longer covers its position, or it asked for a snapshot
    AckTimeout,       ///< it has acknowledged nothing for too long
    LeaseExpired,     ///< it has sent nothing for too long
    SessionReplaced,  ///< its proxy has a newer session
    ServiceSuspended, ///< the channel is switched off
    ProtocolError,    ///< it sent something that is not valid
    Disconnected,     ///< it said goodbye, or its connection has ended
    Any,              ///< in the transition table alone
};

enum class SessionEffect : std::uint8_t {
    Nothing,
    SendWelcome,
    SendRefusal,
    CountLag,
    CountResync,
    SendGoodbye,
    Close,
};

std::string_view nameOf(SessionState state);

/// A message of a topic, encoded once for all subscribers that get it.
struct EncodedMessage {
    struct Part {
        SharedFrame frame;
        std::size_t lines = 0;

        MessageSize size() const { return {lines, frame->size()}; }
    };
    TopicId topic;
    Sequence head; ///< the topic's state after the message
    MessagePriority priority = MessagePriority::Change;
    std::vector<Part> parts;
};
using SharedMessage = std::shared_ptr<const EncodedMessage>;

/// A subscriber's progress in a topic that it follows.
struct TopicProgress {
    Sequence sent{};
    Sequence acknowledged{};
    Sequence barrier{};                   ///< the topic's head at the newest barrier
    bool needsSnapshot = false;           ///< a snapshot is due
    bool wasSent = false;                 ///< some message of the topic was sent completely in this session
    SharedMessage messageInProgress = {}; ///< partly sent
    std::size_t nextPart = 0;             ///< of `messageInProgress`

    void discardMessageInProgress();
};

class Subscriber {
public:
    Subscriber(SubscriberId sessionId, FrameTarget& frameTarget, Micros now)
        : id(sessionId), target(&frameTarget), lastReceivedAt(now), lastProgressAt(now) {}

    /// Applies an input to the state; returns what has to be done. Nothing: the input does not matter in this state.
    SessionEffect transition(SessionInput input);
    SessionState state() const { return state_; }
    /// Whether the session has been accepted and has not ended.
    bool isEstablished() const { return state_ != SessionState::Greeting && state_ != SessionState::Leaving; }

    void onPartSent(const EncodedMessage& message, std::size_t part, FlowControl& flowControl, Micros now);
    /// Everything of the topic up to the sequence is applied. An acknowledgment covers what was sent of its topic
    /// before it; it says nothing of other topics, since exclusions overtake. False where no such message was sent.
    bool acknowledge(TopicId topic, Sequence sequence, FlowControl& flowControl, Micros now);
    /// A part of the message with that sequence was received. False where no such message was sent.
    bool acknowledgePart(TopicId topic, Sequence sequence, std::uint16_t part, FlowControl& flowControl,
                         Micros now);
    /// Records a barrier behind what is in the topics now. `heads`: of every topic that exists.
    void addBarrier(BarrierId barrier, const std::map<TopicId, Sequence>& heads);
    /// The newest barrier of which everything is acknowledged; returned once.
    std::optional<BarrierId> takeAcknowledgedBarrier();
    /// Gives back the flow-control credit of everything unacknowledged.
    void releaseCredit(FlowControl& flowControl);
    bool hasUnacknowledged() const { return !unacknowledged_.empty(); }

    const SubscriberId id;
    FrameTarget* const target;
    std::optional<ProxyId> proxy;
    ZoneId zone;
    bool acceptsCompression = false;
    std::map<TopicId, TopicProgress> topics; ///< exclusions first
    Window window;
    Micros lastReceivedAt{};
    Micros lastProgressAt{};           ///< when it last acknowledged something, or had nothing to acknowledge
    bool isWaitingForCapacity = false; ///< queued in FlowControl
    std::vector<TopicPosition> resumePositions; ///< from its Hello

private:
    struct UnacknowledgedPart {
        TopicId topic;
        Sequence head;
        std::uint16_t part = 0;
        MessageSize size;
    };
    struct PendingBarrier {
        BarrierId barrier;
        std::map<TopicId, Sequence> heads;
    };
    template <class Covered>
    void removeUnacknowledged(const Covered& isCovered, FlowControl& flowControl, Micros now);
    bool isAcknowledged(const PendingBarrier& pending) const;

    SessionState state_ = SessionState::Greeting;
    std::deque<UnacknowledgedPart> unacknowledged_;
    std::deque<PendingBarrier> barriers_;
};

} // namespace zincstack::pubsub

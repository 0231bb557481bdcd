// The client's side of a pub-sub session: which bytes to send, and what received frames do to the replica. A state
// machine that is fed bytes; it knows no socket, and the clock is handed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pubsub/frame.h"
#include "pubsub/message_body.h"
#include "pubsub/replica.h"

namespace zincstack::client {

struct Identity {
    std::optional<ProxyId> proxy; ///< none: an observer, which is no proxy
    std::string zone;
    double weight = 1; ///< approximate requests per second
};

/// One client's subscription across any number of sessions; the replica survives their end.
class Subscription {
public:
    /// Called from inside `feed` when a topic has changed or, without a topic, when the replica has become current.
    using OnChange = std::function<void(std::optional<pubsub::TopicId>)>;

    /// `foreignExclusionHold`: see pubsub::Replica.
    Subscription(Identity identity, Micros foreignExclusionHold, OnChange onChange = {});

    /// A connection was opened. Returns the greeting to send.
    std::string connected(Micros now);
    /// Handles received bytes. Returns the bytes to send back; `usable()` is false once the session has ended.
    std::string feed(std::string_view bytes, Micros now);
    /// To be called at least every tenth of a second or so. Returns a heartbeat if one is due. Ends the session where
    /// the planner has been silent for the length of the lease.
    std::string tick(Micros now);
    /// The frame that reports the demand since the last such report; empty where there is no established session.
    std::string encodeDemand(std::string_view requestClass, std::uint32_t requests, std::uint32_t unanswered,
                             Micros interval);
    /// The last frame of a session that this side ends.
    std::string farewell(std::string_view reason);
    /// The connection has ended.
    void connectionClosed();

    enum class State : std::uint8_t {
        Disconnected,
        Greeting,   ///< Hello sent
        CatchingUp, ///< accepted; the replica is not current yet
        Live,       ///< the replica was current at the last heartbeat
        Behind,     ///< something is missing and a snapshot has been requested
        Any,        ///< in the transition table alone
    };
    State state() const { return state_; }
    bool usable() const { return state_ != State::Disconnected; }
    const pubsub::Replica& replica() const { return replica_; }
    /// Why and for how long the planner ended the last session; none where it did not.
    const std::optional<pubsub::DisconnectNotice>& disconnectNotice() const { return disconnectNotice_; }
    /// The last session was refused: the same greeting will be refused again.
    bool refused() const { return refused_; }
    const std::string& planner() const { return planner_; }
    /// Why the last session could not be continued, in one line; empty where it just ended.
    const std::string& lastError() const { return lastError_; }

    /// Frames received, by what they did to the replica, and snapshots requested.
    struct FrameCounts {
        std::uint64_t applied = 0;
        std::uint64_t duplicates = 0;
        std::uint64_t gaps = 0;
        std::uint64_t otherEpoch = 0;
        std::uint64_t invalid = 0;
        std::uint64_t skipped = 0; ///< of unknown types
        std::uint64_t snapshotsRequested = 0;
    };
    const FrameCounts& frameCounts() const { return frameCounts_; }

private:
    enum class Event : std::uint8_t {
        Connected,
        Welcomed,
        DisconnectNotice,
        Applied,
        PartReceived,
        Duplicate,
        Gap,
        OtherEpoch,
        HeartbeatCurrent, ///< the replica has everything
        HeartbeatPending, ///< something is missing that may still be on its way
        HeartbeatBehind,  ///< something is missing, and its position has not moved for a while
        UnknownFrame,
        ProtocolError,
        LeaseExpired,
        ConnectionClosed,
    };
    enum class Effect : std::uint8_t {
        Nothing,
        SendHello,
        AcceptWelcome,
        Acknowledge,
        AcknowledgePart,
        RequestSnapshots,
        Close,
    };
    struct Transition {
        State state;
        Event event;
        State next; ///< Any: unchanged
        Effect effect;
    };
    static const Transition kTransitions[];

    /// Position of a topic of which something is missing, and for how many heartbeats it has not moved.
    struct Lag {
        std::optional<pubsub::Sequence> position;
        int heartbeats = 0;
    };

    /// Applies an event to the state and appends to `reply`. False: nothing more is read from the connection.
    bool handle(Event event, const pubsub::Frame& frame, std::string& reply);
    /// False: the session cannot be continued.
    bool perform(Effect effect, const pubsub::Frame& frame, std::string& reply);
    Event eventOf(const pubsub::Frame& frame);
    Event applyToReplica(const pubsub::Frame& frame);
    Event checkHeartbeat(const pubsub::Frame& frame);
    /// Counts the heartbeats of each lagging topic; fills `topicsToRequest_`.
    void updateLags(const std::vector<pubsub::TopicId>& behind);
    Event protocolError(std::string reason);
    bool acceptWelcome(const pubsub::Frame& frame);
    std::string encodeHello() const;
    std::string encodePartAcknowledgment(const pubsub::Frame& frame) const;
    std::string encodeHeader(pubsub::FrameType type, pubsub::TopicId topic, pubsub::Sequence sequence) const;

    const Identity identity_;
    const OnChange onChange_;
    pubsub::Replica replica_;
    pubsub::FrameReader reader_{pubsub::kMaxServerFrameBytes};
    State state_ = State::Disconnected;
    bool refused_ = false;
    bool onlyBootstrapTable_ = true; // no table that a planner assigned has come yet
    std::string planner_;
    std::string lastError_;
    std::optional<pubsub::DisconnectNotice> disconnectNotice_;
    Micros now_{};
    Micros heartbeatInterval_{};
    Micros leaseDuration_{};
    Micros lastReceivedAt_{};
    Micros lastSentAt_{};
    std::map<pubsub::TopicId, Lag> lags_;
    std::vector<pubsub::TopicId> topicsToRequest_;
    FrameCounts frameCounts_;
};

} // namespace zincstack::client

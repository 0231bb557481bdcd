// The client side of a pub-sub session: decides which bytes to send and applies received frames to the
// replica. A state machine without I/O; the caller passes the received bytes and the time.
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

/// The identity that a client announces in its greeting.
struct Identity {
    std::optional<ProxyId> proxy; ///< std::nullopt for an observer, which is not a proxy
    std::string zone;
    double weight = 1; ///< approximate requests per second
};

/// One client's subscription across any number of sessions. The replica is kept when a session ends.
class Subscription {
public:
    /// Called from `feed` with the topic that has changed, or with std::nullopt when the replica has become
    /// current.
    using OnChange = std::function<void(std::optional<pubsub::TopicId>)>;

    /// `unconfirmedExclusionHold`: how long an exclusion outlives the planner that announced it; see
    /// pubsub::Replica.
    Subscription(Identity identity, Micros unconfirmedExclusionHold, OnChange onChange = {});

    /// Starts a session on a new connection. Returns the greeting to send.
    std::string connected(Micros now);
    /// Handles received bytes. Returns the bytes to send back; `usable()` is false once the session has
    /// ended.
    std::string feed(std::string_view bytes, Micros now);
    /// Returns a heartbeat if one is due; ends the session if nothing has arrived from the planner for longer
    /// than the lease. The caller must call this several times per heartbeat interval.
    std::string tick(Micros now);
    /// Encodes a demand report on the `interval` since the previous report; empty if no session is
    /// established.
    std::string encodeDemand(std::string_view requestClass, std::uint32_t requests, std::uint32_t unanswered,
                             Micros interval);
    /// Encodes the Bye frame, the last frame of a session that the client ends.
    std::string encodeBye(std::string_view reason);
    /// Must be called when the connection has closed.
    void connectionClosed();

    enum class State : std::uint8_t {
        Disconnected,
        Greeting,   ///< the greeting has been sent
        CatchingUp, ///< the planner has accepted the session; the replica is not current yet
        Live,       ///< the replica was current at a heartbeat; no loss detected since
        Behind,     ///< messages are missing and a snapshot has been requested
        Any,        ///< wildcard, only used in the transition table
    };
    State state() const { return state_; }
    bool usable() const { return state_ != State::Disconnected; }
    const pubsub::Replica& replica() const { return replica_; }
    /// The planner's reason for ending the last session and the delay it requests before the next one.
    /// std::nullopt if the planner has not ended the session or its notice cannot be decoded.
    const std::optional<pubsub::DisconnectNotice>& disconnectNotice() const { return disconnectNotice_; }
    /// Whether the planner refused the last session. Unless it requests a retry, it will refuse the same
    /// greeting again.
    bool refused() const { return refused_; }
    /// The name of the planner that accepted the last session.
    const std::string& planner() const { return planner_; }
    /// The error that ended the last session, in one line; empty if it ended without one.
    const std::string& lastError() const { return lastError_; }

    /// Numbers of received frames by their effect on the replica, and of snapshots requested.
    struct FrameCounts {
        std::uint64_t applied = 0;
        std::uint64_t duplicates = 0;
        std::uint64_t gaps = 0;
        std::uint64_t otherEpoch = 0;
        std::uint64_t invalid = 0;
        std::uint64_t skipped = 0; ///< frames of unknown types
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
        HeartbeatCurrent, ///< the replica is up to date
        HeartbeatPending, ///< messages are missing, but may still be in transit
        HeartbeatBehind,  ///< messages are missing and the position of a topic has not advanced for a while
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
        State next; ///< Any if the state stays the same
        Effect effect;
    };
    static const Transition kTransitions[];

    /// A lagging topic's position in the replica, and the number of heartbeats that have found it there.
    struct Lag {
        std::optional<pubsub::Sequence> position;
        int heartbeats = 0;
    };

    /// Applies an event to the state machine and appends the bytes to send to `reply`. Returns false if the
    /// session has ended and no more frames are to be read.
    bool handleEvent(Event event, const pubsub::Frame& frame, std::string& reply);
    /// Performs the effect of a transition. Returns false if the session cannot be continued.
    bool performEffect(Effect effect, const pubsub::Frame& frame, std::string& reply);
    /// Processes a received frame and returns the resulting event.
    Event processFrame(const pubsub::Frame& frame);
    Event applyToReplica(const pubsub::Frame& frame);
    /// Compares the planner's topic heads with the replica.
    Event checkHeartbeat(const pubsub::Frame& frame);
    /// Counts the heartbeats without progress of each lagging topic and sets `topicsToRequest_`.
    void updateLags(const std::vector<pubsub::TopicId>& behind);
    /// Records the reason as `lastError_`.
    Event protocolError(std::string reason);
    bool acceptWelcome(const pubsub::Frame& frame);
    std::string encodeHello() const;
    std::string encodePartAcknowledgement(const pubsub::Frame& frame) const;
    std::string encodeHeader(pubsub::FrameType type, pubsub::TopicId topic, pubsub::Sequence sequence) const;

    const Identity identity_;
    const OnChange onChange_;
    pubsub::Replica replica_;
    pubsub::FrameReader reader_{pubsub::kMaxServerFrameBytes};
    State state_ = State::Disconnected;
    bool refused_ = false;
    bool onlyBootstrapTable_ = true; // until the first table from a planner has been applied
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

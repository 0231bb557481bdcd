// Planner side of the pub-sub channel: accepts sessions, handles their frames, writes the planner's updates
// to topics, sends the topics to subscribers, and monitors leases. It uses no sockets; the caller passes the
// clock.
//
// SubscriptionServer owns the subscribers, the topics (TopicStore) and the channel's flow control.
// MessageSender decides what is sent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "metrics/counters.h"
#include "pubsub/flow_control.h"
#include "pubsub/lease_config.h"
#include "pubsub/message_cache.h"
#include "pubsub/message_sender.h"
#include "pubsub/subscriber.h"
#include "pubsub/topic_store.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::pubsub {

/// Identity, limits and timing of a server.
struct ServerConfig {
    std::string plannerName;
    Epoch epoch;                  ///< of this planner incarnation; must never have been used before
    std::uint32_t proxyCount = 0; ///< proxy IDs must be less than this
    FlowControlLimits flowControl;
    LeaseConfig leases;
    std::size_t maxTombstones = 0; ///< removed entries remembered for each topic
};

/// Server of the pub-sub channel, and a transport of the routing state's updates.
class SubscriptionServer final : public routing::UpdateTransport {
public:
    /// Opens a batch of planner inputs, or continues the batch that is open (see BatchRunner::openBatch).
    using OpenBatch = std::function<Planner&()>;

    /// Registers the server as a transport of the routing state until it is destroyed. The references must
    /// outlive the server.
    SubscriptionServer(routing::RoutingState& routingState, const net::NameRegistry& names,
                       net::Counters& counters, ServerConfig config, OpenBatch openBatch, Clock clock);
    ~SubscriptionServer() override;
    SubscriptionServer(const SubscriptionServer&) = delete;
    SubscriptionServer(SubscriptionServer&&) = delete;
    SubscriptionServer& operator=(const SubscriptionServer&) = delete;
    SubscriptionServer& operator=(SubscriptionServer&&) = delete;

    // -- sessions --
    /// Creates the subscriber of a new connection. The server owns it; it is valid until `sessionClosed`.
    Subscriber& sessionOpened(FrameTarget& target);
    /// Handles a received frame. Returns false if the session has ended and nothing more may be read from its
    /// connection.
    bool handleFrame(Subscriber& subscriber, const Frame& frame);
    /// Ends a session whose connection violated the protocol.
    void protocolError(Subscriber& subscriber, const std::string& fault);
    /// Removes the subscriber of a connection that was closed.
    void sessionClosed(Subscriber& subscriber);
    /// Checks the acknowledgement timeouts of all subscribers, and sends the heartbeats and checks the leases
    /// of one of `kTicksPerHeartbeat` groups of them. Has to be called `kTicksPerHeartbeat` times per
    /// heartbeat interval.
    void tick();
    static constexpr std::uint32_t kTicksPerHeartbeat = 10;
    /// Disconnects every subscriber with a Retry-After and refuses new sessions until `resume`. The topics
    /// are kept up to date, so that subscribers that reconnect after `resume` need only the changes.
    void suspend();
    void resume() { isSuspended_ = false; }

    // -- updates from the planner --
    void weightChanged(TableId table, EndpointId endpoint, double weight) override;
    void tableAssigned(ProxyId proxy, TableId table) override;
    void exclusionChanged(EndpointId endpoint, bool excluded) override;
    void admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) override;
    void barrierRequested(BarrierId barrier, bool everyProxy) override;
    void endpointForgotten(EndpointId endpoint) override;
    void sessionReplaced(ProxyId proxy) override;
    void flush() override;
    double unacknowledgedLines() const override { return static_cast<double>(flowControl_.lines()); }

    // -- observation --
    std::size_t subscriberCount() const { return subscribers_.size(); }
    std::size_t countInState(SessionState state) const;
    const FlowControl& flowControl() const { return flowControl_; }
    /// Returns the log of a topic; null if the topic does not exist.
    const TopicLog* log(TopicId topic) const { return topics_.find(topic); }
    Epoch epoch() const { return config_.epoch; }

private:
    // Frame handlers. They return false if the session has ended.
    bool dispatch(Subscriber& subscriber, const Frame& frame);
    bool handleHello(Subscriber& subscriber, const Frame& frame);
    bool handleApplied(Subscriber& subscriber, const Frame& frame);
    bool handleAsk(Subscriber& subscriber, const Frame& frame);
    bool handleUsage(Subscriber& subscriber, const Frame& frame);
    /// Returns why a Hello is refused; empty if it is accepted.
    std::string reasonForRefusal(const Hello& hello) const;
    void joinAsProxy(Subscriber& subscriber, const Hello& hello);
    void joinAsObserver(Subscriber& subscriber);

    /// Subscribes to the topic, from the position that the client announced in its Hello.
    void follow(Subscriber& subscriber, TopicId topic);
    /// Subscribes to the tables of the subscriber's zone.
    void followZone(Subscriber& subscriber);
    void reportAcknowledgedBarrier(Subscriber& subscriber);
    /// Returns whether a topic of the subscriber has changed since its last barrier, or has not been sent
    /// yet.
    bool hasChangesSinceBarrier(const Subscriber& subscriber, const std::map<TopicId, Sequence>& heads) const;

    /// Applies an input and carries out its effect. `reason` is sent to the client if the session ends with a
    /// final frame. Returns false if the session has ended.
    bool transition(Subscriber& subscriber, SessionInput input, std::string_view reason = {});
    /// Ends the session with a final Bye or Refused frame.
    void disconnect(Subscriber& subscriber, FrameType type, std::string_view reason, bool withRetryAfter);
    /// Releases the session's flow-control credit, and reports to the planner that its proxy has left.
    void releaseSession(Subscriber& subscriber);
    SharedFrame encodeServerFrame(FrameType type, std::string body) const;

    /// Encoded heartbeats of one tick, shared by subscribers that follow the same topics.
    using HeartbeatCache = std::map<TopicHeads, SharedFrame>;
    /// Restricts the subscriber to exclusions if it has acknowledged nothing within the acknowledgement
    /// timeout.
    void checkAckTimeout(Subscriber& subscriber, Micros now);
    /// Ends the session if its lease has expired or it has acknowledged nothing within the stall timeout.
    /// Returns false if the session has ended.
    bool checkLease(Subscriber& subscriber, Micros now);
    void sendHeartbeat(Subscriber& subscriber, HeartbeatCache& encoded) const;

    routing::RoutingState& routingState_;
    const net::NameRegistry& names_;
    net::Counters& counters_;
    const ServerConfig config_;
    const OpenBatch openBatch_;
    const Clock clock_;
    TopicStore topics_;
    MessageCache messages_;
    FlowControl flowControl_;
    RetryAfterScheduler retryAfter_;
    Subscribers subscribers_;
    std::map<ProxyId, SubscriberId> proxySessions_;
    std::set<SubscriberId> observers_; // not proxies; they follow the tables of their zone
    MessageSender sender_;
    std::uint64_t nextSubscriberId_ = 1;
    std::uint32_t tickInHeartbeat_ = 0; // index of the next tick within the heartbeat interval
    bool isSuspended_ = false;
    bool hasPendingChanges_ = false;
};

} // namespace zincstack::pubsub

// The channel's front: topics made from the planner's orders, subscribers brought up to them, and what they say
// passed on to the planner. Knows no socket; the clock is handed in.
//
// Order of things for one subscriber: withdrawals go before anything else, between the parts of a longer message
// too; then the topics it holds, each by what changed since it was sent last, or by a snapshot where its log has
// forgotten so old a state or most of it has changed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "metrics/counters.h"
#include "pubsub/flow_control.h"
#include "pubsub/subscriber.h"
#include "pubsub/topic_log.h"
#include "pubsub/wire.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::pubsub {

struct LeaseConfig {
    Micros heartbeatInterval = std::chrono::seconds(1); ///< how often each side says something
    Micros leaseDuration = std::chrono::seconds(5);     ///< who has said nothing for so long has left
    Micros ackTimeout = std::chrono::milliseconds(500); ///< who owes an answer for so long stands still
    Micros stallTimeout = std::chrono::seconds(20);     ///< and for so long is let go
    std::uint32_t reconnectsPerSecond = 200; ///< how many that are sent away may come back in a second
};

class SubscriptionServer final : public routing::UpdateTransport {
public:
    using Clock = std::function<Micros()>;
    /// The planner, in a batch that is open (BatchRunner::openBatch).
    using InputOf = std::function<Planner&()>;

    /// `epoch`: of this planner life, never used before. `proxies`: how many there are (ProxyFleetConfig).
    /// `tombstones`: entries taken out of a topic that are remembered.
    SubscriptionServer(routing::RoutingState& book, const net::NameRegistry& names, net::Counters& counters,
                       std::string planner, Epoch epoch, std::uint32_t proxies, const FlowControlLimits& pace,
                       const LeaseConfig& leases, std::size_t tombstones, InputOf input, Clock clock);
    ~SubscriptionServer() override;
    SubscriptionServer(const SubscriptionServer&) = delete;
    SubscriptionServer& operator=(const SubscriptionServer&) = delete;

    // -- streams --
    /// A stream is up; the subscriber is the hub's until `ended`.
    Subscriber& sessionOpened(FrameTarget& target);
    /// False: nothing more is taken on its stream.
    bool handleFrame(Subscriber& from, const Frame& frame);
    /// What it says can't be read.
    void protocolError(Subscriber& from, const std::string& fault);
    void sessionClosed(Subscriber& gone);
    /// A turn of beats, leases and stalls: one of `kTurns` in each beat.
    void tick();
    static constexpr std::uint32_t kTicksPerHeartbeat = 10;
    /// The channel is switched off: every subscriber is told when to come back. Its topics go on, so that who
    /// comes back after `on` needs only what changed.
    void suspend();
    void resume() { off_ = false; }

    // -- what the order book tells --
    void weightChanged(TableId table, EndpointId server, double weight) override;
    void tableAssigned(ProxyId proxy, TableId table) override;
    void exclusionChanged(EndpointId server, bool out) override;
    void admissionChanged(std::optional<TableId> table, RequestClassSet products) override;
    void barrierRequested(BarrierId number, bool everyProxy) override;
    void endpointForgotten(EndpointId server) override;
    void sessionReplaced(ProxyId proxy) override;
    void flush() override;
    double unacknowledgedLines() const override { return static_cast<double>(pacing_.lines()); }

    std::size_t subscribers() const { return subscribers_.size(); }
    std::size_t inState(State state) const;
    const FlowControl& pacing() const { return pacing_; }
    const TopicLog* log(TopicId topic) const;
    Epoch epoch() const { return epoch_; }

private:
    struct Topic {
        explicit Topic(std::size_t tombstones) : log(tombstones) {}
        TopicLog log;
        std::vector<std::string> products;
        // Encoded for the head as it is, by where it begins; and the last snapshot, while it is of use.
        Sequence encodedAt{};
        std::map<std::pair<Sequence, bool>, std::shared_ptr<const Message>> changes;
        std::shared_ptr<const Message> snapshot[2];
    };
    using Call = bool (SubscriptionServer::*)(Subscriber&, const Frame&);
    bool hello(Subscriber& from, const Frame& frame);
    bool applied(Subscriber& from, const Frame& frame);
    bool ask(Subscriber& from, const Frame& frame);
    bool usage(Subscriber& from, const Frame& frame);
    bool beat(Subscriber& from, const Frame& frame);
    bool bye(Subscriber& from, const Frame& frame);

    Topic& topic(TableId table);
    void putLevels(TableId table, RequestClassSet products);
    void hold(Subscriber& one, TopicId topic);
    void watch(Subscriber& one);
    bool due(TopicId topic, const Subscriber::Holding& holding) const;
    std::shared_ptr<const Message> messageFor(Subscriber& one, TopicId topic,
                                              const Subscriber::Holding& holding);
    std::shared_ptr<const Message> encode(const Topic& of, TopicId topic, Sequence since, bool snapshot,
                                          bool compressed);
    void pump(Subscriber& one, bool again = false);
    void pumpWaiting();
    void settle(Subscriber& one);
    /// False: nothing more is taken on its stream.
    bool step(Subscriber& one, Input input, std::string_view reason = {});
    void depart(Subscriber& one);
    SharedFrame frameOf(FrameType type, std::string body);

    routing::RoutingState& book_;
    const net::NameRegistry& names_;
    net::Counters& counters_;
    const std::string planner_;
    const Epoch epoch_;
    const std::uint32_t proxies_;
    const LeaseConfig leases_;
    const std::size_t tombstones_;
    const InputOf input_;
    const Clock clock_;
    FlowControl pacing_;
    RetryAfterPlanner comeBack_;
    std::map<TopicId, Topic> topics_;
    std::map<SubscriberId, std::unique_ptr<Subscriber>> subscribers_;
    std::map<ProxyId, SubscriberId> members_;
    std::set<SubscriberId> watchers_; // no proxies: they hold whatever their zone's proxies are bound to
    std::uint64_t nextId_ = 1;
    std::uint32_t turn_ = 0;
    bool off_ = false, dirty_ = false, pumping_ = false;
};

} // namespace zincstack::pubsub

#include "pubsub/subscription_server.h"

#include <algorithm>
#include <utility>

namespace zincstack::pubsub {

namespace {

using net::Counter;

constexpr std::size_t kMaxReasonBytes = 200; // keeps the frame of a disconnect notice small

} // namespace

SubscriptionServer::SubscriptionServer(routing::RoutingState& routingState, const net::NameRegistry& names,
                                       net::Counters& counters, ServerConfig config, OpenBatch openBatch,
                                       Clock clock)
    : routingState_(routingState), names_(names), counters_(counters), config_(std::move(config)),
      openBatch_(std::move(openBatch)), clock_(std::move(clock)),
      topics_(routingState_, names_, config_.maxTombstones),
      messages_(topics_, routingState_, names_, counters_, config_.epoch), flowControl_(config_.flowControl),
      retryAfter_(config_.leases.heartbeatInterval, config_.leases.reconnectsPerSecond),
      sender_(topics_, messages_, flowControl_, subscribers_, routingState_, counters_, clock_),
      hasPendingChanges_(!routingState_.excludedEndpoints().empty()) {
    routingState_.addTransport(*this);
}

SubscriptionServer::~SubscriptionServer() {
    for (auto& [id, subscriber] : subscribers_) releaseSession(*subscriber);
    routingState_.removeTransport(*this);
}

std::size_t SubscriptionServer::countInState(SessionState state) const {
    const auto isInState = [&](const auto& item) { return item.second->state() == state; };
    return static_cast<std::size_t>(std::ranges::count_if(subscribers_, isInState));
}

// ---- updates from the planner -----------------------------------------------------------------------------

void SubscriptionServer::weightChanged(TableId table, EndpointId endpoint, double weight) {
    hasPendingChanges_ = true;
    topics_.setWeight(table, endpoint, weight);
}

void SubscriptionServer::exclusionChanged(EndpointId endpoint, bool excluded) {
    hasPendingChanges_ = true;
    topics_.setExcluded(endpoint, excluded);
}

void SubscriptionServer::endpointForgotten(EndpointId endpoint) {
    hasPendingChanges_ = true;
    topics_.forgetEndpoint(endpoint);
}

void SubscriptionServer::admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) {
    hasPendingChanges_ = true;
    for (const auto& [candidate, state] : routingState_.tables()) {
        if (table && candidate != *table) continue;
        topics_.ensureTopic(candidate);
        topics_.updateAdmission(candidate, requestClasses);
    }
}

void SubscriptionServer::tableAssigned(ProxyId proxy, TableId table) {
    topics_.ensureTopic(table);
    topics_.updateAdmission(table, routingState_.allRequestClasses());
    const auto found = proxySessions_.find(proxy);
    counters_.checkInvariant(found != proxySessions_.end());
    if (found != proxySessions_.end()) follow(*subscribers_.at(found->second), topicOf(table));
    hasPendingChanges_ = true;
}

/// A position of the current epoch that the log covers is resumed with changes. Otherwise the topic starts
/// with a snapshot.
void SubscriptionServer::follow(Subscriber& subscriber, TopicId topic) {
    const auto [place, isNew] = subscriber.topics.try_emplace(topic);
    if (!isNew) return;
    const auto& positions = subscriber.resumePositions;
    const auto position = std::ranges::find_if(positions, [&](const TopicPosition& candidate) {
        return candidate.topic == topic && candidate.epoch == config_.epoch;
    });
    if (position != positions.end() && topics_.log(topic).covers(position->sequence))
        place->second.sent = position->sequence;
    else
        place->second.needsSnapshot = true;
}

void SubscriptionServer::followZone(Subscriber& subscriber) {
    for (const auto& [table, state] : routingState_.tables()) {
        if (state.zone != subscriber.zone) continue;
        topics_.ensureTopic(table);
        follow(subscriber, topicOf(table));
    }
}

bool SubscriptionServer::hasChangesSinceBarrier(const Subscriber& subscriber,
                                                const std::map<TopicId, Sequence>& heads) const {
    return std::ranges::any_of(subscriber.topics, [&](const auto& item) {
        const auto& [topic, progress] = item;
        return !progress.wasSent || heads.at(topic) > progress.barrier;
    });
}

void SubscriptionServer::barrierRequested(BarrierId barrier, bool everyProxy) {
    const std::map<TopicId, Sequence> heads = topics_.heads();
    for (const auto& [proxy, id] : proxySessions_) {
        Subscriber& subscriber = *subscribers_.at(id);
        const bool hasChanges = hasChangesSinceBarrier(subscriber, heads);
        if (!hasChanges && !everyProxy) continue;
        // Without changes, the exclusions topic is sent again, so that the subscriber has a message to
        // acknowledge.
        if (!hasChanges) subscriber.topics.at(kExclusionsTopic).wasSent = false;
        subscriber.addBarrier(barrier, heads);
        // 0 lines, because this server's own flow control is charged when the message is sent.
        routingState_.messageWritten(proxy, barrier, 0);
    }
    hasPendingChanges_ = true;
}

void SubscriptionServer::flush() {
    if (std::exchange(hasPendingChanges_, false)) {
        for (const SubscriberId id : observers_) followZone(*subscribers_.at(id));
        for (auto& [id, subscriber] : subscribers_) sender_.sendDue(*subscriber);
    }
    sender_.serveWaiters(); // other transports may have freed capacity
}

void SubscriptionServer::reportAcknowledgedBarrier(Subscriber& subscriber) {
    const auto barrier = subscriber.takeAcknowledgedBarrier();
    if (!barrier || !subscriber.proxy) return;
    if (!routingState_.barrierAcknowledged(*subscriber.proxy, *barrier)) return;
    counters_.add(Counter::Acks);
    openBatch_().barrierAcknowledged(*subscriber.proxy, *barrier);
}

// ---- sessions ---------------------------------------------------------------------------------------------

Subscriber& SubscriptionServer::sessionOpened(FrameTarget& target) {
    const SubscriberId id{nextSubscriberId_++};
    auto subscriber = std::make_unique<Subscriber>(id, target, clock_());
    return *subscribers_.emplace(id, std::move(subscriber)).first->second;
}

void SubscriptionServer::sessionClosed(Subscriber& subscriber) {
    transition(subscriber, SessionInput::Disconnected);
    observers_.erase(subscriber.id);
    subscribers_.erase(SubscriberId(subscriber.id)); // a copy: the ID is destroyed with the subscriber
    sender_.serveWaiters();
}

void SubscriptionServer::sessionReplaced(ProxyId proxy) {
    const auto found = proxySessions_.find(proxy);
    counters_.checkInvariant(found != proxySessions_.end());
    if (found == proxySessions_.end()) return;
    Subscriber& replaced = *subscribers_.at(found->second);
    // The proxy has a newer session, so the end of this session must not be reported as the proxy leaving.
    replaced.proxy.reset();
    proxySessions_.erase(found);
    transition(replaced, SessionInput::SessionReplaced, "a newer stream of this proxy is up");
}

bool SubscriptionServer::transition(Subscriber& subscriber, SessionInput input, std::string_view reason) {
    switch (subscriber.transition(input)) {
    case SessionEffect::Nothing: break;
    case SessionEffect::SendWelcome: {
        const std::uint32_t features = subscriber.acceptsCompression ? kFeatureCompression : 0;
        const Welcome welcome{kProtocolVersion, features, config_.plannerName,
                              config_.leases.heartbeatInterval, config_.leases.leaseDuration};
        subscriber.target->push(encodeServerFrame(FrameType::Welcome, encode(welcome)));
        break;
    }
    case SessionEffect::CountLag: counters_.add(Counter::Lags); break;
    case SessionEffect::CountResync: counters_.add(Counter::Resyncs); break;
    case SessionEffect::SendRefusal:
        disconnect(subscriber, FrameType::Refused, reason, input == SessionInput::ServiceSuspended);
        break;
    case SessionEffect::SendGoodbye:
        disconnect(subscriber, FrameType::Bye, reason, input != SessionInput::SessionReplaced);
        break;
    case SessionEffect::Close:
        releaseSession(subscriber);
        subscriber.target->close({});
        break;
    }
    return subscriber.state() != SessionState::Leaving;
}

void SubscriptionServer::disconnect(Subscriber& subscriber, FrameType type, std::string_view reason,
                                    bool withRetryAfter) {
    DisconnectNotice notice{std::string(reason.substr(0, kMaxReasonBytes)), {}};
    if (withRetryAfter) notice.retryAfter = retryAfter_.nextRetryAfter(clock_());
    counters_.recordIgnored(Counter::LetGo, reason);
    releaseSession(subscriber);
    subscriber.target->close(*encodeServerFrame(type, encode(notice)));
}

/// The Subscriber object is kept until its connection has closed.
void SubscriptionServer::releaseSession(Subscriber& subscriber) {
    subscriber.releaseCredit(flowControl_);
    for (auto& [topic, progress] : subscriber.topics) progress.discardMessageInProgress();
    if (!subscriber.proxy) return;
    const ProxyId proxy = *std::exchange(subscriber.proxy, {});
    proxySessions_.erase(proxy);
    if (!routingState_.proxyLeft(proxy, *this)) return;
    counters_.add(Counter::StreamsEnded);
    openBatch_().proxyLeft(proxy);
}

SharedFrame SubscriptionServer::encodeServerFrame(FrameType type, std::string body) const {
    Frame frame{type};
    frame.epoch = config_.epoch;
    frame.body = std::move(body);
    const bool mayCompress = false; // the bodies of these frames are small
    return std::make_shared<const std::string>(encodeFrame(frame, mayCompress));
}

void SubscriptionServer::suspend() {
    isSuspended_ = true;
    for (auto& [id, subscriber] : subscribers_)
        transition(*subscriber, SessionInput::ServiceSuspended, "the channel is switched off");
}

// ---- heartbeats and leases --------------------------------------------------------------------------------

void SubscriptionServer::tick() {
    const Micros now = clock_();
    HeartbeatCache encoded;
    for (auto& [id, subscriber] : subscribers_) {
        if (!subscriber->isEstablished()) continue;
        checkAckTimeout(*subscriber, now);
        if (id.value % kTicksPerHeartbeat != tickInHeartbeat_) continue;
        if (checkLease(*subscriber, now)) sendHeartbeat(*subscriber, encoded);
    }
    tickInHeartbeat_ = (tickInHeartbeat_ + 1) % kTicksPerHeartbeat;
    sender_.serveWaiters();
}

void SubscriptionServer::checkAckTimeout(Subscriber& subscriber, Micros now) {
    if (!subscriber.hasUnacknowledged() || subscriber.window.isAckOverdue) return;
    if (now - subscriber.lastProgressAt <= config_.leases.ackTimeout) return;
    counters_.add(Counter::Stuck);
    FlowControl::markAckOverdue(subscriber.window);
}

bool SubscriptionServer::checkLease(Subscriber& subscriber, Micros now) {
    if (now - subscriber.lastReceivedAt > config_.leases.leaseDuration)
        return transition(subscriber, SessionInput::LeaseExpired,
                          "nothing was heard for the length of its lease");
    if (subscriber.hasUnacknowledged() && now - subscriber.lastProgressAt > config_.leases.stallTimeout)
        return transition(subscriber, SessionInput::AckTimeout, "it answers nothing of what it was sent");
    return true;
}

void SubscriptionServer::sendHeartbeat(Subscriber& subscriber, HeartbeatCache& encoded) const {
    TopicHeads heads;
    for (const auto& [topic, progress] : subscriber.topics)
        heads.push_back({topic, topics_.log(topic).head()});
    SharedFrame& frame = encoded[heads];
    if (!frame) frame = encodeServerFrame(FrameType::Beat, encode(heads));
    subscriber.target->push(frame);
}

} // namespace zincstack::pubsub

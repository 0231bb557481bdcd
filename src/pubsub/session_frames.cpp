// SubscriptionServer's handlers of client frames.
#include <chrono>
#include <string>

#include "pubsub/subscription_server.h"

namespace zincstack::pubsub {

namespace {

using net::Counter;

// Limits of one demand record.
constexpr std::uint32_t kMaxDemandRequests = 10'000'000;
constexpr Micros kMaxDemandInterval = std::chrono::minutes(10);

} // namespace

bool SubscriptionServer::handleFrame(Subscriber& subscriber, const Frame& frame) {
    counters_.add(Counter::FramesIn);
    if (subscriber.state() == SessionState::Leaving) return false;
    subscriber.lastReceivedAt = clock_();
    const bool isGreeting = frame.type == FrameType::Hello;
    if ((subscriber.state() == SessionState::Greeting) != isGreeting)
        return transition(subscriber, SessionInput::ProtocolError,
                          isGreeting ? "a second greeting" : "no greeting came first");
    return dispatch(subscriber, frame);
}

bool SubscriptionServer::dispatch(Subscriber& subscriber, const Frame& frame) {
    switch (frame.type) {
    case FrameType::Hello: return handleHello(subscriber, frame);
    case FrameType::Applied: return handleApplied(subscriber, frame);
    case FrameType::Ask: return handleAsk(subscriber, frame);
    case FrameType::Usage: return handleUsage(subscriber, frame);
    case FrameType::Beat: return true; // every received frame renews the lease
    case FrameType::Bye: return transition(subscriber, SessionInput::Disconnected);
    default: counters_.add(Counter::FramesSkipped); return true; // frame type of a later protocol version
    }
}

void SubscriptionServer::protocolError(Subscriber& subscriber, const std::string& fault) {
    counters_.recordIgnored(Counter::BadFrames, fault);
    transition(subscriber, SessionInput::ProtocolError, fault);
}

std::string SubscriptionServer::reasonForRefusal(const Hello& hello) const {
    if (hello.minVersion > kProtocolVersion || hello.maxVersion < kProtocolVersion)
        return "no common version: this planner speaks " + std::to_string(kProtocolVersion) +
               ", it was asked for " + std::to_string(hello.minVersion) + " to " +
               std::to_string(hello.maxVersion);
    if (!names_.zone(hello.zone)) return "no such zone: " + hello.zone;
    if (hello.proxy && hello.proxy->value >= config_.proxyCount)
        return "no such proxy: " + std::to_string(hello.proxy->value);
    return {};
}

bool SubscriptionServer::handleHello(Subscriber& subscriber, const Frame& frame) {
    const auto hello = decodeHello(frame.body);
    if (!hello) return transition(subscriber, SessionInput::ProtocolError, "a greeting that can't be used");
    if (isSuspended_)
        return transition(subscriber, SessionInput::ServiceSuspended, "the channel is switched off");
    if (const std::string reason = reasonForRefusal(*hello); !reason.empty())
        return transition(subscriber, SessionInput::GreetingRejected, reason);
    subscriber.zone = *names_.zone(hello->zone);
    subscriber.resumePositions = hello->positions;
    subscriber.acceptsCompression = hello->features & kFeatureCompression;
    if (!transition(subscriber, SessionInput::GreetingAccepted)) return false;
    follow(subscriber, kExclusionsTopic);
    counters_.add(Counter::Subscriptions);
    if (hello->proxy)
        joinAsProxy(subscriber, *hello);
    else
        joinAsObserver(subscriber);
    sender_.sendDue(subscriber);
    return true;
}

void SubscriptionServer::joinAsProxy(Subscriber& subscriber, const Hello& hello) {
    const ProxyId proxy = *hello.proxy;
    subscriber.proxy = proxy;
    const bool isTakeover = routingState_.proxyJoined(proxy, subscriber.zone, *this);
    if (isTakeover) counters_.add(Counter::Takeovers);
    proxySessions_.insert_or_assign(proxy, subscriber.id);
    openBatch_().proxyJoined(proxy, subscriber.zone, hello.weight, hello.onlyBootstrapTable);
}

void SubscriptionServer::joinAsObserver(Subscriber& subscriber) {
    observers_.insert(subscriber.id);
    followZone(subscriber);
}

bool SubscriptionServer::handleApplied(Subscriber& subscriber, const Frame& frame) {
    const auto isKnown = [&] {
        if (frame.epoch != config_.epoch) return false;
        if (frame.more)
            return subscriber.acknowledgePart(frame.topic, frame.sequence, frame.part, flowControl_,
                                              clock_());
        return subscriber.acknowledge(frame.topic, frame.sequence, flowControl_, clock_());
    };
    if (!isKnown()) {
        counters_.recordIgnored(Counter::BadMark, "acknowledgment of a message that was not sent");
        return true;
    }
    reportAcknowledgedBarrier(subscriber);
    sender_.sendDue(subscriber);
    sender_.serveWaiters();
    return true;
}

bool SubscriptionServer::handleAsk(Subscriber& subscriber, const Frame& frame) {
    const auto found = subscriber.topics.find(frame.topic);
    if (found == subscriber.topics.end()) {
        counters_.recordIgnored(Counter::BadField,
                                "snapshot request for a topic that the subscriber does not follow");
        return true;
    }
    found->second.needsSnapshot = true;
    found->second.discardMessageInProgress(); // the client cannot use a partly sent message any more
    sender_.sendDue(subscriber);
    return true;
}

bool SubscriptionServer::handleUsage(Subscriber& subscriber, const Frame& frame) {
    const auto demand = decodeDemandRecord(frame.body);
    const auto requestClass = demand ? names_.requestClass(demand->requestClass) : std::nullopt;
    if (demand && !requestClass) {
        counters_.recordIgnored(Counter::BadName, "usage");
        return true;
    }
    const bool isValid = demand && subscriber.proxy && demand->requests <= kMaxDemandRequests &&
                         demand->unanswered <= kMaxDemandRequests && demand->interval <= kMaxDemandInterval;
    if (!isValid) {
        counters_.recordIgnored(Counter::BadField, "usage");
        return true;
    }
    counters_.add(Counter::Demands);
    openBatch_().reportDemand(
        {*subscriber.proxy, *requestClass, demand->requests, demand->unanswered, demand->interval});
    return true;
}

} // namespace zincstack::pubsub

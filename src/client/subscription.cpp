#include "client/subscription.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::client {

using pubsub::Frame;
using pubsub::FrameType;
using pubsub::Sequence;
using pubsub::TopicId;

namespace {

using namespace std::chrono_literals;

/// Stands in for the lease duration until the welcome, which announces it.
constexpr Micros kWelcomeTimeout = 3s;
/// A snapshot of a lagging topic is requested after this number of heartbeats without progress.
constexpr int kHeartbeatsBeforeRequest = 3;

} // namespace

// The first matching row applies. An event without a matching row has no effect.
const Subscription::Transition Subscription::kTransitions[] = {
    {State::Disconnected, Event::Connected, State::Greeting, Effect::SendHello},
    {State::Disconnected, Event::ConnectionClosed, State::Disconnected, Effect::Nothing},
    {State::Greeting, Event::Welcomed, State::CatchingUp, Effect::AcceptWelcome},
    {State::Any, Event::DisconnectNotice, State::Disconnected, Effect::Close},
    {State::Any, Event::ProtocolError, State::Disconnected, Effect::Close},
    {State::Any, Event::LeaseExpired, State::Disconnected, Effect::Close},
    {State::Any, Event::ConnectionClosed, State::Disconnected, Effect::Close},
    {State::Any, Event::UnknownFrame, State::Any, Effect::Nothing},
    {State::Any, Event::OtherEpoch, State::Any, Effect::Nothing},
    {State::CatchingUp, Event::Applied, State::CatchingUp, Effect::Acknowledge},
    {State::CatchingUp, Event::PartReceived, State::CatchingUp, Effect::AcknowledgePart},
    {State::CatchingUp, Event::Duplicate, State::CatchingUp, Effect::Acknowledge},
    {State::CatchingUp, Event::Gap, State::Behind, Effect::RequestSnapshots},
    {State::CatchingUp, Event::HeartbeatCurrent, State::Live, Effect::Nothing},
    {State::CatchingUp, Event::HeartbeatPending, State::CatchingUp, Effect::Nothing},
    {State::CatchingUp, Event::HeartbeatBehind, State::Behind, Effect::RequestSnapshots},
    {State::Live, Event::Applied, State::Live, Effect::Acknowledge},
    {State::Live, Event::PartReceived, State::Live, Effect::AcknowledgePart},
    {State::Live, Event::Duplicate, State::Live, Effect::Acknowledge},
    {State::Live, Event::Gap, State::Behind, Effect::RequestSnapshots},
    {State::Live, Event::HeartbeatCurrent, State::Live, Effect::Nothing},
    {State::Live, Event::HeartbeatPending, State::Live, Effect::Nothing},
    {State::Live, Event::HeartbeatBehind, State::Behind, Effect::RequestSnapshots},
    {State::Behind, Event::Applied, State::Behind, Effect::Acknowledge},
    {State::Behind, Event::PartReceived, State::Behind, Effect::AcknowledgePart},
    {State::Behind, Event::Duplicate, State::Behind, Effect::Acknowledge},
    // A snapshot has already been requested. If the request was lost, a later heartbeat detects it.
    {State::Behind, Event::Gap, State::Behind, Effect::Nothing},
    {State::Behind, Event::HeartbeatCurrent, State::Live, Effect::Nothing},
    {State::Behind, Event::HeartbeatPending, State::Behind, Effect::Nothing},
    {State::Behind, Event::HeartbeatBehind, State::Behind, Effect::RequestSnapshots},
    // A second welcome, or one before the greeting.
    {State::Any, Event::Welcomed, State::Disconnected, Effect::Close},
    {State::Any, Event::Gap, State::Any, Effect::Nothing},
};

Subscription::Subscription(Identity identity, Micros unconfirmedExclusionHold, OnChange onChange)
    : identity_(std::move(identity)), onChange_(std::move(onChange)), replica_(unconfirmedExclusionHold) {}

std::string Subscription::connected(Micros now) {
    now_ = now;
    lastReceivedAt_ = now;
    lastSentAt_ = now;
    leaseDuration_ = kWelcomeTimeout;
    heartbeatInterval_ = kWelcomeTimeout;
    reader_ = pubsub::FrameReader(pubsub::kMaxServerFrameBytes);
    disconnectNotice_.reset();
    refused_ = false;
    lastError_.clear();
    lags_.clear();
    std::string reply;
    handleEvent(Event::Connected, {}, reply);
    return reply;
}

std::string Subscription::feed(std::string_view bytes, Micros now) {
    std::string reply;
    now_ = now;
    if (!bytes.empty()) lastReceivedAt_ = now;
    const auto handleFrame = [&](Frame& frame) { return handleEvent(processFrame(frame), frame, reply); };
    const auto fault = reader_.feed(bytes, handleFrame);
    if (fault && usable()) handleEvent(protocolError(*fault), {}, reply);
    if (!reply.empty()) lastSentAt_ = now;
    return reply;
}

std::string Subscription::tick(Micros now) {
    now_ = now;
    if (!usable()) return {};
    if (now - lastReceivedAt_ > leaseDuration_) {
        lastError_ = "the planner has been silent";
        std::string noReply;
        handleEvent(Event::LeaseExpired, {}, noReply);
        return {};
    }
    if (state_ == State::Greeting || now - lastSentAt_ < heartbeatInterval_) return {};
    lastSentAt_ = now;
    return encodeHeader(FrameType::Beat, {}, {});
}

std::string Subscription::encodeDemand(std::string_view requestClass, std::uint32_t requests,
                                       std::uint32_t unanswered, Micros interval) {
    if (!usable() || state_ == State::Greeting) return {};
    Frame frame{FrameType::Usage};
    frame.body = encode(pubsub::DemandRecord{std::string(requestClass), requests, unanswered, interval});
    return encodeFrame(frame, false);
}

std::string Subscription::encodeBye(std::string_view reason) {
    Frame frame{FrameType::Bye};
    frame.body = encode(pubsub::DisconnectNotice{std::string(reason), {}});
    return encodeFrame(frame, false);
}

void Subscription::connectionClosed() {
    std::string noReply;
    handleEvent(Event::ConnectionClosed, {}, noReply);
}

Subscription::Event Subscription::processFrame(const Frame& frame) {
    switch (frame.type) {
    case FrameType::Welcome: return Event::Welcomed;
    case FrameType::Refused:
    case FrameType::Bye: return Event::DisconnectNotice;
    case FrameType::Beat: return checkHeartbeat(frame);
    case FrameType::Snapshot:
    case FrameType::Changes: return applyToReplica(frame);
    default: ++frameCounts_.skipped; return Event::UnknownFrame; // from a later protocol version
    }
}

Subscription::Event Subscription::protocolError(std::string reason) {
    lastError_ = std::move(reason);
    return Event::ProtocolError;
}

Subscription::Event Subscription::applyToReplica(const Frame& frame) {
    using Outcome = pubsub::Replica::Outcome;
    if (state_ == State::Greeting) return protocolError("tables before a welcome");
    switch (replica_.apply(frame, now_)) {
    case Outcome::Applied: ++frameCounts_.applied; return Event::Applied;
    case Outcome::PartReceived: return Event::PartReceived;
    case Outcome::Duplicate: ++frameCounts_.duplicates; return Event::Duplicate;
    case Outcome::OtherEpoch: ++frameCounts_.otherEpoch; return Event::OtherEpoch;
    case Outcome::Gap:
        ++frameCounts_.gaps;
        topicsToRequest_ = {frame.topic};
        return Event::Gap;
    case Outcome::Invalid: break;
    }
    ++frameCounts_.invalid;
    return protocolError("a table that can't be read");
}

Subscription::Event Subscription::checkHeartbeat(const Frame& frame) {
    const auto heads = pubsub::decodeTopicHeads(frame.body);
    if (!heads) return protocolError("a beat that can't be read");
    if (frame.epoch != replica_.epoch()) return Event::OtherEpoch;
    const auto behind = replica_.topicsBehind(*heads, now_);
    updateLags(behind);
    if (behind.empty()) return Event::HeartbeatCurrent;
    return topicsToRequest_.empty() ? Event::HeartbeatPending : Event::HeartbeatBehind;
}

/// Recovers from lost messages that no later message follows, so that no gap shows. A snapshot is requested
/// of each topic whose position has not advanced for kHeartbeatsBeforeRequest heartbeats. A topic that still
/// advances is merely slow.
void Subscription::updateLags(const std::vector<TopicId>& behind) {
    std::map<TopicId, Lag> lags;
    topicsToRequest_.clear();
    for (const TopicId topic : behind) {
        const auto position = replica_.at(topic);
        const auto previous = lags_.find(topic);
        const bool hasMoved = previous == lags_.end() || previous->second.position != position;
        int heartbeats = hasMoved ? 1 : previous->second.heartbeats + 1;
        if (heartbeats >= kHeartbeatsBeforeRequest) {
            topicsToRequest_.push_back(topic);
            heartbeats = 0;
        }
        lags[topic] = {position, heartbeats};
    }
    lags_ = std::move(lags);
}

bool Subscription::handleEvent(Event event, const Frame& frame, std::string& reply) {
    const auto* const row = std::ranges::find_if(kTransitions, [&](const Transition& candidate) {
        return candidate.event == event && (candidate.state == state_ || candidate.state == State::Any);
    });
    if (row == std::end(kTransitions)) return usable();
    const State before = state_;
    if (row->next != State::Any) state_ = row->next;
    if (!performEffect(row->effect, frame, reply)) {
        state_ = State::Disconnected;
        return false;
    }
    const bool hasBecomeLive = state_ == State::Live && before != State::Live;
    if (onChange_ && event == Event::Applied)
        onChange_(frame.topic);
    else if (onChange_ && hasBecomeLive)
        onChange_(std::nullopt);
    return usable();
}

bool Subscription::performEffect(Effect effect, const Frame& frame, std::string& reply) {
    switch (effect) {
    case Effect::Nothing: return true;
    case Effect::SendHello: reply += encodeHello(); return true;
    case Effect::AcceptWelcome: return acceptWelcome(frame);
    case Effect::Acknowledge:
        if (frame.topic != pubsub::kExclusionsTopic) onlyBootstrapTable_ = false;
        reply += encodeHeader(FrameType::Applied, frame.topic, replica_.at(frame.topic).value_or(Sequence{}));
        return true;
    case Effect::AcknowledgePart: reply += encodePartAcknowledgement(frame); return true;
    case Effect::RequestSnapshots:
        for (const TopicId topic : std::exchange(topicsToRequest_, {})) {
            ++frameCounts_.snapshotsRequested;
            reply += encodeHeader(FrameType::Ask, topic, replica_.at(topic).value_or(Sequence{}));
        }
        return true;
    case Effect::Close:
        if (frame.type == FrameType::Bye || frame.type == FrameType::Refused) {
            disconnectNotice_ = pubsub::decodeDisconnectNotice(frame.body);
            refused_ = frame.type == FrameType::Refused;
        }
        return true;
    }
    return false;
}

bool Subscription::acceptWelcome(const Frame& frame) {
    const auto welcome = pubsub::decodeWelcome(frame.body);
    if (!welcome || welcome->version != pubsub::kProtocolVersion) {
        lastError_ = "a welcome that can't be used";
        return false;
    }
    planner_ = welcome->planner;
    heartbeatInterval_ = welcome->heartbeatInterval;
    leaseDuration_ = welcome->leaseDuration;
    replica_.sessionAccepted(frame.epoch);
    return true;
}

std::string Subscription::encodeHello() const {
    pubsub::Hello hello;
    hello.proxy = identity_.proxy;
    hello.zone = identity_.zone;
    hello.weight = identity_.weight;
    hello.onlyBootstrapTable = onlyBootstrapTable_;
    hello.positions = replica_.positions();
    Frame frame{FrameType::Hello};
    frame.body = encode(hello);
    return encodeFrame(frame, false);
}

std::string Subscription::encodePartAcknowledgement(const Frame& frame) const {
    Frame acknowledgement{FrameType::Applied};
    acknowledgement.topic = frame.topic;
    acknowledgement.epoch = frame.epoch;
    acknowledgement.sequence = frame.sequence;
    acknowledgement.more = true;
    acknowledgement.part = frame.part;
    return encodeFrame(acknowledgement, false);
}

std::string Subscription::encodeHeader(FrameType type, TopicId topic, Sequence sequence) const {
    Frame frame{type};
    frame.topic = topic;
    frame.epoch = replica_.epoch();
    frame.sequence = sequence;
    return encodeFrame(frame, false);
}

} // namespace zincstack::client

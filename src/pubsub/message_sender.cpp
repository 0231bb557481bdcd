#include "pubsub/message_sender.h"

#include <algorithm>
#include <utility>

namespace zincstack::pubsub {

namespace {

using net::Counter;

constexpr std::size_t kMaxChangesWithoutSnapshot = 64; // more changes may be replaced by a snapshot

} // namespace

MessageSender::MessageSender(const TopicStore& topics, MessageCache& messages, FlowControl& flowControl,
                             const Subscribers& subscribers, const routing::RoutingState& routingState,
                             net::Counters& counters, Clock clock)
    : topics_(topics), messages_(messages), flowControl_(flowControl), subscribers_(subscribers),
      routingState_(routingState), counters_(counters), clock_(std::move(clock)) {}

void MessageSender::sendDue(Subscriber& subscriber, bool wasWaiting) {
    if (subscriber.isWaitingForCapacity || !subscriber.isEstablished()) return;
    for (;;) {
        const auto found = std::ranges::find_if(
            subscriber.topics, [&](const auto& topic) { return isDue(topic.first, topic.second); });
        if (found == subscriber.topics.end()) {
            const bool followsTable = subscriber.topics.size() > 1; // more than the exclusions topic
            if (followsTable) transition(subscriber, SessionInput::CaughtUp);
            return;
        }
        auto& [topic, progress] = *found;
        const SharedMessage message = progress.messageInProgress ? progress.messageInProgress
                                                                 : nextMessage(subscriber, topic, progress);
        if (sendNextPart(subscriber, progress, message, wasWaiting) == PartResult::Blocked) return;
    }
}

bool MessageSender::isDue(TopicId topic, const TopicProgress& progress) const {
    return progress.messageInProgress || progress.needsSnapshot || !progress.wasSent ||
           progress.sent < topics_.log(topic).head();
}

SharedMessage MessageSender::nextMessage(Subscriber& subscriber, TopicId topic,
                                         const TopicProgress& progress) {
    const bool isTruncated = !topics_.log(topic).covers(progress.sent);
    if (progress.wasSent && (isTruncated || progress.needsSnapshot))
        transition(subscriber, SessionInput::LogTruncated);
    if (needsSnapshot(topic, progress))
        return messages_.snapshot(topic, progress.sent, subscriber.acceptsCompression);
    return messages_.changesSince(topic, progress.sent, subscriber.acceptsCompression);
}

bool MessageSender::needsSnapshot(TopicId topic, const TopicProgress& progress) const {
    const TopicLog& log = topics_.log(topic);
    if (progress.needsSnapshot || !log.covers(progress.sent)) return true;
    const std::size_t tooManyChanges = std::max(log.size() / 2, kMaxChangesWithoutSnapshot) + 1;
    return log.countChangedSince(progress.sent, tooManyChanges) == tooManyChanges;
}

MessageSender::PartResult MessageSender::sendNextPart(Subscriber& subscriber, TopicProgress& progress,
                                                      const SharedMessage& message, bool wasWaiting) {
    const EncodedMessage::Part& part = message->parts[progress.nextPart];
    const auto decision = flowControl_.check(message->priority, part.size(), subscriber.window,
                                             routingState_.unacknowledgedLines());
    if (decision == FlowControl::Decision::TotalWindowFull) {
        subscriber.isWaitingForCapacity = true;
        flowControl_.enqueueWaiter(subscriber.id, message->priority, wasWaiting);
        return PartResult::Blocked;
    }
    if (decision == FlowControl::Decision::SubscriberWindowFull || !subscriber.target->push(part.frame)) {
        transition(subscriber, SessionInput::WindowFull);
        return PartResult::Blocked;
    }
    counters_.add(Counter::FramesOut);
    subscriber.onPartSent(*message, progress.nextPart, flowControl_, clock_());
    if (++progress.nextPart < message->parts.size()) {
        progress.messageInProgress = message;
        return PartResult::Sent;
    }
    progress.sent = message->head;
    progress.discardMessageInProgress();
    progress.needsSnapshot = false;
    progress.wasSent = true;
    return PartResult::Sent;
}

void MessageSender::serveWaiters() {
    if (std::exchange(isServingWaiters_, true)) return;
    while (const auto next = flowControl_.dequeueWaiter()) {
        const auto found = subscribers_.find(*next);
        if (found == subscribers_.end()) continue;
        Subscriber& subscriber = *found->second;
        subscriber.isWaitingForCapacity = false;
        sendDue(subscriber, true);
        if (subscriber.isWaitingForCapacity) break;
    }
    isServingWaiters_ = false;
}

void MessageSender::transition(Subscriber& subscriber, SessionInput input) {
    switch (subscriber.transition(input)) {
    case SessionEffect::CountLag: counters_.add(Counter::Lags); break;
    case SessionEffect::CountResync: counters_.add(Counter::Resyncs); break;
    default: break;
    }
}

} // namespace zincstack::pubsub

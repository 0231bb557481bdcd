// Sends each subscriber the contents of its topics, as far as flow control has capacity.
//
// Order of sending for one subscriber: exclusions are sent first, even between the parts of a longer message.
// The other topics that the subscriber follows come next. Each topic is sent as the changes since the
// subscriber's position. A snapshot is sent instead if the session has no position to resume from, the client
// requested a snapshot, the log no longer covers the position, or many entries have changed: more than half
// of the topic's entries and more than kMaxChangesWithoutSnapshot.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "metrics/counters.h"
#include "pubsub/flow_control.h"
#include "pubsub/message_cache.h"
#include "pubsub/subscriber.h"
#include "pubsub/topic_store.h"
#include "routing/routing_state.h"

namespace zincstack::pubsub {

using Clock = std::function<Micros()>;
using Subscribers = std::map<SubscriberId, std::unique_ptr<Subscriber>>;

/// Decides which message each subscriber gets next, and sends it.
class MessageSender {
public:
    /// The references must outlive the sender. `subscribers` is used to find the subscribers that wait for
    /// capacity.
    MessageSender(const TopicStore& topics, MessageCache& messages, FlowControl& flowControl,
                  const Subscribers& subscribers, const routing::RoutingState& routingState,
                  net::Counters& counters, Clock clock);

    /// Sends the pending messages that fit into the windows. If the total window is full, the subscriber is
    /// queued for capacity.
    void sendDue(Subscriber& subscriber) { sendDue(subscriber, false); }
    /// Sends to the subscribers that wait for capacity, in their order, until capacity runs out.
    void serveWaiters();

private:
    enum class PartResult : std::uint8_t { Sent, Blocked };

    void sendDue(Subscriber& subscriber, bool wasWaiting);
    /// Returns whether some message of the topic is pending for the subscriber.
    bool isDue(TopicId topic, const TopicProgress& progress) const;
    SharedMessage nextMessage(Subscriber& subscriber, TopicId topic, const TopicProgress& progress);
    bool needsSnapshot(TopicId topic, const TopicProgress& progress) const;
    /// Sends the next part of the message. `wasWaiting` puts the subscriber back at the front of the queue if
    /// capacity is still missing.
    PartResult sendNextPart(Subscriber& subscriber, TopicProgress& progress, const SharedMessage& message,
                            bool wasWaiting);
    /// Applies an input whose only effect is to increment a counter.
    void transition(Subscriber& subscriber, SessionInput input);

    const TopicStore& topics_;
    MessageCache& messages_;
    FlowControl& flowControl_;
    const Subscribers& subscribers_;
    const routing::RoutingState& routingState_;
    net::Counters& counters_;
    const Clock clock_;
    bool isServingWaiters_ = false;
};

} // namespace zincstack::pubsub

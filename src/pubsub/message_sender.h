// Sends subscribers what their topics hold, as far as flow control has capacity for it.
//
// Order of sending for one subscriber: exclusions go before everything else, also between the parts of a longer
// message; then the topics that it follows, each by the changes since its position, or by a snapshot where the log no
// longer covers that position or most of the topic has changed.
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

class MessageSender {
public:
    /// References must outlive the sender. `subscribers`: of whom some may wait for capacity.
    MessageSender(const TopicStore& topics, MessageCache& messages, FlowControl& flowControl,
                  const Subscribers& subscribers, const routing::RoutingState& routingState,
                  net::Counters& counters, Clock clock);

    /// Sends what is due and fits. A subscriber that needs capacity of the total window is queued for it.
    void sendDue(Subscriber& subscriber) { sendDue(subscriber, false); }
    /// Serves subscribers that wait for capacity, in their order, while there is some.
    void serveWaiters();

private:
    enum class PartResult : std::uint8_t { Sent, Blocked };

    void sendDue(Subscriber& subscriber, bool wasWaiting);
    bool isDue(TopicId topic, const TopicProgress& progress) const;
    SharedMessage nextMessage(Subscriber& subscriber, TopicId topic, const TopicProgress& progress);
    bool needsSnapshot(TopicId topic, const TopicProgress& progress) const;
    PartResult sendNextPart(Subscriber& subscriber, TopicProgress& progress, const SharedMessage& message,
                            bool wasWaiting);
    /// Applies one of the inputs whose effect is counted and no more.
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

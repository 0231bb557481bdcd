// Topics of the pub-sub channel: one for the excluded endpoints and one for each routing table. TopicStore
// owns their logs and fills them from the planner's routing state. It performs no I/O and reads no clock.
#pragma once

#include <map>

#include "pubsub/topic_log.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::pubsub {

/// Owns the logs of all topics.
class TopicStore {
public:
    /// Creates the topic of the excluded endpoints and a topic for each existing table. `maxTombstones`
    /// applies to each topic.
    TopicStore(const routing::RoutingState& routingState, const net::NameRegistry& names,
               std::size_t maxTombstones);

    /// Creates the table's topic if it does not exist. If the routing state already has the table, the new
    /// topic starts with the table's weights and admission limits.
    void ensureTopic(TableId table);

    void setWeight(TableId table, EndpointId endpoint, double weight);
    void setExcluded(EndpointId endpoint, bool excluded);
    /// Removes the endpoint from every topic, so that another endpoint can be given the same name without
    /// being excluded.
    void forgetEndpoint(EndpointId endpoint);
    /// Copies the table's effective admission limits to its topic, for those of the request classes that the
    /// table serves according to the routing state.
    void updateAdmission(TableId table, RequestClassSet requestClasses);

    /// Returns the log of a topic; the topic must exist.
    const TopicLog& log(TopicId topic) const { return logs_.at(topic); }
    /// Returns the log of a topic; null if the topic does not exist.
    const TopicLog* find(TopicId topic) const;
    /// Returns the head of every topic.
    std::map<TopicId, Sequence> heads() const;

private:
    /// Returns the log of the table's topic, which is created if it does not exist.
    TopicLog& logOf(TableId table);

    const routing::RoutingState& routingState_;
    const net::NameRegistry& names_;
    const std::size_t maxTombstones_;
    std::map<TopicId, TopicLog> logs_;
};

} // namespace zincstack::pubsub

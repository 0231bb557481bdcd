// The pub-sub channel's topics: one for the excluded endpoints and one for each routing table. Owns their logs and
// fills them from the planner's routing state. No I/O, no clock.
#pragma once

#include <map>

#include "pubsub/topic_log.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::pubsub {

class TopicStore {
public:
    /// Starts with a topic for the excluded endpoints and for each table that exists. `maxTombstones`: of each topic.
    TopicStore(const routing::RoutingState& routingState, const net::NameRegistry& names,
               std::size_t maxTombstones);

    /// Creates the table's topic where there is none. The table may exist already: its weights and admission limits
    /// are then in the topic at once.
    void ensureTopic(TableId table);

    void setWeight(TableId table, EndpointId endpoint, double weight);
    void setExcluded(EndpointId endpoint, bool excluded);
    /// Removes the endpoint from every topic, so that another endpoint may get its name without being excluded.
    void forgetEndpoint(EndpointId endpoint);
    /// Takes over the effective admission limits of the request classes that the table is known to serve.
    void updateAdmission(TableId table, RequestClassSet requestClasses);

    /// The log of a topic that exists.
    const TopicLog& log(TopicId topic) const { return logs_.at(topic); }
    /// The log of a topic; null where there is none.
    const TopicLog* find(TopicId topic) const;
    std::map<TopicId, Sequence> heads() const;

private:
    TopicLog& logOf(TableId table);

    const routing::RoutingState& routingState_;
    const net::NameRegistry& names_;
    const std::size_t maxTombstones_;
    std::map<TopicId, TopicLog> logs_;
};

} // namespace zincstack::pubsub

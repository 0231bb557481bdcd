#include "pubsub/topic_store.h"

namespace zincstack::pubsub {

TopicStore::TopicStore(const routing::RoutingState& routingState, const net::NameRegistry& names,
                       std::size_t maxTombstones)
    : routingState_(routingState), names_(names), maxTombstones_(maxTombstones) {
    logs_.emplace(kExclusionsTopic, TopicLog(maxTombstones_));
    for (const EndpointId endpoint : routingState_.excludedEndpoints()) setExcluded(endpoint, true);
    for (const auto& [table, state] : routingState_.tables()) ensureTopic(table);
}

TopicLog& TopicStore::logOf(TableId table) {
    const auto [place, isNew] = logs_.try_emplace(topicOf(table), maxTombstones_);
    TopicLog& log = place->second;
    if (!isNew || !routingState_.tables().contains(table)) return log;
    for (const auto& [endpoint, weight] : routingState_.table(table).weights)
        log.put({{Key::Kind::Weight, names_.nameOf(endpoint)}, {weight, {}}});
    updateAdmission(table, routingState_.allRequestClasses());
    return log;
}

void TopicStore::ensureTopic(TableId table) { logOf(table); }

void TopicStore::setWeight(TableId table, EndpointId endpoint, double weight) {
    logOf(table).put({{Key::Kind::Weight, names_.nameOf(endpoint)}, {weight, {}}});
}

void TopicStore::setExcluded(EndpointId endpoint, bool excluded) {
    const EntryValue value{excluded ? 1.0 : 0.0, {}};
    logs_.at(kExclusionsTopic).put({{Key::Kind::Exclusion, names_.nameOf(endpoint)}, value});
}

void TopicStore::forgetEndpoint(EndpointId endpoint) {
    setExcluded(endpoint, false);
    for (auto& [topic, log] : logs_)
        if (topic != kExclusionsTopic) log.put({{Key::Kind::Weight, names_.nameOf(endpoint)}, {0, {}}});
}

void TopicStore::updateAdmission(TableId table, RequestClassSet requestClasses) {
    const RequestClassSet served = routingState_.table(table).requestClasses;
    TopicLog& log = logs_.at(topicOf(table));
    for (std::size_t number = 0; number < names_.requestClassCount(); ++number) {
        if (!(requestClasses & served & 1U << number)) continue;
        const RequestClassId requestClass{static_cast<std::uint16_t>(number)};
        const auto admission = routingState_.effectiveAdmission(table, requestClass);
        if (!admission) continue;
        log.put({{Key::Kind::Admission, names_.nameOf(requestClass)},
                 {admission->limit, admission->retryPolicy}});
    }
}

const TopicLog* TopicStore::find(TopicId topic) const {
    const auto found = logs_.find(topic);
    return found == logs_.end() ? nullptr : &found->second;
}

std::map<TopicId, Sequence> TopicStore::heads() const {
    std::map<TopicId, Sequence> out;
    for (const auto& [topic, log] : logs_) out.emplace(topic, log.head());
    return out;
}

} // namespace zincstack::pubsub

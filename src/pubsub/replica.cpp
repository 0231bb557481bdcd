#include "pubsub/replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zincstack::pubsub {

namespace {

constexpr std::size_t kMaxTopicEntries = std::size_t{64} * 1024; // in all parts of one message

} // namespace

void Replica::sessionAccepted(Epoch epoch) {
    epoch_ = epoch;
    incomplete_.clear();
}

bool Replica::IncompleteMessage::continuesWith(const Frame& frame) const {
    return type == frame.type && sequence == frame.sequence && since == frame.since && nextPart == frame.part;
}

/// A snapshot at or before the replica's position must not undo changes that have already been applied.
/// Changes since an older position than the replica's contain the newest value of each key, so applying more
/// than the missing ones is harmless. Changes since a newer position leave a gap.
std::optional<Replica::Outcome> Replica::checkPosition(const Frame& frame) const {
    const auto position = at(frame.topic);
    const bool isSnapshot = frame.type == FrameType::Snapshot;
    if (!isSnapshot && (!position || frame.since > *position)) return Outcome::Gap;
    if (position && frame.sequence <= *position) return Outcome::Duplicate;
    return {};
}

Replica::Outcome Replica::apply(const Frame& frame, Micros now) {
    if (frame.epoch != epoch_) return Outcome::OtherEpoch;
    if (const auto outcome = checkPosition(frame)) {
        incomplete_.erase(frame.topic);
        return *outcome;
    }
    auto body = decodeTopicBody(frame.body);
    if (!body) return Outcome::Invalid;
    if (frame.part == 0)
        incomplete_.insert_or_assign(frame.topic, IncompleteMessage{frame.type, frame.sequence, frame.since});
    const Outcome outcome = addPart(frame, *body);
    if (outcome != Outcome::Applied) return outcome;
    applyMessage(frame, incomplete_.at(frame.topic).body, now);
    incomplete_.erase(frame.topic);
    return Outcome::Applied;
}

Replica::Outcome Replica::addPart(const Frame& frame, TopicBody& body) {
    const auto found = incomplete_.find(frame.topic);
    if (found == incomplete_.end()) return Outcome::Gap;
    IncompleteMessage& message = found->second;
    if (!message.continuesWith(frame)) {
        incomplete_.erase(found);
        return Outcome::Gap;
    }
    if (message.body.entries.size() + body.entries.size() > kMaxTopicEntries) {
        incomplete_.erase(found);
        return Outcome::Invalid;
    }
    ++message.nextPart;
    if (frame.part == 0) message.body.requestClasses = std::move(body.requestClasses);
    std::ranges::move(body.entries, std::back_inserter(message.body.entries));
    return frame.more ? Outcome::PartReceived : Outcome::Applied;
}

void Replica::applyMessage(const Frame& lastPart, const TopicBody& body, Micros now) {
    if (lastPart.type == FrameType::Snapshot) clearReplacedState(lastPart.topic, body, now);
    for (const Entry& entry : body.entries) applyEntry(lastPart.topic, entry, now);
    positions_[lastPart.topic] = {epoch_, lastPart.sequence};
}

/// Exclusions that only an earlier planner announced are kept until their hold time has expired.
void Replica::clearReplacedState(TopicId topic, const TopicBody& body, Micros now) {
    if (topic == kExclusionsTopic) {
        std::erase_if(exclusions_, [&](const auto& item) {
            return !isUnconfirmed(item.second) || isExpired(item.second, now);
        });
        return;
    }
    tables_[topic] = {body.requestClasses, {}, {}};
    dropReplacedTables(topic, body.requestClasses);
}

/// Removes the tables of earlier planners whose request classes are all served by the complete new table.
void Replica::dropReplacedTables(TopicId current, const std::vector<std::string>& requestClasses) {
    const auto isServed = [&](const std::string& requestClass) {
        return std::ranges::find(requestClasses, requestClass) != requestClasses.end();
    };
    std::erase_if(tables_, [&](const auto& item) {
        const auto& [topic, table] = item;
        if (topic == current || positions_[topic].epoch == epoch_) return false;
        const bool isReplaced = std::ranges::all_of(table.requestClasses, isServed);
        if (isReplaced) positions_.erase(topic);
        return isReplaced;
    });
}

void Replica::applyEntry(TopicId topic, const Entry& entry, Micros now) {
    const auto& [key, value] = entry;
    switch (key.kind) {
    case Key::Kind::Weight:
        if (value.number > 0)
            tables_[topic].weights[key.name] = value.number;
        else
            tables_[topic].weights.erase(key.name);
        return;
    case Key::Kind::Admission: tables_[topic].admission[key.name] = {value.number, value.retryPolicy}; return;
    case Key::Kind::Exclusion:
        if (value.number > 0)
            exclusions_[key.name] = {epoch_, now};
        else
            exclusions_.erase(key.name);
        return;
    }
}

std::vector<TopicId> Replica::topicsBehind(const TopicHeads& heads, Micros now) {
    std::vector<TopicId> behind;
    for (const auto& [topic, head] : heads)
        if (const auto position = at(topic); !position || *position < head) behind.push_back(topic);
    if (behind.empty()) lastUpToDateAt_ = now;
    return behind;
}

std::vector<TopicPosition> Replica::positions() const {
    std::vector<TopicPosition> out;
    out.reserve(positions_.size());
    for (const auto& [topic, position] : positions_)
        out.push_back({topic, position.epoch, position.sequence});
    return out;
}

std::optional<Sequence> Replica::at(TopicId topic) const {
    const auto found = positions_.find(topic);
    if (found == positions_.end() || found->second.epoch != epoch_) return {};
    return found->second.sequence;
}

const RoutingTable* Replica::tableOf(std::string_view requestClass) const {
    const RoutingTable* newest = nullptr;
    for (const auto& [topic, table] : tables_) {
        const auto& served = table.requestClasses;
        if (std::ranges::find(served, requestClass) == served.end()) continue;
        if (!newest || positions_.at(topic).epoch == epoch_) newest = &table;
    }
    return newest;
}

bool Replica::isExcluded(std::string_view endpoint, Micros now) const {
    const auto found = exclusions_.find(endpoint);
    return found != exclusions_.end() && !isExpired(found->second, now);
}

std::vector<WeightedEndpoint> Replica::eligibleEndpoints(const RoutingTable& table, Micros now) const {
    std::vector<WeightedEndpoint> eligible;
    std::vector<WeightedEndpoint> excludedByEarlierPlanner;
    for (const auto& [endpoint, weight] : table.weights) {
        const auto found = exclusions_.find(endpoint);
        if (found == exclusions_.end() || isExpired(found->second, now))
            eligible.push_back({endpoint, weight});
        else if (isUnconfirmed(found->second))
            excludedByEarlierPlanner.push_back({endpoint, weight});
    }
    // Exclusions that the session's planner has not confirmed must not leave a client without any endpoint.
    return eligible.empty() ? excludedByEarlierPlanner : eligible;
}

} // namespace zincstack::pubsub

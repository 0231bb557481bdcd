#include "pubsub/replica.h"

#include <algorithm>
#include <utility>

namespace zincstack::pubsub {

namespace {

constexpr std::size_t kTopicEntriesMost = 64 * 1024; // of a snapshot in all its parts

} // namespace

void Replica::connected(Epoch epoch) {
    epoch_ = epoch;
    gathering_.clear();
}

/// Guards against a snapshot that was cut before changes which have come already: it is older than what
/// stands, and must not undo it. Changes since an older state hold the newest figure of each key, so more than
/// what is missing does no harm; less does.
Replica::Outcome Replica::take(const Frame& frame, Micros now) {
    const bool whole = frame.type == FrameType::Snapshot;
    if (frame.epoch != epoch_) return Outcome::Foreign;
    const auto had = at(frame.topic);
    if (!whole && (!had || frame.since > *had)) return gathering_.erase(frame.topic), Outcome::Gap;
    if (had && frame.sequence <= *had) return gathering_.erase(frame.topic), Outcome::Known;
    auto body = readTopic(frame.body);
    if (!body) return Outcome::Unusable;
    if (frame.part == 0)
        gathering_.insert_or_assign(frame.topic, Gathering{frame.type, frame.sequence, frame.since});
    const auto found = gathering_.find(frame.topic);
    if (found == gathering_.end()) return Outcome::Gap;
    Gathering& all = found->second;
    if (all.type != frame.type || all.sequence != frame.sequence || all.since != frame.since ||
        all.next != frame.part)
        return gathering_.erase(found), Outcome::Gap;
    if (all.body.entries.size() + body->entries.size() > kTopicEntriesMost)
        return gathering_.erase(found), Outcome::Unusable;
    ++all.next;
    if (frame.part == 0) all.body.products = std::move(body->products);
    std::ranges::move(body->entries, std::back_inserter(all.body.entries));
    if (frame.more) return Outcome::Part;
    if (whole) replace(frame.topic, all.body, now);
    for (const auto& entry : all.body.entries) apply(frame.topic, entry, now);
    standing_[frame.topic] = {epoch_, frame.sequence};
    gathering_.erase(found);
    return Outcome::Applied;
}

std::optional<Sequence> Replica::at(TopicId topic) const {
    const auto found = standing_.find(topic);
    if (found == standing_.end() || found->second.epoch != epoch_) return {};
    return found->second.sequence;
}

void Replica::replace(TopicId topic, const TopicBody& body, Micros now) {
    if (topic == kWithdrawnTopic) {
        std::erase_if(out_, [&](const auto& one) {
            return !foreign(one.second) || now - one.second.at >= foreignHold_;
        });
    } else {
        RoutingTable& table = tables_[topic];
        table = {body.products, {}, {}};
        // Tables of an earlier planner go once their products are served by one that has come whole.
        std::erase_if(tables_, [&](const auto& one) {
            const auto& [other, old] = one;
            if (other == topic || standing_[other].epoch == epoch_) return false;
            const bool served = std::ranges::all_of(old.requestClasses, [&](const std::string& product) {
                return std::ranges::find(body.products, product) != body.products.end();
            });
            if (served) standing_.erase(other);
            return served;
        });
    }
}

void Replica::apply(TopicId topic, const Entry& entry, Micros now) {
    const auto& [key, value] = entry;
    switch (key.kind) {
    case Key::Kind::Line:
        if (value.figure > 0)
            tables_[topic].weights[key.name] = value.figure;
        else
            tables_[topic].weights.erase(key.name);
        return;
    case Key::Kind::Level: tables_[topic].admission[key.name] = {value.figure, value.tries}; return;
    case Key::Kind::Out:
        if (value.figure > 0)
            out_[key.name] = {epoch_, now};
        else
            out_.erase(key.name);
    }
}

std::vector<TopicId> Replica::behind(const Heads& heads, Micros now) {
    std::vector<TopicId> out;
    for (const auto& [topic, head] : heads)
        if (const auto had = at(topic); !had || *had < head) out.push_back(topic);
    if (out.empty()) currentAt_ = now;
    return out;
}

std::vector<Have> Replica::have() const {
    std::vector<Have> out;
    for (const auto& [topic, standing] : standing_) out.push_back({topic, standing.epoch, standing.sequence});
    return out;
}

const RoutingTable* Replica::tableOf(std::string_view product) const {
    const RoutingTable* out = nullptr;
    for (const auto& [topic, table] : tables_) {
        if (std::ranges::find(table.requestClasses, product) == table.requestClasses.end()) continue;
        if (!out || standing_.at(topic).epoch == epoch_) out = &table;
    }
    return out;
}

bool Replica::withdrawn(std::string_view server, Micros now) const {
    const auto found = out_.find(server);
    return found != out_.end() && (!foreign(found->second) || now - found->second.at < foreignHold_);
}

std::vector<std::pair<std::string, double>> Replica::picks(const RoutingTable& table, Micros now) const {
    std::vector<std::pair<std::string, double>> sure, left;
    for (const auto& line : table.weights) {
        const auto out = out_.find(line.first);
        if (out == out_.end() || (foreign(out->second) && now - out->second.at >= foreignHold_))
            sure.push_back(line);
        else if (foreign(out->second))
            left.push_back(line);
    }
    return sure.empty() ? left : sure; // nobody is left without a server by what is hearsay
}

} // namespace zincstack::pubsub

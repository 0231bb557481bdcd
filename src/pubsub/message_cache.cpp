#include "pubsub/message_cache.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace zincstack::pubsub {

namespace {

using net::Counter;

constexpr std::size_t kTargetPartBytes = std::size_t{24} * 1024; // estimated size of the uncompressed body
constexpr std::size_t kEntryOverheadBytes = 12;  // estimated size of an entry besides its name
constexpr std::size_t kMaxCachedChanges = 64;    // Changes messages of one topic for its current head
constexpr std::size_t kSnapshotReuseDivisor = 8; // reuse a snapshot until 1/8 of the topic has changed

/// Returns the entries of the next part, starting at index `next`, and advances `next` past them. The part
/// has at least one entry if any is left.
std::vector<Entry> takePart(const std::vector<Entry>& entries, std::size_t& next) {
    std::vector<Entry> part;
    std::size_t bytes = 0;
    for (; next < entries.size() && part.size() < kMaxEntriesPerPart; ++next) {
        bytes += entries[next].key.name.size() + kEntryOverheadBytes;
        if (bytes > kTargetPartBytes && !part.empty()) break;
        part.push_back(entries[next]);
    }
    return part;
}

MessagePriority priorityOf(TopicId topic, FrameType type) {
    if (topic == kExclusionsTopic) return MessagePriority::Exclusion;
    return type == FrameType::Snapshot ? MessagePriority::Snapshot : MessagePriority::Change;
}

} // namespace

MessageCache::MessageCache(const TopicStore& topics, const routing::RoutingState& routingState,
                           const net::NameRegistry& names, net::Counters& counters, Epoch epoch)
    : topics_(topics), routingState_(routingState), names_(names), counters_(counters), epoch_(epoch) {}

SharedMessage MessageCache::changesSince(TopicId topic, Sequence since, bool compressed) {
    CachedMessages& cached = cached_[topic];
    const Sequence head = topics_.log(topic).head();
    if (cached.head != head) cached.changes.clear();
    cached.head = head;
    const ChangesKey key{since, compressed};
    if (const auto found = cached.changes.find(key); found != cached.changes.end()) return found->second;
    SharedMessage message = encodeChanges(topic, since, compressed);
    if (cached.changes.size() < kMaxCachedChanges) cached.changes.emplace(key, message);
    return message;
}

SharedMessage MessageCache::snapshot(TopicId topic, Sequence notBefore, bool compressed) {
    SharedMessage& cached = cached_[topic].snapshots[compressed];
    if (!cached || !isRecentEnough(*cached, notBefore)) cached = encodeSnapshot(topic, compressed);
    counters_.add(Counter::Snapshots);
    return cached;
}

bool MessageCache::isRecentEnough(const EncodedMessage& snapshot, Sequence notBefore) const {
    const TopicLog& log = topics_.log(snapshot.topic);
    if (!log.covers(snapshot.head) || snapshot.head < notBefore) return false;
    const std::size_t tooManyChanges = log.size() / kSnapshotReuseDivisor + 1;
    return log.countChangedSince(snapshot.head, tooManyChanges) < tooManyChanges;
}

SharedMessage MessageCache::encodeChanges(TopicId topic, Sequence since, bool compressed) {
    Frame header{FrameType::Changes};
    header.topic = topic;
    header.since = since;
    return encodeParts(std::move(header), topics_.log(topic).since(since), compressed);
}

SharedMessage MessageCache::encodeSnapshot(TopicId topic, bool compressed) {
    Frame header{FrameType::Snapshot};
    header.topic = topic;
    return encodeParts(std::move(header), topics_.log(topic).snapshot(), compressed);
}

SharedMessage MessageCache::encodeParts(Frame header, const std::vector<Entry>& entries, bool compressed) {
    header.epoch = epoch_;
    header.sequence = topics_.log(header.topic).head();
    auto message = std::make_shared<EncodedMessage>();
    message->topic = header.topic;
    message->head = header.sequence;
    message->priority = priorityOf(header.topic, header.type);
    std::size_t next = 0;
    do {
        TopicBody body;
        if (header.type == FrameType::Snapshot && header.part == 0)
            body.requestClasses = requestClassNames(header.topic);
        body.entries = takePart(entries, next);
        header.more = next < entries.size();
        header.body = encode(body);
        const std::size_t lines = std::max<std::size_t>(body.entries.size(), 1);
        message->parts.push_back(
            {std::make_shared<const std::string>(encodeFrame(header, compressed)), lines});
        ++header.part;
        counters_.add(Counter::FramesEncoded);
    } while (next < entries.size());
    return message;
}

std::vector<std::string> MessageCache::requestClassNames(TopicId topic) const {
    std::vector<std::string> names;
    if (topic == kExclusionsTopic) return names;
    const RequestClassSet served = routingState_.table(tableOf(topic)).requestClasses;
    for (std::size_t number = 0; number < names_.requestClassCount(); ++number) {
        const RequestClassId requestClass{static_cast<std::uint16_t>(number)};
        if (served >> number & 1U) names.push_back(names_.nameOf(requestClass));
    }
    return names;
}

} // namespace zincstack::pubsub

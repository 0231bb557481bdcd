#include "pubsub/topic_log.h"

#include <algorithm>

namespace zincstack::pubsub {

bool TopicLog::put(const Entry& entry) {
    const auto& [key, value] = entry;
    const auto found = entries_.find(key);
    const bool existed = found != entries_.end();
    const bool removes = isRemoved(key, value);
    const bool isUnchanged = existed ? found->second.value == value : removes;
    if (isUnchanged) return false;
    if (existed) {
        byChange_.erase(found->second.changedAt);
        tombstones_ -= isRemoved(key, found->second.value);
    }
    ++head_.value;
    const auto place = entries_.insert_or_assign(key, VersionedValue{value, head_}).first;
    byChange_.emplace(head_, place);
    tombstones_ += removes;
    if (tombstones_ > maxTombstones_) dropOldestTombstone();
    return true;
}

/// Bounds memory use in a fleet whose endpoints are added and removed continuously. A reader at a sequence
/// before the dropped tombstone would never learn of the removal, so the floor is raised to the tombstone's
/// sequence.
void TopicLog::dropOldestTombstone() {
    const auto oldest = std::ranges::find_if(byChange_, [](const auto& change) {
        const auto& [key, versioned] = *change.second;
        return isRemoved(key, versioned.value);
    });
    floor_ = oldest->first;
    entries_.erase(oldest->second);
    byChange_.erase(oldest);
    --tombstones_;
}

std::vector<Entry> TopicLog::since(Sequence from) const {
    std::vector<Entry> out;
    for (auto change = byChange_.upper_bound(from); change != byChange_.end(); ++change) {
        const auto& [key, versioned] = *change->second;
        out.push_back({key, versioned.value});
    }
    return out;
}

std::size_t TopicLog::countChangedSince(Sequence from, std::size_t limit) const {
    std::size_t count = 0;
    for (auto change = byChange_.upper_bound(from); change != byChange_.end() && count < limit; ++change)
        ++count;
    return count;
}

std::vector<Entry> TopicLog::snapshot() const {
    std::vector<Entry> out;
    out.reserve(size());
    for (const auto& [key, versioned] : entries_)
        if (!isRemoved(key, versioned.value)) out.push_back({key, versioned.value});
    return out;
}

} // namespace zincstack::pubsub

#include "pubsub/topic_log.h"

#include <algorithm>

namespace zincstack::pubsub {

bool TopicLog::put(const Entry& entry) {
    const auto& [key, value] = entry;
    const auto found = entries_.find(key);
    const bool had = found != entries_.end(), out = gone(key, value);
    if (had ? found->second.value == value : out) return false;
    if (had) {
        order_.erase(found->second.at);
        tombstones_ -= gone(key, found->second.value);
    }
    ++head_.value;
    const auto at = entries_.insert_or_assign(key, Kept{value, head_}).first;
    order_.emplace(head_, at);
    tombstones_ += out;
    if (tombstones_ > tombstonesMost_) forgetOldest();
    return true;
}

/// Guards against growth where servers come and go for ever. Who is older than what is forgotten here would
/// keep the line, so the floor rises past it.
void TopicLog::forgetOldest() {
    const auto oldest = std::ranges::find_if(
        order_, [](const auto& one) { return gone(one.second->first, one.second->second.value); });
    floor_ = oldest->first;
    entries_.erase(oldest->second);
    order_.erase(oldest);
    --tombstones_;
}

std::vector<Entry> TopicLog::since(Sequence from) const {
    std::vector<Entry> out;
    for (auto one = order_.upper_bound(from); one != order_.end(); ++one)
        out.push_back({one->second->first, one->second->second.value});
    return out;
}

std::size_t TopicLog::changedSince(Sequence from, std::size_t most) const {
    std::size_t out = 0;
    for (auto one = order_.upper_bound(from); one != order_.end() && out < most; ++one) ++out;
    return out;
}

std::vector<Entry> TopicLog::whole() const {
    std::vector<Entry> out;
    out.reserve(size());
    for (const auto& [key, kept] : entries_)
        if (!gone(key, kept.value)) out.push_back({key, kept.value});
    return out;
}

} // namespace zincstack::pubsub

// Encodes topics into messages, and caches the encoded messages so that subscribers at the same position
// share them.
#pragma once

#include <array>
#include <compare>
#include <map>
#include <vector>

#include "metrics/counters.h"
#include "pubsub/subscriber.h"
#include "pubsub/topic_store.h"

namespace zincstack::pubsub {

/// Encodes and caches Snapshot and Changes messages.
class MessageCache {
public:
    /// `epoch` identifies this planner incarnation and is written to each frame.
    MessageCache(const TopicStore& topics, const routing::RoutingState& routingState,
                 const net::NameRegistry& names, net::Counters& counters, Epoch epoch);

    /// Returns the changes after `since`, up to the topic's head. The topic's log must cover `since`.
    SharedMessage changesSince(TopicId topic, Sequence since, bool compressed);
    /// Returns the topic as of its head, or as of an earlier state if few entries changed since then. That
    /// state is not older than `notBefore`. The changes since then have to be sent as a separate message.
    SharedMessage snapshot(TopicId topic, Sequence notBefore, bool compressed);

private:
    struct ChangesKey {
        Sequence since;
        bool compressed = false;
        friend auto operator<=>(const ChangesKey&, const ChangesKey&) = default;
    };
    struct CachedMessages {
        Sequence head{}; ///< topic head that `changes` lead to
        std::map<ChangesKey, SharedMessage> changes;
        std::array<SharedMessage, 2> snapshots; ///< index 0: uncompressed, 1: compressed
    };
    /// Returns whether a cached snapshot may be sent instead of a new one.
    bool isRecentEnough(const EncodedMessage& snapshot, Sequence notBefore) const;
    SharedMessage encodeChanges(TopicId topic, Sequence since, bool compressed);
    SharedMessage encodeSnapshot(TopicId topic, bool compressed);
    /// Encodes the entries as one message in one or more parts. `header` is the first part's frame without
    /// body; part numbers and bodies are filled in.
    SharedMessage encodeParts(Frame header, const std::vector<Entry>& entries, bool compressed);
    std::vector<std::string> requestClassNames(TopicId topic) const;

    const TopicStore& topics_;
    const routing::RoutingState& routingState_;
    const net::NameRegistry& names_;
    net::Counters& counters_;
    const Epoch epoch_;
    std::map<TopicId, CachedMessages> cached_;
};

} // namespace zincstack::pubsub

// Encodes topics into messages, and keeps the encodings so that subscribers at the same position share one.
#pragma once

#include <array>
#include <compare>
#include <map>
#include <vector>

#include "metrics/counters.h"
#include "pubsub/subscriber.h"
#include "pubsub/topic_store.h"

namespace zincstack::pubsub {

class MessageCache {
public:
    /// `epoch`: of this planner incarnation; each frame carries it.
    MessageCache(const TopicStore& topics, const routing::RoutingState& routingState,
                 const net::NameRegistry& names, net::Counters& counters, Epoch epoch);

    /// What changed after `since`, up to the topic's head. Only where the topic's log covers `since`.
    SharedMessage changesSince(TopicId topic, Sequence since, bool compressed);
    /// The topic as of its head or, where few entries changed since then, as of an earlier state that is not older
    /// than `notBefore`; the changes since that state follow as a message of their own.
    SharedMessage snapshot(TopicId topic, Sequence notBefore, bool compressed);

private:
    struct ChangesKey {
        Sequence since;
        bool compressed = false;
        friend auto operator<=>(const ChangesKey&, const ChangesKey&) = default;
    };
    struct CachedMessages {
        Sequence head{}; ///< of `changes`
        std::map<ChangesKey, SharedMessage> changes;
        std::array<SharedMessage, 2> snapshots; ///< uncompressed, compressed
    };
    bool isRecentEnough(const EncodedMessage& snapshot, Sequence notBefore) const;
    SharedMessage encodeChanges(TopicId topic, Sequence since, bool compressed);
    SharedMessage encodeSnapshot(TopicId topic, bool compressed);
    /// `header`: of the first part; part numbers and bodies are filled in.
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

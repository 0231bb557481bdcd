// Writes one message to a proxy as the push lines of the protocol.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/channel_statistics.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// What changes for one proxy in the table of some products.
struct TableUpdate {
    RequestClassSet products = 0;
    bool whole = false; ///< the lines are the whole table, and levels are forgotten
    routing::EndpointWeights lines;
    routing::AdmissionLimits levels;
};
struct PushMessage {
    std::vector<TableUpdate> tables;
    std::set<EndpointId> shut, let;
    std::optional<BarrierId> mark;
};

struct EncodedPush {
    std::string bytes;
    LineCounts lines;
    std::size_t parts = 0; ///< push lines
};
EncodedPush encodePush(const PushMessage& message, const NameRegistry& names);

/// Most parts that one message may have.
inline constexpr std::size_t kPartsMost = 64;
/// Levels that are alike share a line: how many lines these take.
std::size_t linesOf(const routing::AdmissionLimits& levels);

} // namespace zincstack::net

// Encodes an update for one proxy as the `push` lines of the platform protocol.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/channel_statistics.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// The change to a proxy's table for some request classes.
struct TableUpdate {
    RequestClassSet requestClasses = 0;
    bool replacesTable = false; ///< `weights` is the complete table, and earlier admission limits are void
    routing::EndpointWeights weights;
    routing::AdmissionLimits admission;

    bool empty() const { return !replacesTable && weights.empty() && admission.empty(); }
};

struct PushMessage {
    std::vector<TableUpdate> tables;
    std::set<EndpointId> exclusions;
    std::set<EndpointId> readmissions;
    std::optional<BarrierId> barrier;
};

struct EncodedPush {
    std::string bytes;
    LineCounts lines;
    std::size_t partCount = 0; ///< `push` lines
};

/// Limit of the protocol on `push` lines in one message.
inline constexpr std::size_t kMaxPartsPerMessage = 64;

EncodedPush encodePush(const PushMessage& message, const NameRegistry& names);

/// Lines that the limits take in a message: request classes with equal limits share one.
std::size_t countAdmissionLines(const routing::AdmissionLimits& limits);

} // namespace zincstack::net

// Encodes an update for one proxy as `push` lines of the platform protocol.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/channel_statistics.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// A change to a proxy's routing table for a set of request classes.
struct TableUpdate {
    RequestClassSet requestClasses = 0;
    bool replacesTable = false; ///< `weights` is the complete table; earlier admission limits no longer apply
    routing::EndpointWeights weights;
    routing::AdmissionLimits admission;

    bool empty() const { return !replacesTable && weights.empty() && admission.empty(); }
};

/// One update for a proxy, before it is encoded.
struct PushMessage {
    std::vector<TableUpdate> tables;
    std::set<EndpointId> exclusions;
    std::set<EndpointId> readmissions;
    std::optional<BarrierId> barrier;
};

/// An encoded update.
struct EncodedPush {
    std::string bytes;
    LineCounts lines;          ///< without the per-message overhead
    std::size_t partCount = 0; ///< number of `push` lines
};

/// The protocol's limit on the number of `push` lines in one message.
inline constexpr std::size_t kMaxPartsPerMessage = 64;

EncodedPush encodePush(const PushMessage& message, const NameRegistry& names);

/// Number of lines that the limits take in a message. Request classes with equal limits share one line.
std::size_t countAdmissionLines(const routing::AdmissionLimits& limits);

} // namespace zincstack::net

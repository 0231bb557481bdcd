// Translates messages from proxies and collectors, endpoint lists from service discovery and results of
// probes into inputs of the planner.
#pragma once

#include <optional>
#include <string_view>

#include "engine/batch_runner.h"
#include "metrics/counters.h"
#include "platform/collector_registry.h"
#include "platform/message.h"
#include "platform/update_queue.h"
#include "routing/name_registry.h"
#include "json/json.h"

namespace zincstack::net {

/// Validates each input, replaces names by ids and passes it to the planner within an open batch. An invalid
/// message is counted and ignored as a whole.
class InputTranslator {
public:
    InputTranslator(BatchRunner& batches, UpdateQueue& updates, NameRegistry& names, Counters& counters,
                    std::uint32_t proxyCount);

    // One function for each message kind of the platform protocol.

    /// Records the stream as one of a collector and returns its zone. Returns std::nullopt if the message is
    /// invalid.
    std::optional<ZoneId> handleAgent(const Message& message, PushStream& stream);
    /// Makes the stream the session of the proxy and returns the proxy. Returns std::nullopt if the message
    /// is invalid.
    std::optional<ProxyId> handleHello(const Message& message, PushStream& stream);
    /// `proxy`: the proxy that joined on the stream.
    void handleAck(const Message& message, ProxyId proxy, const PushStream& stream);
    /// Returns false if the message is invalid.
    bool handleOutcomes(const Message& message);
    /// `sender`: the proxy that sent the message; std::nullopt if a collector sent it. Returns false if the
    /// message is invalid.
    bool handleDemand(const Message& message, std::optional<ProxyId> sender);

    /// Called when a message arrives on a proxy's stream, whether or not it is valid.
    void streamActive(ProxyId proxy, const PushStream& stream);
    /// Called when a proxy's stream has ended. Ignored if the proxy has opened a newer stream.
    void streamClosed(ProxyId proxy, const PushStream& stream);
    /// The collectors and the connections among them that are needed.
    CollectorRegistry& collectors() { return collectors_; }
    /// Returns false if any entry is invalid. The valid entries are still passed on, but a snapshot then
    /// becomes a delta, because an endpoint that seems to be missing from it may be the one in the invalid
    /// entry.
    bool updateEndpoints(EndpointListUpdate kind, const json::Value& members);
    /// `body`: the body of the response, which may contain a load report.
    void probeCompleted(EndpointId endpoint, ProbeStatus status, Micros latency, std::string_view body);

private:
    std::optional<ProxyId> readProxy(const Message& message) const;
    bool ignore(Counter counter, std::string_view detail);
    void recordInvalidEntry(std::size_t index, const json::Value& member, std::string_view invalidField);

    BatchRunner& batches_;
    UpdateQueue& updates_;
    NameRegistry& names_;
    Counters& counters_;
    CollectorRegistry collectors_;
    const std::uint32_t proxyCount_;
};

} // namespace zincstack::net

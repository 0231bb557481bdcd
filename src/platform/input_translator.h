// Translates what arrives from proxies, collectors, discovery and probes into the planner's inputs: validates it,
// replaces names by ids and passes it on within an open batch. An invalid message is counted and ignored as a whole.
#pragma once

#include <optional>
#include <string_view>

#include "engine/batch_runner.h"
#include "metrics/counters.h"
#include "platform/message.h"
#include "platform/update_queue.h"
#include "routing/name_registry.h"
#include "json/json.h"

namespace zincstack::net {

class InputTranslator {
public:
    InputTranslator(BatchRunner& batches, UpdateQueue& updates, NameRegistry& names, Counters& counters,
                    std::uint32_t proxyCount);

    // Messages of the platform protocol, by kind.

    /// False if the message is invalid.
    bool agent(const Message& message);
    /// The proxy whose session the stream has become; none if the message is invalid.
    std::optional<ProxyId> hello(const Message& message, PushStream& stream);
    void ack(const Message& message, ProxyId proxy, const PushStream& stream);
    void outcomes(const Message& message);
    /// `sender`: the proxy on whose stream the message came; none if a collector sent it.
    void demand(const Message& message, std::optional<ProxyId> sender);

    /// The stream of a proxy has ended. Ignored if the proxy has a newer one.
    void streamClosed(ProxyId proxy, const PushStream& stream);
    /// False if some entry is invalid. The valid ones are passed on nevertheless, then at most as a delta, since an
    /// endpoint that seems missing from a snapshot may be one that can't be read.
    bool updateEndpoints(EndpointListUpdate kind, const json::Value& members);
    void probeCompleted(EndpointId endpoint, ProbeStatus status, Micros latency, std::string_view body);

private:
    std::optional<ProxyId> proxyOf(const Message& message) const;
    void ignoreEntry(std::size_t index, const json::Value& member, std::string_view invalidField);

    BatchRunner& batches_;
    UpdateQueue& updates_;
    NameRegistry& names_;
    Counters& counters_;
    const std::uint32_t proxyCount_;
};

} // namespace zincstack::net

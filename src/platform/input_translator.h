// From messages to the planner's inputs: checks what came, puts ids for names, and passes it on.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "engine/batch_runner.h"
#include "metrics/counters.h"
#include "platform/message.h"
#include "platform/update_queue.h"
#include "routing/name_registry.h"
#include "json/json.h"

namespace zincstack::net {

class InputTranslator {
public:
    InputTranslator(BatchRunner& engine, routing::RoutingState& book, UpdateQueue& outbox,
                    NameRegistry& names, Counters& counters, std::uint32_t proxies);

    bool agent(const Message& message);
    /// The proxy that has joined by this stream; none if the message can't be used.
    std::optional<ProxyId> hello(const Message& message, PushStream& stream);
    void ended(ProxyId proxy, const PushStream& stream);
    void ack(const Message& message, ProxyId proxy, const PushStream& stream);
    void outcomes(const Message& message);
    /// `stream`: the proxy on whose own stream it came; none if a collector brought it.
    void demand(const Message& message, std::optional<ProxyId> stream);
    /// False where an entry can't be used: the others were passed on, as changes.
    bool list(EndpointListUpdate news, const json::Value& members);
    void probed(EndpointId server, ProbeStatus status, Micros delay, std::string_view body);

private:
    std::optional<ProxyId> proxyOf(const Message& message) const;
    const char* entry(const json::Value& member, EndpointUpdate& into, std::string_view& address);
    static std::optional<Micros> spanOf(const Message& message, std::string_view name);
    /// None where a figure is none.
    static std::optional<LoadReport> report(std::string_view text, char pairMark, char separator);

    BatchRunner& engine_;
    routing::RoutingState& book_;
    UpdateQueue& outbox_;
    NameRegistry& names_;
    Counters& counters_;
    const std::uint32_t proxies_;
};

} // namespace zincstack::net

// The planner's side of the pub-sub benchmark: a planner that makes scripted changes, and one of the
// transports.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "engine/batch_runner.h"
#include "platform/input_translator.h"
#include "platform/session_acceptor.h"
#include "pubsub/pubsub_service.h"
#include "pubsub_clients.h"
#include "whole_table_transport.h"

namespace zincstack::bench {

/// A planner without decisions: assigns table 0 to every proxy that joins, and makes the change that it is
/// given.
struct ScriptedPlanner final : Planner {
    explicit ScriptedPlanner(routing::RoutingState& state) : routingState(state) {}
    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate, std::span<const EndpointUpdate>) override {}
    void proxyJoined(ProxyId proxy, ZoneId, double, bool) override { unassigned.push_back(proxy); }
    void proxyLeft(ProxyId proxy) override { std::erase(unassigned, proxy); }
    void reportLoad(const EndpointLoadReport&) override {}
    void reportDemand(const DemandReport&) override {}
    void barrierAcknowledged(ProxyId, BarrierId) override { ++acknowledgements; }
    void probeCompleted(const ProbeResult&) override {}
    void timerExpired() override {}
    void decide() override;

    routing::RoutingState& routingState;
    std::vector<ProxyId> unassigned;
    std::function<void()> applyChange; ///< called in the next batch, then reset
    std::uint64_t acknowledgements = 0;
    std::uint16_t lastBarrier = 0;
};

/// Event loop, planner and transport of the benchmark.
struct PlannerSide {
    explicit PlannerSide(std::size_t subscribers) : proxies(static_cast<std::uint32_t>(subscribers)) {}

    /// Starts the transport and returns the address on which it listens.
    boost::asio::ip::tcp::endpoint listen(Transport transport);
    /// Runs the event loop until the condition holds, for 60 s at most. Returns false on time-out.
    bool runUntil(const std::function<bool()>& condition);
    void runFor(Micros duration);
    /// Sends a command to the client process and waits until it is done, for 60 s at most.
    void command(SharedState& shared, ClientCommand command, int percentOfClients);
    /// Makes a change in a separate batch.
    void runBatch(std::function<void()> applyChange);
    void stop();

    const std::uint32_t proxies;
    net::BufferPool bufferPool{65536};
    boost::asio::io_context io{1};
    net::Counters counters;
    net::NameRegistry names{{"lookup"}, {"a"}};
    net::BatchRunner* wakeUpTarget = nullptr;
    routing::RoutingState routingState{names, counters, [](EndpointId) {},
                                       [this](Micros delay) { wakeUpTarget->scheduleWakeUp(delay); }};
    net::UpdateQueue updateQueue{routingState, names, counters};
    ScriptedPlanner planner{routingState};
    net::BatchRunner batchRunner{io, planner, routingState, counters, Micros{}};
    net::InputTranslator inputTranslator{batchRunner, updateQueue, names, counters, proxies};
    net::SessionAcceptor sessionAcceptor{inputTranslator, counters, bufferPool};

private:
    boost::asio::ip::tcp::endpoint startChannel();
    boost::asio::ip::tcp::endpoint startListener(net::Listener::ProtocolFactory makePeer);

    std::optional<WholeTableTransport> wholeTables_;
    std::optional<pubsub::PubsubService> channel_;
    std::shared_ptr<net::Listener> listener_;
};

} // namespace zincstack::bench

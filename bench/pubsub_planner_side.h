// The planner's side of the pub-sub benchmark: a planner that carries out scripted orders, and one of the transports.
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

/// Takes no decisions: assigns the one table to every proxy that joins, and carries out the orders it is given.
struct ScriptedPlanner final : Planner {
    explicit ScriptedPlanner(routing::RoutingState& state) : routingState(state) {}
    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate, std::span<const EndpointUpdate>) override {}
    void proxyJoined(ProxyId proxy, ZoneId, double, bool) override { unassigned.push_back(proxy); }
    void proxyLeft(ProxyId proxy) override { std::erase(unassigned, proxy); }
    void reportLoad(const EndpointLoadReport&) override {}
    void reportDemand(const DemandReport&) override {}
    void barrierAcknowledged(ProxyId, BarrierId) override { ++acknowledgments; }
    void probeCompleted(const ProbeResult&) override {}
    void timerExpired() override {}
    void decide() override;

    routing::RoutingState& routingState;
    std::vector<ProxyId> unassigned;
    std::function<void()> orders; ///< for the next batch
    std::uint64_t acknowledgments = 0;
    std::uint16_t lastBarrier = 0;
};

struct PlannerSide {
    explicit PlannerSide(std::size_t subscribers) : proxies(static_cast<std::uint32_t>(subscribers)) {}

    /// Starts the transport; returns where it listens.
    boost::asio::ip::tcp::endpoint listen(Transport transport);
    /// Runs the event loop until the condition holds, for a minute at most; returns whether it held.
    bool runUntil(const std::function<bool()>& condition);
    void runFor(Micros duration);
    /// Has the client process carry out a command, and waits for it.
    void command(SharedState& shared, ClientCommand command, int percentOfClients);
    /// Carries out orders in a batch of their own.
    void runBatch(std::function<void()> orders);
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
    boost::asio::ip::tcp::endpoint startListener(net::Listener::MakePeer makePeer);

    std::optional<WholeTableTransport> wholeTables_;
    std::optional<pubsub::PubsubService> channel_;
    std::shared_ptr<net::Listener> listener_;
};

} // namespace zincstack::bench

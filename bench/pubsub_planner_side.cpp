#include "pubsub_planner_side.h"

#include <utility>

namespace zincstack::bench {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr double kMaxQueuedLines = 1e6;        // high: the limit itself is not measured
constexpr std::size_t kSpareConnections = 100; // old connections may remain open while clients reconnect
constexpr Micros kMaxWait = 60s;

} // namespace

void ScriptedPlanner::decide() {
    constexpr std::uint16_t kMaxBarrier = 65535;
    for (const ProxyId proxy : std::exchange(unassigned, {})) routingState.assignTable(proxy, 0, {0});
    if (applyChange) std::exchange(applyChange, {})();
    lastBarrier = static_cast<std::uint16_t>(lastBarrier % kMaxBarrier + 1);
    routingState.requestBarrier({lastBarrier}, false);
}

tcp::endpoint PlannerSide::listen(Transport transport) {
    wakeUpTarget = &batchRunner;
    switch (transport) {
    case Transport::PubsubChannel: return startChannel();
    case Transport::WholeTables:
        wholeTables_.emplace(
            routingState, names, [this]() -> Planner& { return batchRunner.openBatch(); },
            [this] { ++planner.acknowledgements; });
        return startListener(
            [this](net::Connection& connection) { return wholeTables_->makeSession(connection); });
    case Transport::Platform: break;
    }
    return startListener([this](net::Connection& connection) { return sessionAcceptor.accept(connection); });
}

tcp::endpoint PlannerSide::startChannel() {
    const auto makeServer = [this] {
        const pubsub::ServerConfig config{.plannerName = "n1",
                                          .epoch = pubsub::Epoch{1},
                                          .proxyCount = proxies,
                                          .flowControl = {.maxQueuedLines = kMaxQueuedLines},
                                          .leases = {.stallTimeout = 100s},
                                          .maxTombstones = 4096};
        return std::make_unique<pubsub::SubscriptionServer>(
            routingState, names, counters, config, [this]() -> Planner& { return batchRunner.openBatch(); },
            [this] { return batchRunner.now(); });
    };
    channel_.emplace(io, counters, bufferPool, makeServer, 1s);
    channel_->configure(pubsub::PubsubService::ListenConfig{"127.0.0.1:0", proxies + kSpareConnections});
    return *channel_->address();
}

tcp::endpoint PlannerSide::startListener(net::Listener::ProtocolFactory makePeer) {
    const tcp::endpoint loopback(asio::ip::address_v4::loopback(), 0);
    listener_ = std::make_shared<net::Listener>(io, loopback, proxies + kSpareConnections,
                                                net::SessionAcceptor::kMaxQueuedBytes, counters, bufferPool,
                                                std::move(makePeer));
    listener_->start();
    return listener_->address();
}

bool PlannerSide::runUntil(const std::function<bool()>& condition) {
    const auto end = steadyMicros() + kMaxWait.count();
    while (!condition()) {
        if (steadyMicros() > end) return false;
        io.run_one_for(1ms);
    }
    return true;
}

void PlannerSide::runFor(Micros duration) {
    const auto end = steadyMicros() + duration.count();
    runUntil([&] { return steadyMicros() > end; });
}

void PlannerSide::command(SharedState& shared, ClientCommand command, int percentOfClients) {
    shared.command = command;
    shared.percentOfClients = percentOfClients;
    const int before = shared.commandsDone;
    ++shared.commandNumber;
    runUntil([&] { return shared.commandsDone > before; });
}

void PlannerSide::runBatch(std::function<void()> applyChange) {
    planner.applyChange = std::move(applyChange);
    batchRunner.openBatch();
}

void PlannerSide::stop() {
    if (channel_) channel_->configure({});
    if (listener_) listener_->stop();
    runFor(50ms);
}

} // namespace zincstack::bench

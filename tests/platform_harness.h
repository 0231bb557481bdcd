// A test fixture with the planner's side of the platform protocol, without sockets. The planner behind it
// records its inputs and makes the decisions that a test supplies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "capturing_stream.h"
#include "engine/batch_runner.h"
#include "platform/input_translator.h"
#include "platform/peer_session.h"
#include "platform/update_queue.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"
#include "json/json.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

/// A planner that records its inputs.
struct RecordingPlanner : Planner {
    /// Inputs other than load reports and probe results, as text.
    std::vector<std::string> received;
    std::vector<EndpointUpdate> endpointUpdates; ///< of the most recent endpoint list
    std::vector<EndpointLoadReport> loadReports;
    std::vector<ProbeResult> probeResults;
    int decisionCount = 0;
    std::function<void()> nextDecision; ///< called once, by the next decide()

    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate kind, std::span<const EndpointUpdate> updates) override {
        record("list " + std::to_string(static_cast<int>(kind)) + " " + std::to_string(updates.size()));
        endpointUpdates.assign(updates.begin(), updates.end());
    }
    void proxyJoined(ProxyId proxy, ZoneId zone, double, bool fresh) override {
        record("joined " + std::to_string(proxy.value) + " zone " + std::to_string(zone.value) +
               (fresh ? " fresh" : ""));
    }
    void proxyLeft(ProxyId proxy) override { record("left " + std::to_string(proxy.value)); }
    void reportLoad(const EndpointLoadReport& report) override { loadReports.push_back(report); }
    void reportDemand(const DemandReport& report) override {
        record("demand " + std::to_string(report.requestClass.value) + " " + std::to_string(report.requests));
    }
    void barrierAcknowledged(ProxyId, BarrierId barrier) override {
        record("acknowledged " + std::to_string(barrier.value));
    }
    void probeCompleted(const ProbeResult& result) override { probeResults.push_back(result); }
    void timerExpired() override {}
    void decide() override {
        ++decisionCount;
        if (nextDecision) std::exchange(nextDecision, {})();
    }

private:
    void record(std::string input) { received.push_back(std::move(input)); }
};

/// Runs batches on the real update queue, translator and routing state with a RecordingPlanner.
struct PlatformHarness : testing::Test {
    static constexpr std::uint32_t kProxyCount = 20;

    net::BufferPool pool{64}; // declared before io: what io destroys at the end may hold buffers of the pool
    boost::asio::io_context io;
    net::Counters counters;
    net::NameRegistry names{{"lookup", "order"}, {"a", "b"}};
    RecordingPlanner planner;
    routing::RoutingState state{names, counters, [](EndpointId) {}, [](Micros) {}};
    net::UpdateQueue updates{state, names, counters};
    net::BatchRunner batches{io, planner, state, counters, 0us};
    net::InputTranslator inputs{batches, updates, names, counters, kProxyCount};
    int answeredProbes = 0;
    EndpointId readyEndpoint;    ///< valid after registerTwoEndpoints()
    EndpointId drainingEndpoint; ///< valid after registerTwoEndpoints()
    const TableId table{3};

    void runUntilIdle() {
        io.restart();
        io.run();
    }
    /// Runs a batch in which the planner makes the given decision.
    void decide(std::function<void()> decision) {
        planner.nextDecision = std::move(decision);
        batches.openBatch();
        runUntilIdle();
    }
    std::unique_ptr<net::PeerSession> openSession(CapturingStream& stream) {
        return std::make_unique<net::PeerSession>(inputs, counters, pool, stream,
                                                  [this] { ++answeredProbes; });
    }
    /// Opens a session on the stream and joins proxy 17 of zone b.
    std::unique_ptr<net::PeerSession> openProxySession(CapturingStream& stream) {
        auto session = openSession(stream);
        session->feed("hello proxy=17 zone=b weight=21.5 fresh=0\r\n");
        return session;
    }
    /// Passes a snapshot of two endpoints to the translator: s-1 is ready, s-2 is draining.
    void registerTwoEndpoints() {
        const json::Value members = json::read(
            R"([{"id":"s-1","host_port":"127.0.0.1:1","locality":"a","cell":3,"phase":"Ready","size":1.5,"up_since_ms":2},
                {"id":"s-2","host_port":"127.0.0.1:2","locality":"b","cell":3,"phase":"Terminating","size":1}])");
        ASSERT_TRUE(inputs.updateEndpoints(EndpointListUpdate::Snapshot, members));
        readyEndpoint = *names.endpoint("s-1");
        drainingEndpoint = *names.endpoint("s-2");
    }
};

} // namespace zincstack::tests

// An independent model of a whole fleet of proxies on the streams of one planner. It parses the bytes that
// the planner writes, derives from them which endpoints each proxy may pick according to the protocol
// documentation, and checks the rules after every step. It shares no code with the planner beyond the
// interface that it drives.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet_rules.h"
#include "planner/planner.h"
#include "platform/update_queue.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"
#include "simulated_channel.h"
#include "simulated_proxy.h"

namespace zincstack::tests {

/// A state change of an endpoint, which is given by its index in the fleet.
struct EndpointChange {
    std::size_t endpoint;
    EndpointState state;
};

/// A planner with its endpoints, its proxies and the control channel between them, in simulated time.
class SimulatedFleet {
public:
    explicit SimulatedFleet(const SimulatedFleetConfig& config);
    ~SimulatedFleet();
    SimulatedFleet(const SimulatedFleet&) = delete;
    SimulatedFleet& operator=(const SimulatedFleet&) = delete;

    // -- service discovery --

    /// Adds an endpoint without announcing it, and returns its index. By default it started long ago, so it
    /// is warm.
    std::size_t addEndpoint(EndpointState state = EndpointState::Ready, Micros startedAt = Micros{});
    void announceAllEndpoints(EndpointListUpdate kind = EndpointListUpdate::Snapshot);
    void announceChanges(const std::vector<EndpointChange>& changes);
    /// Adds an endpoint that starts now, announces it and returns its index.
    std::size_t startEndpoint();

    // -- sessions of proxies --

    /// Connects the proxy, which holds `table`. `fresh` says that it is a bootstrap table, not an inherited
    /// one.
    void join(std::uint16_t proxy, const EndpointSet& table, bool fresh);
    void leave(std::uint16_t proxy);
    /// A stalled proxy neither reads nor acknowledges messages. After the stall it reads those that have
    /// arrived.
    void setStalled(std::uint16_t proxy, bool isStalled);

    // -- time and reports --

    void advance(Micros duration);
    /// Reports successful attempts at every ready endpoint from every zone, and the demand of every proxy.
    void reportSuccess();
    /// Like reportSuccess(), but 18 of 20 attempts at the failing endpoints fail.
    void reportFailures(const std::function<bool(std::size_t endpoint)>& isFailing);
    void timeOutProbes();
    void answerProbes();

    // -- observation --

    EndpointSet readyEndpoints() const;
    const SimulatedFleetConfig& config() const { return config_; }
    Micros now() const { return now_; }
    const std::map<FleetRule, RuleViolations>& violations() const { return rules_.violations(); }
    /// Called with the bytes of each write to a proxy's stream.
    using WriteObserver = std::function<void(std::uint16_t proxy, std::string_view bytes)>;
    void setWriteObserver(WriteObserver observer) { writeObserver_ = std::move(observer); }

private:
    class Stream;

    EndpointUpdate updateOf(const SimulatedEndpoint& endpoint) const;

    void openBatch();
    void addInput(const std::function<void()>& input);
    void closeBatch();

    void tick();
    void handleWrite(std::uint16_t proxy, std::string_view bytes);
    void deliverArrived();
    void acknowledge(std::uint16_t id, BarrierId barrier);
    void completeProbes(ProbeStatus status, Micros latency);

    static constexpr Micros kStartTime = 1000s;

    const SimulatedFleetConfig config_;
    Micros now_ = kStartTime;
    net::Counters counters_;
    net::NameRegistry names_;
    routing::RoutingState state_;
    net::UpdateQueue updates_;
    std::unique_ptr<Planner> planner_;
    std::vector<SimulatedEndpoint> endpoints_;
    std::vector<EndpointId> requestedProbes_;
    SimulatedProxies proxies_;
    SimulatedChannel channel_;
    WriteObserver writeObserver_;
    FleetRules rules_;
    Micros lastDecisionAt_{};
    std::uint64_t sessionCount_ = 0;
    bool isBatchOpen_ = false;
    bool hasInput_ = false;
};

} // namespace zincstack::tests

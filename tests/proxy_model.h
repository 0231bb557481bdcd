// A model of the environment of one planner: the state of its proxies, the control channel and the endpoint
// list. It checks the safety rules after every simulation step and uses only the planner's public interface.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

/// Simulates the environment of one planner: receives its routing updates, delivers them to modelled proxies
/// over a modelled control channel, and passes the planner its inputs.
class ProxyModel : public RoutingUpdateSink {
public:
    using EndpointWeights = std::map<EndpointId, double>;
    using LatencyFunction = std::function<Micros(std::uint64_t)>;

    /// The state of a joined proxy after the messages that it has applied so far.
    struct ProxyState {
        ZoneId zone{};
        Micros joinedAt{};
        Micros withoutEndpointSince{-1}; ///< negative: it has at least one endpoint, or no endpoint is warm
        std::set<EndpointId> inheritedEndpoints = {};
        bool hasAssignedTable = false;
        EndpointWeights weights = {};
        std::set<EndpointId> excluded = {};
        std::map<EndpointId, bool> exclusionsSent = {}; ///< by endpoint: the last value sent on this stream
        std::deque<Micros> messagesSentAt = {};
    };
    /// A batch of updates to one proxy, with its size in the control channel.
    struct Message {
        ProxyId proxy;
        double lines = 0;
        std::vector<std::function<void(ProxyState&)>> updates = {};
        BarrierId barrier{};
        Micros arrivesAt{};
    };
    /// An endpoint's entry in the endpoint list, with the times at which the list announced its start and its
    /// end.
    struct ListedEndpoint {
        EndpointUpdate entry;
        Micros startAnnouncedAt{-1h};
        Micros endAnnouncedAt{-1}; ///< negative: neither draining nor removed
    };

    // -- settings, to be changed before start(); only `slowdown` may also change later --
    FleetConfig fleet{.zoneCount = 2,
                      .plannerCount = 2,
                      .hasEndpointWeights = true,
                      .probingAllowed = true,
                      .reportInterval = 1s};
    ProxyFleetConfig proxyFleet{
        .proxyCount = 8, .bootstrapTableSize = 3, .throttleMode = ThrottleMode::Fraction};
    ControlChannelLimits channel{4000, 6, 4000, 30, 10s, 200ms, 500ms};
    SafetyLimits safety{3s, 2s, 0.2, 16s, 4, 3s};
    std::vector<RequestClassConfig> requestClasses{
        {1s, 3s, 3, .1, Idempotency::Idempotent, false, false},
        {1s, 3s, 2, .1, Idempotency::IdempotencyKeyed, false, true},
        {1s, 3s, 4, .1, Idempotency::NonIdempotent, false, true}};
    bool forgetsEndpoints = false;    ///< forgetEndpoint() succeeds, as with the socket transport
    bool sendsExclusionsOnce = false; ///< does not send a stream the same value twice, as with sockets
    bool checksRules = true;          ///< false saves time in runs that are only recorded
    double slowdown = 1;              ///< factor by which the control channel is slower than `channel` says

    // -- state --
    std::unique_ptr<Planner> planner;
    Micros now{100s};
    std::map<EndpointId, ListedEndpoint> listed;
    std::map<ProxyId, ProxyState> proxies;
    std::map<ProxyId, TableId> assignedTables;
    std::map<TableId, EndpointWeights> tables;
    std::set<EndpointId> excluded;
    std::deque<Message> queue;

    // -- updates received from the planner, for tests to read and clear --
    std::vector<EndpointId> probes;
    std::vector<std::pair<EndpointId, double>> weightUpdates;
    std::vector<std::pair<ProxyId, TableId>> assignments;
    std::vector<std::pair<RequestClassSet, double>> admissionLimits;
    std::vector<PlannerEvent> events;
    std::vector<std::string> violations; ///< the violated rules, in order of occurrence

    // -- inputs to the planner --
    /// Starts a planner and sends it the endpoint list.
    void start(std::uint64_t seed = 7);
    /// Replaces the planner by a new one, as after a crash. All proxies rejoin with the endpoints and the
    /// exclusions that they hold.
    void restart(std::uint64_t seed);
    /// Runs one batch: the input, then the planner's decisions.
    void batch(const auto& input) {
        planner->beginBatch(now);
        input();
        decide();
    }
    /// Adds a ready endpoint to the list without notifying the planner.
    EndpointUpdate& addEndpoint(std::uint64_t id, double weight = 1, std::uint8_t zone = 0);
    /// Sends an endpoint list update for one endpoint. A negative `startedAt` leaves its start time
    /// unchanged.
    void updateEndpoint(std::uint64_t id, EndpointState state, Micros startedAt = -1us);
    /// A proxy joins with the endpoints that it holds and its request rate per second. Its earlier session,
    /// if any, ends first.
    void join(std::uint16_t id, std::uint8_t zone, double rate, std::set<EndpointId> inheritedEndpoints);
    /// Ends the proxy's session. Messages that it has not received are lost.
    void leave(std::uint16_t id);
    /// Reports one interval: `attempts` at each endpoint that is ready and not excluded, of which the
    /// fraction `failureRatio(id)` fails, and each proxy's demand.
    void reportLoad(
        std::uint32_t attempts, const auto& failureRatio,
        const LatencyFunction& latency = [](auto) { return 200ms; }) {
        planner->beginBatch(now);
        for (auto& [id, endpoint] : listed) {
            if (endpoint.entry.state != EndpointState::Ready || excluded.contains(id)) continue;
            const auto failures = static_cast<std::uint32_t>(attempts * failureRatio(id.value));
            const Micros meanLatency = failures == attempts ? 0us : latency(id.value);
            planner->reportLoad({id, {0}, attempts, failures, meanLatency, 1s, {}});
        }
        reportDemand();
        decide();
    }
    /// Completes all outstanding probes with the same result.
    void completeProbes(ProbeStatus status, Micros latency = 5ms);
    /// Advances the time in simulation steps. Each delivers messages, runs a batch and checks the rules.
    void advance(Micros span);

    // -- routing updates --
    void setWeight(TableId table, EndpointId endpoint, double weight) override;
    void assignTable(ProxyId proxy, RequestClassSet requestClassSet, TableId table) override;
    void setExcluded(EndpointId endpoint, bool isExcluded) override;
    void setAdmission(std::optional<TableId> table, RequestClassSet requestClassSet, double limit,
                      RetryPolicy retryPolicy) override;
    bool clearStaleExclusions(ProxyId proxy, std::size_t maxEndpoints) override;
    void requestBarrier(BarrierId barrier, bool everyProxy) override;
    void probe(EndpointId endpoint) override { probes.push_back(endpoint); }
    void subscribeToEndpoints() override {}
    void scheduleWakeUp(Micros span) override;
    void report(const PlannerEvent& event) override { events.push_back(event); }
    bool forgetEndpoint(EndpointId endpoint) override;

private:
    void expect(bool holds, const char* rule);
    void reportDemand();
    void decide();
    void step();
    void transmit();
    void deliver();
    void send(ProxyId proxy, double lines, std::function<void(ProxyState&)> update);
    bool mayPick(const ProxyState& proxy, EndpointId endpoint) const;
    bool hasWarmEndpoint() const;
    double warmUpFraction(const ListedEndpoint& endpoint) const;
    void checkRules();
    void checkEndpoint(const ProxyState& proxy, EndpointId id, const ListedEndpoint& endpoint);
    void checkProxy(ProxyState& proxy, bool anyWarm);
    void checkMessageCount(ProxyState& proxy);

    Micros wakeUpAt_{-1}; ///< negative: no wake-up is scheduled
    std::map<TableId, std::set<RequestClassSet>> limitedClasses_;
    std::map<ProxyId, Message> openMessages_;
    std::deque<Message> inFlight_;
    double sendableLines_ = 0;
};

} // namespace zincstack::tests

// A model of what proxies hold, of the control channel and of the endpoint list, with the safety rules checked after
// every step. It knows the planner's interface and nothing of its internals.
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

/// Plays the environment of one planner: takes its routing updates, carries them to modelled proxies and tells it of
/// what happens.
class ProxyModel : public RoutingUpdateSink {
public:
    using EndpointWeights = std::map<EndpointId, double>;
    using LatencyOf = std::function<Micros(std::uint64_t)>;

    /// A joined proxy, as far as it has applied what was sent to it.
    struct ProxyState {
        ZoneId zone{};
        Micros joinedAt{};
        Micros withoutEndpointSince{-1}; ///< negative: it has one
        std::set<EndpointId> inheritedEndpoints = {};
        bool hasAssignedTable = false;
        EndpointWeights weights = {};
        std::set<EndpointId> excluded = {};
        std::map<EndpointId, bool> exclusionsSent = {}; ///< the last one for each endpoint, on this stream
        std::deque<Micros> messagesSentAt = {};
    };
    /// What proxies have to apply, and what it costs in the control channel.
    struct Message {
        ProxyId proxy;
        double lines = 0;
        std::vector<std::function<void(ProxyState&)>> updates = {};
        BarrierId barrier{};
        Micros arrivesAt{};
    };
    /// What the endpoint list says of an endpoint.
    struct ListedEndpoint {
        EndpointUpdate entry;
        Micros startListedAt{-1h};
        Micros endListedAt{-1}; ///< negative: it has not ended
    };

    // -- settings, to be changed before start() --
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
    bool forgetsEndpoints = false;    ///< as the transport on sockets does
    bool sendsExclusionsOnce = false; ///< so too: what a stream was told is not sent again
    bool checksRules = true;          ///< false: for days that are only recorded, which take less time then
    double slowdown = 1;              ///< factor by which the control channel is slower than its limit

    // -- state --
    std::unique_ptr<Planner> planner;
    Micros now{100s};
    std::map<EndpointId, ListedEndpoint> listed;
    std::map<ProxyId, ProxyState> proxies;
    std::map<ProxyId, TableId> assignedTables;
    std::map<TableId, EndpointWeights> tables;
    std::set<EndpointId> excluded;
    std::deque<Message> queue;

    // -- what was ordered, for tests to read and clear --
    std::vector<EndpointId> probes;
    std::vector<std::pair<EndpointId, double>> weightUpdates;
    std::vector<std::pair<ProxyId, TableId>> assignments;
    std::vector<std::pair<RequestClassSet, double>> admissionLimits;
    std::vector<PlannerEvent> events;
    std::vector<std::string> violations; ///< rules that were broken

    // -- what happens --
    /// Starts a planner, which is told the endpoint list.
    void start(std::uint64_t seed = 7);
    /// The planner is killed and starts over; its proxies come back with what they hold.
    void restart(std::uint64_t seed);
    /// One batch: an input, then the decisions.
    void batch(const auto& input) {
        planner->beginBatch(now);
        input();
        decide();
    }
    /// Adds a ready endpoint to the list, of which nobody is notified.
    EndpointUpdate& addEndpoint(std::uint64_t id, double weight = 1, std::uint8_t zone = 0);
    /// The endpoint list has an update for one endpoint.
    void updateEndpoint(std::uint64_t id, EndpointState state, Micros startedAt = -1us);
    void join(std::uint16_t id, std::uint8_t zone, double rate, std::set<EndpointId> inheritedEndpoints);
    void leave(std::uint16_t id);
    /// The reports of an interval: each endpoint in service gets `attempts`, of which `failureRatio(id)` fails.
    void reportLoad(
        std::uint32_t attempts, const auto& failureRatio,
        const LatencyOf& latency = [](auto) { return 200ms; }) {
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
    /// All outstanding probes end in the same way.
    void completeProbes(ProbeStatus status, Micros latency = 5ms);
    /// Time passes, in steps.
    void advance(Micros span);

    // -- routing updates --
    void setWeight(TableId table, EndpointId endpoint, double weight) override;
    void assignTable(ProxyId proxy, RequestClassSet requestClassSet, TableId table) override;
    void setExcluded(EndpointId endpoint, bool isExcluded) override;
    void setAdmission(std::optional<TableId> table, RequestClassSet requestClassSet, double limit,
                      RetryPolicy retryPolicy) override;
    bool clearStaleExclusions(ProxyId proxy, std::size_t most) override;
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

    Micros wakeUpAt_{-1}; ///< negative: none is scheduled
    std::map<TableId, std::set<RequestClassSet>> limitedClasses_;
    std::map<ProxyId, Message> openMessages_;
    std::deque<Message> inFlight_;
    double sendableLines_ = 0;
};

} // namespace zincstack::tests

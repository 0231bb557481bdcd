// Public interface of the planner: its configuration, its inputs and the routing updates that it issues.
//
// A caller (the simulator's adapter, or the batch runner of the network daemon) creates one planner per
// instance, passes in its inputs and the current time, and closes each batch of inputs with decide(). The
// planner issues routing updates to the RoutingUpdateSink that it was created with, and only during decide().
// It handles numeric ids only; callers translate them from and to the names on the wire. It is deterministic:
// the same inputs, times and seed give the same updates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "planner/ids.h"
#include "planner/planner_event.h"

namespace zincstack {

// ---- configuration, read once at start -------------------------------------------------------------------

/// Whether a request may be executed more than once.
enum class Idempotency : std::uint8_t {
    Idempotent,       ///< executing it again has no further effect
    IdempotencyKeyed, ///< endpoints use its idempotency key to discard duplicates
    NonIdempotent,
};
/// Service objectives and properties of one request class.
struct RequestClassConfig {
    Micros latencyObjective{};     ///< a response that takes longer counts as late
    Micros deadline{};             ///< the caller stops waiting for the response after this time
    double priorityWeight = 0;     ///< value of a response within the latency objective
    double latePriorityWeight = 0; ///< value of a response between the latency objective and the deadline
    Idempotency idempotency = Idempotency::NonIdempotent;
    bool zoneLocal = false; ///< only endpoints in the proxy's own zone may serve it
    bool writes = true;     ///< its requests modify data
};
/// Capacity of the control channel from the planner to its proxies. A line is the unit in which updates are
/// counted.
struct ControlChannelLimits {
    double linesPerSecond = 0;
    double messageOverheadLines = 0;       ///< per message, in addition to its updates and its barrier
    double maxQueuedLines = 0;             ///< limit of the lines written and possibly not delivered yet
    std::uint32_t maxMessagesPerProxy = 0; ///< limit within messageWindow; 0: unlimited
    Micros messageWindow{};                ///< sliding window in which maxMessagesPerProxy applies
    Micros meanTransitTime{};              ///< of a message, from the planner to a proxy
    Micros worstTransitTime{};
};
/// Safety rules for endpoints and proxies that every decision must comply with.
struct SafetyLimits {
    Micros maxTimeWithoutEndpoint{}; ///< longest time that a proxy may be without a usable endpoint
    Micros drainGracePeriod{};       ///< time within which a draining endpoint must leave all tables
    double coldCapacityFraction = 0; ///< capacity of a newly started endpoint, as a fraction of its full one
    Micros warmUpDuration{};         ///< time from the start of an endpoint until it has its full capacity
    double overloadFactor = 0;       ///< ratio of load to capacity that makes an endpoint fail
    Micros overloadDuration{};       ///< time for which overloadFactor must persist until the failure
    bool removalIsBinding = true;    ///< false: only endpoints listed as draining must leave the tables
};
/// How proxies limit the requests that they admit.
enum class ThrottleMode : std::uint8_t {
    None,
    Fraction, ///< each proxy admits a fraction of its requests
    Rate,     ///< each proxy admits a number of requests per second
};
/// Number and properties of the proxies.
struct ProxyFleetConfig {
    std::uint32_t proxyCount = 0;
    std::uint32_t bootstrapTableSize = 0; ///< number of endpoints in the table that a proxy starts with
    ThrottleMode throttleMode = ThrottleMode::None;
};
/// Properties of the fleet of endpoints and of the planners that serve it.
struct FleetConfig {
    std::uint8_t zoneCount = 1;
    std::uint32_t plannerCount = 1;
    bool hasEndpointWeights = false;       ///< the endpoint list contains weights; false: all are equal
    bool mustSubscribeToEndpoints = false; ///< list changes are sent to subscribers only
    bool probingAllowed = false;
    Micros reportInterval{}; ///< time between two load reports of a proxy
    bool sharded = false;    ///< tables cover key ranges; unsupported: decide() then issues nothing
};

// ---- inputs ----------------------------------------------------------------------------------------------

/// State of an endpoint according to the endpoint list.
enum class EndpointState : std::uint8_t { Removed, Ready, Draining };
/// An entry of the endpoint list.
struct EndpointUpdate {
    EndpointId id;
    EndpointState state = EndpointState::Removed;
    Micros startedAt{}; ///< zero: started long ago
    double weight = 1;
    PodId pod;
    ZoneId zone;
};
/// Origin and completeness of an endpoint list. An endpoint missing from a complete list is treated like one
/// that is listed as removed.
enum class EndpointListUpdate : std::uint8_t {
    Cached,     ///< complete list from before the planner started
    Delta,      ///< only the entries that changed
    Snapshot,   ///< complete list
    PollFailed, ///< no list could be fetched
};

/// Load that an endpoint reports about itself; std::nullopt for each figure that it does not report.
struct LoadReport {
    std::optional<double> utilization;
    std::optional<double> queueLength;
    std::optional<double> inFlight;
    std::optional<double> serviceTimeMillis;
};
/// Results of the attempts that the proxies of one zone sent to one endpoint during an interval.
struct EndpointLoadReport {
    EndpointId endpoint;
    ZoneId proxyZone;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
    Micros meanLatency{}; ///< of the successful attempts; zero if there were none
    Micros interval{};
    LoadReport load;
};
/// Requests of one class that arrived at a proxy during an interval.
struct DemandReport {
    ProxyId proxy;
    RequestClassId requestClass;
    std::uint32_t requests = 0;
    std::uint32_t unanswered = 0; ///< requests admitted that got no response
    Micros interval{};
};
/// Outcome of a health check.
enum class ProbeStatus : std::uint8_t { Answered, Error, Rejected, TimedOut, Unreachable, ProtocolError };
/// Result of a health check of one endpoint.
struct ProbeResult {
    EndpointId endpoint;
    ProbeStatus status = ProbeStatus::TimedOut;
    Micros latency{};
    LoadReport load;
};

// ---- routing updates -------------------------------------------------------------------------------------

/// When a proxy may retry a request at another endpoint.
enum class RetryPolicy : std::uint8_t {
    Never,
    AfterProofOfNoEffect, ///< only if the first attempt provably was not executed
    OnceOnFailure,
    TwiceOnFailure,
};

/// Receives the planner's routing updates and sends them to proxies. Updates are issued only during
/// Planner::decide().
class RoutingUpdateSink {
public:
    RoutingUpdateSink() = default;
    RoutingUpdateSink(const RoutingUpdateSink&) = default;
    RoutingUpdateSink(RoutingUpdateSink&&) = default;
    RoutingUpdateSink& operator=(const RoutingUpdateSink&) = default;
    RoutingUpdateSink& operator=(RoutingUpdateSink&&) = default;
    virtual ~RoutingUpdateSink() = default;
    /// A weight of 0 removes the endpoint from the table.
    virtual void setWeight(TableId table, EndpointId endpoint, double weight) = 0;
    /// Makes the proxy use the table for these request classes.
    virtual void assignTable(ProxyId proxy, RequestClassSet requestClasses, TableId table) = 0;
    /// Excludes an endpoint at all proxies, regardless of the tables that they hold, or readmits it.
    virtual void setExcluded(EndpointId endpoint, bool excluded) = 0;
    /// Sets the admission limit and the retry policy of a table, or of every joined proxy if `table` is
    /// std::nullopt. ProxyFleetConfig::throttleMode determines whether `limit` is a fraction or a rate.
    virtual void setAdmission(std::optional<TableId> table, RequestClassSet requestClasses, double limit,
                              RetryPolicy retryPolicy) = 0;
    /// Adds a barrier, which closes the current message, for each proxy that has updates in this batch, or
    /// for every proxy. Proxies acknowledge barriers.
    virtual void requestBarrier(BarrierId barrier, bool everyProxy) = 0;
    /// Starts a health check; its result is passed to Planner::probeCompleted().
    virtual void probe(EndpointId endpoint) = 0;
    /// Requests a subscription to changes of the endpoint list.
    virtual void subscribeToEndpoints() = 0;
    /// Schedules a call of Planner::timerExpired() after the delay.
    virtual void scheduleWakeUp(Micros delay) = 0;
    /// Reports an event to the operator; no action is required. Unlike updates, events are also reported
    /// while the planner handles inputs.
    virtual void report(const PlannerEvent& event) = 0;
    /// Drops all state of an endpoint that no longer exists. Returns false if it cannot: an exclusion could
    /// not be reverted if the endpoint were listed again, so the planner must keep the endpoint's state.
    virtual bool forgetEndpoint(EndpointId) { return false; }
    /// Readmits, at a proxy with an assigned table, at most `maxEndpoints` endpoints of its tables that an
    /// earlier planner may have excluded there. Each costs one line. Returns false if there are none.
    virtual bool clearStaleExclusions(ProxyId, std::size_t /*maxEndpoints*/) { return false; }
    /// Encoded lines that may still be in the control channel plus those that wait for capacity in it.
    /// std::nullopt if the sink does not measure them; the planner then estimates. A sink that measures
    /// enforces the queue limit itself: updates that do not fit wait and are merged.
    virtual std::optional<double> pendingLines() const { return {}; }
    /// Whether updates are pending without a barrier to close their message.
    virtual bool needsBarrier() const { return false; }
    /// Whether the proxy can be assigned a different table for the same request classes later.
    virtual bool supportsReassignment(ProxyId) const { return false; }
};

// ---- the planner -----------------------------------------------------------------------------------------

/// Decides which endpoints the proxies' tables contain, and with what weights. Inputs only update its state
/// and may report events; decide() issues the updates.
class Planner {
public:
    Planner() = default;
    Planner(const Planner&) = delete;
    Planner(Planner&&) = delete;
    Planner& operator=(const Planner&) = delete;
    Planner& operator=(Planner&&) = delete;
    virtual ~Planner() = default;
    /// Opens a batch, or advances the clock of the open one. `now` must not decrease from call to call.
    virtual void beginBatch(Micros now) = 0;
    /// Applies an endpoint list. After PollFailed, `entries` is ignored and decide() requests a subscription.
    virtual void updateEndpoints(EndpointListUpdate kind, std::span<const EndpointUpdate> entries) = 0;
    /// `expectedRate`: requests per second to assume until the proxy's first demand report.
    /// `hasOnlyBootstrapTable`: true if the proxy holds only the short table that it started with, false if
    /// it holds a table from an earlier planner.
    virtual void proxyJoined(ProxyId proxy, ZoneId zone, double expectedRate, bool hasOnlyBootstrapTable) = 0;
    virtual void proxyLeft(ProxyId proxy) = 0;
    virtual void reportLoad(const EndpointLoadReport& report) = 0;
    virtual void reportDemand(const DemandReport& report) = 0;
    /// The proxy has applied the message that the barrier closes, and all messages before it.
    virtual void barrierAcknowledged(ProxyId proxy, BarrierId barrier) = 0;
    virtual void probeCompleted(const ProbeResult& result) = 0;
    /// The delay of RoutingUpdateSink::scheduleWakeUp() has elapsed.
    virtual void timerExpired() = 0;
    /// Closes the batch and issues the resulting updates to the sink.
    virtual void decide() = 0;
};

/// Configuration of a planner, fixed when it is created.
struct PlannerConfig {
    std::uint64_t seed = 0; ///< seed of the random number generators
    FleetConfig fleet;
    ProxyFleetConfig proxyFleet;
    ControlChannelLimits channel;
    SafetyLimits safety;
    std::vector<RequestClassConfig> requestClasses; ///< at least one, at most 16
};

/// Creates a planner that issues its updates to `sink`, which must outlive it.
std::unique_ptr<Planner> makePlanner(const PlannerConfig& config, RoutingUpdateSink& sink);

} // namespace zincstack

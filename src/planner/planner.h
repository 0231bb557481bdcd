// The planner's interface: the inputs that callers hand in, the routing updates that come out, and nothing
// about how they are decided.
//
// A caller (the simulator's adapter, or the batch runner on sockets) makes one planner for each instance,
// hands it inputs with the clock, and closes each batch with decide(). Updates go to the RoutingUpdateSink
// that was given at the start, only from inside decide(). Names on a wire are the caller's: the planner knows
// ids only. It is deterministic: the same inputs, clock and seed give the same updates.
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

/// Whether a request may run twice.
enum class Idempotency : std::uint8_t {
    Idempotent,       ///< running it again has no effect
    IdempotencyKeyed, ///< endpoints discard a repetition by its idempotency key
    NonIdempotent,
};
/// What is promised to the callers of one class of requests.
struct RequestClassConfig {
    Micros latencyObjective{};     ///< answers after it count as late
    Micros deadline{};             ///< after it nobody waits for the answer
    double priorityWeight = 0;     ///< value of an answer within the objective
    double latePriorityWeight = 0; ///< value of an answer between objective and deadline
    Idempotency idempotency = Idempotency::NonIdempotent;
    bool zoneLocal = false; ///< only endpoints of the proxy's own zone may serve it
    bool writes = true;
};
/// What the channel from planner to proxies can carry. A line is the unit in which updates are counted.
struct ControlChannelLimits {
    double linesPerSecond = 0;
    double messageOverheadLines = 0;       ///< for each message, beside its updates and its barrier
    double maxQueuedLines = 0;             ///< written and perhaps not yet delivered
    std::uint32_t maxMessagesPerProxy = 0; ///< to one proxy within messageWindow; 0: no limit
    Micros messageWindow{};
    Micros meanTransitTime{};
    Micros worstTransitTime{};
};
/// Rules for the operation of endpoints that every decision has to keep.
struct SafetyLimits {
    Micros maxTimeWithoutEndpoint{}; ///< for which a proxy may hold no usable endpoint
    Micros drainGracePeriod{};       ///< within which tables must no longer name an endpoint that drains
    double coldCapacityFraction = 0; ///< capacity of an endpoint just started, as a fraction of its full one
    Micros warmUpDuration{};         ///< from the start of an endpoint to its full capacity
    double overloadFactor = 0;       ///< load over capacity at which an endpoint fails...
    Micros overloadDuration{};       ///< ...when it lasts for so long
    bool removalIsBinding = true;    ///< false: only an endpoint seen as draining must leave the tables
};
/// How proxies limit the requests that they admit.
enum class ThrottleMode : std::uint8_t {
    None,
    Fraction, ///< each admits a fraction of its requests
    Rate,     ///< each admits a number of requests a second
};
struct ProxyFleetConfig {
    std::uint32_t proxyCount = 0;
    std::uint32_t bootstrapTableSize = 0; ///< endpoints in the table that a proxy starts with
    ThrottleMode throttleMode = ThrottleMode::None;
};
struct FleetConfig {
    std::uint8_t zoneCount = 1;
    std::uint32_t plannerCount = 1;
    bool hasEndpointWeights = false;       ///< the endpoint list carries weights; false: all are equal
    bool mustSubscribeToEndpoints = false; ///< list changes are sent only after a subscription
    bool probingAllowed = false;
    Micros reportInterval{}; ///< between two load reports of a proxy
    bool sharded = false;    ///< tables belong to ranges of keys: unsupported, every input is ignored
};

// ---- inputs ----------------------------------------------------------------------------------------------

enum class EndpointState : std::uint8_t { Removed, Ready, Draining };
/// An entry of the endpoint list.
struct EndpointUpdate {
    EndpointId id;
    EndpointState state = EndpointState::Removed;
    Micros startedAt{}; ///< zero: long ago
    double weight = 1;
    PodId pod;
    ZoneId zone;
};
/// Where an endpoint list comes from, and whether endpoints that it does not name still exist.
enum class EndpointListUpdate : std::uint8_t {
    Cached,     ///< complete, as known before the start
    Delta,      ///< only what changed
    Snapshot,   ///< complete
    PollFailed, ///< no list could be had
};

/// What an endpoint says of its own load; absent where it does not say.
struct LoadReport {
    std::optional<double> utilization;
    std::optional<double> queueLength;
    std::optional<double> inFlight;
    std::optional<double> serviceTimeMillis;
};
/// Results of the attempts that the proxies of a zone sent to one endpoint during an interval.
struct EndpointLoadReport {
    EndpointId endpoint;
    ZoneId proxyZone;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
    Micros meanLatency{}; ///< of the attempts that succeeded; zero: there were none
    Micros interval{};
    LoadReport load;
};
/// Requests of one class that arrived at a proxy during an interval.
struct DemandReport {
    ProxyId proxy;
    RequestClassId requestClass;
    std::uint32_t requests = 0;
    std::uint32_t unanswered = 0; ///< admitted, yet without an answer
    Micros interval{};
};
enum class ProbeStatus : std::uint8_t { Answered, Error, Rejected, TimedOut, Unreachable, ProtocolError };
struct ProbeResult {
    EndpointId endpoint;
    ProbeStatus status = ProbeStatus::TimedOut;
    Micros latency{};
    LoadReport load;
};

// ---- routing updates -------------------------------------------------------------------------------------

/// When a proxy may send a request again to another endpoint.
enum class RetryPolicy : std::uint8_t {
    Never,
    AfterProofOfNoEffect, ///< only if the first attempt surely never ran
    OnceOnFailure,
    TwiceOnFailure,
};

/// Takes the planner's routing updates and sends them to proxies. Called only from inside Planner::decide().
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
    virtual void assignTable(ProxyId proxy, RequestClassSet requestClasses, TableId table) = 0;
    /// Excludes an endpoint at all proxies, whatever table they hold, or readmits it.
    virtual void setExcluded(EndpointId endpoint, bool excluded) = 0;
    /// No table: for every joined proxy. `limit` is a fraction or a rate, as ProxyFleetConfig::throttleMode
    /// says.
    virtual void setAdmission(std::optional<TableId> table, RequestClassSet requestClasses, double limit,
                              RetryPolicy retryPolicy) = 0;
    /// Closes the message of each proxy that was sent an update in this batch, or of every proxy.
    virtual void requestBarrier(BarrierId barrier, bool everyProxy) = 0;
    virtual void probe(EndpointId endpoint) = 0;
    virtual void subscribeToEndpoints() = 0;
    /// Planner::timerExpired() is to be called after the delay.
    virtual void scheduleWakeUp(Micros delay) = 0;
    /// Informs the operator of a decision; it asks for nothing. Unlike updates, events come from inputs too.
    virtual void report(const PlannerEvent& event) = 0;
    /// Drops all state of an endpoint that has ended. False: an exclusion can't be taken back for an endpoint that
    /// is listed anew, so the planner has to remember it.
    virtual bool forgetEndpoint(EndpointId) { return false; }
    /// Readmits, at a proxy with an assigned table, at most `maxEndpoints` of its tables' endpoints that an
    /// earlier planner may have excluded there: a line each. False: there is none.
    virtual bool clearStaleExclusions(ProxyId, std::size_t /*maxEndpoints*/) { return false; }
    /// Lines that may still be in the channel, and those that wait for capacity in it, as encoded. None: the
    /// sink does not measure, and the planner estimates. A sink that measures keeps the limit of the queue by
    /// itself: updates that do not fit wait and are merged.
    virtual std::optional<double> pendingLines() const { return {}; }
    /// Updates wait that have no barrier to go with.
    virtual bool needsBarrier() const { return false; }
    /// Whether the proxy can later be assigned another table for the same request classes.
    virtual bool supportsReassignment(ProxyId) const { return false; }
};

// ---- the planner -----------------------------------------------------------------------------------------

/// Decides which endpoints the proxies' tables name. Inputs only change its state; decide() acts on them.
class Planner {
public:
    Planner() = default;
    Planner(const Planner&) = delete;
    Planner(Planner&&) = delete;
    Planner& operator=(const Planner&) = delete;
    Planner& operator=(Planner&&) = delete;
    virtual ~Planner() = default;
    /// Opens a batch, or moves the clock of the open one on; it only moves forward.
    virtual void beginBatch(Micros now) = 0;
    virtual void updateEndpoints(EndpointListUpdate kind, std::span<const EndpointUpdate> entries) = 0;
    /// `expectedRate`: requests a second, until its first demand report. `hasOnlyBootstrapTable`: it holds
    /// nothing but the short table that it started with; false: a table of an earlier planner.
    virtual void proxyJoined(ProxyId proxy, ZoneId zone, double expectedRate, bool hasOnlyBootstrapTable) = 0;
    virtual void proxyLeft(ProxyId proxy) = 0;
    virtual void reportLoad(const EndpointLoadReport& report) = 0;
    virtual void reportDemand(const DemandReport& report) = 0;
    virtual void barrierAcknowledged(ProxyId proxy, BarrierId barrier) = 0;
    virtual void probeCompleted(const ProbeResult& result) = 0;
    virtual void timerExpired() = 0;
    /// Closes the batch: all updates that follow from its inputs go to the sink now.
    virtual void decide() = 0;
};

/// All that a planner is told at start.
struct PlannerConfig {
    std::uint64_t seed = 0; ///< of its random numbers
    FleetConfig fleet;
    ProxyFleetConfig proxyFleet;
    ControlChannelLimits channel;
    SafetyLimits safety;
    std::vector<RequestClassConfig> requestClasses; ///< at least one, at most 16
};

/// `sink` must outlive the planner.
std::unique_ptr<Planner> makePlanner(const PlannerConfig& config, RoutingUpdateSink& sink);

} // namespace zincstack

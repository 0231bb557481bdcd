// The planner's interface: what callers tell it, what it orders, and nothing about how it decides.
//
// A caller (the simulator's adapter, or the engine on sockets) makes one planner an instance, hands it inputs
// with the clock, and closes each batch with decide(). Orders go to the RoutingUpdateSink given at the start,
// only from inside decide(). All names that belong to a wire stay with the caller.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace zincstack {

using Micros = std::chrono::microseconds;

/// A type for each kind of id, so that a proxy's number can't stand where a table's is meant.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    friend constexpr auto operator<=>(const Id&, const Id&) = default;
};
using EndpointId = Id<struct EndpointTag, std::uint64_t>;
using ProxyId = Id<struct ProxyTag, std::uint16_t>;
using TableId = Id<struct TableTag, std::uint16_t>;
using ZoneId = Id<struct ZoneTag, std::uint8_t>;
using PodId = Id<struct PodTag, std::uint16_t>;
using RequestClassId = Id<struct RequestClassTag, std::uint16_t>;
using BarrierId = Id<struct BarrierTag, std::uint16_t>;
/// Bit k stands for the product at place k.
using RequestClassSet = std::uint16_t;

// ---- what is read at start -------------------------------------------------------------------------------

enum class Idempotency : std::uint8_t { Idempotent, IdempotencyKeyed, NonIdempotent };
struct RequestClassConfig {
    Micros latencyObjective{};
    Micros deadline{};
    double priorityWeight = 0;
    double latePriorityWeight = 0;
    Idempotency idempotency = Idempotency::NonIdempotent;
    bool zoneLocal = false;
    bool writes = true;
};
struct ControlChannelLimits {
    double linesPerSecond = 0;
    double messageOverheadLines = 0;
    double maxQueuedLines = 0;
    std::uint32_t maxMessagesPerProxy = 0; ///< to one proxy within messagesOver; 0: no such limit
    Micros messageWindow{};
    Micros meanTransitTime{};
    Micros worstTransitTime{};
};
struct SafetyLimits {
    Micros maxTimeWithoutEndpoint{};
    Micros drainGracePeriod{};
    double coldCapacityFraction = 0;
    Micros warmUpDuration{};
    double overloadFactor = 0;
    Micros overloadDuration{};
    bool removalIsBinding = true; ///< false: only a server seen as draining must leave the tables
};
enum class ThrottleMode : std::uint8_t { None, Fraction, Rate };
struct ProxyFleetConfig {
    std::uint32_t proxyCount = 0;
    std::uint32_t bootstrapTableSize = 0;
    ThrottleMode throttleMode = ThrottleMode::None;
};
struct FleetConfig {
    std::uint8_t zoneCount = 1;
    std::uint32_t plannerCount = 1;
    bool hasEndpointWeights = false;
    bool mustSubscribeToEndpoints = false;
    bool probingAllowed = false;
    Micros reportInterval{};
    bool sharded = false; ///< tables belong to slices of keys: not served, every input is let pass
};

// ---- inputs ----------------------------------------------------------------------------------------------

enum class EndpointState : std::uint8_t { Removed, Ready, Draining };
struct EndpointUpdate {
    EndpointId id;
    EndpointState state = EndpointState::Removed;
    Micros startedAt{}; ///< zero: long ago
    double weight = 1;
    PodId pod;
    ZoneId zone;
};
enum class EndpointListUpdate : std::uint8_t { Cached, Delta, Snapshot, PollFailed };

struct LoadReport {
    std::optional<double> utilization;
    std::optional<double> queueLength;
    std::optional<double> inFlight;
    std::optional<double> serviceTimeMillis;
};
struct EndpointLoadReport {
    EndpointId endpoint;
    ZoneId proxyZone;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
    Micros meanLatency{}; ///< of the good ones; zero: there were none
    Micros interval{};
    LoadReport load;
};
struct DemandReport {
    ProxyId proxy;
    RequestClassId requestClass;
    std::uint32_t requests = 0;
    std::uint32_t unanswered = 0; ///< let in, yet without an answer
    Micros interval{};
};
enum class ProbeStatus : std::uint8_t { Answered, Error, Rejected, TimedOut, Unreachable, ProtocolError };
struct ProbeResult {
    EndpointId endpoint;
    ProbeStatus status = ProbeStatus::TimedOut;
    Micros latency{};
    LoadReport load;
};

// ---- orders ----------------------------------------------------------------------------------------------

enum class RetryPolicy : std::uint8_t { Never, AfterProofOfNoEffect, OnceOnFailure, TwiceOnFailure };

class RoutingUpdateSink {
public:
    virtual ~RoutingUpdateSink() = default;
    virtual void setWeight(TableId table, EndpointId server, double weight) = 0;
    virtual void assignTable(ProxyId proxy, RequestClassSet products, TableId table) = 0;
    virtual void setExcluded(EndpointId server, bool out) = 0;
    /// No table: for every joined proxy. The level is a share or a rate, as ProxyFleetConfig::throttle says.
    virtual void setAdmission(std::optional<TableId> table, RequestClassSet products, double level,
                              RetryPolicy) = 0;
    virtual void requestBarrier(BarrierId number, bool everyProxy) = 0;
    virtual void probe(EndpointId server) = 0;
    virtual void subscribeToEndpoints() = 0;
    virtual void scheduleWakeUp(Micros span) = 0;
    virtual void log(std::string_view line) = 0;
    /// The planner would know nothing more of a server that has ended. False: withdrawals can't be taken back
    /// for a server that is named anew, so it has to remember.
    virtual bool forgetEndpoint(EndpointId) { return false; }
    /// Lets back at a bound proxy those of its tables' servers, `most` at the most, that an earlier stream may have
    /// shut out there: a line each. False: there is none.
    virtual bool clearStaleExclusions(ProxyId, std::size_t /*most*/) { return false; }
    /// Lines that may still wait in the channel, and those that wait for room in it, as encoded. None: the
    /// caller can't tell, and they have to be reckoned. Whoever can tell keeps the limit of the queue by itself:
    /// orders that do not fit wait and merge.
    virtual std::optional<double> pendingLines() const { return {}; }
    /// Orders are held back that have no mark to go with.
    virtual bool needsBarrier() const { return false; }
    /// The proxy can be bound to another table of the same products later.
    virtual bool supportsReassignment(ProxyId) const { return false; }
};

class Planner {
public:
    virtual ~Planner() = default;
    /// Opens a batch, or moves the clock of the open one on; it only moves forward.
    virtual void beginBatch(Micros now) = 0;
    virtual void updateEndpoints(EndpointListUpdate news, std::span<const EndpointUpdate> entries) = 0;
    /// `onlyStanding`: it holds nothing but the short table that it started with.
    virtual void proxyJoined(ProxyId proxy, ZoneId zone, double usualRate, bool onlyStanding) = 0;
    virtual void proxyLeft(ProxyId proxy) = 0;
    virtual void reportLoad(const EndpointLoadReport& line) = 0;
    virtual void reportDemand(const DemandReport& line) = 0;
    virtual void barrierAcknowledged(ProxyId proxy, BarrierId number) = 0;
    virtual void probeCompleted(const ProbeResult& result) = 0;
    virtual void timerExpired() = 0;
    /// Closes the batch: what follows from it is ordered now.
    virtual void decide() = 0;
};

/// Each part of the start terms goes its own way; `sink` must outlive the planner.
std::unique_ptr<Planner> makePlanner(std::uint64_t seed, const FleetConfig& fleet,
                                     const ProxyFleetConfig& forwarders, const ControlChannelLimits& channel,
                                     const SafetyLimits& guards, std::span<const RequestClassConfig> products,
                                     RoutingUpdateSink& sink);

} // namespace zincstack

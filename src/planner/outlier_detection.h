// Outlier detection: decides which endpoints are healthy, suspect, unlisted, ejected or removed, from the
// endpoint list, load reports and health checks.
//
// Owns the health state machine and the load figures of the whole fleet. The state of each endpoint is in the
// EndpointRegistry; only this module changes its health. Ejections and readmissions are reported to the sink.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "planner/endpoint_registry.h"
#include "planner/fleet_load.h"
#include "planner/slow_start.h"
#include "planner/weighted_quantile.h"

namespace zincstack {

/// Events that can change the health of an endpoint.
enum class HealthEvent : std::uint8_t {
    Listed,            ///< the endpoint list names it as ready
    Restarted,         ///< the endpoint list names it as ready, with a later start time
    DrainStarted,      ///< the endpoint list names it as draining
    RemovedFromList,   ///< the endpoint list removed it, and removals are binding
    MissingFromList,   ///< the endpoint list removed it; a health check has to confirm that
    OutlierDetected,   ///< load reports show it as an outlier
    NoOutlierDetected, ///< load reports do not show it as an outlier
    ProbeFailed,       ///< a health check found it dead or hung
    ProbeSlow,         ///< a health check found it slow or under heavy load
    ProbeSucceeded,    ///< a health check found it healthy
    RecoveryConfirmed, ///< enough consecutive health checks succeeded
};

/// Actions that follow from a change of health.
enum class HealthAction : std::uint8_t {
    NoAction,
    AddToService, ///< begin slow start, or serve at full weight if the planner has just started
    StartProbing, ///< make a health check due now
    Eject,        ///< take it out of service
    ReduceWeight, ///< go down a slow-start step, for at least kMinReducedTime
    Readmit,      ///< put it in service again; begin slow start at the first step
};

/// Minimum number of attempts for which the figures of an endpoint, or of the fleet, are conclusive.
inline constexpr double kMinAttempts = 3;

/// Fraction of failed attempts from which an endpoint can count as failing.
inline constexpr double kOutlierFailureRatio = 0.5;

/// Time between two health checks of an endpoint, without jitter.
inline constexpr Micros kProbeInterval = std::chrono::seconds(1);

/// Runs the health state machine of each endpoint.
class OutlierDetector {
public:
    OutlierDetector(EndpointRegistry& endpoints, const SlowStart& slowStart, RoutingUpdateSink& sink,
                    const FleetConfig& fleet, const SafetyLimits& safety)
        : endpoints_(endpoints), slowStart_(slowStart), sink_(sink), fleet_(fleet), safety_(safety) {}

    /// Applies an endpoint list. `isComplete`: endpoints that it does not name have been removed.
    void updateEndpoints(bool isComplete, std::span<const EndpointUpdate> entries, Micros now);

    /// Adds a load report: the results of the attempts that the proxies of one zone sent to one endpoint. A
    /// report on an unknown endpoint is ignored.
    void reportLoad(const EndpointLoadReport& report);

    /// Evaluates the load reports of each endpoint and of the fleet, once per report interval. Returns the
    /// congestion of the median endpoint (0 to 1), or std::nullopt if no evaluation is due or too few
    /// attempts were reported. `meanLatencyObjective` is in seconds.
    std::optional<double> evaluateReports(double meanLatencyObjective, Micros now);

    /// Runs the health state machine for one endpoint. Does nothing if the state has no transition for the
    /// event, or if an ejection would exceed the limit on ejected weight.
    void handleEvent(EndpointIndex endpoint, HealthEvent event, Micros now);

    const FleetLoad& fleetLoad() const { return fleetLoad_; }

private:
    /// Figures of the endpoints in service for which attempts were reported, weighted by their target weight.
    struct FleetSamples {
        std::vector<WeightedSample> saturation; ///< fraction of attempts that fail or are late
        std::vector<WeightedSample> congestion; ///< the same, but failures count only if answers are slow
        double attempts = 0;
    };
    /// Fleet-wide figures that an endpoint is compared with.
    struct FleetBaseline {
        double totalTargetWeight;
        double reportsPerCycle;   ///< number of reports if each zone reports once on each endpoint
        double healthySaturation; ///< saturation that the healthiest third of the weight does not exceed
    };
    FleetSamples collectSamples(double meanLatencyObjective, double elapsedSeconds);
    void addSample(EndpointIndex endpoint, double meanLatencyObjective, double elapsedSeconds,
                   FleetSamples& samples);
    void evaluateEndpoint(EndpointIndex endpoint, const FleetBaseline& baseline, Micros now);
    bool isSilent(EndpointIndex endpoint, const FleetBaseline& baseline) const;
    bool isFailing(EndpointIndex endpoint) const;
    bool isSlow(EndpointIndex endpoint, const FleetBaseline& baseline, Micros now) const;

    void reportTransition(EndpointIndex endpoint, HealthState next);
    void perform(HealthAction action, EndpointIndex endpoint, Micros now);
    void holdWeight(EndpointIndex endpoint, bool isReduced, Micros now);
    void restartObservation(EndpointIndex endpoint, Micros now);
    bool mayEject(EndpointIndex endpoint) const;

    EndpointRegistry& endpoints_;
    const SlowStart& slowStart_;
    RoutingUpdateSink& sink_;
    const FleetConfig fleet_;
    const SafetyLimits safety_;
    FleetLoad fleetLoad_;
    Micros evaluatedAt_{};
    bool hasNewReports_ = false;
    double successesSinceEvaluation_ = 0;
    double reportCount_ = 0;  ///< of all endpoints
    double attemptCount_ = 0; ///< of all endpoints
    double attemptsAtLastEvaluation_ = 0;
    std::set<ZoneId> reportingZones_;
};

} // namespace zincstack

// Health checks: sends probes to endpoints that are suspect, unlisted or ejected, and evaluates the results.
//
// Owns the random numbers for the jitter of probe times. Results go to the OutlierDetector as health events.
#pragma once

#include <random>

#include "planner/outlier_detection.h"

namespace zincstack {

/// Sends probes when they are due and turns their results into health events.
class HealthChecker {
public:
    /// `shortestLatencyObjective`: the shortest of all request classes.
    HealthChecker(EndpointRegistry& endpoints, OutlierDetector& outliers, RoutingUpdateSink& sink,
                  bool probingAllowed, Micros shortestLatencyObjective, std::mt19937 random)
        : endpoints_(endpoints), outliers_(outliers), sink_(sink), probingAllowed_(probingAllowed),
          shortestLatencyObjective_(shortestLatencyObjective), random_(random) {}

    /// Probes each endpoint that is suspect, unlisted or ejected once per kProbeInterval plus jitter, with at
    /// most one probe in flight per endpoint. Does nothing if probing is not allowed.
    void startDueProbes(Micros now);

    /// Applies the result of a probe. Results for unknown endpoints and of rejected probes change no health.
    void probeCompleted(const ProbeResult& result, Micros now);

private:
    /// Also true if no attempts were reported.
    bool failsNearlyAllAttempts(EndpointIndex endpoint) const;
    bool isHung(EndpointIndex endpoint) const;
    bool isHeavilyLoaded(EndpointIndex endpoint, const ProbeResult& result) const;
    bool isDead(EndpointIndex endpoint, const ProbeResult& result) const;
    HealthEvent eventOf(EndpointIndex endpoint, const ProbeResult& result) const;

    EndpointRegistry& endpoints_;
    OutlierDetector& outliers_;
    RoutingUpdateSink& sink_;
    const bool probingAllowed_;
    const Micros shortestLatencyObjective_;
    std::mt19937 random_;
};

} // namespace zincstack

// Health checks: probes of endpoints that are suspect, unlisted or ejected, and what their results mean.
//
// Owns the random jitter of probe times. Results go to the OutlierDetector as health events.
#pragma once

#include <random>

#include "planner/outlier_detection.h"

namespace zincstack {

/// Sends probes when they are due and judges their results.
class HealthChecker {
public:
    /// `shortestLatencyObjective`: the strictest one of all request classes.
    HealthChecker(EndpointRegistry& endpoints, OutlierDetector& outliers, RoutingUpdateSink& sink,
                  bool probingAllowed, Micros shortestLatencyObjective, std::mt19937 random)
        : endpoints_(endpoints), outliers_(outliers), sink_(sink), probingAllowed_(probingAllowed),
          shortestLatencyObjective_(shortestLatencyObjective), random_(random) {}

    /// Probes each endpoint whose health is in doubt, once a kProbeInterval, one probe at a time.
    void startDueProbes(Micros now);

    /// Takes in a result; that of an endpoint that is not known is ignored.
    void probeCompleted(const ProbeResult& result, Micros now);

private:
    bool hasHardlyAnswered(EndpointIndex endpoint) const;
    bool isHung(EndpointIndex endpoint) const;
    bool isLoaded(EndpointIndex endpoint, const ProbeResult& result) const;
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

// Health of endpoints: outlier detection, health checks and slow start behind one interface for the planner.
//
// Owns the three modules; the state of each endpoint is in the EndpointRegistry.
#pragma once

#include <optional>
#include <random>
#include <span>

#include "planner/health_checks.h"
#include "planner/outlier_detection.h"
#include "planner/slow_start.h"

namespace zincstack {

/// Forwards each call to the module in charge, where the contracts are documented.
class HealthMonitor {
public:
    /// `canLimitAdmission`: proxies apply admission limits.
    HealthMonitor(EndpointRegistry& endpoints, RoutingUpdateSink& sink, const FleetConfig& fleet,
                  const SafetyLimits& safetyLimits, bool canLimitAdmission, Micros shortestLatencyObjective,
                  std::mt19937 random)
        : slowStart_(endpoints, safetyLimits, canLimitAdmission),
          outliers_(endpoints, slowStart_, sink, fleet, safetyLimits),
          checks_(endpoints, outliers_, sink, fleet.probingAllowed, shortestLatencyObjective, random) {}

    ~HealthMonitor() = default;
    HealthMonitor(const HealthMonitor&) = delete; // the modules hold references to each other
    HealthMonitor& operator=(const HealthMonitor&) = delete;

    void updateEndpoints(bool isComplete, std::span<const EndpointUpdate> entries, Micros now) {
        outliers_.updateEndpoints(isComplete, entries, now);
    }
    void reportLoad(const EndpointLoadReport& report) { outliers_.reportLoad(report); }
    std::optional<double> evaluateReports(double meanLatencyObjective, Micros now) {
        return outliers_.evaluateReports(meanLatencyObjective, now);
    }
    void startDueProbes(Micros now) { checks_.startDueProbes(now); }
    void probeCompleted(const ProbeResult& result, Micros now) { checks_.probeCompleted(result, now); }
    /// `mayStepUp`: a new round may begin.
    void advanceSlowStart(const AdmittedDemand& demand, bool mayStepUp, Micros now) {
        slowStart_.advance(outliers_.fleetLoad(), demand, mayStepUp, now);
    }
    double warmUpFraction(EndpointIndex endpoint, Micros now) const {
        return slowStart_.warmUpFraction(endpoint, now);
    }
    const FleetLoad& fleetLoad() const { return outliers_.fleetLoad(); }

private:
    SlowStart slowStart_;
    OutlierDetector outliers_;
    HealthChecker checks_;
};

} // namespace zincstack

// Admission control: how much of each request class is admitted, and when proxies retry.
//
// When the whole fleet is overloaded, no more is admitted than the most work that it has completed, adjusted by the
// overload that is seen since; the request class with the least priority weight for its latency objective gives way
// first. That helps against any overload: too many requests, dearer requests, lost endpoints. It does harm where half
// of the fleet is slow for another reason.
//
// Owns the admitted fractions; what was last ordered for a table is in the PlannedTable.
#pragma once

#include <vector>

#include "planner/control_channel.h"
#include "planner/planned_table.h"

namespace zincstack {

/// What admission control has to know of the fleet in a report interval.
struct FleetPerformance {
    double congestion =
        0; ///< fraction of the median endpoint's attempts that are late or fail beside late ones
    double attemptRate = 0; ///< reported attempts per second
    double successRate = 0; ///< of them, those that succeeded
    double totalTargetWeight = 0;
};

/// Decides which fraction of each request class is admitted and orders it for each table.
class AdmissionController {
public:
    AdmissionController(RoutingUpdateSink& sink, ThrottleMode mode, Micros reportInterval,
                        std::vector<RequestClassConfig> requestClasses);

    std::size_t requestClassCount() const { return requestClasses_.size(); }

    /// Mean latency objective in seconds of the requests that proxies receive.
    double meanLatencyObjective(const ProxyRegistry& proxies) const;

    /// Requests per second that are admitted.
    double admittedDemand(const ProxyRegistry& proxies) const;

    /// Begins, adjusts or ends load shedding, once a report interval. Reports the start and the end to the sink.
    void updateForOverload(const FleetPerformance& fleet, const ProxyRegistry& proxies);

    /// Orders the admission limits that have changed by more than a small part.
    void orderAdmission(std::vector<PlannedTable>& tables, const ProxyRegistry& proxies,
                        ControlChannel& channel);

private:
    /// What proxies receive: work is requests per second times their latency objective.
    struct OfferedLoad {
        std::vector<double> requestRates; ///< by request class
        double admittedRate = 0;
        double admittedWork = 0;
        double work = 0;
    };
    OfferedLoad measure(const ProxyRegistry& proxies) const;
    double latencyObjective(std::size_t requestClass) const;
    bool mustStartShedding(const FleetPerformance& fleet, const OfferedLoad& offered) const;
    void startShedding(const FleetPerformance& fleet, const OfferedLoad& offered);
    void adjustCapacityFactor(double congestion);
    void reportChange(bool wasShedding, const FleetPerformance& fleet, const OfferedLoad& offered);
    void distributeCuts(const FleetPerformance& fleet, const OfferedLoad& offered);
    double limitFor(double fraction, std::size_t requestClass, const ProxyRegistry& proxies) const;

    RoutingUpdateSink& sink_;
    const ThrottleMode mode_;
    const Micros reportInterval_;
    const std::vector<RequestClassConfig> requestClasses_;
    std::vector<std::size_t> cutOrder_;     ///< request classes, that which gives way first in front
    std::vector<double> admittedFractions_; ///< by request class
    bool isShedding_ = false;
    bool reportsCoverDemand_ = false; ///< reports have told of nearly all that is admitted
    Micros settlingTime_{};           ///< the capacity factor stays until this has passed
    double capacityFactor_ = 1;       ///< what is admitted, as a fraction of the best capacity
    double bestCapacity_ = 0;         ///< most work completed per second and unit of weight, slowly decaying
};

} // namespace zincstack

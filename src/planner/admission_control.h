// Admission control: determines the fraction of each request class that is admitted, and when proxies retry.
//
// While the whole fleet is overloaded, the admitted work is limited to the most work that the fleet has
// completed, multiplied by a factor. The factor falls while the congestion observed since is above its target
// and rises while it is below. The request class with the lowest ratio of priority weight to latency
// objective is shed first. This works against every cause of overload: more requests, more expensive
// requests, lost endpoints. It does harm if half of the fleet is slow for a reason other than load.
//
// Owns the admitted fractions; the limits last issued for a table are in its PlannedTable.
#pragma once

#include <vector>

#include "planner/control_channel.h"
#include "planner/fleet_load.h"
#include "planner/planned_table.h"

namespace zincstack {

/// Performance of the fleet in one report interval, as input to admission control.
struct FleetPerformance {
    /// Fraction of the median endpoint's attempts that are late, or that fail while its responses are slow.
    double congestion = 0;
    double attemptRate = 0;       ///< reported attempts per second
    double successRate = 0;       ///< reported successful attempts per second
    double totalTargetWeight = 0; ///< sum of the target weights of all endpoints
};

/// Decides which fraction of each request class is admitted and issues the limits for each table.
class AdmissionController {
public:
    AdmissionController(RoutingUpdateSink& sink, ThrottleMode mode, Micros reportInterval,
                        std::vector<RequestClassConfig> requestClasses);

    std::size_t requestClassCount() const { return requestClasses_.size(); }

    /// Mean latency objective of the requests that proxies receive, in seconds.
    double meanLatencyObjective(const ProxyRegistry& proxies) const;

    /// Requests per second that are admitted, without regard to limits during a warm-up.
    AdmittedDemand admittedDemand(const ProxyRegistry& proxies) const;

    /// Starts, adjusts or stops load shedding; called once per report interval. Reports the start and the
    /// stop to the sink.
    void updateForOverload(const FleetPerformance& fleet, const ProxyRegistry& proxies);

    /// Issues the admission limits that differ from those last issued by more than a small relative change.
    void issueAdmissionLimits(std::vector<PlannedTable>& tables, const ProxyRegistry& proxies,
                              ControlChannel& channel);

    /// Issues the limits of tables whose endpoints are warming up that are too high. To be called before any
    /// update of weights in the batch, so that no proxy gets these endpoints without the limit.
    void issueLowerWarmUpLimits(std::vector<PlannedTable>& tables, const ProxyRegistry& proxies,
                                ControlChannel& channel);

private:
    /// Load that proxies receive. Work is requests per second times their latency objective.
    struct OfferedLoad {
        std::vector<double> requestRates; ///< requests per second, by request class
        double admittedRate = 0;          ///< admitted requests per second
        double admittedWork = 0;
        double work = 0;
    };
    OfferedLoad offeredLoad(const ProxyRegistry& proxies) const;
    double latencyObjective(std::size_t requestClass) const;
    bool mustStartShedding(const FleetPerformance& fleet, const OfferedLoad& offered) const;
    void startShedding(const FleetPerformance& fleet, const OfferedLoad& offered);
    void adjustCapacityFactor(double congestion);
    void reportChange(bool wasShedding, const FleetPerformance& fleet, const OfferedLoad& offered);
    void updateAdmittedFractions(const FleetPerformance& fleet, const OfferedLoad& offered);
    double limitOf(const PlannedTable& table, std::size_t requestClass, const ProxyRegistry& proxies) const;
    double rateLimitFor(double fraction, std::vector<double> rates) const;
    /// Calls `issueLimit(table, requestClass, lastIssued)` for each request class of each table that may have
    /// a holder. `lastIssued` is negative if no limit has been issued.
    void forEachLimit(std::vector<PlannedTable>& tables, const auto& issueLimit) const;
    void issueLimit(PlannedTable& table, std::size_t requestClass, double limit, ControlChannel& channel);

    RoutingUpdateSink& sink_;
    const ThrottleMode mode_;
    const Micros reportInterval_;
    const std::vector<RequestClassConfig> requestClasses_;
    std::vector<std::size_t> sheddingOrder_; ///< request classes, the one that is shed first at the front
    std::vector<double> admittedFractions_;  ///< by request class
    bool isShedding_ = false;
    bool reportsCoverDemand_ = false; ///< load reports have once covered most of the admitted requests
    Micros remainingSettlingTime_{};  ///< the capacity factor is not adjusted before this has elapsed
    double capacityFactor_ = 1;       ///< admitted work as a fraction of the best capacity
    double bestCapacity_ = 0;         ///< most work completed per unit of target weight; decays slowly
};

} // namespace zincstack

// Limits what tables admit while nearly all of their endpoints are warming up.
//
// Slow start gives such endpoints low weights, but weights only divide a table's demand: if no endpoint of
// the table is warm, they all get their full share at any weight. So the demand itself is limited to what the
// endpoints can serve at their age. The limit rises as they warm up, and ends once the warm ones can carry
// the demand.
//
// Owns the estimates of what warm endpoints serve. Changes `warmUpFraction` of each PlannedTable; admission
// control issues the limits that follow from it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "planner/fleet_load.h"
#include "planner/planned_table.h"
#include "planner/served_rates.h"

namespace zincstack {

/// Decides which fraction of each table's demand its endpoints can serve at their age.
class WarmUpLimits {
public:
    /// `canLimitAdmission`: proxies apply admission limits; if not, no table is ever limited. The referenced
    /// objects must outlive it.
    WarmUpLimits(const EndpointRegistry& endpoints, const HealthMonitor& health, RoutingUpdateSink& sink,
                 const SafetyLimits& safety, bool canLimitAdmission, Micros reportInterval)
        : endpoints_(endpoints), health_(health), sink_(sink), safety_(safety),
          canLimitAdmission_(canLimitAdmission), rates_(endpoints, health, reportInterval) {}

    void reportLoad(const EndpointLoadReport& report, Micros now) { rates_.reportLoad(report, now); }
    /// Evaluates the load reports; to be called in each batch.
    void evaluateReports(Micros now) { rates_.evaluate(now); }
    /// Sets the tables' `warmUpFraction`. Returns the demand that slow start has to expect. Reports to the
    /// sink when limits start and stop.
    AdmittedDemand update(std::vector<PlannedTable>& tables, const AdmittedDemand& demand, Micros now);

private:
    /// The endpoints that may serve the same request classes: those of one zone, or all.
    struct EndpointPool {
        double listedWeight = 0;
        double warmWeight = 0; ///< listed weight of those that are warm
        double targetWeight = 0;
        double capacity = 0; ///< requests per second that they can serve at their age
    };
    struct Pools {
        EndpointPool fleet;
        std::map<ZoneId, EndpointPool> zones;
    };
    Pools findPools(Micros now) const;
    void estimateCapacities(Pools& pools, double totalDemand, Micros now) const;
    std::optional<double> assumedRate(const EndpointPool& fleet, double totalDemand) const;
    double admittedFraction(const EndpointPool& pool, double demand) const;
    void setFraction(std::vector<PlannedTable>& tables, std::optional<ZoneId> zoneLocalIn, double fraction);
    void reportChange(const PlannedTable& table);

    const EndpointRegistry& endpoints_;
    const HealthMonitor& health_;
    RoutingUpdateSink& sink_;
    const SafetyLimits safety_;
    const bool canLimitAdmission_;
    ServedRates rates_;
    std::set<TableId> limitedTables_; ///< full tables whose limit has been reported as started
};

} // namespace zincstack

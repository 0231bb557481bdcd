// What warm endpoints serve: the basis of the capacity that is assumed for endpoints that are warming up.
//
// Owns the estimates. They rest on the load reports of this planner's proxies, so a planner that has a part
// of the proxies estimates its part of each endpoint.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "planner/health_monitor.h"

namespace zincstack {

/// Estimates, for each zone, the requests per second that a warm endpoint serves per unit of listed weight.
class ServedRates {
public:
    ServedRates(const EndpointRegistry& endpoints, const HealthMonitor& health, Micros reportInterval)
        : endpoints_(endpoints), health_(health), reportInterval_(reportInterval) {}

    /// Adds a load report. Only reports on warm endpoints at full weight count.
    void reportLoad(const EndpointLoadReport& report, Micros now);
    /// Updates the estimates, once per report interval; does nothing if called more often.
    void evaluate(Micros now);
    /// The best smoothed rate of the zone, which decays slowly, so that it outlasts a loss of the zone. For a
    /// zone without an estimate, the mean of those that have one; std::nullopt if none has.
    std::optional<double> rateOf(ZoneId zone) const;

private:
    struct ZoneEstimate {
        double successes = 0;    ///< since the last evaluation
        double listedWeight = 0; ///< of the endpoints reported on since the last evaluation
        double smoothed = 0;
        double best = 0;
    };
    bool servesAtFullWeight(EndpointIndex endpoint, Micros now) const;

    const EndpointRegistry& endpoints_;
    const HealthMonitor& health_;
    const Micros reportInterval_;
    std::map<ZoneId, ZoneEstimate> zones_;
    std::vector<char> isCounted_; ///< by endpoint: its weight is in its zone's listedWeight
    Micros evaluatedAt_{};
};

} // namespace zincstack

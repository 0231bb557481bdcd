// Updates that wait for no round: an endpoint that ended, drains or was ejected leaves all tables, an
// endpoint that has just restarted loses weight, and no table stays without an endpoint. They bypass the
// capacity ledger; on the control channel they may use the part of the queue that is reserved for deadlines.
//
// Owns only the time at which exclusions were last repeated.
#pragma once

#include "planner/health_monitor.h"
#include "planner/routing_tables.h"

namespace zincstack {

/// Whether so many of a zone's endpoints are excluded that its proxies with inherited tables may run out of
/// them.
bool isDepleted(const EndpointRegistry& endpoints, ZoneId zone);

class UrgentUpdates {
public:
    UrgentUpdates(EndpointRegistry& endpoints, const HealthMonitor& health, const ProxyRegistry& proxies,
                  const ControlChannel& channel, RoutingTables& routing, RoutingUpdateSink& sink)
        : endpoints_(endpoints), health_(health), proxies_(proxies), channel_(channel), routing_(routing),
          sink_(sink) {}

    void order(bool channelIsIdle, Micros now);
    /// Excludes again, for proxies that joined since with an inherited table, what was excluded before:
    /// hundreds that join at once can't all be assigned a table within the drain grace period.
    void repeatExclusions(bool channelIsIdle, Micros now);

private:
    /// Forgets an endpoint that ended so long ago that no inherited table can name it. It bounds the size of
    /// the registry, and spares its lines at each join.
    void forgetIfUnreferenced(EndpointIndex index, Micros now);
    void lowerWeights(EndpointIndex index, bool outOfService, bool channelIsIdle, Micros now);
    void exclude(EndpointIndex index);
    void fillTablesWithoutEndpoint();
    Micros lastJoinWithInheritedTable() const;

    EndpointRegistry& endpoints_;
    const HealthMonitor& health_;
    const ProxyRegistry& proxies_;
    const ControlChannel& channel_;
    RoutingTables& routing_;
    RoutingUpdateSink& sink_;
    Micros exclusionsRepeatedAt_{};
};

} // namespace zincstack

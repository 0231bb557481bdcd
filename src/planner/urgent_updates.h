// Updates that do not wait for the update scheduler's rounds: endpoints that were removed, are draining or
// were ejected leave all tables, endpoints that have just restarted lose weight, and full tables without a
// usable endpoint are refilled. These updates bypass the capacity ledger. On the control channel they may use
// the queue capacity that is reserved for updates with a deadline, except for reductions of the weight of
// endpoints in service.
//
// Owns only the time at which exclusions were last repeated.
#pragma once

#include "planner/health_monitor.h"
#include "planner/routing_tables.h"

namespace zincstack {

/// Whether so many of the zone's endpoints are excluded that proxies with inherited tables may have no usable
/// endpoint left.
bool isZoneDepleted(const EndpointRegistry& endpoints, ZoneId zone);

/// Issues the urgent updates of each batch. The referenced objects must outlive it.
class UrgentUpdates {
public:
    UrgentUpdates(EndpointRegistry& endpoints, const HealthMonitor& health, const ProxyRegistry& proxies,
                  const ControlChannel& channel, RoutingTables& routing, RoutingUpdateSink& sink)
        : endpoints_(endpoints), health_(health), proxies_(proxies), channel_(channel), routing_(routing),
          sink_(sink) {}

    /// Issues all urgent updates except repeated exclusions, and drops the state of endpoints that ended long
    /// ago.
    void issueUrgentUpdates(bool channelIsIdle, Micros now);
    /// Repeats earlier exclusions for proxies that have joined with an inherited table since. If hundreds of
    /// proxies join at the same time, not all can be assigned a table within the drain grace period.
    void repeatExclusions(bool channelIsIdle, Micros now);

private:
    /// Forgets an endpoint that ended so long ago that no inherited table can name it. This bounds the size
    /// of the registry and saves the endpoint's lines whenever a proxy joins.
    void forgetIfUnreferenced(EndpointIndex index, Micros now);
    /// Lowers the endpoint's weight to its target in the tables where it is above. `awaitsExclusion`: the
    /// endpoint is out of service and not excluded yet, so these updates have a deadline.
    void lowerWeights(EndpointIndex index, bool awaitsExclusion, bool channelIsIdle, Micros now);
    void exclude(EndpointIndex index);
    void refillTablesWithoutUsableEndpoint();
    /// Time of the last join of a proxy that still uses its inherited table; negative if there is none.
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

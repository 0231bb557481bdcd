// Assignment of tables to proxies: a proxy that joins gets a subset table or the full tables of its zone.
//
// A proxy joins with an inherited table, which may name endpoints that have ended. It is assigned the full
// tables as soon as the control channel can carry them, in descending order of the proxies' request rate.
// While a proxy waits for them, it is assigned short subset tables, provided that the sink measures the
// channel and supports the reassignment of the proxy.
//
// Owns the random numbers of the subset tables. Changes `hasFullTable`, `subsetTables` and
// `staleExclusionsCleared` of each Proxy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "planner/health_monitor.h"
#include "planner/routing_tables.h"
#include "planner/subset_tables.h"

namespace zincstack {

/// Assigns full tables and subset tables to proxies. The referenced objects must outlive it.
class TableAssignment {
public:
    TableAssignment(EndpointRegistry& endpoints, const HealthMonitor& health, ProxyRegistry& proxies,
                    ControlChannel& channel, RoutingTables& routing, RoutingUpdateSink& sink,
                    std::uint32_t bootstrapTableSize, std::uint32_t seed)
        : endpoints_(endpoints), health_(health), proxies_(proxies), channel_(channel), routing_(routing),
          sink_(sink), subsets_(routing.tables, proxies, endpoints, bootstrapTableSize, seed) {}

    /// Assigns the full tables to proxies that lack them, until about `budgetLines` lines are spent.
    void assignFullTables(double budgetLines);
    /// Whether more proxies may be assigned full tables. Each endpoint that ends costs one line per proxy
    /// with full tables, and half of the queue must suffice for all endpoints that ended within a drain grace
    /// period. Always true if the sink does not measure the channel.
    bool mayAssignFullTables(Micros drainGracePeriod, Micros now) const;
    /// Assigns subset tables to each proxy that has an inherited table and supports reassignment. Also
    /// refills the subset tables with too few usable endpoints and empties those that no proxy holds.
    void assignSubsetTables(Micros now);
    /// Readmits, at proxies with full tables, the endpoints that earlier planners excluded there. This has
    /// the lowest priority: most of the lines change nothing, and without them a table lacks a few endpoints
    /// at worst.
    void clearStaleExclusions();

private:
    void assignFullTablesTo(ProxyId id, std::ptrdiff_t excludedCount);
    void assignSubsetsTo(ProxyId id, EndpointIndex fullTableCount);
    /// Returns a subset table for each full table of the proxy's zone, or std::nullopt if one of the full
    /// tables has no subset table with an endpoint.
    std::optional<std::vector<EndpointIndex>> chooseSubsets(const Proxy& proxy, EndpointIndex fullTableCount);
    /// Endpoints that subset tables may name: those that have warmed up, since an endpoint gets its full
    /// share of the requests as soon as a table names it. If there are none, those that are warming up.
    std::vector<EndpointIndex> usableEndpoints(const PlannedTable& fullTable, Micros now) const;
    void addEndpoints(const std::vector<SubsetTables::EndpointAddition>& additions);
    /// Empties the subset tables that no proxy holds, so that they can be reused for proxies that join later.
    void clearUnusedSubsets();
    /// Issues the full table's admission limits for a subset table that gets its first holder.
    void copyAdmission(const PlannedTable& fullTable, PlannedTable& subset);

    EndpointRegistry& endpoints_;
    const HealthMonitor& health_;
    ProxyRegistry& proxies_;
    ControlChannel& channel_;
    RoutingTables& routing_;
    RoutingUpdateSink& sink_;
    SubsetTables subsets_;
};

} // namespace zincstack

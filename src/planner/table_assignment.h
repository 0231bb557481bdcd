// Which tables the proxies hold: those that join get a subset table or the full tables of their zone.
//
// A proxy joins with an inherited table, which may name endpoints that have ended. It is assigned the full
// tables as soon as the control channel can carry them, the busiest proxy first. Where the sink measures the
// channel and so many join that this takes longer, each gets a short subset table at once. Owns the subset
// tables' random numbers; changes `hasFullTable`, `subsetTables` and `staleExclusionsCleared` of each Proxy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "planner/health_monitor.h"
#include "planner/routing_tables.h"
#include "planner/subset_tables.h"

namespace zincstack {

class TableAssignment {
public:
    TableAssignment(EndpointRegistry& endpoints, const HealthMonitor& health, ProxyRegistry& proxies,
                    ControlChannel& channel, RoutingTables& routing, RoutingUpdateSink& sink,
                    std::uint32_t bootstrapTableSize, std::uint32_t seed)
        : endpoints_(endpoints), health_(health), proxies_(proxies), channel_(channel), routing_(routing),
          sink_(sink), subsets_(routing.tables, proxies, endpoints, bootstrapTableSize, seed) {}

    /// Assigns the full tables to proxies without them, until about `budgetLines` are spent.
    void assignFullTables(double budgetLines);
    /// Whether more proxies may get full tables. Each endpoint that ends costs a line at each proxy that
    /// holds them: half of the queue has to suffice for all endpoints that ended within a drain grace period.
    bool mayAssignFullTables(Micros drainGracePeriod, Micros now) const;
    /// Assigns a subset table to each proxy with an inherited table, where the proxy supports reassignment.
    void assignSubsetTables(Micros now);
    /// Readmits at proxies with full tables the endpoints that earlier planners excluded there. Most of these
    /// lines change nothing, and without them a table lacks a few endpoints at worst: it comes after all
    /// else.
    void clearStaleExclusions();

private:
    void assignFullTablesTo(ProxyId id, std::ptrdiff_t excludedCount);
    void assignSubsetsTo(ProxyId id, EndpointIndex fullTableCount);
    /// The subset table for each full table of the proxy's zone; none if there is none with an endpoint for
    /// one.
    std::optional<std::vector<EndpointIndex>> chooseSubsets(const Proxy& proxy, EndpointIndex fullTableCount);
    /// Endpoints that may get their full share at once: those that have warmed up; others only where none
    /// has.
    std::vector<EndpointIndex> subsetEndpoints(const PlannedTable& fullTable, Micros now) const;
    void addEndpoints(const std::vector<SubsetTables::TableEndpoint>& additions);
    /// Empties subset tables that nobody holds any more, for those that join later.
    void clearUnusedSubsets();
    /// A subset table admits at first what its full table does.
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

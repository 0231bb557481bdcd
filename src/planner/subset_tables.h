// Deterministic subsetting: short tables for proxies that join while the control channel lacks the capacity
// to send full tables to all of them at the same time.
//
// A proxy joins with an inherited table, which may name endpoints that have ended since it was issued, even
// endpoints that this planner does not know. Excluding these endpoints costs one line each. A subset table
// replaces the inherited table for a few lines. It names few endpoints, so a rollout has to remove few from
// it. The endpoints of a full table are distributed over its subset tables, each to one of them if they
// divide evenly. The proxies are distributed over the subset tables by request rate, so that each endpoint
// gets its share.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "planner/planned_table.h"

namespace zincstack {

/// Chooses the endpoints of each subset table and the subset table of each proxy; the caller issues the
/// updates. Appends subset tables to `tables` and maintains their `holderCount` and `holderRate`. Tables are
/// identified by their index in `tables`.
class SubsetTables {
public:
    /// `tables` holds the full tables first. The referenced objects must outlive this object.
    SubsetTables(std::vector<PlannedTable>& tables, const ProxyRegistry& proxies,
                 const EndpointRegistry& endpoints, std::size_t endpointsPerTable, std::uint32_t seed)
        : tables_(tables), proxies_(proxies), endpoints_(endpoints), endpointsPerTable_(endpointsPerTable),
          random_(seed) {}

    /// An endpoint to add to a table.
    struct EndpointAddition {
        EndpointIndex table;
        EndpointIndex endpoint;
    };
    /// Distributes the endpoints over those subset tables of a full table that no proxy holds and that are
    /// therefore empty. Creates tables if there are fewer than the endpoints require. `usable`: the endpoints
    /// that subset tables may name.
    std::vector<EndpointAddition> distribute(EndpointIndex fullTable,
                                             const std::vector<EndpointIndex>& usable);
    /// Chooses additional endpoints for the held subset tables that have too few usable ones.
    std::vector<EndpointAddition> refill(EndpointIndex fullTable, const std::vector<EndpointIndex>& usable);
    /// Chooses the subset table with the lowest load per weight after adding a proxy of `requestRate`
    /// (requests per second), and counts the proxy as its holder. Returns std::nullopt if no subset table has
    /// an endpoint.
    std::optional<EndpointIndex> assign(EndpointIndex fullTable, double requestRate);
    /// Recomputes `holderCount` and `holderRate` of each subset table.
    void recountHolders();

private:
    bool hasEnoughEndpoints(const PlannedTable& table) const;
    std::vector<EndpointIndex> subsetsOf(EndpointIndex fullTable) const;
    EndpointIndex createSubset(EndpointIndex fullTable);

    std::vector<PlannedTable>& tables_;
    const ProxyRegistry& proxies_;
    const EndpointRegistry& endpoints_;
    const std::size_t endpointsPerTable_;
    std::mt19937 random_;
};

} // namespace zincstack

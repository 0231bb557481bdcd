// Deterministic subsetting: short tables for proxies that join while the control channel can't carry full
// tables for all of them at once.
//
// A proxy joins with an inherited table, which may name any endpoint that has ended since, known here or not.
// To exclude each of them costs a line an endpoint; a subset table replaces them all for a few lines, and
// leaves few lines to take back in a rollout. The endpoints of a zone's full table are distributed over its
// subset tables, each to one, and proxies over these by their request rate, so that each endpoint gets its
// share.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "planner/planned_table.h"

namespace zincstack {

/// Decides what subset tables name and who gets which; the caller orders it. Appends subset tables to
/// `tables`, and keeps their `holderCount` and `holderRate`. Tables are named by their place in `tables`.
class SubsetTables {
public:
    /// `tables` holds the full tables first. The references must outlive this object.
    SubsetTables(std::vector<PlannedTable>& tables, const ProxyRegistry& proxies,
                 const EndpointRegistry& endpoints, std::size_t endpointsPerTable, std::uint32_t seed)
        : tables_(tables), proxies_(proxies), endpoints_(endpoints), endpointsPerTable_(endpointsPerTable),
          random_(seed) {}

    /// An endpoint that is to be added to a table.
    struct TableEndpoint {
        EndpointIndex table;
        EndpointIndex endpoint;
    };
    /// Distributes the endpoints over those subset tables of a full table that no proxy holds, which are
    /// empty; creates as many tables as needed. `usable`: endpoints that may get their full share at once.
    std::vector<TableEndpoint> distribute(EndpointIndex fullTable, const std::vector<EndpointIndex>& usable);
    /// The endpoints that subset tables with too few usable ones get in addition.
    std::vector<TableEndpoint> refill(EndpointIndex fullTable, const std::vector<EndpointIndex>& usable);
    /// Chooses the subset table that is loaded least once a proxy of this request rate holds it, and counts
    /// the proxy as its holder. None: no subset table has an endpoint.
    std::optional<EndpointIndex> assign(EndpointIndex fullTable, double requestRate);
    /// Counts the holders of each subset table anew.
    void recount();

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

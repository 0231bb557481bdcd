// Starter tables: the short tables that proxies get first where there is no room in the channel to bind all that have
// joined to their whole table at once.
//
// A proxy joins with a table that an earlier planner wrote, which may name any server that has ended since, known here
// or not. Telling it of each of them costs a line a server; a starter table ends all of them at once for a few lines,
// and leaves few lines to take back in a release. The warm servers of a zone's whole table are dealt out over its
// starter tables, each to one, and proxies over the tables by their traffic, so that all servers get their shares.
#pragma once

#include <random>
#include <vector>

#include "planner/planned_table.h"
#include "planner/planner.h"

namespace zincstack {

class SubsetTables {
public:
    /// `rows`: servers in each; as many as a proxy's standing table may have. `tables` holds the whole tables first;
    /// starter tables are added behind them as they are needed.
    SubsetTables(std::vector<PlannedTable>& tables, ProxyRegistry& proxies, EndpointRegistry& servers,
                 std::size_t rows, std::uint32_t seed)
        : tables_(tables), proxies_(proxies), endpoints_(servers), endpointsPerTable_(rows), random_(seed) {}

    struct TableEndpoint {
        EndpointIndex table;
        EndpointIndex endpoint;
    };
    /// Deals the servers out over those tables of a whole table that no proxy holds, which are empty. `usable` are
    /// servers that may get their full part at once. Returns the rows that have to be added.
    std::vector<TableEndpoint> distribute(EndpointIndex whole, const std::vector<EndpointIndex>& usable);
    /// Tables with too few servers left, and the servers that they get in addition.
    std::vector<TableEndpoint> refill(EndpointIndex whole, const std::vector<EndpointIndex>& usable);
    /// The starter table of a whole table on which a proxy of that rate weighs least; none where there is none.
    std::optional<EndpointIndex> assign(EndpointIndex whole, double rate);
    /// Counts anew which starter tables are held, and by how much traffic.
    void recount();

private:
    bool hasEnoughEndpoints(const PlannedTable& table) const;
    std::vector<EndpointIndex> subsetsOf(EndpointIndex whole) const;

    std::vector<PlannedTable>& tables_;
    ProxyRegistry& proxies_;
    EndpointRegistry& endpoints_;
    const std::size_t endpointsPerTable_;
    std::mt19937 random_;
};

} // namespace zincstack

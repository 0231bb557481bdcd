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

#include "planner/planner.h"
#include "planner/state.h"

namespace zincstack {

class StarterTables {
public:
    /// `rows`: servers in each; as many as a proxy's standing table may have. `tables` holds the whole tables first;
    /// starter tables are added behind them as they are needed.
    StarterTables(std::vector<Table>& tables, Proxies& proxies, Servers& servers, std::size_t rows,
                  std::uint32_t seed)
        : tables_(tables), proxies_(proxies), servers_(servers), rows_(rows), chance_(seed) {}

    struct Row {
        EndpointIndex table;
        EndpointIndex server;
    };
    /// Deals the servers out over those tables of a whole table that no proxy holds, which are empty. `usable` are
    /// servers that may get their full part at once. Returns the rows that have to be added.
    std::vector<Row> deal(EndpointIndex whole, const std::vector<EndpointIndex>& usable);
    /// Tables with too few servers left, and the servers that they get in addition.
    std::vector<Row> refill(EndpointIndex whole, const std::vector<EndpointIndex>& usable);
    /// The starter table of a whole table on which a proxy of that rate weighs least; none where there is none.
    std::optional<EndpointIndex> assign(EndpointIndex whole, double rate);
    /// Counts anew which starter tables are held, and by how much traffic.
    void count();

private:
    bool holdsEnough(const Table& table) const;
    std::vector<EndpointIndex> startersOf(EndpointIndex whole) const;

    std::vector<Table>& tables_;
    Proxies& proxies_;
    Servers& servers_;
    const std::size_t rows_;
    std::mt19937 chance_;
};

} // namespace zincstack

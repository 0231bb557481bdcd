// The routing tables as last issued, their target weights, and the updates that bring the tables to these
// weights.
//
// An update carries an absolute weight, never an increment. The pending operations of a table are the
// differences between its installed and its target weights, so successive changes merge (the Coeus paper's
// Algorithm 3, Tables IV to VI).
//
// Owns the tables and charges the control channel for each update. The callers decide the order of updates.
#pragma once

#include <vector>

#include "planner/control_channel.h"
#include "planner/endpoint_registry.h"
#include "planner/planned_table.h"

namespace zincstack {

/// Time for which changes are coalesced before they are issued together: the window of the paper's rounds.
inline constexpr Micros kCoalescingWindow = std::chrono::milliseconds{500};

/// Holds all routing tables and issues their updates to the sink. The referenced objects must outlive it.
class RoutingTables {
public:
    RoutingTables(EndpointRegistry& endpoints, ControlChannel& channel, RoutingUpdateSink& sink,
                  double bootstrapTableSize)
        : endpoints_(endpoints), channel_(channel), sink_(sink), bootstrapTableSize_(bootstrapTableSize) {}

    /// Full tables first, then subset tables. A table's index is its id.
    std::vector<PlannedTable> tables;

    /// Creates the full tables: for each zone, one for the zone-local request classes and one for all others.
    /// Tables without request classes are omitted.
    void createFullTables(const std::vector<RequestClassConfig>& requestClasses, std::uint8_t zoneCount);
    /// Updates the tables' size and `inUse` for the endpoints and proxies that are known now.
    void beginBatch(const ProxyRegistry& proxies, Micros now);

    EndpointIndex fullTableCount() const;
    /// Target weight of the endpoint in the table. It is 0 for endpoints that a subset table does not name
    /// yet, since addEndpoint() adds those. In a full table it is 0 for all endpoints if the table is not in
    /// use, and for endpoints of other zones if the table is zone-local.
    double targetWeightIn(const PlannedTable& table, EndpointIndex index) const;
    /// Whether at least one full table differs from its target.
    bool hasPendingChanges() const;
    /// Whether every endpoint of the table has weight 0 or is excluded.
    bool hasNoUsableEndpoint(const PlannedTable& table) const;

    /// Issues the endpoint's target weight. Readmits an excluded endpoint if the weight is above 0.
    void installWeight(PlannedTable& table, EndpointIndex index);
    /// Adds the endpoint to a subset table.
    void addEndpoint(PlannedTable& table, EndpointIndex index);
    /// Removes all endpoints of a table that no proxy holds. The control channel is not charged, since no
    /// message is needed.
    void clear(PlannedTable& table);
    /// Excludes the endpoint at all proxies, or readmits it. Excluding an endpoint again notifies the proxies
    /// that joined since the last exclusion.
    void setExcluded(EndpointIndex index, bool excluded);

private:
    void issueWeight(PlannedTable& table, EndpointIndex index, double weight);

    EndpointRegistry& endpoints_;
    ControlChannel& channel_;
    RoutingUpdateSink& sink_;
    const double bootstrapTableSize_;
    Micros batchStartedAt_{};
};

} // namespace zincstack

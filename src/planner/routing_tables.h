// The routing tables as last ordered, their target weights, and the changes that bring one to the other.
//
// An update is always "this weight", never "more" or "less": what is not ordered yet is the difference
// between the installed and the target weight, so that pending operations of several changes merge (the
// paper's Algorithm 3, Tables IV to VI). Owns the tables; charges the control channel for each update.
// Decides nothing about their order.
#pragma once

#include <vector>

#include "planner/control_channel.h"
#include "planner/endpoint_registry.h"
#include "planner/planned_table.h"

namespace zincstack {

/// Changes gather for so long before they are ordered together: the window of the paper's rounds.
inline constexpr Micros kGatheringWindow = std::chrono::milliseconds{500};

class RoutingTables {
public:
    RoutingTables(EndpointRegistry& endpoints, ControlChannel& channel, RoutingUpdateSink& sink,
                  double bootstrapTableSize)
        : endpoints_(endpoints), channel_(channel), sink_(sink), bootstrapTableSize_(bootstrapTableSize) {}

    /// Full tables first, then subset tables; the place of a table is its id.
    std::vector<PlannedTable> tables;

    /// Creates the full tables: one for each zone, apart for zone-local and for all other request classes.
    void createFullTables(const std::vector<RequestClassConfig>& requestClasses, std::uint8_t zoneCount);
    /// Brings the tables up to date with the endpoints and proxies that are known now.
    void beginBatch(const ProxyRegistry& proxies, Micros now);

    EndpointIndex fullTableCount() const;
    /// The weight that the endpoint should have in the table. A subset table gains no endpoints this way, and
    /// a zone in which no proxy has joined needs none.
    double targetWeightIn(const PlannedTable& table, EndpointIndex index) const;
    /// Some full table differs from its target.
    bool hasPendingChanges() const;
    /// No endpoint of the table can be picked.
    bool isWithoutEndpoint(const PlannedTable& table) const;

    /// Orders the target weight; readmits the endpoint if it gets one.
    void installWeight(PlannedTable& table, EndpointIndex index);
    /// Adds the endpoint to a subset table.
    void addEndpoint(PlannedTable& table, EndpointIndex index);
    /// Removes all endpoints of a table that no proxy holds: no message needs to be sent for it.
    void clear(PlannedTable& table);
    /// Excludes the endpoint at all proxies or readmits it. To exclude it again notifies those that joined
    /// since.
    void setExcluded(EndpointIndex index, bool excluded);

private:
    void orderWeight(PlannedTable& table, EndpointIndex index, double weight);

    EndpointRegistry& endpoints_;
    ControlChannel& channel_;
    RoutingUpdateSink& sink_;
    const double bootstrapTableSize_;
    Micros batchStartedAt_{};
};

} // namespace zincstack

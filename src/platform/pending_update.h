// What has been ordered for one proxy and is not written on its stream yet. Later changes merge with earlier ones, so
// that the next message holds only the latest desired state. Also remembers which exclusions were ordered on the
// stream, so that none is repeated.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "platform/push_encoder.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// What a message is to contain if the channel has too little capacity for all that is pending: exclusions, removed
/// endpoints and the first table on the stream are urgent.
enum class UpdateScope : std::uint8_t { Complete, UrgentOnly };

class PendingUpdate {
public:
    PendingUpdate(ProxyId proxy, const routing::RoutingState& state, const NameRegistry& names)
        : proxy_(proxy), state_(state), names_(names) {}

    // Changes of the desired state. Those that don't concern the proxy are ignored.

    void weightChanged(TableId table, EndpointId endpoint, double weight);
    void tableAssigned(TableId table) { tables_[table].replacesTable = true; }
    void exclusionChanged(EndpointId endpoint, bool excluded);
    void admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses);
    void barrierRequested(BarrierId barrier) { barrier_ = barrier; }
    void endpointForgotten(EndpointId endpoint);
    /// Readmits endpoints of the proxy's tables about which nothing was ordered on this stream, at most
    /// `maxEndpoints`. False if there are none.
    bool clearStaleExclusions(std::size_t maxEndpoints);
    /// Schedules the complete desired state, because what the proxy has received is not known.
    void resynchronize();
    /// Adapts the pending changes to the present desired state: drops tables that are not assigned any more, and
    /// exclusions that a replaced table makes superfluous.
    void reconcile();

    // The next message.

    bool hasChanges() const {
        return !tables_.empty() || !fleetWideAdmission_.empty() || !exclusions_.empty() ||
               !readmissions_.empty();
    }
    /// Whether a rule with a deadline applies: exclusions, removed endpoints, the first table on the stream.
    bool isUrgent() const;
    /// Whether the endpoint's exclusion, or any change of its weight, is pending.
    bool mayRemove(EndpointId endpoint) const;
    const std::optional<BarrierId>& barrier() const { return barrier_; }
    /// Lines of the message as the protocol counts them, including its overhead and barrier.
    std::size_t countLines(UpdateScope scope) const;
    /// Moves the pending changes of the scope into a message. The barrier stays until `barrierWritten`.
    PushMessage takeMessage(UpdateScope scope);
    void barrierWritten() { barrier_.reset(); }

private:
    void setExcluded(EndpointId endpoint, bool excluded);
    bool replacesAnyTable() const;
    routing::AdmissionLimits effectiveAdmission(TableId table, RequestClassSet requestClasses) const;
    void reconcileExclusions(const routing::EndpointWeights& weights);
    void dropSuperfluousExclusions();
    std::size_t countLines(TableId table, const TableUpdate& update, UpdateScope scope) const;
    TableUpdate takeTable(TableId table, TableUpdate& update, UpdateScope scope, bool isFirstTable) const;

    ProxyId proxy_;
    const routing::RoutingState& state_;
    const NameRegistry& names_;

    std::map<TableId, TableUpdate> tables_;
    routing::AdmissionLimits fleetWideAdmission_; ///< ordered while no table is assigned
    std::set<EndpointId> exclusions_;
    std::set<EndpointId> readmissions_;
    std::optional<BarrierId> barrier_;

    /// Whether an endpoint was last excluded or readmitted on this stream. Absent: as earlier streams left it.
    std::map<EndpointId, bool> orderedExclusions_;
    bool hasTable_ = false; ///< a complete table has been written on this stream
};

} // namespace zincstack::net

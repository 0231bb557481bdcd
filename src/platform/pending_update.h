// The changes of one proxy's desired state that have not been written to its stream yet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "platform/push_encoder.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// Which of the pending changes a message contains. If the channel lacks capacity for all of them, only the
/// urgent ones are sent: exclusions, removed endpoints with the admission limits of their tables, and the
/// first table on the stream.
enum class UpdateScope : std::uint8_t { Complete, UrgentOnly };

/// Merges later changes with earlier ones, so that the next message contains only the latest desired state.
/// Also records which exclusions and readmissions were queued on the stream, so that none is sent twice.
class PendingUpdate {
public:
    PendingUpdate(ProxyId proxy, const routing::RoutingState& state, const NameRegistry& names)
        : proxy_(proxy), state_(state), names_(names) {}

    // Changes of the desired state. Changes that do not affect the proxy are ignored.

    void weightChanged(TableId table, EndpointId endpoint, double weight);
    void tableAssigned(TableId table) { tables_[table].replacesTable = true; }
    void exclusionChanged(EndpointId endpoint, bool excluded);
    /// Without a table the change is fleet-wide.
    void admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses);
    void barrierRequested(BarrierId barrier) { barrier_ = barrier; }
    void endpointForgotten(EndpointId endpoint);
    /// Readmits up to `maxEndpoints` endpoints of the proxy's tables that are not excluded and whose
    /// exclusion state was not set on this stream: the proxy may still exclude them because of an earlier
    /// stream. Returns false if there are none.
    bool clearStaleExclusions(std::size_t maxEndpoints);
    /// Marks the complete desired state as pending, because it is not known what the proxy has received.
    void resynchronize();
    /// Adapts the pending changes to the current desired state: drops tables that are no longer assigned,
    /// corrects outdated exclusions of the endpoints in pending tables, and drops exclusions that replacing
    /// the tables makes redundant.
    void reconcile();

    // The next message.

    bool hasChanges() const {
        return !tables_.empty() || !fleetWideAdmission_.empty() || !exclusions_.empty() ||
               !readmissions_.empty();
    }
    /// Whether changes with a deadline are pending: exclusions, removed endpoints or the first table on the
    /// stream.
    bool isUrgent() const;
    /// Whether the removal of the endpoint may be pending: its exclusion, or any change of its weight.
    bool mayRemove(EndpointId endpoint) const;
    const std::optional<BarrierId>& barrier() const { return barrier_; }
    /// Number of lines of the next message as the protocol counts them, including its overhead and barrier.
    std::size_t countLines(UpdateScope scope) const;
    /// Moves the pending changes of the scope into a message. The barrier stays pending until
    /// `barrierWritten`.
    PushMessage takeMessage(UpdateScope scope);
    void barrierWritten() { barrier_.reset(); }

private:
    void setExcluded(EndpointId endpoint, bool excluded);
    bool replacesAnyTable() const;
    routing::AdmissionLimits effectiveAdmission(TableId table, RequestClassSet requestClasses) const;
    void reconcileExclusions(const routing::EndpointWeights& weights);
    void dropRedundantExclusions();
    std::size_t countLines(TableId table, const TableUpdate& update, UpdateScope scope) const;
    TableUpdate takeTable(TableId table, TableUpdate& update, UpdateScope scope, bool isFirstTable) const;

    ProxyId proxy_;
    const routing::RoutingState& state_;
    const NameRegistry& names_;

    std::map<TableId, TableUpdate> tables_;
    routing::AdmissionLimits fleetWideAdmission_; ///< changed while no table is assigned
    std::set<EndpointId> exclusions_;
    std::set<EndpointId> readmissions_;
    std::optional<BarrierId> barrier_;

    /// The exclusion state that was last queued on this stream: true if excluded, false if readmitted. For an
    /// endpoint without an entry, the proxy keeps the state that it had before this stream.
    std::map<EndpointId, bool> lastExclusionState_;
    bool hasWrittenTable_ = false; ///< a complete table has been written on this stream
};

} // namespace zincstack::net

#include "platform/pending_update.h"

#include <algorithm>
#include <utility>

namespace zincstack::net {

namespace {

bool removesEndpoint(const routing::EndpointWeights::value_type& entry) { return entry.second <= 0; }

/// Moves the entries that remove an endpoint out of `weights` and returns them.
routing::EndpointWeights takeRemovals(routing::EndpointWeights& weights) {
    routing::EndpointWeights removals;
    for (const auto& entry : weights)
        if (removesEndpoint(entry)) removals.insert(entry);
    std::erase_if(weights, removesEndpoint);
    return removals;
}

} // namespace

// ---- changes of the desired state -------------------------------------------------------------------------

void PendingUpdate::weightChanged(TableId table, EndpointId endpoint, double weight) {
    if (state_.tablesOf(proxy_).contains(table)) tables_[table].weights[endpoint] = weight;
}

void PendingUpdate::exclusionChanged(EndpointId endpoint, bool excluded) {
    // Until the pending table is written, the proxy uses the previous one, which may contain any endpoint.
    const bool usesPreviousTable = excluded && hasWrittenTable_ && replacesAnyTable();
    if (usesPreviousTable || state_.mayRouteTo(proxy_, endpoint)) setExcluded(endpoint, excluded);
}

void PendingUpdate::setExcluded(EndpointId endpoint, bool excluded) {
    const auto previous = lastExclusionState_.find(endpoint);
    if (previous != lastExclusionState_.end() && previous->second == excluded) return;
    lastExclusionState_[endpoint] = excluded;
    (excluded ? readmissions_ : exclusions_).erase(endpoint);
    (excluded ? exclusions_ : readmissions_).insert(endpoint);
}

void PendingUpdate::admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) {
    const std::set<TableId>& assigned = state_.tablesOf(proxy_);
    const auto count = static_cast<std::uint16_t>(names_.requestClassCount());
    for (std::uint16_t k = 0; k < count; ++k) {
        const RequestClassId requestClass{k};
        if (!routing::contains(requestClasses, requestClass)) continue;
        if (!table && assigned.empty())
            fleetWideAdmission_[requestClass] = state_.fleetWideAdmission().at(requestClass);
        for (const TableId assignedTable : assigned) {
            const bool affected =
                table ? assignedTable == *table
                      : routing::contains(state_.table(assignedTable).requestClasses, requestClass);
            if (affected)
                tables_[assignedTable].admission[requestClass] =
                    *state_.effectiveAdmission(assignedTable, requestClass);
        }
    }
}

void PendingUpdate::endpointForgotten(EndpointId endpoint) {
    lastExclusionState_.erase(endpoint);
    exclusions_.erase(endpoint);
    readmissions_.erase(endpoint);
    for (auto& [table, update] : tables_) update.weights.erase(endpoint);
}

bool PendingUpdate::clearStaleExclusions(std::size_t maxEndpoints) {
    std::size_t cleared = 0;
    for (const TableId table : state_.tablesOf(proxy_))
        for (const auto& [endpoint, weight] : state_.table(table).weights) {
            if (cleared == maxEndpoints) return true;
            if (lastExclusionState_.contains(endpoint)) continue;
            if (state_.excludedEndpoints().contains(endpoint)) continue;
            setExcluded(endpoint, false);
            ++cleared;
        }
    return cleared > 0;
}

void PendingUpdate::resynchronize() {
    hasWrittenTable_ = false;
    const std::set<EndpointId>& excluded = state_.excludedEndpoints();
    for (const auto& [endpoint, wasExcluded] : std::exchange(lastExclusionState_, {}))
        setExcluded(endpoint, excluded.contains(endpoint));
    for (const TableId table : state_.tablesOf(proxy_)) tables_[table].replacesTable = true;
    for (const EndpointId endpoint : excluded)
        if (state_.mayRouteTo(proxy_, endpoint)) setExcluded(endpoint, true);
}

void PendingUpdate::reconcile() {
    const std::set<TableId>& assigned = state_.tablesOf(proxy_);
    std::erase_if(tables_, [&](const auto& entry) { return !assigned.contains(entry.first); });
    RequestClassSet replaced = 0;
    for (auto& [table, update] : tables_) {
        const routing::RoutingTable& desired = state_.table(table);
        update.requestClasses = desired.requestClasses;
        if (update.replacesTable) {
            replaced = routing::unionOf(replaced, update.requestClasses);
            update.admission = effectiveAdmission(table, update.requestClasses);
        }
        reconcileExclusions(update.replacesTable ? desired.weights : update.weights);
    }
    if (!hasWrittenTable_ && replaced == state_.allRequestClasses()) dropRedundantExclusions();
}

routing::AdmissionLimits PendingUpdate::effectiveAdmission(TableId table,
                                                           RequestClassSet requestClasses) const {
    routing::AdmissionLimits limits;
    const auto count = static_cast<std::uint16_t>(names_.requestClassCount());
    for (std::uint16_t k = 0; k < count; ++k) {
        const RequestClassId requestClass{k};
        if (!routing::contains(requestClasses, requestClass)) continue;
        if (const auto limit = state_.effectiveAdmission(table, requestClass)) limits[requestClass] = *limit;
    }
    return limits;
}

/// Corrects the exclusion state that the proxy may have for the endpoints that it is about to use. That
/// state may be outdated because of an earlier change on this stream, or because of an exclusion under the
/// endpoint's former id.
void PendingUpdate::reconcileExclusions(const routing::EndpointWeights& weights) {
    for (const auto& [endpoint, weight] : weights) {
        if (weight <= 0) continue;
        const bool excluded = state_.excludedEndpoints().contains(endpoint);
        if (excluded || lastExclusionState_.contains(endpoint) || names_.hadEarlierId(endpoint))
            setExcluded(endpoint, excluded);
    }
}

/// Called when the first tables of a stream cover all request classes: an endpoint that is in none of them
/// needs no exclusion.
void PendingUpdate::dropRedundantExclusions() {
    std::erase_if(exclusions_, [&](EndpointId endpoint) {
        if (state_.mayRouteTo(proxy_, endpoint)) return false;
        lastExclusionState_.erase(endpoint);
        return true;
    });
}

// ---- the next message -------------------------------------------------------------------------------------

bool PendingUpdate::replacesAnyTable() const {
    return std::ranges::any_of(tables_, [](const auto& entry) { return entry.second.replacesTable; });
}

bool PendingUpdate::isUrgent() const {
    if (!exclusions_.empty()) return true;
    return std::ranges::any_of(tables_, [&](const auto& entry) {
        const TableUpdate& update = entry.second;
        if (update.replacesTable) return !hasWrittenTable_;
        return std::ranges::any_of(update.weights, removesEndpoint);
    });
}

bool PendingUpdate::mayRemove(EndpointId endpoint) const {
    if (exclusions_.contains(endpoint)) return true;
    return std::ranges::any_of(tables_,
                               [&](const auto& entry) { return entry.second.weights.contains(endpoint); });
}

std::size_t PendingUpdate::countLines(UpdateScope scope) const {
    constexpr std::size_t kBarrierLines = 1;
    std::size_t lines = state_.messageOverheadLines() + kBarrierLines + exclusions_.size();
    for (const auto& [table, update] : tables_) lines += countLines(table, update, scope);
    if (scope == UpdateScope::UrgentOnly) return lines;
    return lines + readmissions_.size() + countAdmissionLines(fleetWideAdmission_);
}

std::size_t PendingUpdate::countLines(TableId table, const TableUpdate& update, UpdateScope scope) const {
    constexpr std::size_t kReplaceLines = 1;
    const bool urgentOnly = scope == UpdateScope::UrgentOnly;
    if (update.replacesTable) {
        if (urgentOnly && hasWrittenTable_) return 0;
        return kReplaceLines + state_.table(table).weights.size() + countAdmissionLines(update.admission);
    }
    if (urgentOnly) {
        const auto removals =
            static_cast<std::size_t>(std::ranges::count_if(update.weights, removesEndpoint));
        return removals > 0 ? removals + countAdmissionLines(update.admission) : 0;
    }
    return update.weights.size() + countAdmissionLines(update.admission);
}

PushMessage PendingUpdate::takeMessage(UpdateScope scope) {
    PushMessage message;
    const bool isFirstTable = !hasWrittenTable_;
    for (auto& [table, update] : tables_) {
        TableUpdate taken = takeTable(table, update, scope, isFirstTable);
        hasWrittenTable_ |= taken.replacesTable;
        if (!taken.empty()) message.tables.push_back(std::move(taken));
    }
    std::erase_if(tables_, [](const auto& entry) { return entry.second.empty(); });
    message.exclusions = std::exchange(exclusions_, {});
    message.barrier = barrier_;
    if (scope == UpdateScope::UrgentOnly) return message;
    if (!fleetWideAdmission_.empty())
        message.tables.push_back(
            {state_.allRequestClasses(), false, {}, std::exchange(fleetWideAdmission_, {})});
    message.readmissions = std::exchange(readmissions_, {});
    return message;
}

TableUpdate PendingUpdate::takeTable(TableId table, TableUpdate& update, UpdateScope scope,
                                     bool isFirstTable) const {
    const bool urgentOnly = scope == UpdateScope::UrgentOnly;
    if (update.replacesTable) {
        if (urgentOnly && !isFirstTable) return {};
        TableUpdate taken = std::exchange(update, {});
        taken.weights = state_.table(table).weights;
        return taken;
    }
    if (urgentOnly) {
        // What is removed moves its requests to the other endpoints, so the limits that follow from it go
        // along.
        auto removals = takeRemovals(update.weights);
        if (removals.empty()) return {};
        return {update.requestClasses, false, std::move(removals), std::exchange(update.admission, {})};
    }
    return std::exchange(update, {});
}

} // namespace zincstack::net

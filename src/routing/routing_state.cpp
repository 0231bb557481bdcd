#include "routing/routing_state.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "log/log.h"

namespace zincstack::routing {

namespace {

/// Writes a planner event to the log, with the names of endpoints instead of their ids.
struct EventLogger {
    const net::NameRegistry& names;
    std::string_view name;

    void operator()(const EndpointEjected& event) const { logEndpoint(event); }
    void operator()(const EndpointReadmitted& event) const { logEndpoint(event); }
    void operator()(const LoadSheddingStarted& event) const { logShedding(event); }
    void operator()(const LoadSheddingStopped& event) const { logShedding(event); }
    void operator()(const UpdateDeadlock& event) const {
        log::info(name, {{"table", event.table.value}, {"rate_limit_fraction", event.rateLimitFraction}});
    }
    void operator()(const WarmUpLimitStarted& event) const {
        log::info(name, {{"table", event.table.value}, {"admitted_fraction", event.admittedFraction}});
    }
    void operator()(const WarmUpLimitStopped& event) const {
        log::info(name, {{"table", event.table.value}});
    }

private:
    void logEndpoint(const auto& event) const {
        log::info(name, {{"endpoint", names.nameOf(event.endpoint)},
                         {"attempts", event.attempts},
                         {"failures", event.failures}});
    }
    void logShedding(const auto& event) const {
        log::info(
            name,
            {{"demand", event.demand}, {"best_capacity", event.bestCapacity}, {"overload", event.overload}});
    }
};

} // namespace

RoutingState::RoutingState(net::NameRegistry& names, net::Counters& counters,
                           std::function<void(EndpointId)> startProbe,
                           std::function<void(Micros)> scheduleWakeUp, const ControlChannelLimits& channel)
    : names_(names), counters_(counters), startProbe_(std::move(startProbe)),
      scheduleWakeUp_(std::move(scheduleWakeUp)),
      messageOverheadLines_(static_cast<std::size_t>(std::ceil(channel.messageOverheadLines))),
      credit_(channel) {}

void RoutingState::addTransport(UpdateTransport& transport) { transports_.push_back(&transport); }

void RoutingState::removeTransport(UpdateTransport& transport) {
    std::erase(transports_, &transport);
    counters_.checkInvariant(std::ranges::none_of(
        proxies_, [&](const auto& entry) { return entry.second.transport == &transport; }));
}

// ---- joined proxies ---------------------------------------------------------------------------------------

bool RoutingState::proxyJoined(ProxyId proxy, ZoneId zone, UpdateTransport& transport) {
    const auto previous = proxies_.find(proxy);
    const bool hadSession = previous != proxies_.end();
    if (hadSession) previous->second.transport->sessionReplaced(proxy);
    credit_.sessionOpened(proxy);
    proxies_.insert_or_assign(proxy, JoinedProxy{&transport, zone});
    return hadSession;
}

bool RoutingState::isJoinedThrough(ProxyId proxy, const UpdateTransport& transport) const {
    const auto found = proxies_.find(proxy);
    return found != proxies_.end() && found->second.transport == &transport;
}

bool RoutingState::proxyLeft(ProxyId proxy, const UpdateTransport& transport) {
    if (!isJoinedThrough(proxy, transport)) return false;
    credit_.sessionEnded(proxy);
    proxies_.erase(proxy);
    return true;
}

// ---- flow control -----------------------------------------------------------------------------------------

double RoutingState::transportUnacknowledgedLines() const {
    double lines = 0;
    for (const UpdateTransport* transport : transports_) lines += transport->unacknowledgedLines();
    return lines;
}

ChannelCredit::Admission RoutingState::checkCredit(ProxyId proxy, std::size_t lines, Urgency urgency) const {
    return credit_.check(proxy, static_cast<double>(lines), urgency, transportUnacknowledgedLines(), now_);
}

void RoutingState::messageWritten(ProxyId proxy, BarrierId barrier, std::size_t lines) {
    const bool joined = proxies_.contains(proxy);
    counters_.checkInvariant(joined);
    if (!joined) return;
    credit_.messageWritten(proxy, barrier, static_cast<double>(lines), now_);
}

bool RoutingState::barrierAcknowledged(ProxyId proxy, BarrierId barrier) {
    return credit_.acknowledged(proxy, barrier);
}

std::optional<double> RoutingState::pendingLines() const {
    double lines = credit_.unacknowledgedLines() + transportUnacknowledgedLines();
    for (const UpdateTransport* transport : transports_) lines += transport->deferredLines();
    return lines;
}

bool RoutingState::needsBarrier() const {
    return std::ranges::any_of(transports_,
                               [](const UpdateTransport* transport) { return transport->needsBarrier(); });
}

// ---- desired state ----------------------------------------------------------------------------------------

const std::set<TableId>& RoutingState::tablesOf(ProxyId proxy) const {
    static const std::set<TableId> kNoTables;
    const auto found = proxies_.find(proxy);
    return found == proxies_.end() ? kNoTables : found->second.tables;
}

std::optional<AdmissionLimit> RoutingState::effectiveAdmission(TableId table,
                                                               RequestClassId requestClass) const {
    const AdmissionLimits& tableLimits = tables_.at(table).admission;
    const auto tableLimit = tableLimits.find(requestClass);
    const auto fleetLimit = fleetWideAdmission_.find(requestClass);
    const bool hasTableLimit = tableLimit != tableLimits.end();
    if (fleetLimit == fleetWideAdmission_.end())
        return hasTableLimit ? std::optional(tableLimit->second) : std::nullopt;
    if (!hasTableLimit) return fleetLimit->second;
    return AdmissionLimit{std::min(tableLimit->second.limit, fleetLimit->second.limit),
                          tableLimit->second.retryPolicy};
}

bool RoutingState::mayRouteTo(ProxyId proxy, EndpointId endpoint) const {
    const std::set<TableId>& assigned = tablesOf(proxy);
    return assigned.empty() || std::ranges::any_of(assigned, [&](TableId table) {
               return tables_.at(table).weights.contains(endpoint);
           });
}

void RoutingState::setWeight(TableId table, EndpointId endpoint, double weight) {
    EndpointWeights& weights = tables_[table].weights;
    if (weight > 0)
        weights[endpoint] = weight;
    else
        weights.erase(endpoint);
    for (UpdateTransport* transport : transports_) transport->weightChanged(table, endpoint, weight);
}

void RoutingState::assignTable(ProxyId proxy, RequestClassSet requestClasses, TableId table) {
    const auto found = proxies_.find(proxy);
    counters_.checkInvariant(found != proxies_.end());
    if (found == proxies_.end()) return;
    JoinedProxy& joined = found->second;
    RoutingTable& assigned = tables_[table];
    assigned.requestClasses = requestClasses ? requestClasses : allRequestClasses();
    assigned.zone = joined.zone;
    std::erase_if(joined.tables, [&](TableId other) {
        return other != table && intersects(tables_.at(other).requestClasses, assigned.requestClasses);
    });
    joined.tables.insert(table);
    joined.transport->tableAssigned(proxy, table);
}

void RoutingState::setExcluded(EndpointId endpoint, bool excluded) {
    if (excluded)
        excluded_.insert(endpoint);
    else
        excluded_.erase(endpoint);
    for (UpdateTransport* transport : transports_) transport->exclusionChanged(endpoint, excluded);
}

void RoutingState::setAdmission(std::optional<TableId> table, RequestClassSet requestClasses, double limit,
                                RetryPolicy retryPolicy) {
    const RequestClassSet affected = requestClasses ? requestClasses : allRequestClasses();
    const auto count = static_cast<std::uint16_t>(names_.requestClassCount());
    for (std::uint16_t k = 0; k < count; ++k) {
        const RequestClassId requestClass{k};
        if (!contains(affected, requestClass)) continue;
        AdmissionLimits& limits = table ? tables_[*table].admission : fleetWideAdmission_;
        limits[requestClass] = {limit, retryPolicy};
    }
    for (UpdateTransport* transport : transports_) transport->admissionChanged(table, affected);
}

void RoutingState::requestBarrier(BarrierId barrier, bool everyProxy) {
    for (UpdateTransport* transport : transports_) transport->barrierRequested(barrier, everyProxy);
}

bool RoutingState::forgetEndpoint(EndpointId endpoint) {
    const bool undelivered = std::ranges::any_of(transports_, [&](const UpdateTransport* transport) {
        return transport->hasUndeliveredRemoval(endpoint);
    });
    if (undelivered) return false;
    excluded_.erase(endpoint);
    for (UpdateTransport* transport : transports_) transport->endpointForgotten(endpoint);
    names_.forget(endpoint);
    return true;
}

bool RoutingState::clearStaleExclusions(ProxyId proxy, std::size_t maxEndpoints) {
    const auto found = proxies_.find(proxy);
    return found != proxies_.end() && found->second.transport->clearStaleExclusions(proxy, maxEndpoints);
}

bool RoutingState::supportsReassignment(ProxyId proxy) const {
    const auto found = proxies_.find(proxy);
    return found != proxies_.end() && found->second.transport->supportsReassignment();
}

void RoutingState::report(const PlannerEvent& event) {
    std::visit(EventLogger{names_, eventName(event)}, event);
}

void RoutingState::flush(Micros now) {
    now_ = now;
    credit_.giveUpOverdueMessages(now);
    for (UpdateTransport* transport : transports_) transport->flush();
}

} // namespace zincstack::routing

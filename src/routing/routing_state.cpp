#include "routing/routing_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "log/log.h"

namespace zincstack::routing {

RoutingState::RoutingState(net::NameRegistry& names, net::Counters& counters,
                           std::function<void(EndpointId)> probe, std::function<void(Micros)> wake,
                           const ControlChannelLimits& channel)
    : names_(names), counters_(counters), probe_(std::move(probe)), wake_(std::move(wake)),
      headLines_(static_cast<std::size_t>(std::ceil(channel.messageOverheadLines))), credit_(channel) {}

void RoutingState::addTransport(UpdateTransport& front) { fronts_.push_back(&front); }

void RoutingState::removeTransport(UpdateTransport& front) {
    std::erase(fronts_, &front);
    counters_.checkInvariant(
        std::ranges::none_of(members_, [&](auto& one) { return one.second.front == &front; }));
}

bool RoutingState::proxyJoined(ProxyId proxy, ZoneId zone, UpdateTransport& front) {
    const auto before = members_.find(proxy);
    const bool had = before != members_.end();
    if (had) before->second.front->sessionReplaced(proxy);
    credit_.sessionOpened(proxy);
    members_.insert_or_assign(proxy, Member{&front, zone});
    return had;
}

bool RoutingState::owns(ProxyId proxy, const UpdateTransport& front) const {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front == &front;
}

bool RoutingState::proxyLeft(ProxyId proxy, const UpdateTransport& front) {
    if (!owns(proxy, front)) return false;
    credit_.sessionEnded(proxy);
    members_.erase(proxy);
    return true;
}

double RoutingState::elsewhere() const {
    double lines = 0;
    for (const UpdateTransport* front : fronts_) lines += front->unacknowledgedLines();
    return lines;
}

ChannelCredit::Admission RoutingState::checkCredit(ProxyId proxy, std::size_t lines, Urgency urgency) const {
    return credit_.check(proxy, static_cast<double>(lines), urgency, elsewhere(), now_);
}

void RoutingState::messageWritten(ProxyId proxy, BarrierId number, std::size_t lines) {
    const auto found = members_.find(proxy);
    counters_.checkInvariant(found != members_.end());
    if (found == members_.end()) return;
    credit_.messageWritten(proxy, number, static_cast<double>(lines), now_);
}

/// Guards against an answer that names a mark of another time: the ledger would take as gone what still waits.
bool RoutingState::barrierAcknowledged(ProxyId proxy, BarrierId number) {
    return credit_.acknowledged(proxy, number);
}

const std::set<TableId>& RoutingState::tablesOf(ProxyId proxy) const {
    static const std::set<TableId> kNone;
    const auto found = members_.find(proxy);
    return found == members_.end() ? kNone : found->second.tables;
}

std::optional<AdmissionLimit> RoutingState::effectiveAdmission(TableId table, RequestClassId product) const {
    const auto& own = tables_.at(table).admission;
    const auto at = own.find(product), all = everywhere_.find(product);
    if (all == everywhere_.end()) return at == own.end() ? std::nullopt : std::optional(at->second);
    if (at == own.end()) return all->second;
    return AdmissionLimit{std::min(at->second.limit, all->second.limit), at->second.retryPolicy};
}

bool RoutingState::mayRouteTo(ProxyId proxy, EndpointId server) const {
    const auto& bound = tablesOf(proxy);
    return bound.empty() || std::ranges::any_of(bound, [&](TableId table) {
               return tables_.at(table).weights.contains(server);
           });
}

void RoutingState::setWeight(TableId table, EndpointId server, double weight) {
    auto& standing = tables_[table].weights;
    if (weight > 0)
        standing[server] = weight;
    else
        standing.erase(server);
    for (auto* front : fronts_) front->weightChanged(table, server, weight);
}

void RoutingState::assignTable(ProxyId proxy, RequestClassSet products, TableId table) {
    const auto found = members_.find(proxy);
    counters_.checkInvariant(found != members_.end()); // only joined proxies are bound
    if (found == members_.end()) return;
    tables_[table].requestClasses = products ? products : allRequestClasses();
    tables_[table].zone = found->second.zone;
    std::erase_if(found->second.tables, [&](TableId other) {
        return other != table && (tables_.at(other).requestClasses & tables_[table].requestClasses) != 0;
    });
    found->second.tables.insert(table);
    found->second.front->tableAssigned(proxy, table);
}

void RoutingState::setExcluded(EndpointId server, bool out) {
    if (out)
        withdrawn_.insert(server);
    else
        withdrawn_.erase(server);
    for (auto* front : fronts_) front->exclusionChanged(server, out);
}

void RoutingState::setAdmission(std::optional<TableId> table, RequestClassSet products, double level,
                                RetryPolicy tries) {
    for (std::uint16_t p = 0; p < names_.requestClassCount(); ++p)
        if (!products || (products >> p & 1U))
            (table ? tables_[*table].admission : everywhere_)[{p}] = {level, tries};
    for (auto* front : fronts_) front->admissionChanged(table, products ? products : allRequestClasses());
}

void RoutingState::requestBarrier(BarrierId number, bool everyProxy) {
    for (auto* front : fronts_) front->barrierRequested(number, everyProxy);
}

/// Guards against a removal that waits for room in the channel while its server is forgotten: nobody would be told.
bool RoutingState::forgetEndpoint(EndpointId server) {
    if (std::ranges::any_of(
            fronts_, [&](const UpdateTransport* front) { return front->hasUndeliveredRemoval(server); }))
        return false;
    withdrawn_.erase(server);
    for (auto* front : fronts_) front->endpointForgotten(server);
    names_.forget(server);
    return true;
}

bool RoutingState::clearStaleExclusions(ProxyId proxy, std::size_t most) {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front->clearStaleExclusions(proxy, most);
}

std::optional<double> RoutingState::pendingLines() const {
    double lines = credit_.unacknowledgedLines() + elsewhere();
    for (const UpdateTransport* front : fronts_) lines += front->deferredLines();
    return lines;
}

bool RoutingState::needsBarrier() const {
    return std::ranges::any_of(fronts_, [](const UpdateTransport* front) { return front->needsBarrier(); });
}

bool RoutingState::supportsReassignment(ProxyId proxy) const {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front->supportsReassignment();
}

void RoutingState::log(std::string_view line) { log::info("planner", {{"says", line}}); }

void RoutingState::flush(Micros now) {
    now_ = now;
    credit_.detectSilentSessions(now);
    for (auto* front : fronts_) front->flush();
}

} // namespace zincstack::routing

#include "platform/update_queue.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace zincstack::net {

UpdateQueue::UpdateQueue(routing::RoutingState& state, const NameRegistry& names, Counters& counters)
    : state_(state), names_(names), counters_(counters) {
    state_.addTransport(*this);
}

UpdateQueue::~UpdateQueue() {
    for (const auto& [proxy, session] : sessions_) state_.proxyLeft(proxy, *this);
    state_.removeTransport(*this);
}

// ---- sessions ---------------------------------------------------------------------------------------------

bool UpdateQueue::hasNewerSession(ProxyId proxy, const PushStream& stream) const {
    const auto found = sessions_.find(proxy);
    return found != sessions_.end() && found->second.stream->acceptOrder() > stream.acceptOrder();
}

bool UpdateQueue::sessionOpened(ProxyId proxy, ZoneId zone, PushStream& stream) {
    const bool hadSession = state_.proxyJoined(proxy, zone, *this);
    sessions_.erase(proxy);
    sessions_.emplace(proxy, Session{&stream, PendingUpdate(proxy, state_, names_)});
    statistics_.streamOpened();
    log::debug("stream_opened", {{"proxy", proxy.value}, {"zone", zone.value}, {"replaces", hadSession}});
    return hadSession;
}

bool UpdateQueue::ownsSession(ProxyId proxy, const PushStream& stream) const {
    const auto found = sessions_.find(proxy);
    return found != sessions_.end() && found->second.stream == &stream;
}

bool UpdateQueue::sessionClosed(ProxyId proxy, const PushStream& stream) {
    if (!ownsSession(proxy, stream)) return false;
    statistics_.streamClosed();
    log::debug("stream_closed", {{"proxy", proxy.value}});
    sessions_.erase(proxy);
    return state_.proxyLeft(proxy, *this);
}

void UpdateQueue::inputReceived(ProxyId proxy, const PushStream& stream, Micros now) {
    if (ownsSession(proxy, stream)) state_.inputReceived(proxy, now);
}

void UpdateQueue::unusableAcknowledgementReceived(ProxyId proxy) {
    log::debug("unusable_acknowledgement", {{"proxy", proxy.value}});
    state_.unusableAcknowledgementReceived(proxy);
}

bool UpdateQueue::barrierAcknowledged(ProxyId proxy, BarrierId barrier) {
    if (!state_.barrierAcknowledged(proxy, barrier)) return false;
    statistics_.barrierAcknowledged();
    log::debug("barrier_acknowledged", {{"proxy", proxy.value}, {"barrier", barrier.value}});
    return true;
}

void UpdateQueue::sessionReplaced(ProxyId proxy) {
    const auto found = sessions_.find(proxy);
    counters_.checkInvariant(found != sessions_.end());
    if (found == sessions_.end()) return;
    statistics_.streamReplaced();
    log::debug("stream_replaced", {{"proxy", proxy.value}});
    found->second.stream->onReplaced();
    sessions_.erase(found);
}

// ---- changes of the desired state -------------------------------------------------------------------------

void UpdateQueue::weightChanged(TableId table, EndpointId endpoint, double weight) {
    for (auto& [proxy, session] : sessions_) session.pending.weightChanged(table, endpoint, weight);
}

void UpdateQueue::tableAssigned(ProxyId proxy, TableId table) {
    sessions_.at(proxy).pending.tableAssigned(table);
}

void UpdateQueue::exclusionChanged(EndpointId endpoint, bool excluded) {
    for (auto& [proxy, session] : sessions_) session.pending.exclusionChanged(endpoint, excluded);
}

void UpdateQueue::admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) {
    for (auto& [proxy, session] : sessions_) session.pending.admissionChanged(table, requestClasses);
}

void UpdateQueue::barrierRequested(BarrierId barrier, bool everyProxy) {
    for (auto& [proxy, session] : sessions_)
        if (everyProxy || session.pending.hasChanges()) session.pending.barrierRequested(barrier);
}

void UpdateQueue::endpointForgotten(EndpointId endpoint) {
    for (auto& [proxy, session] : sessions_) session.pending.endpointForgotten(endpoint);
}

bool UpdateQueue::hasUndeliveredRemoval(EndpointId endpoint) const {
    return std::ranges::any_of(sessions_,
                               [&](const auto& entry) { return entry.second.pending.mayRemove(endpoint); });
}

bool UpdateQueue::clearStaleExclusions(ProxyId proxy, std::size_t maxEndpoints) {
    const auto found = sessions_.find(proxy);
    return found != sessions_.end() && found->second.pending.clearStaleExclusions(maxEndpoints);
}

// ---- writing ----------------------------------------------------------------------------------------------

/// Returns the sessions that have something to write, urgent ones first, then the oldest. Before that,
/// resynchronizes the proxies that have caught up and adapts pending updates to the current desired state.
std::vector<UpdateQueue::Candidate> UpdateQueue::prepareCandidates() {
    std::vector<Candidate> candidates;
    for (auto& [proxy, session] : sessions_) {
        PendingUpdate& pending = session.pending;
        if (session.isLagging && session.stream->idle()) {
            counters_.add(Counter::Resyncs);
            session.isLagging = false;
            pending.resynchronize();
        }
        if (session.isLagging || (!pending.hasChanges() && !pending.barrier())) continue;
        if (!session.pendingSince) session.pendingSince = state_.now();
        pending.reconcile();
        const Urgency urgency = pending.isUrgent() ? Urgency::Deadline : Urgency::Ordinary;
        candidates.push_back({urgency, *session.pendingSince, proxy});
    }
    std::ranges::sort(candidates);
    return candidates;
}

void UpdateQueue::flush() {
    deferredLines_ = 0;
    needsBarrier_ = false;
    // The highest urgency for which the channel was found full; updates that are no more urgent wait too.
    std::optional<Urgency> fullFor;
    for (const Candidate& candidate : prepareCandidates()) {
        Session& session = sessions_.at(candidate.proxy);
        const bool mayFit = !fullFor || candidate.urgency < *fullFor;
        const WriteResult result =
            mayFit ? write(candidate.proxy, session, candidate.urgency) : WriteResult::ChannelFull;
        if (result == WriteResult::ChannelFull)
            fullFor = fullFor ? std::min(*fullFor, candidate.urgency) : candidate.urgency;
        if (!session.pending.hasChanges()) continue;
        needsBarrier_ |= !session.pending.barrier();
        // Updates that wait for their own proxy do not count as load on the channel, because one unresponsive
        // proxy must not delay the others.
        if (result != WriteResult::ProxyBlocked)
            deferredLines_ += session.pending.countLines(UpdateScope::Complete);
    }
    updateStatistics();
}

/// Writes the complete pending update or, if the channel lacks capacity for it, only the urgent changes.
UpdateQueue::WriteResult UpdateQueue::write(ProxyId proxy, Session& session, Urgency urgency) {
    const WriteResult result = write(proxy, session, urgency, UpdateScope::Complete);
    if (result != WriteResult::ChannelFull || urgency != Urgency::Deadline) return result;
    return write(proxy, session, urgency, UpdateScope::UrgentOnly);
}

UpdateQueue::WriteResult UpdateQueue::write(ProxyId proxy, Session& session, Urgency urgency,
                                            UpdateScope scope) {
    PendingUpdate& pending = session.pending;
    // A message needs a barrier, because only the barrier's acknowledgement returns the message's credit.
    if (!pending.barrier()) return WriteResult::ProxyBlocked;
    const BarrierId barrier = *pending.barrier();
    const std::size_t lines = pending.countLines(scope);
    switch (state_.checkCredit(proxy, lines, urgency)) {
    case ChannelCredit::Admission::ProxyBlocked: return WriteResult::ProxyBlocked;
    case ChannelCredit::Admission::QueueFull: return WriteResult::ChannelFull;
    case ChannelCredit::Admission::Granted: break;
    }
    const EncodedPush encoded = encodePush(pending.takeMessage(scope), names_);
    counters_.checkInvariant(encoded.lines.total() + state_.messageOverheadLines() == lines);
    counters_.checkInvariant(encoded.partCount <= kMaxPartsPerMessage);
    session.isLagging = !session.stream->push(encoded.bytes);
    if (session.isLagging) return WriteResult::ProxyBlocked;
    recordWritten(proxy, barrier, encoded, lines);
    pending.barrierWritten();
    if (!pending.hasChanges()) session.pendingSince.reset();
    return WriteResult::Written;
}

void UpdateQueue::recordWritten(ProxyId proxy, BarrierId barrier, const EncodedPush& encoded,
                                std::size_t lines) {
    counters_.add(Counter::Messages);
    counters_.add(Counter::Parts, encoded.partCount);
    counters_.add(Counter::OrderLines, encoded.lines.total());
    statistics_.messageWritten(encoded.lines);
    log::debug("message_written", {{"proxy", proxy.value},
                                   {"barrier", barrier.value},
                                   {"weights", encoded.lines.weights},
                                   {"exclusions", encoded.lines.exclusions},
                                   {"lines", lines}});
    state_.messageWritten(proxy, barrier, lines);
}

void UpdateQueue::updateStatistics() {
    statistics_.sampleUnacknowledgedLines(state_.unacknowledgedLines());
    if (!statistics_.isDue(state_.now())) return;
    const auto unassigned = std::ranges::count_if(
        sessions_, [&](const auto& entry) { return state_.tablesOf(entry.first).empty(); });
    const auto stalled = std::ranges::count_if(sessions_, [&](const auto& entry) {
        return entry.second.pending.hasChanges() && state_.isStalled(entry.first);
    });
    statistics_.logInterval(state_.now(), {.unacknowledgedLines = state_.unacknowledgedLines(),
                                           .deferredLines = deferredLines_,
                                           .joinedProxies = sessions_.size(),
                                           .unassignedProxies = static_cast<std::size_t>(unassigned),
                                           .stalledProxies = static_cast<std::size_t>(stalled)});
}

} // namespace zincstack::net

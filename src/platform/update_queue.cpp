#include "platform/update_queue.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace zincstack::net {

UpdateQueue::UpdateQueue(routing::RoutingState& book, const NameRegistry& names, Counters& counters)
    : book_(book), names_(names), counters_(counters) {
    book_.addTransport(*this);
}

UpdateQueue::~UpdateQueue() {
    for (const auto& [id, held] : held_) book_.proxyLeft(id, *this);
    book_.removeTransport(*this);
}

bool UpdateQueue::sessionOpened(ProxyId proxy, ZoneId zone, PushStream& stream) {
    const bool had = book_.proxyJoined(proxy, zone, *this);
    held_.insert_or_assign(proxy, Held{&stream});
    report_.streamOpened();
    log::debug("stream_opened", {{"proxy", proxy.value}, {"zone", zone.value}, {"had_another", had}});
    return had;
}

bool UpdateQueue::ownsSession(ProxyId proxy, const PushStream& stream) const {
    const auto found = held_.find(proxy);
    return found != held_.end() && found->second.stream == &stream;
}

bool UpdateQueue::sessionClosed(ProxyId proxy, const PushStream& stream) {
    if (!ownsSession(proxy, stream)) return false;
    report_.streamEnded();
    log::debug("stream_ended", {{"proxy", proxy.value}});
    return held_.erase(proxy) && book_.proxyLeft(proxy, *this);
}

bool UpdateQueue::barrierAcknowledged(ProxyId proxy, BarrierId number) {
    if (!book_.barrierAcknowledged(proxy, number)) return false;
    report_.answered();
    log::debug("answered", {{"proxy", proxy.value}, {"mark", number.value}});
    return true;
}

void UpdateQueue::sessionReplaced(ProxyId proxy) {
    const auto found = held_.find(proxy);
    counters_.checkInvariant(found != held_.end());
    if (found == held_.end()) return;
    report_.takenOver();
    log::debug("stream_replaced", {{"proxy", proxy.value}});
    found->second.stream->replaced();
    held_.erase(found);
}

void UpdateQueue::weightChanged(TableId table, EndpointId server, double weight) {
    for (auto& [id, held] : held_)
        if (book_.tablesOf(id).contains(table)) held.parts[table].lines[server] = weight;
}

void UpdateQueue::tableAssigned(ProxyId proxy, TableId table) { held_.at(proxy).parts[table].whole = true; }

/// A server is shut out or let back where the stream was not told the same before.
void UpdateQueue::tell(Held& held, EndpointId server, bool out) {
    const auto told = held.shut.find(server);
    if (told != held.shut.end() && told->second == out) return;
    held.shut[server] = out;
    (out ? held.letNow : held.shutNow).erase(server);
    (out ? held.shutNow : held.letNow).insert(server);
}

/// A proxy whose next table is not written yet goes on with the one before, which may name any server.
void UpdateQueue::exclusionChanged(EndpointId server, bool out) {
    for (auto& [id, held] : held_) {
        const bool former = out && held.hasTable && held.replacesTable();
        if (former || book_.mayRouteTo(id, server)) tell(held, server, out);
    }
}

void UpdateQueue::admissionChanged(std::optional<TableId> table, RequestClassSet products) {
    for (std::uint16_t p = 0; p < names_.requestClassCount(); ++p) {
        const RequestClassId product{p};
        if (!(products >> p & 1U)) continue;
        for (auto& [id, held] : held_) {
            const auto& bound = book_.tablesOf(id);
            if (!table && bound.empty()) held.loose[product] = book_.fleetWideAdmission().at(product);
            for (const TableId one : bound)
                if (table ? one == *table : (book_.table(one).requestClasses >> p & 1U) != 0)
                    held.parts[one].levels[product] = *book_.effectiveAdmission(one, product);
        }
    }
}

void UpdateQueue::barrierRequested(BarrierId number, bool everyProxy) {
    for (auto& [id, held] : held_)
        if (everyProxy || held.concerned()) held.mark = number;
}

void UpdateQueue::endpointForgotten(EndpointId server) {
    for (auto& [id, held] : held_) {
        held.shut.erase(server);
        for (auto* now : {&held.shutNow, &held.letNow}) now->erase(server);
        for (auto& [table, part] : held.parts) part.lines.erase(server);
    }
}

bool UpdateQueue::hasUndeliveredRemoval(EndpointId server) const {
    return std::ranges::any_of(held_, [&](const auto& one) {
        const Held& held = one.second;
        if (!held.concerned()) return false;
        return held.shutNow.contains(server) || std::ranges::any_of(held.parts, [&](const auto& part) {
                   return part.second.lines.contains(server);
               });
    });
}

bool UpdateQueue::clearStaleExclusions(ProxyId proxy, std::size_t most) {
    const auto found = held_.find(proxy);
    if (found == held_.end()) return false;
    Held& held = found->second;
    std::size_t more = 0;
    for (const TableId table : book_.tablesOf(proxy))
        for (const auto& [server, weight] : book_.table(table).weights) {
            if (more == most) return true;
            if (held.shut.contains(server) || book_.excludedEndpoints().contains(server)) continue;
            tell(held, server, false);
            ++more;
        }
    return more > 0;
}

// ---- writing ----------------------------------------------------------------------------------------------

bool UpdateQueue::Held::replacesTable() const {
    return std::ranges::any_of(parts, [](const auto& one) { return one.second.whole; });
}

/// A rule's time limit runs for withdrawals, lines that are taken out, and the first table on a stream.
bool UpdateQueue::Held::urgent() const {
    if (!shutNow.empty()) return true;
    return std::ranges::any_of(parts, [&](const auto& one) {
        const TableUpdate& part = one.second;
        if (part.whole) return !hasTable;
        return std::ranges::any_of(part.lines, [](const auto& line) { return line.second <= 0; });
    });
}

/// Everything that waits, in the order in which it is to be written.
std::vector<UpdateQueue::Candidate> UpdateQueue::candidates() {
    std::vector<Candidate> out;
    for (auto& [id, held] : held_) {
        if (held.behind && held.stream->idle()) resync(id, held);
        if (held.behind || (!held.concerned() && !held.mark)) continue;
        if (!held.since) held.since = book_.now();
        prepare(id, held);
        out.push_back({held.urgent() ? Urgency::Deadline : Urgency::Ordinary, *held.since, id});
    }
    std::ranges::sort(out);
    return out;
}

void UpdateQueue::flush() {
    linesHeldBack_ = 0;
    needsMark_ = false;
    std::optional<Urgency> full; // what is no more urgent than this finds the queue full
    for (const Candidate& one : candidates()) {
        Held& held = held_.at(one.proxy);
        const bool mayFit = !full || one.urgency < *full;
        const Outcome outcome = mayFit ? write(one.proxy, held, one.urgency) : Outcome::QueueFull;
        if (outcome == Outcome::QueueFull) full = full ? std::min(*full, one.urgency) : one.urgency;
        if (!held.concerned()) continue;
        needsMark_ |= !held.mark;
        // What waits for its own proxy is no load on the channel: others must not wait for one that stands still.
        if (outcome != Outcome::Waits) linesHeldBack_ += countLines(held, Scope::All);
    }
    report();
}

/// All of it; where the queue is too full for that, what can't wait.
UpdateQueue::Outcome UpdateQueue::write(ProxyId proxy, Held& held, Urgency urgency) {
    const Outcome outcome = write(proxy, held, urgency, Scope::All);
    if (outcome != Outcome::QueueFull || urgency != Urgency::Deadline) return outcome;
    return write(proxy, held, urgency, Scope::UrgentOnly);
}

UpdateQueue::Outcome UpdateQueue::write(ProxyId proxy, Held& held, Urgency urgency, Scope scope) {
    if (!held.mark) return Outcome::Waits;
    const std::size_t lines = countLines(held, scope);
    switch (book_.checkCredit(proxy, lines, urgency)) {
    case ChannelCredit::Admission::ProxyBlocked: return Outcome::Waits;
    case ChannelCredit::Admission::QueueFull: return Outcome::QueueFull;
    case ChannelCredit::Admission::Granted: break;
    }
    const PushMessage message = take(held, scope);
    const EncodedPush written = encodePush(message, names_);
    counters_.checkInvariant(written.lines.total() + book_.messageOverheadLines() == lines);
    counters_.checkInvariant(written.parts <= kPartsMost);
    held.behind = !held.stream->push(written.bytes);
    if (held.behind) return Outcome::Waits;
    counters_.add(Counter::Messages);
    counters_.add(Counter::Parts, written.parts);
    counters_.add(Counter::OrderLines, written.lines.total());
    report_.written(written.lines);
    log::debug("message", {{"proxy", proxy.value},
                           {"mark", held.mark->value},
                           {"rows", written.lines.rows},
                           {"withdrawals", written.lines.withdrawals},
                           {"lines", lines}});
    book_.messageWritten(proxy, *held.mark, lines);
    held.mark.reset();
    if (!held.concerned()) held.since.reset();
    return Outcome::Written;
}

/// Brings what waits in line with what stands now: tables that were bound over are left out, and so is the shutting
/// out of servers that the first table does not name. Servers that the tables name are told as they stand.
void UpdateQueue::prepare(ProxyId proxy, Held& held) {
    const auto& bound = book_.tablesOf(proxy);
    std::erase_if(held.parts, [&](const auto& one) { return !bound.contains(one.first); });
    RequestClassSet replaced = 0;
    for (auto& [table, part] : held.parts) {
        const routing::RoutingTable& standing = book_.table(table);
        part.products = standing.requestClasses;
        if (part.whole) {
            replaced = static_cast<RequestClassSet>(replaced | part.products);
            part.levels.clear();
            for (std::uint16_t p = 0; p < names_.requestClassCount(); ++p)
                if (const auto level = book_.effectiveAdmission(table, {p});
                    level && (part.products >> p & 1U))
                    part.levels[{p}] = *level;
        }
        for (const auto& [server, weight] : part.whole ? standing.weights : part.lines) {
            const bool shut = book_.excludedEndpoints().contains(server);
            if (weight > 0 && (shut || held.shut.contains(server) || names_.wasForgotten(server)))
                tell(held, server, shut);
        }
    }
    if (held.hasTable || replaced != book_.allRequestClasses()) return;
    std::erase_if(held.shutNow, [&](EndpointId server) {
        const bool named = book_.mayRouteTo(proxy, server);
        if (!named) held.shut.erase(server);
        return !named;
    });
}

/// As the protocol counts them, the head and the mark among them.
std::size_t UpdateQueue::countLines(const Held& held, Scope scope) const {
    std::size_t lines = book_.messageOverheadLines() + 1 + held.shutNow.size();
    if (scope == Scope::All) lines += held.letNow.size() + linesOf(held.loose);
    for (const auto& [table, part] : held.parts) {
        if (scope == Scope::UrgentOnly && part.whole && held.hasTable) continue;
        if (part.whole)
            lines += 1 + book_.table(table).weights.size() + linesOf(part.levels);
        else if (scope == Scope::All)
            lines += part.lines.size() + linesOf(part.levels);
        else
            lines += static_cast<std::size_t>(
                std::ranges::count_if(part.lines, [](const auto& line) { return line.second <= 0; }));
    }
    return lines;
}

/// The message, which is not held any more; what the scope leaves out still is.
PushMessage UpdateQueue::take(Held& held, Scope scope) {
    PushMessage out;
    const bool first = !held.hasTable;
    for (auto& [table, part] : held.parts) {
        TableUpdate taken = takePart(table, part, scope, first);
        held.hasTable |= taken.whole;
        if (taken.whole || !taken.lines.empty() || !taken.levels.empty())
            out.tables.push_back(std::move(taken));
    }
    std::erase_if(held.parts, [](const auto& one) {
        return !one.second.whole && one.second.lines.empty() && one.second.levels.empty();
    });
    out.shut = std::exchange(held.shutNow, {});
    out.mark = held.mark;
    if (scope == Scope::UrgentOnly) return out;
    if (!held.loose.empty())
        out.tables.push_back({book_.allRequestClasses(), false, {}, std::exchange(held.loose, {})});
    out.let = std::exchange(held.letNow, {});
    return out;
}

TableUpdate UpdateQueue::takePart(TableId table, TableUpdate& part, Scope scope, bool first) {
    TableUpdate out{part.products, false, {}, {}};
    if (part.whole) {
        if (scope == Scope::UrgentOnly && !first) return out;
        out = std::exchange(part, {});
        out.lines = book_.table(table).weights;
        return out;
    }
    if (scope == Scope::All) return std::exchange(part, {});
    for (const auto& [server, weight] : part.lines)
        if (weight <= 0) out.lines.emplace(server, weight);
    std::erase_if(part.lines, [](const auto& line) { return line.second <= 0; });
    return out;
}

/// What was told on the stream is not known any more: all that may have been is said again.
void UpdateQueue::resync(ProxyId proxy, Held& held) {
    counters_.add(Counter::Resyncs);
    held.behind = false;
    held.hasTable = false;
    for (const auto& [server, before] : std::exchange(held.shut, {}))
        tell(held, server, book_.excludedEndpoints().contains(server));
    for (const TableId table : book_.tablesOf(proxy)) held.parts[table].whole = true;
    for (const EndpointId server : book_.excludedEndpoints())
        if (book_.mayRouteTo(proxy, server)) tell(held, server, true);
}

void UpdateQueue::report() {
    report_.sample(book_.unacknowledgedLines());
    if (!report_.due(book_.now())) return;
    const auto unbound =
        std::ranges::count_if(held_, [&](const auto& one) { return book_.tablesOf(one.first).empty(); });
    report_.tell(book_.now(), {.unanswered = book_.unacknowledgedLines(),
                               .heldBack = linesHeldBack_,
                               .joined = held_.size(),
                               .unbound = static_cast<std::size_t>(unbound)});
}

} // namespace zincstack::net

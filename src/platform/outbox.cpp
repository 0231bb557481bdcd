#include "platform/outbox.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace zincstack::net {

Outbox::Outbox(orders::OrderBook& book, const Names& names, Counters& counters)
    : book_(book), names_(names), counters_(counters) {
    book_.add(*this);
}

Outbox::~Outbox() {
    for (const auto& [id, held] : held_) book_.left(id, *this);
    book_.remove(*this);
}

bool Outbox::joined(ProxyId proxy, ZoneId zone, PushTarget& stream) {
    const bool had = book_.joined(proxy, zone, *this);
    held_.insert_or_assign(proxy, Held{&stream});
    report_.streamOpened();
    log::debug("stream_opened", {{"proxy", proxy.value}, {"zone", zone.value}, {"had_another", had}});
    return had;
}

bool Outbox::owns(ProxyId proxy, const PushTarget& stream) const {
    const auto found = held_.find(proxy);
    return found != held_.end() && found->second.stream == &stream;
}

bool Outbox::left(ProxyId proxy, const PushTarget& stream) {
    if (!owns(proxy, stream)) return false;
    report_.streamEnded();
    log::debug("stream_ended", {{"proxy", proxy.value}});
    return held_.erase(proxy) && book_.left(proxy, *this);
}

bool Outbox::answered(ProxyId proxy, MarkId number) {
    if (!book_.answered(proxy, number)) return false;
    report_.answered();
    log::debug("answered", {{"proxy", proxy.value}, {"mark", number.value}});
    return true;
}

void Outbox::replaced(ProxyId proxy) {
    const auto found = held_.find(proxy);
    counters_.holds(found != held_.end());
    if (found == held_.end()) return;
    report_.takenOver();
    log::debug("stream_replaced", {{"proxy", proxy.value}});
    found->second.stream->replaced();
    held_.erase(found);
}

void Outbox::lineSet(TableId table, ServerId server, double weight) {
    for (auto& [id, held] : held_)
        if (book_.tablesOf(id).contains(table)) held.parts[table].lines[server] = weight;
}

void Outbox::bound(ProxyId proxy, TableId table) { held_.at(proxy).parts[table].whole = true; }

/// A server is shut out or let back where the stream was not told the same before.
void Outbox::tell(Held& held, ServerId server, bool out) {
    const auto told = held.shut.find(server);
    if (told != held.shut.end() && told->second == out) return;
    held.shut[server] = out;
    (out ? held.letNow : held.shutNow).erase(server);
    (out ? held.shutNow : held.letNow).insert(server);
}

/// A proxy whose next table is not written yet goes on with the one before, which may name any server.
void Outbox::withdrawn(ServerId server, bool out) {
    for (auto& [id, held] : held_) {
        const bool former = out && held.hasTable && held.replacesTable();
        if (former || book_.mayPick(id, server)) tell(held, server, out);
    }
}

void Outbox::levelSet(std::optional<TableId> table, ProductSet products) {
    for (std::uint16_t p = 0; p < names_.products(); ++p) {
        const ProductId product{p};
        if (!(products >> p & 1U)) continue;
        for (auto& [id, held] : held_) {
            const auto& bound = book_.tablesOf(id);
            if (!table && bound.empty()) held.loose[product] = book_.everywhere().at(product);
            for (const TableId one : bound)
                if (table ? one == *table : (book_.table(one).products >> p & 1U) != 0)
                    held.parts[one].levels[product] = *book_.levelAt(one, product);
        }
    }
}

void Outbox::marked(MarkId number, bool everyProxy) {
    for (auto& [id, held] : held_)
        if (everyProxy || held.concerned()) held.mark = number;
}

void Outbox::forgotten(ServerId server) {
    for (auto& [id, held] : held_) {
        held.shut.erase(server);
        for (auto* now : {&held.shutNow, &held.letNow}) now->erase(server);
        for (auto& [table, part] : held.parts) part.lines.erase(server);
    }
}

bool Outbox::owesRemoval(ServerId server) const {
    return std::ranges::any_of(held_, [&](const auto& one) {
        const Held& held = one.second;
        if (!held.concerned()) return false;
        return held.shutNow.contains(server) || std::ranges::any_of(held.parts, [&](const auto& part) {
                   return part.second.lines.contains(server);
               });
    });
}

bool Outbox::letBack(ProxyId proxy, std::size_t most) {
    const auto found = held_.find(proxy);
    if (found == held_.end()) return false;
    Held& held = found->second;
    std::size_t more = 0;
    for (const TableId table : book_.tablesOf(proxy))
        for (const auto& [server, weight] : book_.table(table).lines) {
            if (more == most) return true;
            if (held.shut.contains(server) || book_.withdrawnServers().contains(server)) continue;
            tell(held, server, false);
            ++more;
        }
    return more > 0;
}

// ---- writing ----------------------------------------------------------------------------------------------

bool Outbox::Held::replacesTable() const {
    return std::ranges::any_of(parts, [](const auto& one) { return one.second.whole; });
}

/// A rule's time limit runs for withdrawals, lines that are taken out, and the first table on a stream.
bool Outbox::Held::urgent() const {
    if (!shutNow.empty()) return true;
    return std::ranges::any_of(parts, [&](const auto& one) {
        const TablePart& part = one.second;
        if (part.whole) return !hasTable;
        return std::ranges::any_of(part.lines, [](const auto& line) { return line.second <= 0; });
    });
}

/// Everything that waits, in the order in which it is to be written.
std::vector<Outbox::Candidate> Outbox::candidates() {
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

void Outbox::flush() {
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
Outbox::Outcome Outbox::write(ProxyId proxy, Held& held, Urgency urgency) {
    const Outcome outcome = write(proxy, held, urgency, Scope::All);
    if (outcome != Outcome::QueueFull || urgency != Urgency::Deadline) return outcome;
    return write(proxy, held, urgency, Scope::UrgentOnly);
}

Outbox::Outcome Outbox::write(ProxyId proxy, Held& held, Urgency urgency, Scope scope) {
    if (!held.mark) return Outcome::Waits;
    const std::size_t lines = countLines(held, scope);
    switch (book_.admits(proxy, lines, urgency)) {
    case ChannelCredit::Verdict::ProxyWaits: return Outcome::Waits;
    case ChannelCredit::Verdict::QueueFull: return Outcome::QueueFull;
    case ChannelCredit::Verdict::Go: break;
    }
    const PushMessage message = take(held, scope);
    const WrittenPush written = writePush(message, names_);
    counters_.holds(written.lines.total() + book_.headLines() == lines);
    counters_.holds(written.parts <= kPartsMost);
    held.behind = !held.stream->push(written.bytes);
    if (held.behind) return Outcome::Waits;
    counters_.add(Count::Messages);
    counters_.add(Count::Parts, written.parts);
    counters_.add(Count::OrderLines, written.lines.total());
    report_.written(written.lines);
    log::debug("message", {{"proxy", proxy.value},
                           {"mark", held.mark->value},
                           {"rows", written.lines.rows},
                           {"withdrawals", written.lines.withdrawals},
                           {"lines", lines}});
    book_.written(proxy, *held.mark, lines);
    held.mark.reset();
    if (!held.concerned()) held.since.reset();
    return Outcome::Written;
}

/// Brings what waits in line with what stands now: tables that were bound over are left out, and so is the shutting
/// out of servers that the first table does not name. Servers that the tables name are told as they stand.
void Outbox::prepare(ProxyId proxy, Held& held) {
    const auto& bound = book_.tablesOf(proxy);
    std::erase_if(held.parts, [&](const auto& one) { return !bound.contains(one.first); });
    ProductSet replaced = 0;
    for (auto& [table, part] : held.parts) {
        const orders::TableOrders& standing = book_.table(table);
        part.products = standing.products;
        if (part.whole) {
            replaced = static_cast<ProductSet>(replaced | part.products);
            part.levels.clear();
            for (std::uint16_t p = 0; p < names_.products(); ++p)
                if (const auto level = book_.levelAt(table, {p}); level && (part.products >> p & 1U))
                    part.levels[{p}] = *level;
        }
        for (const auto& [server, weight] : part.whole ? standing.lines : part.lines) {
            const bool shut = book_.withdrawnServers().contains(server);
            if (weight > 0 && (shut || held.shut.contains(server) || names_.returned(server)))
                tell(held, server, shut);
        }
    }
    if (held.hasTable || replaced != book_.everyProduct()) return;
    std::erase_if(held.shutNow, [&](ServerId server) {
        const bool named = book_.mayPick(proxy, server);
        if (!named) held.shut.erase(server);
        return !named;
    });
}

/// As the protocol counts them, the head and the mark among them.
std::size_t Outbox::countLines(const Held& held, Scope scope) const {
    std::size_t lines = book_.headLines() + 1 + held.shutNow.size();
    if (scope == Scope::All) lines += held.letNow.size() + linesOf(held.loose);
    for (const auto& [table, part] : held.parts) {
        if (scope == Scope::UrgentOnly && part.whole && held.hasTable) continue;
        if (part.whole)
            lines += 1 + book_.table(table).lines.size() + linesOf(part.levels);
        else if (scope == Scope::All)
            lines += part.lines.size() + linesOf(part.levels);
        else
            lines += static_cast<std::size_t>(
                std::ranges::count_if(part.lines, [](const auto& line) { return line.second <= 0; }));
    }
    return lines;
}

/// The message, which is not held any more; what the scope leaves out still is.
PushMessage Outbox::take(Held& held, Scope scope) {
    PushMessage out;
    const bool first = !held.hasTable;
    for (auto& [table, part] : held.parts) {
        TablePart taken = takePart(table, part, scope, first);
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
        out.tables.push_back({book_.everyProduct(), false, {}, std::exchange(held.loose, {})});
    out.let = std::exchange(held.letNow, {});
    return out;
}

TablePart Outbox::takePart(TableId table, TablePart& part, Scope scope, bool first) {
    TablePart out{part.products, false, {}, {}};
    if (part.whole) {
        if (scope == Scope::UrgentOnly && !first) return out;
        out = std::exchange(part, {});
        out.lines = book_.table(table).lines;
        return out;
    }
    if (scope == Scope::All) return std::exchange(part, {});
    for (const auto& [server, weight] : part.lines)
        if (weight <= 0) out.lines.emplace(server, weight);
    std::erase_if(part.lines, [](const auto& line) { return line.second <= 0; });
    return out;
}

/// What was told on the stream is not known any more: all that may have been is said again.
void Outbox::resync(ProxyId proxy, Held& held) {
    counters_.add(Count::Resyncs);
    held.behind = false;
    held.hasTable = false;
    for (const auto& [server, before] : std::exchange(held.shut, {}))
        tell(held, server, book_.withdrawnServers().contains(server));
    for (const TableId table : book_.tablesOf(proxy)) held.parts[table].whole = true;
    for (const ServerId server : book_.withdrawnServers())
        if (book_.mayPick(proxy, server)) tell(held, server, true);
}

void Outbox::report() {
    report_.sample(book_.linesOnTheirWay());
    if (!report_.due(book_.now())) return;
    const auto unbound =
        std::ranges::count_if(held_, [&](const auto& one) { return book_.tablesOf(one.first).empty(); });
    report_.tell(book_.now(), {.unanswered = book_.linesOnTheirWay(),
                               .heldBack = linesHeldBack_,
                               .joined = held_.size(),
                               .unbound = static_cast<std::size_t>(unbound)});
}

} // namespace zincstack::net

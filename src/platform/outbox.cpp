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

void Outbox::withdrawn(ServerId server, bool out) {
    for (auto& [id, held] : held_)
        if (book_.mayPick(id, server)) tell(held, server, out);
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

bool Outbox::letBack(ProxyId proxy) {
    const auto found = held_.find(proxy);
    if (found == held_.end()) return false;
    Held& held = found->second;
    const auto before = held.letNow.size();
    for (const TableId table : book_.tablesOf(proxy))
        for (const auto& [server, weight] : book_.table(table).lines)
            if (!held.shut.contains(server) && !book_.withdrawnServers().contains(server))
                tell(held, server, false);
    return held.letNow.size() != before;
}

void Outbox::flush() {
    for (auto& [id, held] : held_) {
        if (held.behind && held.stream->idle()) resync(id, held);
        if (held.concerned() || held.mark) write(id, held);
    }
    const auto unbound =
        std::ranges::count_if(held_, [&](const auto& one) { return book_.tablesOf(one.first).empty(); });
    report_.tell(book_.now(), book_.linesOnTheirWay(), held_.size(), static_cast<std::size_t>(unbound));
}

PushMessage Outbox::message(Held& held) {
    PushMessage out;
    for (auto& [table, part] : held.parts) {
        const orders::TableOrders& standing = book_.table(table);
        part.products = standing.products;
        if (part.whole) {
            part.lines = standing.lines;
            part.levels.clear();
            for (std::uint16_t p = 0; p < names_.products(); ++p)
                if (const auto level = book_.levelAt(table, {p}); level && (part.products >> p & 1U))
                    part.levels[{p}] = *level;
        }
        for (const auto& [server, weight] : part.lines) {
            const bool shut = book_.withdrawnServers().contains(server);
            if (weight > 0 && (shut || held.shut.contains(server) || names_.returned(server)))
                tell(held, server, shut);
        }
        out.tables.push_back(std::move(part));
    }
    if (!held.loose.empty()) out.tables.push_back({book_.everyProduct(), false, {}, std::move(held.loose)});
    out.shut = std::exchange(held.shutNow, {});
    out.let = std::exchange(held.letNow, {});
    out.mark = held.mark;
    held.parts.clear();
    held.loose.clear();
    return out;
}

/// Guards against a reader so slow that its queue would grow without bound: what it misses is not kept, and
/// once it has caught up it gets its tables anew, with the last mark.
void Outbox::write(ProxyId proxy, Held& held) {
    const PushMessage next = message(held);
    if (held.behind) return;
    const WrittenPush written = writePush(next, names_, counters_);
    held.behind = !held.stream->push(written.bytes);
    if (held.behind) return;
    report_.written(written.lines);
    log::debug("message", {{"proxy", proxy.value},
                           {"mark", held.mark ? held.mark->value : 0},
                           {"rows", written.lines.rows},
                           {"withdrawals", written.lines.withdrawals},
                           {"lines", written.lines.total()}});
    if (held.mark) book_.written(proxy, *held.mark, written.lines.total());
    held.mark.reset();
}

/// What was told on the stream is not known any more: all that may have been is said again.
void Outbox::resync(ProxyId proxy, Held& held) {
    counters_.add(Count::Resyncs);
    held.behind = false;
    for (const auto& [server, before] : std::exchange(held.shut, {}))
        tell(held, server, book_.withdrawnServers().contains(server));
    for (const TableId table : book_.tablesOf(proxy)) held.parts[table].whole = true;
    for (const ServerId server : book_.withdrawnServers())
        if (book_.mayPick(proxy, server)) tell(held, server, true);
}

} // namespace zincstack::net

#include "platform/outbox.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zincstack::net {

namespace {

constexpr std::size_t kMarksMost = 1024; // without an answer, on one stream

} // namespace

Outbox::Outbox(Names& names, Counters& counters, std::function<void(ServerId)> probe,
               std::function<void(Micros)> wake)
    : names_(names), counters_(counters), probe_(std::move(probe)), wake_(std::move(wake)) {}

bool Outbox::joined(ProxyId proxy, PushTarget& stream) {
    const auto before = held_.find(proxy);
    const bool had = before != held_.end();
    if (had) before->second.stream->replaced();
    held_.insert_or_assign(proxy, Held{&stream});
    return had;
}

bool Outbox::owns(ProxyId proxy, const PushTarget& stream) const {
    const auto found = held_.find(proxy);
    return found != held_.end() && found->second.stream == &stream;
}

bool Outbox::left(ProxyId proxy, const PushTarget& stream) {
    return owns(proxy, stream) && held_.erase(proxy);
}

/// Guards against an answer that names a mark of another time: the ledger would take as gone what still waits.
bool Outbox::answered(ProxyId proxy, MarkId number) {
    const auto found = held_.find(proxy);
    if (found == held_.end()) return false;
    auto& marks = found->second.unanswered;
    const auto at = std::ranges::find(marks, number);
    if (at == marks.end()) return false;
    marks.erase(marks.begin(), at + 1); // what was written before it has come too, answered or not
    return true;
}

template <class Call>
void Outbox::eachBound(TableId table, const Call& call) {
    for (auto& [id, held] : held_)
        if (held.tables.contains(table)) call(held.parts[table]);
}

void Outbox::setLine(TableId table, ServerId server, double weight) {
    auto& standing = tables_[table].lines;
    if (weight > 0)
        standing[server] = weight;
    else
        standing.erase(server);
    eachBound(table, [&](TablePart& part) { part.lines[server] = weight; });
}

void Outbox::bind(ProxyId proxy, ProductSet products, TableId table) {
    const auto found = held_.find(proxy);
    counters_.holds(found != held_.end()); // only joined proxies are bound
    if (found == held_.end()) return;
    tables_[table].products = products ? products : every();
    found->second.tables.insert(table);
    found->second.parts[table].whole = true;
}

/// Whether the proxy may pick the server, as far as is known here: an old table may name any.
bool Outbox::holds(const Held& held, ServerId server) const {
    return held.tables.empty() || std::ranges::any_of(held.tables, [&](TableId table) {
               return tables_.at(table).lines.contains(server);
           });
}

/// A server is shut out or let back where the stream was not told the same before.
void Outbox::tell(Held& held, ServerId server, bool out) {
    const auto told = held.shut.find(server);
    if (told != held.shut.end() && told->second == out) return;
    held.shut[server] = out;
    (out ? held.letNow : held.shutNow).erase(server);
    (out ? held.shutNow : held.letNow).insert(server);
}

void Outbox::withdraw(ServerId server, bool out) {
    if (out)
        withdrawn_.insert(server);
    else
        withdrawn_.erase(server);
    for (auto& [id, held] : held_)
        if (holds(held, server)) tell(held, server, out);
}

/// Where a level is set for a table and for all, the lower one holds, with the table's way of trying again.
Level Outbox::levelAt(TableId table, ProductId product) const {
    const auto& own = tables_.at(table).levels;
    const auto at = own.find(product), all = everywhere_.find(product);
    if (all == everywhere_.end()) return at->second;
    if (at == own.end()) return all->second;
    return {std::min(at->second.level, all->second.level), at->second.tries};
}

void Outbox::admit(std::optional<TableId> table, ProductSet products, double level, FurtherTries tries) {
    for (std::uint16_t p = 0; p < names_.products(); ++p) {
        const ProductId product{p};
        if (products && !(products >> p & 1U)) continue;
        (table ? tables_[*table].levels : everywhere_)[product] = {level, tries};
        for (auto& [id, held] : held_) {
            if (!table && held.tables.empty()) held.loose[product] = {level, tries};
            for (const TableId one : held.tables)
                if (table ? one == *table : (tables_[one].products >> p & 1U) != 0)
                    held.parts[one].levels[product] = levelAt(one, product);
        }
    }
}

void Outbox::mark(MarkId number, bool everyProxy) {
    for (auto& [id, held] : held_)
        if (everyProxy || held.concerned()) held.mark = number;
}

bool Outbox::forget(ServerId server) {
    withdrawn_.erase(server);
    for (auto& [id, held] : held_) {
        held.shut.erase(server);
        for (auto* now : {&held.shutNow, &held.letNow}) now->erase(server);
        for (auto& [table, part] : held.parts) part.lines.erase(server);
    }
    names_.forget(server);
    return true;
}

void Outbox::log(std::string_view line) { spdlog::info("planner: {}", line); }

void Outbox::flush() {
    for (auto& [id, held] : held_) {
        if (held.behind && held.stream->idle()) resync(held);
        if (held.concerned() || held.mark) write(held);
    }
}

PushMessage Outbox::message(Held& held) {
    PushMessage out;
    for (auto& [table, part] : held.parts) {
        if (part.whole) {
            part = tables_.at(table);
            part.whole = true;
            for (std::uint16_t p = 0; p < names_.products(); ++p)
                if (part.products >> p & 1U && (part.levels.contains({p}) || everywhere_.contains({p})))
                    part.levels[{p}] = levelAt(table, {p});
        }
        part.products = tables_[table].products;
        for (const auto& [server, weight] : part.lines)
            if (weight > 0) tell(held, server, withdrawn_.contains(server));
        out.tables.push_back(std::move(part));
    }
    if (!held.loose.empty()) out.tables.push_back({every(), false, {}, std::move(held.loose)});
    out.shut = std::exchange(held.shutNow, {});
    out.let = std::exchange(held.letNow, {});
    out.mark = held.mark;
    held.parts.clear();
    held.loose.clear();
    return out;
}

/// Guards against a reader so slow that its queue would grow without bound: what it misses is not kept, and
/// once it has caught up it gets its tables anew, with the last mark.
void Outbox::write(Held& held) {
    const PushMessage next = message(held);
    if (held.behind) return;
    held.behind = !held.stream->push(writePush(next, names_, counters_));
    if (held.behind) return;
    if (held.mark) held.unanswered.push_back(*held.mark);
    if (held.unanswered.size() > kMarksMost) held.unanswered.pop_front();
    held.mark.reset();
}

/// What was told on the stream is not known any more, as after a new one.
void Outbox::resync(Held& held) {
    counters_.add(Count::Resyncs);
    held.behind = false;
    held.shut.clear();
    for (const TableId table : held.tables) held.parts[table].whole = true;
    for (const ServerId server : withdrawn_)
        if (holds(held, server)) tell(held, server, true);
}

} // namespace zincstack::net

#include "orders/order_book.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "log/log.h"

namespace zincstack::orders {

OrderBook::OrderBook(net::Names& names, net::Counters& counters, std::function<void(ServerId)> probe,
                     std::function<void(Micros)> wake, const ChannelTerms& channel)
    : names_(names), counters_(counters), probe_(std::move(probe)), wake_(std::move(wake)),
      headLines_(static_cast<std::size_t>(std::ceil(channel.headLines))), credit_(channel) {}

void OrderBook::add(Front& front) { fronts_.push_back(&front); }

void OrderBook::remove(Front& front) {
    std::erase(fronts_, &front);
    counters_.holds(std::ranges::none_of(members_, [&](auto& one) { return one.second.front == &front; }));
}

bool OrderBook::joined(ProxyId proxy, ZoneId zone, Front& front) {
    const auto before = members_.find(proxy);
    const bool had = before != members_.end();
    if (had) before->second.front->replaced(proxy);
    credit_.streamOpened(proxy);
    members_.insert_or_assign(proxy, Member{&front, zone});
    return had;
}

bool OrderBook::owns(ProxyId proxy, const Front& front) const {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front == &front;
}

bool OrderBook::left(ProxyId proxy, const Front& front) {
    if (!owns(proxy, front)) return false;
    credit_.streamEnded(proxy);
    members_.erase(proxy);
    return true;
}

double OrderBook::elsewhere() const {
    double lines = 0;
    for (const Front* front : fronts_) lines += front->linesOnTheirWay();
    return lines;
}

ChannelCredit::Verdict OrderBook::admits(ProxyId proxy, std::size_t lines, Urgency urgency) const {
    return credit_.admits(proxy, static_cast<double>(lines), urgency, elsewhere(), now_);
}

void OrderBook::written(ProxyId proxy, MarkId number, std::size_t lines) {
    const auto found = members_.find(proxy);
    counters_.holds(found != members_.end());
    if (found == members_.end()) return;
    credit_.written(proxy, number, static_cast<double>(lines), now_);
}

/// Guards against an answer that names a mark of another time: the ledger would take as gone what still waits.
bool OrderBook::answered(ProxyId proxy, MarkId number) { return credit_.answered(proxy, number); }

const std::set<TableId>& OrderBook::tablesOf(ProxyId proxy) const {
    static const std::set<TableId> kNone;
    const auto found = members_.find(proxy);
    return found == members_.end() ? kNone : found->second.tables;
}

std::optional<Level> OrderBook::levelAt(TableId table, ProductId product) const {
    const auto& own = tables_.at(table).levels;
    const auto at = own.find(product), all = everywhere_.find(product);
    if (all == everywhere_.end()) return at == own.end() ? std::nullopt : std::optional(at->second);
    if (at == own.end()) return all->second;
    return Level{std::min(at->second.level, all->second.level), at->second.tries};
}

bool OrderBook::mayPick(ProxyId proxy, ServerId server) const {
    const auto& bound = tablesOf(proxy);
    return bound.empty() || std::ranges::any_of(bound, [&](TableId table) {
               return tables_.at(table).lines.contains(server);
           });
}

void OrderBook::setLine(TableId table, ServerId server, double weight) {
    auto& standing = tables_[table].lines;
    if (weight > 0)
        standing[server] = weight;
    else
        standing.erase(server);
    for (auto* front : fronts_) front->lineSet(table, server, weight);
}

void OrderBook::bind(ProxyId proxy, ProductSet products, TableId table) {
    const auto found = members_.find(proxy);
    counters_.holds(found != members_.end()); // only joined proxies are bound
    if (found == members_.end()) return;
    tables_[table].products = products ? products : everyProduct();
    tables_[table].zone = found->second.zone;
    std::erase_if(found->second.tables, [&](TableId other) {
        return other != table && (tables_.at(other).products & tables_[table].products) != 0;
    });
    found->second.tables.insert(table);
    found->second.front->bound(proxy, table);
}

void OrderBook::withdraw(ServerId server, bool out) {
    if (out)
        withdrawn_.insert(server);
    else
        withdrawn_.erase(server);
    for (auto* front : fronts_) front->withdrawn(server, out);
}

void OrderBook::admit(std::optional<TableId> table, ProductSet products, double level, FurtherTries tries) {
    for (std::uint16_t p = 0; p < names_.products(); ++p)
        if (!products || (products >> p & 1U))
            (table ? tables_[*table].levels : everywhere_)[{p}] = {level, tries};
    for (auto* front : fronts_) front->levelSet(table, products ? products : everyProduct());
}

void OrderBook::mark(MarkId number, bool everyProxy) {
    for (auto* front : fronts_) front->marked(number, everyProxy);
}

/// Guards against a removal that waits for room in the channel while its server is forgotten: nobody would be told.
bool OrderBook::forget(ServerId server) {
    if (std::ranges::any_of(fronts_, [&](const Front* front) { return front->owesRemoval(server); }))
        return false;
    withdrawn_.erase(server);
    for (auto* front : fronts_) front->forgotten(server);
    names_.forget(server);
    return true;
}

bool OrderBook::letBack(ProxyId proxy, std::size_t most) {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front->letBack(proxy, most);
}

std::optional<double> OrderBook::pendingLines() const {
    double lines = credit_.waiting() + elsewhere();
    for (const Front* front : fronts_) lines += front->linesHeldBack();
    return lines;
}

bool OrderBook::needsMark() const {
    return std::ranges::any_of(fronts_, [](const Front* front) { return front->needsMark(); });
}

bool OrderBook::rebinds(ProxyId proxy) const {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front->rebinds();
}

void OrderBook::log(std::string_view line) { log::info("planner", {{"says", line}}); }

void OrderBook::flush(Micros now) {
    now_ = now;
    credit_.sweep(now);
    for (auto* front : fronts_) front->flush();
}

} // namespace zincstack::orders

#include "orders/order_book.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace zincstack::orders {

namespace {

constexpr std::size_t kMarksMost = 1024;           // without an answer, of one proxy
constexpr Micros kLeft = std::chrono::seconds(10); // unanswered lines have left the channel

} // namespace

OrderBook::OrderBook(net::Names& names, net::Counters& counters, std::function<void(ServerId)> probe,
                     std::function<void(Micros)> wake)
    : names_(names), counters_(counters), probe_(std::move(probe)), wake_(std::move(wake)) {}

void OrderBook::add(Front& front) { fronts_.push_back(&front); }

void OrderBook::remove(Front& front) {
    std::erase(fronts_, &front);
    counters_.holds(std::ranges::none_of(members_, [&](auto& one) { return one.second.front == &front; }));
}

bool OrderBook::joined(ProxyId proxy, ZoneId zone, Front& front) {
    const auto before = members_.find(proxy);
    const bool had = before != members_.end();
    if (had) {
        release(before->second, before->second.unanswered.size());
        before->second.front->replaced(proxy);
    }
    members_.insert_or_assign(proxy, Member{&front, zone});
    return had;
}

bool OrderBook::owns(ProxyId proxy, const Front& front) const {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front == &front;
}

bool OrderBook::left(ProxyId proxy, const Front& front) {
    if (!owns(proxy, front)) return false;
    const auto found = members_.find(proxy);
    release(found->second, found->second.unanswered.size());
    members_.erase(found);
    return true;
}

void OrderBook::release(Member& member, std::size_t messages) {
    for (; messages > 0; --messages) {
        onTheirWay_ -= member.unanswered.front().lines;
        member.unanswered.pop_front();
    }
}

void OrderBook::written(ProxyId proxy, MarkId number, std::size_t lines) {
    const auto found = members_.find(proxy);
    counters_.holds(found != members_.end());
    if (found == members_.end()) return;
    if (cost_ && cost_->mark == number) cost_->lines += lines, ++cost_->messages;
    found->second.unanswered.push_back({number, lines, now_});
    onTheirWay_ += lines;
    if (found->second.unanswered.size() > kMarksMost) release(found->second, 1);
}

/// Guards against an answer that names a mark of another time: the ledger would take as gone what still waits.
bool OrderBook::answered(ProxyId proxy, MarkId number) {
    const auto found = members_.find(proxy);
    if (found == members_.end()) return false;
    const auto& marks = found->second.unanswered;
    const auto at = std::ranges::find(marks, number, &Sent::mark);
    if (at == marks.end()) return false;
    // what was written before it has come too, answered or not
    release(found->second, static_cast<std::size_t>(at - marks.begin()) + 1);
    return true;
}

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
    cost_ = Cost{number};
    for (auto* front : fronts_) front->marked(number, everyProxy);
}

bool OrderBook::forget(ServerId server) {
    withdrawn_.erase(server);
    for (auto* front : fronts_) front->forgotten(server);
    names_.forget(server);
    return true;
}

bool OrderBook::letBack(ProxyId proxy) {
    const auto found = members_.find(proxy);
    return found != members_.end() && found->second.front->letBack(proxy);
}

void OrderBook::log(std::string_view line) { log::info("planner", {{"says", line}}); }

std::optional<OrderBook::Cost> OrderBook::flush(Micros now) {
    now_ = now;
    for (auto& [id, member] : members_)
        for (Sent& one : member.unanswered) {
            if (one.at > now - kLeft) break;
            onTheirWay_ -= std::exchange(one.lines, 0);
        }
    for (auto* front : fronts_) front->flush();
    const auto cost = std::exchange(cost_, std::nullopt);
    const bool whole =
        std::ranges::all_of(members_, [](auto& one) { return one.second.front->writesAtOnce(); });
    return whole ? cost : std::nullopt;
}

} // namespace zincstack::orders

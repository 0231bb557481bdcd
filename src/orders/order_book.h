// The planner's orders as they stand, for all fronts: tables, levels, withdrawals, which proxy has joined
// where, and which messages have no answer yet. Every front reads it; none keeps a copy.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "metrics/counters.h"
#include "orders/front.h"
#include "orders/names.h"
#include "planner/channel_credit.h"
#include "planner/planner.h"

namespace zincstack::orders {

struct Level {
    double level = 0; ///< a share, or txns a second at each proxy, as ForwarderTerms::throttle says
    FurtherTries tries = FurtherTries::None;
    friend bool operator==(const Level&, const Level&) = default;
};
using Lines = std::map<ServerId, double>; ///< the weights of a table's servers
using LevelLines = std::map<ProductId, Level>;

struct TableOrders {
    ProductSet products = 0;
    std::optional<ZoneId> zone; ///< of the proxies that are bound to it; none before one was
    Lines lines;
    LevelLines levels;
};

class OrderBook final : public OrderSink {
public:
    OrderBook(net::Names& names, net::Counters& counters, std::function<void(ServerId)> probe,
              std::function<void(Micros)> wake, const ChannelTerms& channel = {});

    /// Fronts are told in the order in which they were added. A front that is taken away has no proxies left.
    void add(Front& front);
    void remove(Front& front);

    // -- who is joined; the newest stream of a proxy wins, whichever front it is on --
    /// True if the proxy had a stream before, which is told that it is replaced.
    bool joined(ProxyId proxy, ZoneId zone, Front& front);
    /// False where the proxy is not this front's (any more).
    bool left(ProxyId proxy, const Front& front);
    bool owns(ProxyId proxy, const Front& front) const;

    // -- what is on its way --
    /// Whether a message of so many lines, its head among them, may be written to the proxy now.
    ChannelCredit::Verdict admits(ProxyId proxy, std::size_t lines, Urgency urgency) const;
    /// A message of so many lines, its head among them and closed by a mark, has been written to the proxy.
    void written(ProxyId proxy, MarkId number, std::size_t lines);
    std::size_t headLines() const { return headLines_; }
    /// The proxy has answered a mark; false where no such mark was written to it, or it was answered.
    bool answered(ProxyId proxy, MarkId number);
    /// Lines that were written on fronts of this account and may still wait in the channel.
    std::size_t linesOnTheirWay() const { return static_cast<std::size_t>(credit_.waiting()); }
    /// When the batch that is being written, or was last, is flushed.
    Micros now() const { return now_; }

    // -- what was ordered --
    /// Tables that the proxy is bound to; none where it holds only what it came with.
    const std::set<TableId>& tablesOf(ProxyId proxy) const;
    const std::map<TableId, TableOrders>& tables() const { return tables_; }
    const TableOrders& table(TableId table) const { return tables_.at(table); }
    const std::set<ServerId>& withdrawnServers() const { return withdrawn_; }
    const LevelLines& everywhere() const { return everywhere_; }
    /// Where a level is set for a table and for all, the lower one holds, with the table's way of trying
    /// again; none where neither is set.
    std::optional<Level> levelAt(TableId table, ProductId product) const;
    /// Whether the proxy may pick the server, as far as is known here: an old table may name any.
    bool mayPick(ProxyId proxy, ServerId server) const;
    ProductSet everyProduct() const { return static_cast<ProductSet>((1U << names_.products()) - 1); }

    /// Every front writes what was ordered, as far as the channel has room for it.
    void flush(Micros now);

    // -- orders --
    void setLine(TableId table, ServerId server, double weight) override;
    void bind(ProxyId proxy, ProductSet products, TableId table) override;
    void withdraw(ServerId server, bool out) override;
    void admit(std::optional<TableId> table, ProductSet products, double level, FurtherTries tries) override;
    void mark(MarkId number, bool everyProxy) override;
    void probe(ServerId server) override { probe_(server); }
    void followList() override {} // the list is always followed
    void wakeAfter(Micros span) override { wake_(span); }
    void log(std::string_view line) override;
    /// A binding lets back what its stream was not told of, so nothing need be known of who has ended.
    bool forget(ServerId server) override;
    bool letBack(ProxyId proxy, std::size_t most) override;
    std::optional<double> pendingLines() const override;
    bool needsMark() const override;
    bool rebinds(ProxyId proxy) const override;

private:
    struct Member {
        Front* front;
        ZoneId zone;
        std::set<TableId> tables = {};
    };
    double elsewhere() const;

    net::Names& names_;
    net::Counters& counters_;
    std::function<void(ServerId)> probe_;
    std::function<void(Micros)> wake_;
    std::vector<Front*> fronts_;
    std::map<TableId, TableOrders> tables_;
    LevelLines everywhere_; // levels for all joined proxies
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Member> members_;
    const std::size_t headLines_;
    ChannelCredit credit_;
    Micros now_{};
};

} // namespace zincstack::orders

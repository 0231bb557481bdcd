// The platform's front: turns what the planner orders for tables into one message a proxy a batch. Mirrors what
// each stream has been told, so that a binding brings the table as it stands.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "metrics/counters.h"
#include "orders/names.h"
#include "orders/order_book.h"
#include "platform/channel_report.h"
#include "platform/push_target.h"
#include "platform/push_writer.h"

namespace zincstack::net {

class Outbox final : public orders::Front {
public:
    Outbox(orders::OrderBook& book, const Names& names, Counters& counters);
    ~Outbox() override;
    Outbox(const Outbox&) = delete;
    Outbox& operator=(const Outbox&) = delete;

    /// A stream of the proxy is up; whatever one it had before is not its own any more. True if it had one.
    bool joined(ProxyId proxy, ZoneId zone, PushTarget& stream);
    /// True if that stream was the proxy's own: the proxy has left.
    bool left(ProxyId proxy, const PushTarget& stream);
    bool owns(ProxyId proxy, const PushTarget& stream) const;
    /// The proxy has answered a mark; false where none such waits for its answer.
    bool answered(ProxyId proxy, MarkId number);

    void lineSet(TableId table, ServerId server, double weight) override;
    void bound(ProxyId proxy, TableId table) override;
    void withdrawn(ServerId server, bool out) override;
    void levelSet(std::optional<TableId> table, ProductSet products) override;
    void marked(MarkId number, bool everyProxy) override;
    void forgotten(ServerId server) override;
    void replaced(ProxyId proxy) override;
    void flush() override;
    bool letBack(ProxyId proxy) override;
    bool writesAtOnce() const override { return true; }

private:
    struct Held { // of one stream
        PushTarget* stream;
        std::map<ServerId, bool> shut = {}; // as last told on this stream; absent: as earlier streams left it
        std::map<TableId, TablePart> parts = {};
        orders::LevelLines loose = {}; // levels ordered while it is bound to no table
        std::set<ServerId> shutNow = {}, letNow = {};
        std::optional<MarkId> mark = {};
        bool behind = false;

        bool concerned() const {
            return !parts.empty() || !loose.empty() || !shutNow.empty() || !letNow.empty();
        }
    };
    void tell(Held& held, ServerId server, bool out);
    PushMessage message(Held& held);
    void write(ProxyId proxy, Held& held);
    void resync(ProxyId proxy, Held& held);

    orders::OrderBook& book_;
    const Names& names_;
    Counters& counters_;
    std::map<ProxyId, Held> held_;
    ChannelReport report_;
};

} // namespace zincstack::net

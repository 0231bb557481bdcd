// Takes the planner's orders, which name tables, and turns them into one message a proxy a batch. Mirrors
// what each stream has been told, so that a binding brings the table as it stands.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "metrics/counters.h"
#include "orders/names.h"
#include "planner/planner.h"
#include "platform/push_target.h"
#include "platform/push_writer.h"

namespace zincstack::net {

class Outbox final : public OrderSink {
public:
    Outbox(Names& names, Counters& counters, std::function<void(ServerId)> probe,
           std::function<void(Micros)> wake);

    /// A stream of the proxy is up; whatever one it had before is not its own any more. True if it had one.
    bool joined(ProxyId proxy, PushTarget& stream);
    /// True if that stream was the proxy's own: the proxy has left.
    bool left(ProxyId proxy, const PushTarget& stream);
    bool owns(ProxyId proxy, const PushTarget& stream) const;
    /// The proxy has answered a mark; false where no such mark was written on its stream, or it was answered.
    bool answered(ProxyId proxy, MarkId number);
    /// Writes what was ordered in this batch.
    void flush();

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

private:
    struct Held { // of one stream
        PushTarget* stream;
        std::set<TableId> tables = {};
        std::map<ServerId, bool> shut = {}; // as last told on this stream; absent: as earlier streams left it
        std::map<TableId, TablePart> parts = {};
        LevelLines loose = {}; // levels ordered while it is bound to no table
        std::set<ServerId> shutNow = {}, letNow = {};
        std::optional<MarkId> mark = {};
        std::deque<MarkId> unanswered = {}; // marks written, oldest first
        bool behind = false;

        bool concerned() const {
            return !parts.empty() || !loose.empty() || !shutNow.empty() || !letNow.empty();
        }
    };
    template <class Call>
    void eachBound(TableId table, const Call& call);
    Level levelAt(TableId table, ProductId product) const;
    bool holds(const Held& held, ServerId server) const;
    void tell(Held& held, ServerId server, bool out);
    PushMessage message(Held& held);
    void write(Held& held);
    void resync(Held& held);
    ProductSet every() const { return static_cast<ProductSet>((1U << names_.products()) - 1); }

    Names& names_;
    Counters& counters_;
    std::function<void(ServerId)> probe_;
    std::function<void(Micros)> wake_;
    std::map<TableId, TablePart> tables_; // as ordered so far
    LevelLines everywhere_;               // levels for all joined proxies
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Held> held_;
};

} // namespace zincstack::net

// The platform's front: keeps for each proxy's stream what was ordered and has not been written yet, and writes it, one
// message a proxy, as far as the channel's credit goes. What is held back merges with what is ordered later, so no
// message is ever queued here; withdrawals and first tables go before all else, the oldest first.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

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
    bool owesRemoval(ServerId server) const override;
    void replaced(ProxyId proxy) override;
    void flush() override;
    bool letBack(ProxyId proxy, std::size_t most) override;
    double linesHeldBack() const override { return static_cast<double>(linesHeldBack_); }
    bool needsMark() const override { return needsMark_; }
    bool rebinds() const override { return true; }

private:
    /// What was ordered for one stream and has not been written on it.
    struct Held {
        PushTarget* stream;
        std::map<ServerId, bool> shut =
            {}; // as last ordered on this stream; absent: as earlier streams left it
        std::map<TableId, TablePart> parts = {};
        orders::LevelLines loose = {}; // levels ordered while it is bound to no table
        std::set<ServerId> shutNow = {}, letNow = {};
        std::optional<MarkId> mark = {};
        std::optional<Micros> since = {}; // when the oldest of it was ordered
        bool behind = false;
        bool hasTable = false; // a whole table has been written on this stream

        bool concerned() const {
            return !parts.empty() || !loose.empty() || !shutNow.empty() || !letNow.empty();
        }
        bool replacesTable() const;
        bool urgent() const;
    };
    enum class Scope : std::uint8_t { All, UrgentOnly };
    enum class Outcome : std::uint8_t { Written, Waits, QueueFull };
    struct Candidate {
        Urgency urgency;
        Micros since;
        ProxyId proxy;
        auto operator<=>(const Candidate&) const = default;
    };

    void tell(Held& held, ServerId server, bool out);
    std::vector<Candidate> candidates();
    void prepare(ProxyId proxy, Held& held);
    std::size_t countLines(const Held& held, Scope scope) const;
    PushMessage take(Held& held, Scope scope);
    TablePart takePart(TableId table, TablePart& part, Scope scope, bool first);
    Outcome write(ProxyId proxy, Held& held, Urgency urgency);
    Outcome write(ProxyId proxy, Held& held, Urgency urgency, Scope scope);
    void resync(ProxyId proxy, Held& held);
    void report();

    orders::OrderBook& book_;
    const Names& names_;
    Counters& counters_;
    std::map<ProxyId, Held> held_;
    ChannelReport report_;
    std::size_t linesHeldBack_ = 0;
    bool needsMark_ = false;
};

} // namespace zincstack::net

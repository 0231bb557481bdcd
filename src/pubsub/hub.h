// The channel's front: topics made from the planner's orders, subscribers brought up to them, and what they say
// passed on to the planner. Knows no socket; the clock is handed in.
//
// Order of things for one subscriber: withdrawals go before anything else, between the parts of a longer message
// too; then the topics it holds, each by what changed since it was sent last, or by a snapshot where its log has
// forgotten so old a state or most of it has changed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "metrics/counters.h"
#include "orders/names.h"
#include "orders/order_book.h"
#include "pubsub/pacing.h"
#include "pubsub/subscriber.h"
#include "pubsub/topic_log.h"
#include "pubsub/wire.h"

namespace zincstack::pubsub {

struct LeaseTerms {
    Micros beat = std::chrono::seconds(1);            ///< how often each side says something
    Micros lease = std::chrono::seconds(5);           ///< who has said nothing for so long has left
    Micros patience = std::chrono::milliseconds(500); ///< who owes an answer for so long stands still
    Micros stall = std::chrono::seconds(20);          ///< and for so long is let go
    std::uint32_t backASecond = 200; ///< how many that are sent away may come back in a second
};

class Hub final : public orders::Front {
public:
    using Clock = std::function<Micros()>;
    /// The planner, in a batch that is open (Engine::input).
    using InputOf = std::function<Planner&()>;

    /// `epoch`: of this planner life, never used before. `proxies`: how many there are (ForwarderTerms).
    /// `tombstones`: entries taken out of a topic that are remembered.
    Hub(orders::OrderBook& book, const net::Names& names, net::Counters& counters, std::string planner,
        Epoch epoch, std::uint32_t proxies, const PaceTerms& pace, const LeaseTerms& leases,
        std::size_t tombstones, InputOf input, Clock clock);
    ~Hub() override;
    Hub(const Hub&) = delete;
    Hub& operator=(const Hub&) = delete;

    // -- streams --
    /// A stream is up; the subscriber is the hub's until `ended`.
    Subscriber& opened(FrameTarget& target);
    /// False: nothing more is taken on its stream.
    bool take(Subscriber& from, const Frame& frame);
    /// What it says can't be read.
    void garbled(Subscriber& from, const std::string& fault);
    void ended(Subscriber& gone);
    /// A turn of beats, leases and stalls: one of `kTurns` in each beat.
    void turn();
    static constexpr std::uint32_t kTurns = 10;
    /// The channel is switched off: every subscriber is told when to come back. Its topics go on, so that who
    /// comes back after `on` needs only what changed.
    void off();
    void on() { off_ = false; }

    // -- what the order book tells --
    void lineSet(TableId table, ServerId server, double weight) override;
    void bound(ProxyId proxy, TableId table) override;
    void withdrawn(ServerId server, bool out) override;
    void levelSet(std::optional<TableId> table, ProductSet products) override;
    void marked(MarkId number, bool everyProxy) override;
    void forgotten(ServerId server) override;
    void replaced(ProxyId proxy) override;
    void flush() override;
    double linesOnTheirWay() const override { return static_cast<double>(pacing_.lines()); }

    std::size_t subscribers() const { return subscribers_.size(); }
    std::size_t inState(State state) const;
    const Pacing& pacing() const { return pacing_; }
    const TopicLog* log(TopicId topic) const;
    Epoch epoch() const { return epoch_; }

private:
    struct Topic {
        explicit Topic(std::size_t tombstones) : log(tombstones) {}
        TopicLog log;
        std::vector<std::string> products;
        // Encoded for the head as it is, by where it begins; and the last snapshot, while it is of use.
        Sequence encodedAt{};
        std::map<std::pair<Sequence, bool>, std::shared_ptr<const Message>> changes;
        std::shared_ptr<const Message> snapshot[2];
    };
    using Call = bool (Hub::*)(Subscriber&, const Frame&);
    bool hello(Subscriber& from, const Frame& frame);
    bool applied(Subscriber& from, const Frame& frame);
    bool ask(Subscriber& from, const Frame& frame);
    bool usage(Subscriber& from, const Frame& frame);
    bool beat(Subscriber& from, const Frame& frame);
    bool bye(Subscriber& from, const Frame& frame);

    Topic& topic(TableId table);
    void putLevels(TableId table, ProductSet products);
    void hold(Subscriber& one, TopicId topic);
    void watch(Subscriber& one);
    bool due(TopicId topic, const Subscriber::Holding& holding) const;
    std::shared_ptr<const Message> messageFor(Subscriber& one, TopicId topic,
                                              const Subscriber::Holding& holding);
    std::shared_ptr<const Message> encode(const Topic& of, TopicId topic, Sequence since, bool snapshot,
                                          bool compressed);
    void pump(Subscriber& one, bool again = false);
    void pumpWaiting();
    void settle(Subscriber& one);
    /// False: nothing more is taken on its stream.
    bool step(Subscriber& one, Input input, std::string_view reason = {});
    void depart(Subscriber& one);
    SharedFrame frameOf(Type type, std::string body);

    orders::OrderBook& book_;
    const net::Names& names_;
    net::Counters& counters_;
    const std::string planner_;
    const Epoch epoch_;
    const std::uint32_t proxies_;
    const LeaseTerms leases_;
    const std::size_t tombstones_;
    const InputOf input_;
    const Clock clock_;
    Pacing pacing_;
    ComeBack comeBack_;
    std::map<TopicId, Topic> topics_;
    std::map<SubscriberId, std::unique_ptr<Subscriber>> subscribers_;
    std::map<ProxyId, SubscriberId> members_;
    std::set<SubscriberId> watchers_; // no proxies: they hold whatever their zone's proxies are bound to
    std::uint64_t nextId_ = 1;
    std::uint32_t turn_ = 0;
    bool off_ = false, dirty_ = false, pumping_ = false;
};

} // namespace zincstack::pubsub

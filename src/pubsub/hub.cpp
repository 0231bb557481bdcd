#include "pubsub/hub.h"

#include <algorithm>
#include <utility>

namespace zincstack::pubsub {

namespace {

using net::Count;

constexpr std::size_t kPartBytes = 24 * 1024;   // of a part's body, about
constexpr std::size_t kEntryBytes = 12;         // of an entry beside its name, about
constexpr std::size_t kChangesKept = 64;        // encodings of a topic for one head, by where they begin
constexpr std::size_t kSnapshotFrom = 64;       // changes below it are never replaced by a snapshot
constexpr std::uint32_t kTxnsMost = 10'000'000; // in one line of usage
constexpr Micros kSpanMost = std::chrono::minutes(10);

std::string noVersion(const Hello& hello) {
    return "no common version: this planner speaks " + std::to_string(kVersion) + ", it was asked for " +
           std::to_string(hello.versionLeast) + " to " + std::to_string(hello.versionMost);
}

} // namespace

Hub::Hub(orders::OrderBook& book, const net::Names& names, net::Counters& counters, std::string planner,
         Epoch epoch, std::uint32_t proxies, const PaceTerms& pace, const LeaseTerms& leases,
         std::size_t tombstones, InputOf input, Clock clock)
    : book_(book), names_(names), counters_(counters), planner_(std::move(planner)), epoch_(epoch),
      proxies_(proxies), leases_(leases), tombstones_(tombstones), input_(std::move(input)),
      clock_(std::move(clock)), pacing_(pace), comeBack_(leases.beat, leases.backASecond) {
    topics_.emplace(kWithdrawnTopic, Topic(tombstones_));
    for (const ServerId server : book_.withdrawnServers()) withdrawn(server, true);
    for (const auto& [table, orders] : book_.tables()) topic(table);
    book_.add(*this);
}

Hub::~Hub() {
    for (auto& [id, one] : subscribers_) depart(*one);
    book_.remove(*this);
}

/// A topic that is new holds what the book does already: the channel may be switched on late.
Hub::Topic& Hub::topic(TableId table) {
    const auto [at, fresh] = topics_.try_emplace(topicOf(table), tombstones_);
    if (fresh && book_.tables().contains(table)) {
        for (const auto& [server, weight] : book_.table(table).lines)
            at->second.log.put({{Key::Kind::Line, names_.of(server)}, {weight, {}}});
        putLevels(table, book_.everyProduct());
    }
    return at->second;
}

const TopicLog* Hub::log(TopicId topic) const {
    const auto found = topics_.find(topic);
    return found == topics_.end() ? nullptr : &found->second.log;
}

std::size_t Hub::inState(State state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(subscribers_, [&](const auto& one) { return one.second->state() == state; }));
}

// ---- what the order book tells ----------------------------------------------------------------------------

void Hub::lineSet(TableId table, ServerId server, double weight) {
    dirty_ = true;
    topic(table).log.put({{Key::Kind::Line, names_.of(server)}, {weight, {}}});
}

void Hub::withdrawn(ServerId server, bool out) {
    dirty_ = true;
    topics_.at(kWithdrawnTopic).log.put({{Key::Kind::Out, names_.of(server)}, {out ? 1.0 : 0.0, {}}});
}

/// Guards against a name that comes back as another server: nobody may keep it shut out then.
void Hub::forgotten(ServerId server) {
    withdrawn(server, false);
    for (auto& [id, topic] : topics_)
        if (id != kWithdrawnTopic) topic.log.put({{Key::Kind::Line, names_.of(server)}, {0, {}}});
}

/// A level counts for the products that the table is known to serve.
void Hub::putLevels(TableId table, ProductSet products) {
    const orders::TableOrders& orders = book_.table(table);
    Topic& topic = topics_.at(topicOf(table));
    for (std::uint16_t p = 0; p < names_.products(); ++p) {
        if (!(products & orders.products & 1U << p)) continue;
        if (const auto level = book_.levelAt(table, {p}))
            topic.log.put({{Key::Kind::Level, names_.of(ProductId{p})}, {level->level, level->tries}});
    }
}

void Hub::levelSet(std::optional<TableId> table, ProductSet products) {
    dirty_ = true;
    for (const auto& [one, orders] : book_.tables())
        if (!table || one == *table) topic(one), putLevels(one, products);
}

void Hub::bound(ProxyId proxy, TableId table) {
    topic(table);
    putLevels(table, book_.everyProduct());
    const auto found = members_.find(proxy);
    counters_.holds(found != members_.end());
    if (found != members_.end()) hold(*subscribers_.at(found->second), topicOf(table));
    dirty_ = true;
}

/// What it has of this very life is brought up by what changed since; all else begins with a snapshot.
void Hub::hold(Subscriber& one, TopicId topic) {
    const auto [at, fresh] = one.holdings.try_emplace(topic);
    if (!fresh) return;
    const auto has = std::ranges::find_if(
        one.have, [&](const Have& have) { return have.topic == topic && have.epoch == epoch_; });
    const TopicLog& log = topics_.at(topic).log;
    if (has != one.have.end() && log.covers(has->sequence))
        at->second.sent = has->sequence;
    else
        at->second.snapshot = true;
}

void Hub::watch(Subscriber& one) {
    for (const auto& [table, orders] : book_.tables())
        if (orders.zone == one.zone) topic(table), hold(one, topicOf(table));
}

/// Only those are concerned for whom something has changed since the last mark.
void Hub::marked(MarkId number, bool everyProxy) {
    std::map<TopicId, Sequence> heads;
    for (const auto& [id, topic] : topics_) heads.emplace(id, topic.log.head());
    for (const auto& [proxy, id] : members_) {
        Subscriber& one = *subscribers_.at(id);
        const bool concerned = std::ranges::any_of(one.holdings, [&](const auto& at) {
            return !at.second.greeted || heads.at(at.first) > at.second.marked;
        });
        if (!concerned && !everyProxy) continue;
        if (!concerned) one.holdings.at(kWithdrawnTopic).greeted = false; // something to answer to
        one.marked(number, heads);
        book_.written(proxy, number, 0); // its lines are counted here, while they are on their way
    }
    dirty_ = true;
}

void Hub::flush() {
    if (std::exchange(dirty_, false)) {
        for (const SubscriberId id : watchers_) watch(*subscribers_.at(id));
        for (auto& [id, one] : subscribers_) pump(*one);
    }
    pumpWaiting(); // other fronts may have made room
}

// ---- bringing subscribers up ------------------------------------------------------------------------------

bool Hub::due(TopicId topic, const Subscriber::Holding& holding) const {
    return holding.sending || holding.snapshot || !holding.greeted ||
           holding.sent < topics_.at(topic).log.head();
}

std::shared_ptr<const Message> Hub::messageFor(Subscriber& one, TopicId topic,
                                               const Subscriber::Holding& holding) {
    Topic& of = topics_.at(topic);
    const bool lost = !of.log.covers(holding.sent);
    if (holding.greeted && (lost || holding.snapshot)) step(one, Input::Lost);
    const std::size_t most = std::max(of.log.size() / 2, kSnapshotFrom) + 1;
    const bool whole = lost || holding.snapshot || of.log.changedSince(holding.sent, most) == most;
    if (of.encodedAt != of.log.head()) of.changes.clear();
    of.encodedAt = of.log.head();
    if (!whole) {
        const auto found = of.changes.find({holding.sent, one.compresses});
        if (found != of.changes.end()) return found->second;
        auto out = encode(of, topic, holding.sent, false, one.compresses);
        if (of.changes.size() < kChangesKept)
            of.changes.emplace(std::pair(holding.sent, one.compresses), out);
        return out;
    }
    // One that is a little old serves as well: what changed since follows it.
    auto& kept = of.snapshot[one.compresses];
    const std::size_t few = of.log.size() / 8 + 1;
    if (!kept || !of.log.covers(kept->to) || kept->to < holding.sent ||
        of.log.changedSince(kept->to, few) == few)
        kept = encode(of, topic, {}, true, one.compresses);
    counters_.add(Count::Snapshots);
    return kept;
}

std::shared_ptr<const Message> Hub::encode(const Topic& of, TopicId topic, Sequence since, bool snapshot,
                                           bool compressed) {
    const auto entries = snapshot ? of.log.whole() : of.log.since(since);
    auto out = std::make_shared<Message>();
    out->topic = topic;
    out->to = of.log.head();
    out->urgency = topic == kWithdrawnTopic ? Urgency::Withdrawal
                   : snapshot               ? Urgency::Snapshot
                                            : Urgency::Change;
    Frame frame{snapshot ? Type::Snapshot : Type::Changes};
    frame.topic = topic;
    frame.epoch = epoch_;
    frame.sequence = out->to;
    frame.since = since;
    std::size_t at = 0;
    do {
        TopicBody body;
        if (at == 0 && topic != kWithdrawnTopic) {
            const TableId table{static_cast<std::uint16_t>(topic.value - 1)};
            for (std::uint16_t p = 0; snapshot && p < names_.products(); ++p)
                if (book_.table(table).products >> p & 1U) body.products.push_back(names_.of(ProductId{p}));
        }
        for (std::size_t bytes = 0; at < entries.size() && body.entries.size() < kPartEntries; ++at) {
            bytes += entries[at].key.name.size() + kEntryBytes;
            if (bytes > kPartBytes && !body.entries.empty()) break;
            body.entries.push_back(entries[at]);
        }
        frame.more = at < entries.size();
        frame.body = write(body);
        out->parts.push_back({std::make_shared<const std::string>(writeFrame(frame, compressed)),
                              std::max<std::size_t>(body.entries.size(), 1)});
        ++frame.part;
        counters_.add(Count::FramesEncoded);
    } while (at < entries.size());
    return out;
}

/// Sends what there is room for. `again`: it had waited for room in all.
void Hub::pump(Subscriber& one, bool again) {
    if (one.waits || one.state() == State::Greeting || one.state() == State::Leaving) return;
    for (;;) {
        const auto found =
            std::ranges::find_if(one.holdings, [&](const auto& at) { return due(at.first, at.second); });
        if (found == one.holdings.end()) {
            if (one.holdings.size() > 1) step(one, Input::CaughtUp); // withdrawals alone are no table
            return;
        }
        auto& [topic, holding] = *found;
        const auto message = holding.sending ? holding.sending : messageFor(one, topic, holding);
        const auto& part = message->parts[holding.next];
        switch (pacing_.may(message->urgency, part.lines, part.frame->size(), one.window,
                            book_.linesOnTheirWay())) {
        case Pacing::Verdict::OwnFull: step(one, Input::Shut); return;
        case Pacing::Verdict::AllFull:
            one.waits = true;
            pacing_.wait(one.id, message->urgency, again);
            return;
        case Pacing::Verdict::Go: break;
        }
        if (!one.target->push(part.frame)) {
            step(one, Input::Shut);
            return;
        }
        counters_.add(Count::FramesOut);
        one.sent(*message, holding.next, pacing_, clock_());
        if (++holding.next < message->parts.size()) {
            holding.sending = message;
            continue;
        }
        holding.sent = message->to;
        holding.sending.reset();
        holding.next = 0;
        holding.snapshot = false;
        holding.greeted = true;
    }
}

void Hub::pumpWaiting() {
    if (std::exchange(pumping_, true)) return;
    while (const auto next = pacing_.next()) {
        const auto found = subscribers_.find(next->first);
        if (found == subscribers_.end()) continue;
        found->second->waits = false;
        pump(*found->second, true);
        if (found->second->waits) break;
    }
    pumping_ = false;
}

void Hub::settle(Subscriber& one) {
    const auto mark = one.settled();
    if (!mark || !one.proxy) return;
    if (!book_.answered(*one.proxy, *mark)) return;
    counters_.add(Count::Acks);
    input_().applied(*one.proxy, *mark);
}

// ---- streams ----------------------------------------------------------------------------------------------

Subscriber& Hub::opened(FrameTarget& target) {
    const SubscriberId id{nextId_++};
    return *subscribers_.emplace(id, std::make_unique<Subscriber>(id, target, clock_())).first->second;
}

void Hub::ended(Subscriber& gone) {
    step(gone, Input::Parted);
    watchers_.erase(gone.id);
    subscribers_.erase(gone.id);
    pumpWaiting();
}

bool Hub::take(Subscriber& from, const Frame& frame) {
    static constexpr std::pair<Type, Call> kCalls[] = {
        {Type::Hello, &Hub::hello}, {Type::Applied, &Hub::applied}, {Type::Ask, &Hub::ask},
        {Type::Usage, &Hub::usage}, {Type::Beat, &Hub::beat},       {Type::Bye, &Hub::bye}};
    counters_.add(Count::FramesIn);
    if (from.state() == State::Leaving) return false;
    from.heardAt = clock_();
    if ((from.state() == State::Greeting) != (frame.type == Type::Hello))
        return step(from, Input::Garbled,
                    frame.type == Type::Hello ? "a second greeting" : "no greeting came first");
    const auto* const call = std::ranges::find(kCalls, frame.type, &std::pair<Type, Call>::first);
    if (call == std::end(kCalls)) return counters_.add(Count::FramesSkipped), true; // of a later version
    return (this->*call->second)(from, frame);
}

void Hub::garbled(Subscriber& from, const std::string& fault) {
    counters_.passedOver(Count::BadFrames, fault);
    step(from, Input::Garbled, fault);
}

bool Hub::hello(Subscriber& from, const Frame& frame) {
    const auto greeting = readHello(frame.body);
    if (!greeting) return step(from, Input::Garbled, "a greeting that can't be used");
    const auto zone = names_.zone(greeting->zone);
    if (off_) return step(from, Input::Off, "the channel is switched off");
    if (greeting->versionLeast > kVersion || greeting->versionMost < kVersion)
        return step(from, Input::Refused, noVersion(*greeting));
    if (!zone) return step(from, Input::Refused, "no such zone: " + greeting->zone);
    if (greeting->proxy && greeting->proxy->value >= proxies_)
        return step(from, Input::Refused, "no such proxy: " + std::to_string(greeting->proxy->value));
    from.zone = *zone;
    from.have = greeting->have;
    from.compresses = greeting->features & kCompression;
    if (!step(from, Input::Joined)) return false;
    hold(from, kWithdrawnTopic);
    counters_.add(Count::Subscriptions);
    if (greeting->proxy) {
        from.proxy = greeting->proxy;
        if (book_.joined(*from.proxy, *zone, *this)) counters_.add(Count::Takeovers);
        members_.insert_or_assign(*from.proxy, from.id);
        input_().joined(*from.proxy, *zone, greeting->weight, greeting->fresh);
    } else {
        watchers_.insert(from.id);
        watch(from);
    }
    pump(from);
    return true;
}

bool Hub::applied(Subscriber& from, const Frame& frame) {
    const auto part = frame.more ? std::optional(frame.part) : std::nullopt;
    if (frame.epoch != epoch_ || !from.acked(frame.topic, frame.sequence, part, pacing_, clock_()))
        return counters_.passedOver(Count::BadMark, "an answer to what was not sent"), true;
    settle(from);
    pump(from);
    pumpWaiting();
    return true;
}

bool Hub::ask(Subscriber& from, const Frame& frame) {
    const auto found = from.holdings.find(frame.topic);
    if (found == from.holdings.end())
        return counters_.passedOver(Count::BadField, "a snapshot of a topic that it does not hold"), true;
    auto& holding = found->second;
    holding.snapshot = true;
    holding.sending.reset(); // what is half sent is of no use to it
    holding.next = 0;
    pump(from);
    return true;
}

bool Hub::usage(Subscriber& from, const Frame& frame) {
    const auto line = readUsage(frame.body);
    const auto product = line ? names_.product(line->product) : std::nullopt;
    if (!line || !product || !from.proxy || line->txns > kTxnsMost || line->voided > kTxnsMost ||
        line->span > kSpanMost)
        return counters_.passedOver(line && !product ? Count::BadName : Count::BadField, "usage"), true;
    counters_.add(Count::Demands);
    input_().usage({*from.proxy, *product, line->txns, line->voided, line->span});
    return true;
}

bool Hub::beat(Subscriber&, const Frame&) { return true; }

bool Hub::bye(Subscriber& from, const Frame&) { return step(from, Input::Parted); }

void Hub::replaced(ProxyId proxy) {
    const auto found = members_.find(proxy);
    counters_.holds(found != members_.end());
    if (found == members_.end()) return;
    Subscriber& old = *subscribers_.at(found->second);
    old.proxy.reset(); // it is not this stream's any more, so its end is no leaving
    members_.erase(found);
    step(old, Input::Replaced, "a newer stream of this proxy is up");
}

bool Hub::step(Subscriber& one, Input input, std::string_view reason) {
    const auto parting = [&](Type type, bool again) {
        std::optional<Micros> after;
        if (again) after = comeBack_.after(clock_());
        counters_.passedOver(Count::LetGo, reason);
        depart(one);
        one.target->leave(*frameOf(type, write(Parting{std::string(reason.substr(0, 200)), after})));
    };
    const Effect effect = one.step(input);
    switch (effect) {
    case Effect::Nothing: break;
    case Effect::Welcome: {
        const std::uint32_t features = one.compresses ? kCompression : 0;
        one.target->push(frameOf(Type::Welcome,
                                 write(Welcome{kVersion, features, planner_, leases_.beat, leases_.lease})));
        break;
    }
    case Effect::CountLag: counters_.add(Count::Lags); break;
    case Effect::CountResync: counters_.add(Count::Resyncs); break;
    case Effect::Refuse: parting(Type::Refused, input == Input::Off); break;
    case Effect::SayBye: parting(Type::Bye, input != Input::Replaced); break;
    case Effect::Close:
        depart(one);
        one.target->leave({});
        break;
    }
    return one.state() != State::Leaving;
}

/// Its proxy has left, and what it owes is not waited for. The subscriber itself stays until its stream ends.
void Hub::depart(Subscriber& one) {
    one.abandon(pacing_);
    for (auto& [topic, holding] : one.holdings) holding.sending.reset();
    if (!one.proxy) return;
    const ProxyId proxy = *std::exchange(one.proxy, {});
    members_.erase(proxy);
    if (!book_.left(proxy, *this)) return;
    counters_.add(Count::StreamsEnded);
    input_().left(proxy);
}

SharedFrame Hub::frameOf(Type type, std::string body) {
    Frame frame{type};
    frame.epoch = epoch_;
    frame.body = std::move(body);
    return std::make_shared<const std::string>(writeFrame(frame, false));
}

void Hub::turn() {
    const Micros now = clock_();
    std::map<Heads, SharedFrame> beats; // one for all who hold the same topics
    for (auto& [id, one] : subscribers_) {
        if (one->state() == State::Greeting || one->state() == State::Leaving) continue;
        if (one->owes() && now - one->movedAt > leases_.patience && !one->window.stuck) {
            counters_.add(Count::Stuck);
            pacing_.stuck(one->window);
        }
        if (id.value % kTurns != turn_) continue;
        if (now - one->heardAt > leases_.lease) {
            step(*one, Input::Silent, "nothing was heard for the length of its lease");
            continue;
        }
        if (one->owes() && now - one->movedAt > leases_.stall) {
            step(*one, Input::Stalled, "it answers nothing of what it was sent");
            continue;
        }
        Heads heads;
        for (const auto& [topic, holding] : one->holdings)
            heads.emplace_back(topic, topics_.at(topic).log.head());
        auto& frame = beats[heads];
        if (!frame) frame = frameOf(Type::Beat, write(heads));
        one->target->push(frame);
    }
    turn_ = (turn_ + 1) % kTurns;
    pumpWaiting();
}

void Hub::off() {
    off_ = true;
    for (auto& [id, one] : subscribers_) step(*one, Input::Off, "the channel is switched off");
}

} // namespace zincstack::pubsub

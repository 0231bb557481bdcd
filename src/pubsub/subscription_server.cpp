#include "pubsub/subscription_server.h"

#include <algorithm>
#include <utility>

namespace zincstack::pubsub {

namespace {

using net::Counter;

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

SubscriptionServer::SubscriptionServer(routing::RoutingState& book, const net::NameRegistry& names,
                                       net::Counters& counters, std::string planner, Epoch epoch,
                                       std::uint32_t proxies, const FlowControlLimits& pace,
                                       const LeaseConfig& leases, std::size_t tombstones, InputOf input,
                                       Clock clock)
    : book_(book), names_(names), counters_(counters), planner_(std::move(planner)), epoch_(epoch),
      proxies_(proxies), leases_(leases), tombstones_(tombstones), input_(std::move(input)),
      clock_(std::move(clock)), pacing_(pace),
      comeBack_(leases.heartbeatInterval, leases.reconnectsPerSecond) {
    topics_.emplace(kWithdrawnTopic, Topic(tombstones_));
    for (const EndpointId server : book_.excludedEndpoints()) exclusionChanged(server, true);
    for (const auto& [table, orders] : book_.tables()) topic(table);
    book_.addTransport(*this);
}

SubscriptionServer::~SubscriptionServer() {
    for (auto& [id, one] : subscribers_) depart(*one);
    book_.removeTransport(*this);
}

/// A topic that is new holds what the book does already: the channel may be switched on late.
SubscriptionServer::Topic& SubscriptionServer::topic(TableId table) {
    const auto [at, fresh] = topics_.try_emplace(topicOf(table), tombstones_);
    if (fresh && book_.tables().contains(table)) {
        for (const auto& [server, weight] : book_.table(table).weights)
            at->second.log.put({{Key::Kind::Line, names_.nameOf(server)}, {weight, {}}});
        putLevels(table, book_.allRequestClasses());
    }
    return at->second;
}

const TopicLog* SubscriptionServer::log(TopicId topic) const {
    const auto found = topics_.find(topic);
    return found == topics_.end() ? nullptr : &found->second.log;
}

std::size_t SubscriptionServer::inState(State state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(subscribers_, [&](const auto& one) { return one.second->state() == state; }));
}

// ---- what the order book tells ----------------------------------------------------------------------------

void SubscriptionServer::weightChanged(TableId table, EndpointId server, double weight) {
    dirty_ = true;
    topic(table).log.put({{Key::Kind::Line, names_.nameOf(server)}, {weight, {}}});
}

void SubscriptionServer::exclusionChanged(EndpointId server, bool out) {
    dirty_ = true;
    topics_.at(kWithdrawnTopic).log.put({{Key::Kind::Out, names_.nameOf(server)}, {out ? 1.0 : 0.0, {}}});
}

/// Guards against a name that comes back as another server: nobody may keep it shut out then.
void SubscriptionServer::endpointForgotten(EndpointId server) {
    exclusionChanged(server, false);
    for (auto& [id, topic] : topics_)
        if (id != kWithdrawnTopic) topic.log.put({{Key::Kind::Line, names_.nameOf(server)}, {0, {}}});
}

/// A level counts for the products that the table is known to serve.
void SubscriptionServer::putLevels(TableId table, RequestClassSet products) {
    const routing::RoutingTable& orders = book_.table(table);
    Topic& topic = topics_.at(topicOf(table));
    for (std::uint16_t p = 0; p < names_.requestClassCount(); ++p) {
        if (!(products & orders.requestClasses & 1U << p)) continue;
        if (const auto level = book_.effectiveAdmission(table, {p}))
            topic.log.put(
                {{Key::Kind::Level, names_.nameOf(RequestClassId{p})}, {level->limit, level->retryPolicy}});
    }
}

void SubscriptionServer::admissionChanged(std::optional<TableId> table, RequestClassSet products) {
    dirty_ = true;
    for (const auto& [one, orders] : book_.tables())
        if (!table || one == *table) topic(one), putLevels(one, products);
}

void SubscriptionServer::tableAssigned(ProxyId proxy, TableId table) {
    topic(table);
    putLevels(table, book_.allRequestClasses());
    const auto found = members_.find(proxy);
    counters_.checkInvariant(found != members_.end());
    if (found != members_.end()) hold(*subscribers_.at(found->second), topicOf(table));
    dirty_ = true;
}

/// What it has of this very life is brought up by what changed since; all else begins with a snapshot.
void SubscriptionServer::hold(Subscriber& one, TopicId topic) {
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

void SubscriptionServer::watch(Subscriber& one) {
    for (const auto& [table, orders] : book_.tables())
        if (orders.zone == one.zone) topic(table), hold(one, topicOf(table));
}

/// Only those are concerned for whom something has changed since the last mark.
void SubscriptionServer::barrierRequested(BarrierId number, bool everyProxy) {
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
        book_.messageWritten(proxy, number, 0); // its lines are counted here, while they are on their way
    }
    dirty_ = true;
}

void SubscriptionServer::flush() {
    if (std::exchange(dirty_, false)) {
        for (const SubscriberId id : watchers_) watch(*subscribers_.at(id));
        for (auto& [id, one] : subscribers_) pump(*one);
    }
    pumpWaiting(); // other fronts may have made room
}

// ---- bringing subscribers up ------------------------------------------------------------------------------

bool SubscriptionServer::due(TopicId topic, const Subscriber::Holding& holding) const {
    return holding.sending || holding.snapshot || !holding.greeted ||
           holding.sent < topics_.at(topic).log.head();
}

std::shared_ptr<const Message> SubscriptionServer::messageFor(Subscriber& one, TopicId topic,
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
    counters_.add(Counter::Snapshots);
    return kept;
}

std::shared_ptr<const Message> SubscriptionServer::encode(const Topic& of, TopicId topic, Sequence since,
                                                          bool snapshot, bool compressed) {
    const auto entries = snapshot ? of.log.whole() : of.log.since(since);
    auto out = std::make_shared<Message>();
    out->topic = topic;
    out->to = of.log.head();
    out->urgency = topic == kWithdrawnTopic ? Urgency::Withdrawal
                   : snapshot               ? Urgency::Snapshot
                                            : Urgency::Change;
    Frame frame{snapshot ? FrameType::Snapshot : FrameType::Changes};
    frame.topic = topic;
    frame.epoch = epoch_;
    frame.sequence = out->to;
    frame.since = since;
    std::size_t at = 0;
    do {
        TopicBody body;
        if (at == 0 && topic != kWithdrawnTopic) {
            const TableId table{static_cast<std::uint16_t>(topic.value - 1)};
            for (std::uint16_t p = 0; snapshot && p < names_.requestClassCount(); ++p)
                if (book_.table(table).requestClasses >> p & 1U)
                    body.products.push_back(names_.nameOf(RequestClassId{p}));
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
        counters_.add(Counter::FramesEncoded);
    } while (at < entries.size());
    return out;
}

/// Sends what there is room for. `again`: it had waited for room in all.
void SubscriptionServer::pump(Subscriber& one, bool again) {
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
                            book_.unacknowledgedLines())) {
        case FlowControl::Verdict::OwnFull: step(one, Input::Shut); return;
        case FlowControl::Verdict::AllFull:
            one.waits = true;
            pacing_.wait(one.id, message->urgency, again);
            return;
        case FlowControl::Verdict::Go: break;
        }
        if (!one.target->push(part.frame)) {
            step(one, Input::Shut);
            return;
        }
        counters_.add(Counter::FramesOut);
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

void SubscriptionServer::pumpWaiting() {
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

void SubscriptionServer::settle(Subscriber& one) {
    const auto mark = one.settled();
    if (!mark || !one.proxy) return;
    if (!book_.barrierAcknowledged(*one.proxy, *mark)) return;
    counters_.add(Counter::Acks);
    input_().barrierAcknowledged(*one.proxy, *mark);
}

// ---- streams ----------------------------------------------------------------------------------------------

Subscriber& SubscriptionServer::sessionOpened(FrameTarget& target) {
    const SubscriberId id{nextId_++};
    return *subscribers_.emplace(id, std::make_unique<Subscriber>(id, target, clock_())).first->second;
}

void SubscriptionServer::sessionClosed(Subscriber& gone) {
    step(gone, Input::Parted);
    watchers_.erase(gone.id);
    subscribers_.erase(gone.id);
    pumpWaiting();
}

bool SubscriptionServer::handleFrame(Subscriber& from, const Frame& frame) {
    static constexpr std::pair<FrameType, Call> kCalls[] = {
        {FrameType::Hello, &SubscriptionServer::hello}, {FrameType::Applied, &SubscriptionServer::applied},
        {FrameType::Ask, &SubscriptionServer::ask},     {FrameType::Usage, &SubscriptionServer::usage},
        {FrameType::Beat, &SubscriptionServer::beat},   {FrameType::Bye, &SubscriptionServer::bye}};
    counters_.add(Counter::FramesIn);
    if (from.state() == State::Leaving) return false;
    from.heardAt = clock_();
    if ((from.state() == State::Greeting) != (frame.type == FrameType::Hello))
        return step(from, Input::Garbled,
                    frame.type == FrameType::Hello ? "a second greeting" : "no greeting came first");
    const auto* const call = std::ranges::find(kCalls, frame.type, &std::pair<FrameType, Call>::first);
    if (call == std::end(kCalls)) return counters_.add(Counter::FramesSkipped), true; // of a later version
    return (this->*call->second)(from, frame);
}

void SubscriptionServer::protocolError(Subscriber& from, const std::string& fault) {
    counters_.recordIgnored(Counter::BadFrames, fault);
    step(from, Input::Garbled, fault);
}

bool SubscriptionServer::hello(Subscriber& from, const Frame& frame) {
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
    counters_.add(Counter::Subscriptions);
    if (greeting->proxy) {
        from.proxy = greeting->proxy;
        if (book_.proxyJoined(*from.proxy, *zone, *this)) counters_.add(Counter::Takeovers);
        members_.insert_or_assign(*from.proxy, from.id);
        input_().proxyJoined(*from.proxy, *zone, greeting->weight, greeting->fresh);
    } else {
        watchers_.insert(from.id);
        watch(from);
    }
    pump(from);
    return true;
}

bool SubscriptionServer::applied(Subscriber& from, const Frame& frame) {
    const auto part = frame.more ? std::optional(frame.part) : std::nullopt;
    if (frame.epoch != epoch_ || !from.acked(frame.topic, frame.sequence, part, pacing_, clock_()))
        return counters_.recordIgnored(Counter::BadMark, "an answer to what was not sent"), true;
    settle(from);
    pump(from);
    pumpWaiting();
    return true;
}

bool SubscriptionServer::ask(Subscriber& from, const Frame& frame) {
    const auto found = from.holdings.find(frame.topic);
    if (found == from.holdings.end())
        return counters_.recordIgnored(Counter::BadField, "a snapshot of a topic that it does not hold"),
               true;
    auto& holding = found->second;
    holding.snapshot = true;
    holding.sending.reset(); // what is half sent is of no use to it
    holding.next = 0;
    pump(from);
    return true;
}

bool SubscriptionServer::usage(Subscriber& from, const Frame& frame) {
    const auto line = readUsage(frame.body);
    const auto product = line ? names_.requestClass(line->requestClass) : std::nullopt;
    if (!line || !product || !from.proxy || line->requests > kTxnsMost || line->unanswered > kTxnsMost ||
        line->interval > kSpanMost)
        return counters_.recordIgnored(line && !product ? Counter::BadName : Counter::BadField, "usage"),
               true;
    counters_.add(Counter::Demands);
    input_().reportDemand({*from.proxy, *product, line->requests, line->unanswered, line->interval});
    return true;
}

bool SubscriptionServer::beat(Subscriber&, const Frame&) { return true; }

bool SubscriptionServer::bye(Subscriber& from, const Frame&) { return step(from, Input::Parted); }

void SubscriptionServer::sessionReplaced(ProxyId proxy) {
    const auto found = members_.find(proxy);
    counters_.checkInvariant(found != members_.end());
    if (found == members_.end()) return;
    Subscriber& old = *subscribers_.at(found->second);
    old.proxy.reset(); // it is not this stream's any more, so its end is no leaving
    members_.erase(found);
    step(old, Input::Replaced, "a newer stream of this proxy is up");
}

bool SubscriptionServer::step(Subscriber& one, Input input, std::string_view reason) {
    const auto parting = [&](FrameType type, bool again) {
        std::optional<Micros> after;
        if (again) after = comeBack_.after(clock_());
        counters_.recordIgnored(Counter::LetGo, reason);
        depart(one);
        one.target->leave(*frameOf(type, write(DisconnectNotice{std::string(reason.substr(0, 200)), after})));
    };
    const Effect effect = one.step(input);
    switch (effect) {
    case Effect::Nothing: break;
    case Effect::Welcome: {
        const std::uint32_t features = one.compresses ? kCompression : 0;
        one.target->push(frameOf(
            FrameType::Welcome,
            write(Welcome{kVersion, features, planner_, leases_.heartbeatInterval, leases_.leaseDuration})));
        break;
    }
    case Effect::CountLag: counters_.add(Counter::Lags); break;
    case Effect::CountResync: counters_.add(Counter::Resyncs); break;
    case Effect::Refuse: parting(FrameType::Refused, input == Input::Off); break;
    case Effect::SayBye: parting(FrameType::Bye, input != Input::Replaced); break;
    case Effect::Close:
        depart(one);
        one.target->leave({});
        break;
    }
    return one.state() != State::Leaving;
}

/// Its proxy has left, and what it owes is not waited for. The subscriber itself stays until its stream ends.
void SubscriptionServer::depart(Subscriber& one) {
    one.abandon(pacing_);
    for (auto& [topic, holding] : one.holdings) holding.sending.reset();
    if (!one.proxy) return;
    const ProxyId proxy = *std::exchange(one.proxy, {});
    members_.erase(proxy);
    if (!book_.proxyLeft(proxy, *this)) return;
    counters_.add(Counter::StreamsEnded);
    input_().proxyLeft(proxy);
}

SharedFrame SubscriptionServer::frameOf(FrameType type, std::string body) {
    Frame frame{type};
    frame.epoch = epoch_;
    frame.body = std::move(body);
    return std::make_shared<const std::string>(writeFrame(frame, false));
}

void SubscriptionServer::tick() {
    const Micros now = clock_();
    std::map<Heads, SharedFrame> beats; // one for all who hold the same topics
    for (auto& [id, one] : subscribers_) {
        if (one->state() == State::Greeting || one->state() == State::Leaving) continue;
        if (one->owes() && now - one->movedAt > leases_.ackTimeout && !one->window.stuck) {
            counters_.add(Counter::Stuck);
            pacing_.stuck(one->window);
        }
        if (id.value % kTicksPerHeartbeat != turn_) continue;
        if (now - one->heardAt > leases_.leaseDuration) {
            step(*one, Input::Silent, "nothing was heard for the length of its lease");
            continue;
        }
        if (one->owes() && now - one->movedAt > leases_.stallTimeout) {
            step(*one, Input::Stalled, "it answers nothing of what it was sent");
            continue;
        }
        Heads heads;
        for (const auto& [topic, holding] : one->holdings)
            heads.emplace_back(topic, topics_.at(topic).log.head());
        auto& frame = beats[heads];
        if (!frame) frame = frameOf(FrameType::Beat, write(heads));
        one->target->push(frame);
    }
    turn_ = (turn_ + 1) % kTicksPerHeartbeat;
    pumpWaiting();
}

void SubscriptionServer::suspend() {
    off_ = true;
    for (auto& [id, one] : subscribers_) step(*one, Input::Off, "the channel is switched off");
}

} // namespace zincstack::pubsub

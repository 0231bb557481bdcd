// The channel without sockets: log, wire, replica, pacing, hub and subscription, and the failures they are for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <zstd.h>

#include "client/reconnect_backoff.h"
#include "pubsub_harness.h"

namespace zincstack::pubsub {
namespace {

using tests::Yard;
using namespace std::chrono_literals;
using Lines = std::map<std::string, double>;

Entry line(int k, double weight) { return {{Key::Kind::Weight, "s-" + std::to_string(k)}, {weight, {}}}; }

void applyTo(Lines& lines, const std::vector<Entry>& entries) {
    for (const auto& [key, value] : entries)
        if (value.number > 0)
            lines[key.name] = value.number;
        else
            lines.erase(key.name);
}

RC_GTEST_PROP(TopicLog, AReaderAtAnyOlderStateIsBroughtUpAndUnsentChangesMerge, ()) {
    TopicLog log(3);
    Lines now;
    std::vector<std::pair<Sequence, Lines>> states{{log.head(), now}};
    const auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    for (const auto& [server, weight] : changes) {
        log.put(line(server, weight));
        applyTo(now, {line(server, weight)});
        states.emplace_back(log.head(), now);
    }
    RC_ASSERT(log.tombstones() <= 3U);
    for (auto& [at, lines] : states) {
        if (!log.covers(at)) continue;
        const auto since = log.since(at);
        std::set<std::string> names;
        for (const auto& one : since) RC_ASSERT(names.insert(one.key.name).second); // each once
        applyTo(lines, since);
        RC_ASSERT(lines == now);
        RC_ASSERT(log.changedSince(at, 100) == since.size());
    }
    Lines whole;
    applyTo(whole, log.snapshot());
    RC_ASSERT(whole == now);
}

TEST(TopicLog, WhatSaysNothingNewTakesNoSequenceAndAForgottenEndAsksForASnapshot) {
    TopicLog log(1);
    EXPECT_TRUE(log.put(line(1, 2)));
    EXPECT_FALSE(log.put(line(1, 2)));
    EXPECT_FALSE(log.put(line(9, 0)));
    EXPECT_TRUE(log.put({{Key::Kind::Admission, "lookup"}, {0, {}}})); // declines all, and stands
    EXPECT_EQ(log.head(), Sequence{2});
    EXPECT_EQ(log.size(), 2U);
    log.put(line(2, 1)), log.put(line(1, 0));
    EXPECT_TRUE(log.covers({1}));
    log.put(line(2, 0)); // a second end: the first is forgotten
    EXPECT_FALSE(log.covers({1}));
    EXPECT_FALSE(log.covers({3}));
    EXPECT_TRUE(log.covers({4}));
    EXPECT_FALSE(log.covers({99}));
}

Frame frameOf(FrameType type, std::string body = {}) {
    Frame out{type};
    out.topic = {3}, out.epoch = {7}, out.sequence = {9}, out.since = {8};
    out.body = std::move(body);
    return out;
}

RC_GTEST_PROP(ChannelWire, FramesAreTheSameHoweverTheyAreCut, ()) {
    std::string all;
    std::vector<std::string> wanted, got;
    for (int k = *rc::gen::inRange(0, 5); k > 0; --k) {
        wanted.push_back(std::string(*rc::gen::inRange<std::size_t>(0, 3000), static_cast<char>('a' + k)));
        all += encodeFrame(frameOf(FrameType::Changes, wanted.back()), *rc::gen::arbitrary<bool>());
    }
    FrameReader reader(kMaxServerFrameBytes);
    for (std::string_view rest = all; !rest.empty();) {
        const auto size = std::min<std::size_t>(rest.size(), *rc::gen::inRange(1, 700));
        const auto fault = reader.feed(rest.substr(0, size), [&](Frame& frame) {
            got.push_back(frame.body);
            return frame.topic == TopicId{3} && frame.epoch == Epoch{7} && frame.sequence == Sequence{9};
        });
        RC_ASSERT(!fault);
        rest.remove_prefix(size);
    }
    RC_ASSERT(got == wanted);
    RC_ASSERT(reader.bufferedBytes() == 0U);
}

RC_GTEST_PROP(ChannelWire, AnyBytesAreRefusedOrReadAndNoMoreThanAFrameIsHeld, ()) {
    auto text = encodeFrame(
        frameOf(FrameType::Snapshot, encode(TopicBody{{"lookup"}, {line(1, 2), line(2, .5)}})), true);
    for (int k = *rc::gen::inRange(0, 6); k > 0; --k)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
    text += *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    FrameReader reader(kMaxClientFrameBytes);
    reader.feed(text, [](Frame& frame) {
        decodeHello(frame.body), decodeWelcome(frame.body), decodeDisconnectNotice(frame.body),
            decodeDemandRecord(frame.body);
        decodeTopicHeads(frame.body), decodeTopicBody(frame.body);
        return true;
    });
    RC_ASSERT(reader.bufferedBytes() <= kMaxClientFrameBytes);
}

TEST(ChannelWire, BodiesComeBackAsTheyWere) {
    Hello hello;
    hello.proxy = ProxyId{17}, hello.zone = "a", hello.weight = 21.5, hello.onlyBootstrapTable = true;
    hello.positions = {{{1}, {1'790'000'000'000'000}, {5}}};
    const auto greeting = decodeHello(encode(hello));
    ASSERT_TRUE(greeting);
    EXPECT_EQ(greeting->proxy, hello.proxy);
    EXPECT_EQ(greeting->weight, 21.5);
    EXPECT_EQ(greeting->positions, hello.positions);
    const auto parting = decodeDisconnectNotice(encode(DisconnectNotice{"off", 3s}));
    EXPECT_EQ(parting->retryAfter, Micros(3s));
    EXPECT_FALSE(decodeDisconnectNotice(encode(DisconnectNotice{"off", {}}))->retryAfter);
    TopicBody body{{"lookup", "order"},
                   {line(1, 0.6),
                    line(2, 3),
                    {{Key::Kind::Admission, "order"}, {0.25, RetryPolicy::AfterProofOfNoEffect}},
                    {{Key::Kind::Exclusion, "s-9"}, {1, {}}}}};
    const auto topic = decodeTopicBody(encode(body));
    EXPECT_EQ(topic->requestClasses, body.requestClasses);
    EXPECT_EQ(topic->entries, body.entries);
    EXPECT_EQ(decodeTopicHeads(encode(TopicHeads{{{0}, {4}}, {{2}, {5}}}))->size(), 2U);
    EXPECT_EQ(decodeDemandRecord(encode(DemandRecord{"order", 5, 1, 1s}))->requests, 5U);
}

std::string cborOf(const nlohmann::json& value) {
    std::string out;
    nlohmann::json::to_cbor(value, out);
    return out;
}

TEST(ChannelWire, BodiesThatCantBeAreRefused) {
    using nlohmann::json;
    const json hello{{"versions", {1, 1}}, {"features", 0}, {"zone", "a"}};
    EXPECT_TRUE(decodeHello(cborOf(hello)));
    for (const auto& [name, bad] : std::vector<std::pair<std::string, json>>{{"versions", 1},
                                                                             {"versions", {1}},
                                                                             {"versions", {-1, 1}},
                                                                             {"features", "x"},
                                                                             {"zone", ""},
                                                                             {"zone", std::string(300, 'z')},
                                                                             {"proxy", 70000},
                                                                             {"proxy", 3},
                                                                             {"have", {{1, 2}}},
                                                                             {"have", 4}}) {
        json other = hello;
        other[name] = bad;
        EXPECT_FALSE(decodeHello(cborOf(other))) << name << " " << bad;
    }
    for (const json& bad :
         {json{{"lines", {{"s", -1}}}}, json{{"lines", {{"s", "1"}}}}, json{{"lines", {{"", 1}}}},
          json{{"levels", {{"p", 1}}}}, json{{"levels", {{"p", {1, 9}}}}}, json::array({1})})
        EXPECT_FALSE(decodeTopicBody(cborOf(bad))) << bad;
    EXPECT_TRUE(
        decodeTopicBody(cborOf({{"later", {1, 2}}, {"lines", {{"s", 1}}}}))); // what is not known is let pass
    EXPECT_FALSE(decodeTopicBody(std::string(100'000, '\x81')));              // as deep as it is long
    EXPECT_FALSE(decodeTopicBody(std::string(9, '\xbb'))); // a map of more than any memory holds
    EXPECT_FALSE(decodeTopicBody(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
}

TEST(ChannelWire, ImpossibleLengthsAndBombsAreRefusedBeforeAnythingGrows) {
    const auto faultOf = [](std::string bytes) {
        FrameReader reader(kMaxClientFrameBytes);
        const auto fault = reader.feed(bytes, [](Frame&) { return true; });
        EXPECT_LE(reader.bufferedBytes(), kMaxClientFrameBytes);
        return fault.value_or("");
    };
    EXPECT_NE(faultOf("GET / HTTP/1.1\r\n\r\n").find("a frame of"), std::string::npos);
    EXPECT_NE(faultOf(std::string("\xff\xff\xff\xff", 4)).find("a frame of"), std::string::npos);
    EXPECT_NE(faultOf(std::string("\0\0\0\1", 4)).find("a frame of 1 "), std::string::npos);
    EXPECT_EQ(faultOf(std::string("\0\0\0", 3)), "");
    const std::string zeros(kMaxBodyBytes, '\0');
    std::string bomb =
        encodeFrame(frameOf(FrameType::Hello, zeros), true); // a few bytes that unpack to all that may be
    EXPECT_LT(bomb.size(), 1000U);
    EXPECT_EQ(faultOf(bomb), "");
    bomb[12] = '\x7f'; // and more than may be
    EXPECT_NE(faultOf(bomb).find("a body of"), std::string::npos);
    bomb[12] = 0, bomb[14] = 1, bomb[13] = 0; // and more than it says
    EXPECT_NE(faultOf(bomb).find("can't be unpacked"), std::string::npos);
}

/// Frames of a log to a replica, lost, doubled and out of order.
RC_GTEST_PROP(Replica, WhateverIsLostDoubledOrReorderedItNeverGoesBackAndEndsAsTheLog, ()) {
    TopicLog log(4);
    Replica replica(10s);
    Epoch epoch{5};
    replica.sessionAccepted(epoch);
    std::vector<Frame> flying;
    std::map<Sequence, Lines> states{{log.head(), {}}};
    Lines truth;
    const auto send = [&](FrameType type, Sequence since) {
        Frame frame{type};
        frame.topic = {1}, frame.epoch = epoch, frame.sequence = log.head(), frame.since = since;
        const auto all = type == FrameType::Snapshot ? log.snapshot() : log.since(since);
        for (std::size_t at = 0; at == 0 || at < all.size(); at += 2, ++frame.part) { // two entries a part
            const auto last = std::min(at + 2, all.size());
            frame.more = last < all.size();
            frame.body = encode(TopicBody{{"lookup"},
                                          {all.begin() + static_cast<std::ptrdiff_t>(at),
                                           all.begin() + static_cast<std::ptrdiff_t>(last)}});
            flying.push_back(frame);
        }
    };
    const auto arrive = [&](std::size_t which) {
        const auto before = replica.at({1});
        replica.apply(flying[which], 1s);
        const auto after = replica.at({1});
        RC_ASSERT((!before || (after && *after >= *before)));
        if (after && states.contains(*after)) {
            const auto* table = replica.tableOf("lookup");
            RC_ASSERT((table ? table->weights : Lines{}) == states.at(*after));
        }
    };
    for (int steps = *rc::gen::inRange(0, 60); steps > 0; --steps) {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1: {
            const int server = *rc::gen::inRange(0, 6), weight = *rc::gen::inRange(0, 3);
            log.put(line(server, weight));
            applyTo(truth, {line(server, weight)});
            states[log.head()] = truth;
            break;
        }
        case 2:
            if (const auto at = replica.at({1}); at && log.covers(*at)) send(FrameType::Changes, *at);
            break;
        case 3: send(FrameType::Snapshot, {}); break;
        case 4:
            if (!flying.empty()) arrive(*rc::gen::inRange<std::size_t>(0, flying.size()));
            break;
        case 5:
            if (!flying.empty()) flying.erase(flying.begin());
        }
    }
    flying.clear();
    send(FrameType::Snapshot, {});
    for (std::size_t k = 0; k < flying.size(); ++k) arrive(k);
    RC_ASSERT(replica.at({1}) == log.head());
    RC_ASSERT((replica.tableOf("lookup") ? replica.tableOf("lookup")->weights : Lines{}) == truth);
}

TEST(Replica, AnotherPlannersTableReplacesTheOldOneOnlyOnceItIsWholeAndItsWithdrawalsAreKeptAWhile) {
    Replica replica(10s);
    const auto frame = [](Epoch epoch, TopicId topic, std::vector<Entry> entries, bool more = false,
                          std::uint16_t part = 0) {
        Frame out{FrameType::Snapshot};
        out.epoch = epoch, out.topic = topic, out.sequence = {3}, out.more = more, out.part = part;
        out.body = encode(TopicBody{{"lookup"}, std::move(entries)});
        return out;
    };
    const Entry out1{{Key::Kind::Exclusion, "s-1"}, {1, {}}};
    replica.sessionAccepted({1});
    EXPECT_EQ(replica.apply(frame({1}, {0}, {out1}), 1s), Replica::Outcome::Applied);
    EXPECT_EQ(replica.apply(frame({1}, {1}, {line(1, 1), line(2, 1)}), 1s), Replica::Outcome::Applied);
    EXPECT_EQ(replica.eligibleEndpoints(*replica.tableOf("lookup"), 1s).size(), 1U);

    replica.sessionAccepted({2}); // has not heard of the drain yet
    EXPECT_EQ(replica.apply(frame({1}, {1}, {line(3, 1)}), 2s), Replica::Outcome::OtherEpoch);
    EXPECT_EQ(replica.apply(frame({2}, {0}, {}), 2s), Replica::Outcome::Applied);
    EXPECT_EQ(replica.apply(frame({2}, {1}, {line(1, 1)}, true), 2s), Replica::Outcome::PartReceived);
    EXPECT_EQ(replica.tableOf("lookup")->weights.size(), 2U); // not whole yet
    EXPECT_EQ(replica.apply(frame({2}, {1}, {line(2, 1)}, false, 1), 2s), Replica::Outcome::Applied);
    EXPECT_TRUE(replica.isExcluded("s-1", 2s));
    EXPECT_FALSE(replica.isExcluded("s-1", 12s)); // hearsay by now
    EXPECT_EQ(replica.apply(frame({2}, {1}, {line(1, 1)}), 2s), Replica::Outcome::Duplicate); // same sequence
    // Where only such a server is left, nobody stays without.
    replica.sessionAccepted({3});
    EXPECT_EQ(replica.apply(frame({3}, {1}, {line(1, 1)}), 2s), Replica::Outcome::Applied);
    EXPECT_EQ(replica.eligibleEndpoints(*replica.tableOf("lookup"), 3s).size(), 1U);
}

TEST(FlowControl, EachAndAllAreBoundedAndUrgentMessagesHaveCapacityLeft) {
    FlowControl flowControl(
        {.maxLinesPerSubscriber = 100, .maxBytesPerSubscriber = 1000, .maxQueuedLines = 1000});
    using Decision = FlowControl::Decision;
    const MessageSize large{300, 9000};
    const MessageSize medium{100, 100};
    Window first;
    Window second;
    EXPECT_EQ(flowControl.check(MessagePriority::Snapshot, large, first, 0), Decision::Send); // alone
    flowControl.onSent(first, large);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, {1, 1}, first, 0), Decision::SubscriberWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Snapshot, medium, second, 150), Decision::TotalWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, medium, second, 150), Decision::Send);
    EXPECT_EQ(flowControl.check(MessagePriority::Change, medium, second, 400), Decision::TotalWindowFull);
    EXPECT_EQ(flowControl.check(MessagePriority::Exclusion, medium, second, 400), Decision::Send);
    EXPECT_EQ(flowControl.check(MessagePriority::Exclusion, medium, second, 600), Decision::TotalWindowFull);
    flowControl.onAcknowledged(first, large);
    EXPECT_EQ(flowControl.lines(), 0U);
    flowControl.enqueueWaiter({1}, MessagePriority::Snapshot, false);
    flowControl.enqueueWaiter({2}, MessagePriority::Snapshot, false);
    flowControl.enqueueWaiter({3}, MessagePriority::Exclusion, false);
    flowControl.enqueueWaiter({4}, MessagePriority::Snapshot, true);
    for (const std::uint64_t next : {3U, 4U, 1U, 2U})
        EXPECT_EQ(flowControl.dequeueWaiter(), SubscriberId{next});
    EXPECT_FALSE(flowControl.dequeueWaiter());
}

TEST(RetryAfterPlanner, ThoseWhoAreSentAwayTogetherComeBackApart) {
    RetryAfterPlanner spread(1s, 100);
    EXPECT_EQ(spread.nextRetryAfter(5s), 1s);
    for (int k = 1; k < 300; ++k) EXPECT_EQ(spread.nextRetryAfter(5s), 1s + k * 10ms);
    EXPECT_EQ(spread.nextRetryAfter(60s), 1s);
}

TEST(Redial, WaitsDoubleAreSpreadAndTheNextPlannerIsTried) {
    client::ReconnectBackoff redial(2, {.initialDelay = 100ms, .maxDelay = 1s, .resetAfter = 10s}, 7);
    Micros most{};
    for (std::size_t k = 0; k < 12; ++k) {
        const auto call = redial.nextAttempt(0s, {});
        EXPECT_EQ(call.address, (k + 1) % 2);
        const Micros wait = std::min(Micros(100ms * (1 << k / 2)), Micros(1s));
        EXPECT_GE(call.delay, wait / 2);
        EXPECT_LE(call.delay, wait);
        most = std::max(most, call.delay);
    }
    EXPECT_GT(most, 500ms);
    EXPECT_EQ(redial.nextAttempt(0s, 3s).delay, 3s); // as the planner said, and the same planner
    EXPECT_EQ(redial.address(), 0U);
    EXPECT_LE(redial.nextAttempt(11s, {}).delay, 100ms);
    const auto first = client::ReconnectBackoff(2, {}, 1).nextAttempt(0s, {}).delay,
               second = client::ReconnectBackoff(2, {}, 2).nextAttempt(0s, {}).delay;
    EXPECT_NE(first, second);
}

struct PubsubService : testing::Test, Yard {
    void TearDown() override {
        EXPECT_TRUE(broken.empty()) << broken.front();
        EXPECT_EQ(counters.of(net::Counter::BrokenInvariant), 0U);
    }
    void servers(int count, std::size_t zone = 0) {
        batch([&] {
            for (int k = 0; k < count; ++k) line(zone, k, 1 + k % 3);
        });
    }
    Client& joined(std::uint16_t proxy) {
        Client& out = add(proxy);
        batch();
        settle();
        return out;
    }
};

TEST_F(PubsubService, ASubscriberJoinsGetsASnapshotThenChangesAndItsMarksAreAnswered) {
    servers(20);
    Client& one = add(3);
    EXPECT_EQ(planner.seen, std::vector<std::string>{"joined 3 fresh"});
    settle();
    EXPECT_EQ(one.table(), nullptr); // the planner has not bound it yet
    batch([&] { book.setAdmission(tableOf(0), 1, 0.5, RetryPolicy::AfterProofOfNoEffect); });
    EXPECT_TRUE(planner.applications.empty());
    settle();
    EXPECT_TRUE(same(one, 0));
    EXPECT_EQ(one.table()->requestClasses, (std::vector<std::string>{"lookup", "order"}));
    EXPECT_EQ(one.table()->admission.at("lookup"), (AdmissionLimit{0.5, RetryPolicy::AfterProofOfNoEffect}));
    EXPECT_EQ(planner.applications, std::vector<BarrierId>{{marks}});
    const auto snapshots = counters.of(net::Counter::Snapshots);
    batch([&] { line(0, 3, 0), line(0, 4, 9), withdraw(3, true); });
    settle();
    EXPECT_TRUE(same(one, 0));
    EXPECT_EQ(planner.applications.back(), BarrierId{marks});
    EXPECT_EQ(counters.of(net::Counter::Snapshots), snapshots);
    one.say(one.subscription.encodeDemand("order", 19, 2, 1s));
    EXPECT_EQ(planner.seen.back(), "usage 1 19");
    second();
    EXPECT_EQ(one.subscription.state(), client::Subscription::State::Live);
    EXPECT_EQ(hub->countInState(SessionState::Live), 1U);
}

TEST_F(PubsubService, ChangesAreEncodedOnceForAll) {
    servers(40);
    for (std::uint16_t k = 0; k < 50; ++k) add(k);
    batch();
    settle();
    const auto before = counters.of(net::Counter::FramesEncoded);
    batch([&] { line(0, 7, 5); });
    settle();
    EXPECT_EQ(counters.of(net::Counter::FramesEncoded), before + 1);
    for (const auto& one : clients) EXPECT_TRUE(same(*one, 0));
}

TEST_F(PubsubService, ARejoinInTheMiddleOfAChangeGoesOnFromWhatItHas) {
    servers(200);
    Client& one = joined(3);
    const auto snapshots = counters.of(net::Counter::Snapshots);
    batch([&] { line(0, 1, 8); });
    one.cut(); // the change is on its way
    batch([&] { line(0, 2, 8), line(0, 3, 0); });
    one.dial();
    EXPECT_EQ(planner.seen.back(), "joined 3");
    batch();
    settle();
    EXPECT_TRUE(same(one, 0));
    // No table again: only the changes. Of the withdrawals it had one already, too.
    EXPECT_EQ(counters.of(net::Counter::Snapshots), snapshots);
    EXPECT_EQ(planner.applications.back(), BarrierId{marks});
}

TEST_F(PubsubService, ASnapshotThatIsOlderThanChangesOnTheirWayUndoesNothing) {
    servers(20);
    Client& one = joined(3);
    std::string old; // a snapshot that was cut early and comes late
    {
        Client watcher(*this, std::nullopt, "a");
        watcher.dial();
        book.flush(now);
        old = watcher.end->toClient;
        watcher.cut();
    }
    batch([&] { line(0, 1, 8), line(0, 2, 0), withdraw(2, true); });
    settle();
    const auto known = one.subscription.frameCounts().duplicates;
    FrameReader reader(kMaxServerFrameBytes);
    reader.feed(old, [&](Frame& frame) {
        if (frame.type == FrameType::Snapshot) one.subscription.feed(encodeFrame(frame, false), now);
        return true;
    });
    EXPECT_EQ(one.subscription.frameCounts().duplicates, known + 2);
    EXPECT_TRUE(same(one, 0));
}

TEST_F(PubsubService, AnyOneWhomTheLogHasForgottenGetsASnapshot) {
    servers(30);
    Client& one = joined(3);
    one.cut();
    for (int k = 100; k < 200; ++k) batch([&] { line(0, k, 1); }), batch([&] { line(0, k, 0); });
    EXPECT_FALSE(hub->log(topicOf(tableOf(0)))->covers(*one.replica().at(topicOf(tableOf(0)))));
    one.dial();
    batch([&] { line(0, 5, 0); });
    settle();
    EXPECT_TRUE(same(one, 0));
    EXPECT_LE(hub->log(topicOf(tableOf(0)))->tombstones(), tombstones);
}

TEST_F(PubsubService, APlannerThatStartsOverHasAnotherEpochAndLowerNumbersAndIsFollowed) {
    servers(30);
    for (int k = 0; k < 9; ++k) batch([&] { line(0, 1, 2 + k); });
    Client& one = joined(3);
    batch([&] { withdraw(4, true), line(0, 4, 0); });
    settle();
    const auto before = *one.replica().at(topicOf(tableOf(0)));
    restart();
    one.dial();
    EXPECT_NE(one.table(), nullptr); // it keeps what it has until the new one has come
    batch([&] { line(0, 2, 0); });
    settle();
    EXPECT_LT(*one.replica().at(topicOf(tableOf(0))), before);
    EXPECT_EQ(one.table()->weights, ordered(0));
    EXPECT_TRUE(one.replica().isExcluded("s-4", now)); // the new life has not heard of it
    now += 11s;
    EXPECT_FALSE(one.replica().isExcluded("s-4", now));
}

TEST(ChannelOfTwo, ASubscriberMovesBetweenPlannersAndBackWithoutGoingBack) {
    Yard first, second;
    second.life = 9;
    second.open();
    for (Yard* yard : {&first, &second})
        yard->batch([&] {
            for (int k = 0; k < 10; ++k) yard->line(0, k, yard == &first ? 1 : 2);
        });
    Yard::Client one(first, 3, "a");
    for (int turns = 0; turns < 6; ++turns) {
        Yard& here = turns % 2 ? second : first;
        one.cut();
        one.yard = &here;
        one.dial();
        here.batch([&] { here.line(0, turns, 7); });
        for (int k = 0; k < 10; ++k) one.read();
        EXPECT_TRUE(here.same(one, 0)) << turns;
        EXPECT_EQ(one.replica().tables().size(), 1U);
    }
    one.cut();
    EXPECT_TRUE(first.broken.empty() && second.broken.empty());
}

TEST_F(PubsubService, WhoReadsNothingHoldsAWindowAtMostAndNothingIsLostOnceItReads) {
    servers(300);
    Client& slow = joined(3);
    Client& live = joined(4);
    slow.stalled = true;
    for (int k = 0; k < 400; ++k) {
        batch([&] { line(0, k % 300, 10 + k); });
        live.read();
    }
    batch([&] { line(0, 7, 0), withdraw(7, true); });
    EXPECT_EQ(slow.end->subscriber->state(), SessionState::Lagging);
    EXPECT_GE(counters.of(net::Counter::Lags), 1U);
    EXPECT_LE(slow.end->subscriber->window.lines, 2 * pace.maxLinesPerSubscriber);
    live.read();
    EXPECT_TRUE(same(live, 0));
    slow.stalled = false;
    settle();
    EXPECT_TRUE(same(slow, 0));
    EXPECT_EQ(slow.end->subscriber->state(), SessionState::Live);
    EXPECT_EQ(slow.end->subscriber->window.lines, 0U);
}

/// Deaf ones once held so much of the queue that all share that nobody else was sent anything.
TEST_F(PubsubService, ATenthThatReadNothingStarveNobodyAndTheirMemoryIsBounded) {
    servers(300);
    for (std::uint16_t k = 0; k < 200; ++k) add(k);
    for (std::size_t k = 0; k < 200; k += 10) clients[k]->stalled = true;
    batch();
    for (int k = 0; k < 30; ++k) second();
    std::size_t deafBytes = 0, told = 0;
    for (std::size_t k = 0; k < 200; ++k)
        if (k % 10 == 0 && clients[k]->end) deafBytes += clients[k]->end->toClient.size();
    EXPECT_LE(deafBytes, 20U * 2 * pace.maxBytesPerSubscriber);
    batch([&] { line(0, 7, 9), withdraw(8, true); });
    settle();
    for (std::size_t k = 0; k < 200; ++k) told += k % 10 && same(*clients[k], 0);
    EXPECT_EQ(told, 180U);
    EXPECT_EQ(hub->flowControl().lines(), 0U);
}

TEST_F(PubsubService, AWithdrawalOvertakesTheTableOfOneThatHasNotReadIt) {
    servers(1000);
    pace.maxLinesPerSubscriber = 300;
    Client& one = add(3);
    batch(); // the first part of the table is on its way, the rest waits
    one.read(4096);
    batch([&] { withdraw(999, true), line(0, 999, 0); });
    bool told = false;
    for (int k = 0; k < 1000 && !told; ++k) {
        one.read(512);
        told = one.replica().isExcluded("s-999", now);
    }
    EXPECT_TRUE(told);
    EXPECT_EQ(one.table(), nullptr); // the table is not whole yet
    settle();
    EXPECT_TRUE(same(one, 0));
}

TEST_F(PubsubService, AReaderOfOneByteAtATimeEndsWithTheSameTable) {
    servers(40);
    Client& one = add(3);
    batch();
    for (int k = 0; k < 20'000 && !(one.table() && same(one, 0)); ++k) {
        if (k % 50 == 0) batch([&] { line(0, k / 50 % 40, 2 + k); });
        one.read(1);
    }
    settle();
    EXPECT_TRUE(same(one, 0));
}

TEST_F(PubsubService, WhoNeverReadsIsLetGoWithAReasonAndWhoIsSilentToo) {
    servers(50);
    Client& deaf = joined(3);
    Client& mute = joined(4);
    Client& well = joined(5);
    deaf.stalled = true;
    batch([&] { line(0, 1, 9); });
    for (int k = 0; k < 30; ++k) {
        now += 1s;
        for (std::uint32_t turn = 0; turn < SubscriptionServer::kTicksPerHeartbeat; ++turn) hub->tick();
        for (auto* one : {&deaf, &well}) one->say(one->subscription.tick(now));
        well.read();
    }
    EXPECT_FALSE(planner.in.contains({3}));
    EXPECT_FALSE(planner.in.contains({4}));
    EXPECT_TRUE(planner.in.contains({5}));
    mute.read(1 << 20, false);
    ASSERT_TRUE(mute.subscription.disconnectNotice());
    EXPECT_NE(mute.subscription.disconnectNotice()->reason.find("lease"), std::string::npos);
    EXPECT_TRUE(mute.subscription.disconnectNotice()->retryAfter);
    EXPECT_EQ(hub->flowControl().lines(), 0U);
}

TEST_F(PubsubService, HundredsThatReturnAtOnceFillNoQueueAndStarveNobody) {
    servers(300);
    Client& live = joined(0);
    for (std::uint16_t k = 1; k <= 300; ++k) add(k);
    batch();
    std::size_t turns = 0;
    for (; turns < 200; ++turns) {
        batch([&] { line(0, 5, 10 + static_cast<double>(turns)); });
        live.read();
        EXPECT_TRUE(same(live, 0)) << turns; // changes go on while they catch up
        bool all = true;
        for (const auto& one : clients) one->read(3000), all = all && one->table();
        if (all) break;
    }
    EXPECT_LT(turns, 100U);
    settle();
    for (const auto& one : clients) EXPECT_TRUE(same(*one, 0));
    EXPECT_LE(static_cast<double>(hub->flowControl().maxLinesSeen()), 0.75 * pace.maxQueuedLines);
}

TEST_F(PubsubService, ADrainIsHeldByAllWhileAThirdAreInResync) {
    servers(300);
    for (std::uint16_t k = 0; k < 90; ++k) add(k);
    batch();
    settle();
    for (std::size_t k = 0; k < 90; k += 3) { // they lost something
        Client& one = *clients[k];
        Frame ask{FrameType::Ask};
        ask.topic = topicOf(tableOf(0)), ask.epoch = hub->epoch();
        one.say(encodeFrame(ask, false));
    }
    EXPECT_GT(hub->countInState(SessionState::Resync), 0U);
    batch([&] { withdraw(8, true), line(0, 8, 0); });
    for (const auto& one : clients) one->read(8 * 1024); // as much as comes in one go
    std::size_t told = 0;
    for (const auto& one : clients) told += one->replica().isExcluded("s-8", now);
    EXPECT_EQ(told, clients.size());
    settle();
    for (const auto& one : clients) EXPECT_TRUE(same(*one, 0));
    EXPECT_EQ(hub->countInState(SessionState::Live), 90U);
}

TEST_F(PubsubService, ALevelChangeThatASnapshotOvertakesIsInIt) {
    servers(300);
    Client& one = joined(3);
    one.stalled = true;
    batch([&] { book.setAdmission(tableOf(0), 1, 0.3, RetryPolicy::Never); });
    Frame ask{FrameType::Ask};
    ask.topic = topicOf(tableOf(0)), ask.epoch = hub->epoch();
    one.say(encodeFrame(ask, false));
    batch([&] { book.setAdmission(tableOf(0), 1, 0.7, RetryPolicy::Never); });
    one.stalled = false;
    settle();
    EXPECT_EQ(one.table()->admission.at("lookup").limit, 0.7);
    EXPECT_TRUE(same(one, 0));
}

TEST_F(PubsubService, ATopicOfAThousandServersGoesInPartsAndOneChangeOfItIsSmall) {
    pace.maxQueuedLines = 20000;
    hub.reset();
    open();
    servers(1000);
    Client& one = joined(3);
    EXPECT_TRUE(same(one, 0));
    const auto sent = counters.of(net::Counter::FramesOut);
    batch([&] { line(0, 500, 4); });
    EXPECT_EQ(counters.of(net::Counter::FramesOut), sent + 1);
    EXPECT_LT(one.end->toClient.size(), 100U);
    settle();
    EXPECT_TRUE(same(one, 0));
}

TEST_F(PubsubService, TheNewestStreamOfAProxyWinsAndTheLateEndOfTheOldOneIsNoLeaving) {
    servers(5);
    Client& old = joined(3);
    old.stalled = true;
    Client& newer = joined(3);
    old.stalled = false;
    EXPECT_TRUE(same(newer, 0));
    EXPECT_TRUE(planner.in.contains({3}));
    old.read(1 << 20, false);
    ASSERT_TRUE(old.subscription.disconnectNotice());
    EXPECT_NE(old.subscription.disconnectNotice()->reason.find("newer stream"), std::string::npos);
    EXPECT_FALSE(old.subscription.disconnectNotice()->retryAfter);
    EXPECT_TRUE(planner.in.contains({3}));
    newer.cut();
    EXPECT_FALSE(planner.in.contains({3}));
}

TEST_F(PubsubService, AWatcherIsNoProxyAndSeesWhatItsZonesProxiesHold) {
    servers(5);
    Client& watcher = add(std::nullopt);
    settle();
    EXPECT_EQ(watcher.table(), nullptr);
    joined(3);
    settle();
    EXPECT_TRUE(same(watcher, 0));
    EXPECT_EQ(planner.in.size(), 1U);
    batch([&] { line(0, 1, 8), withdraw(2, true); });
    settle();
    EXPECT_TRUE(same(watcher, 0));
    EXPECT_EQ(planner.applications.back(), BarrierId{marks});
}

TEST_F(PubsubService, WhatCantBeServedIsRefusedWithAReason) {
    const auto reasonOf = [&](Hello hello) {
        Client one(*this, 1, "a");
        one.end = std::make_shared<End>(*this);
        Frame frame{FrameType::Hello};
        frame.body = encode(hello);
        one.say(encodeFrame(frame, false));
        std::string out;
        FrameReader reader(kMaxServerFrameBytes);
        reader.feed(one.end->toClient, [&](Frame& got) {
            if (got.type == FrameType::Refused) out = decodeDisconnectNotice(got.body)->reason;
            return true;
        });
        EXPECT_FALSE(one.end->up && !out.empty());
        one.cut();
        return out;
    };
    Hello hello;
    hello.zone = "a", hello.proxy = ProxyId{3};
    EXPECT_EQ(reasonOf(hello), "");
    hello.zone = "zz";
    EXPECT_EQ(reasonOf(hello), "no such zone: zz");
    hello.zone = "a", hello.proxy = ProxyId{2000};
    EXPECT_EQ(reasonOf(hello), "no such proxy: 2000");
    hello.proxy = ProxyId{3}, hello.minVersion = 2, hello.maxVersion = 4;
    EXPECT_NE(reasonOf(hello).find("speaks 1, it was asked for 2 to 4"), std::string::npos);
    hello.minVersion = 0; // a range that holds ours
    EXPECT_EQ(reasonOf(hello), "");
    EXPECT_TRUE(planner.in.empty());
}

TEST_F(PubsubService, StrangersAreClosedWithAReasonAndDisturbNobody) {
    servers(5);
    Client& well = joined(3);
    const std::string hello = well.subscription.farewell("x");
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), std::string(5000, '\xff'),
          std::string(5000, '\0'), hello, encodeFrame(frameOf(FrameType::Applied), false),
          encodeFrame(frameOf(FrameType::Hello, "\xa0"), false),
          encodeFrame(frameOf(FrameType{77}), false)}) {
        Client stranger(*this, 9, "a");
        stranger.end = std::make_shared<End>(*this);
        stranger.say(bytes);
        EXPECT_FALSE(stranger.end->up) << bytes.substr(0, 10);
        stranger.cut();
    }
    batch([&] { line(0, 1, 3); });
    settle();
    EXPECT_TRUE(same(well, 0));
    EXPECT_EQ(planner.in.size(), 1U);
    // One who has joined may say what a later version knows; it is let pass.
    well.say(encodeFrame(frameOf(FrameType{77}), false));
    EXPECT_TRUE(planner.in.contains({3}));
    well.say(std::string(5000, '\xff'));
    EXPECT_FALSE(planner.in.contains({3}));
}

TEST_F(PubsubService, SwitchedOffItTellsAllWhenToComeBackApart) {
    servers(5);
    for (std::uint16_t k = 0; k < 100; ++k) add(k);
    batch();
    settle();
    hub->suspend();
    EXPECT_TRUE(planner.in.empty());
    std::set<Micros> waits;
    for (const auto& one : clients) {
        one->read(1 << 20, false);
        ASSERT_TRUE(one->subscription.disconnectNotice());
        waits.insert(one->subscription.disconnectNotice()->retryAfter.value());
    }
    EXPECT_EQ(waits.size(), 100U);
    EXPECT_NE(clients[0]->table(), nullptr); // with the tables they have they go on
    hub->resume();
    batch([&] { line(0, 2, 5); });
    for (const auto& one : clients) one->dial();
    batch();
    settle();
    for (const auto& one : clients) EXPECT_TRUE(same(*one, 0));
}

TEST_F(PubsubService, AServerThatIsForgottenMayComeBackUnderItsNameAndIsPicked) {
    servers(5);
    Client& one = joined(3);
    batch([&] { line(0, 2, 0), withdraw(2, true); });
    settle();
    const EndpointId before = server(2);
    batch([&] { book.forgetEndpoint(before), outAt.erase("s-2"); });
    settle();
    EXPECT_NE(server(2), before);
    batch([&] { line(0, 2, 1); });
    settle();
    EXPECT_TRUE(same(one, 0));
    const auto picks = one.replica().eligibleEndpoints(*one.table(), now);
    EXPECT_TRUE(std::ranges::any_of(picks, [](const auto& pick) { return pick.endpoint == "s-2"; }));
}

/// Any interleaving of changes, cuts, stalls, slow reads, asks, restarts and time ends with every replica equal
/// to the log; the queue stays bounded and no known withdrawal is ever picked (Yard::check).
RC_GTEST_PROP(ChannelUnderAnything, EveryReplicaEndsAsTheTable, ()) {
    Yard yard;
    for (std::uint16_t k = 0; k < 12; ++k) yard.add(k, k % 3 ? "a" : "b");
    yard.add(std::nullopt, "a");
    std::mt19937 chance(*rc::gen::arbitrary<std::uint32_t>());
    const auto any = [&](std::size_t most) { return static_cast<std::size_t>(chance() % most); };
    yard.batch([&] {
        for (int k = 0; k < 40; ++k) yard.line(static_cast<std::size_t>(k) % 2, k, 1);
    });
    for (int steps = *rc::gen::inRange(0, 250); steps > 0; --steps) {
        auto& one = *yard.clients[any(yard.clients.size())];
        switch (any(12)) {
        case 0:
        case 1:
        case 2:
            yard.batch([&] {
                for (std::size_t n = any(6); n > 0; --n) {
                    const int k = static_cast<int>(any(60));
                    const bool out = any(4) == 0;
                    yard.line(any(2), k, out ? 0 : 1 + static_cast<double>(any(3)));
                    if (any(3) == 0) yard.withdraw(k, out);
                }
            });
            break;
        case 3: one.cut(); break;
        case 4: one.dial(); break;
        case 5: one.stalled = !one.stalled; break;
        case 6:
        case 7: one.read(1 + any(400)); break;
        case 8: yard.second(any(2)); break;
        case 9: {
            Frame ask{FrameType::Ask};
            ask.topic = {static_cast<std::uint16_t>(any(3))}, ask.epoch = yard.hub->epoch();
            one.say(encodeFrame(ask, false));
            break;
        }
        case 10: yard.settle(); break;
        case 11:
            if (any(6) == 0) yard.restart();
        }
    }
    for (auto& one : yard.clients) {
        one->stalled = false;
        if (!one->end) one->dial();
    }
    for (int k = 0; k < 3; ++k) yard.batch(), yard.settle(), yard.second();
    yard.now += 11s; // what only an earlier life withdrew is hearsay now
    for (const auto& one : yard.clients)
        RC_ASSERT(yard.same(
            *one, &one - yard.clients.data() < 12 && (&one - yard.clients.data()) % 3 == 0 ? 1 : 0));
    RC_ASSERT(yard.broken.empty());
    RC_ASSERT(yard.hub->flowControl().lines() == 0U);
}

} // namespace
} // namespace zincstack::pubsub

// The network code's parsers and state machines, fed bytes cut at any place, and what reaches the planner.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>

#include "config/start_file.h"
#include "discovery/discovery_watch.h"
#include "net/listener.h"
#include "net/resource_budget.h"
#include "platform/peer_session.h"
#include "platform/prober.h"
#include "platform/session_acceptor.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;
using namespace std::string_view_literals;

/// Feeds `text` in pieces of any sizes.
void inPieces(std::string_view text, const auto& feed) {
    while (!text.empty()) {
        const auto size = std::min<std::size_t>(text.size(), *rc::gen::inRange(1, 40));
        feed(text.substr(0, size));
        text.remove_prefix(size);
    }
}
std::string faultOf(const auto& call) {
    try {
        call();
    } catch (const InputError& error) { return error.what(); }
    return "";
}

TEST(JsonReader, ReadsATreeAndNamesTheOffsetOfAFault) {
    const json::Value all = json::read(R"( {"a":[1, -2.5e3, true, null],"b\u00e9":{"c":"\ud83d\ude00"}} )");
    EXPECT_EQ(json::member(all, "a")[1].get<double>(), -2500);
    EXPECT_EQ(*json::textOf(json::member(all, "b\xc3\xa9"), "c"), "\xf0\x9f\x98\x80");
    EXPECT_EQ(json::textOf(all, "a"), nullptr);
    EXPECT_TRUE(json::member(json::member(all, "none"), "of this").is_null());
    for (const auto& [text, what] :
         std::vector<std::pair<std::string_view, std::string_view>>{{R"({"a":})", "offset 6"},
                                                                    {R"(["a)", "offset 4"},
                                                                    {"[1]x", "offset 4"},
                                                                    {R"("\q")", "offset 3"},
                                                                    {"", "offset 1"}})
        EXPECT_NE(faultOf([&, t = text] { json::read(t); }).find(what), std::string::npos) << text;
    EXPECT_NE(faultOf([] { json::read(std::string(100'000, '[')); }).find("too deep"), std::string::npos);
}

RC_GTEST_PROP(JsonReader, APartOfATextIsAFaultAndNothingWorse, ()) {
    const std::string text = R"({"revision":41,"complete":true,"members":[{"id":"s\n1","size":1.5e0}]})";
    const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!faultOf([&] { json::read(std::string_view(text).substr(0, size)); }).empty());
}

constexpr std::string_view kPosting =
    R"({"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
    "limits":{"sockets":512},"settings":{"Zones":["a","b c"],"Classes":[{"Name":"x","AimS":1.0},{"Name":"y"}],
    "Extra":{"ZoneBound":[false,true]},"Nothing":null}})";

TEST(StationFile, NestedTermsBecomePairsAndFaultsNameTheField) {
    const StartFile station = readStartFile(kPosting);
    EXPECT_EQ(station.seed, 0x8c1f30d27a5be964U);
    EXPECT_EQ(station.sockets, 512U);
    const config::FlatSettings wanted{{"Zones", "a,b_c"},      {"Classes.count", "2"},
                                      {"Classes.0.Name", "x"}, {"Classes.0.AimS", "1.0"},
                                      {"Classes.1.Name", "y"}, {"Extra.ZoneBound", "false,true"}};
    EXPECT_EQ(station.flat, wanted);
    for (const std::string_view field : {"name", "listen", "discovery", "seed", "settings"}) {
        std::string text(kPosting);
        text.replace(text.find(field), field.size(), "other");
        EXPECT_NE(faultOf([&] { readStartFile(text); }).find("field " + std::string(field)),
                  std::string::npos);
    }
}

constexpr auto kAnyLine = [] { return kLineBytesMost; };

RC_GTEST_PROP(LineFramer, LinesAreTheSameHoweverTheyAreCut, ()) {
    BufferPool pool(8);
    std::string all;
    std::vector<std::string> wanted, got;
    for (int k = *rc::gen::inRange(0, 6); k > 0; --k) {
        wanted.emplace_back(*rc::gen::inRange<std::size_t>(0, 300), static_cast<char>('a' + k));
        all += wanted.back() + "\r\n";
    }
    LineFramer framer(pool);
    inPieces(all + "rest", [&](std::string_view piece) {
        const auto line = [&](std::string_view text) { return got.emplace_back(text), true; };
        RC_ASSERT(framer.feed(piece, kAnyLine, line) == LineFramer::Outcome::Going);
    });
    RC_ASSERT(got == wanted);
    RC_ASSERT(pool.out() == 1U);
}

TEST(LineFramer, ALineWithoutEndIsGivenUpAndItsBlocksComeBack) {
    BufferPool pool(300), small(2);
    const std::string much(kBlockBytes, 'x');
    const auto outcome = [&](BufferPool& from) {
        LineFramer framer(from);
        auto last = LineFramer::Outcome::Going;
        for (int k = 0; k < 300 && last == LineFramer::Outcome::Going; ++k)
            last = framer.feed(much, kAnyLine, {});
        return last;
    };
    EXPECT_EQ(outcome(pool), LineFramer::Outcome::TooLong);
    EXPECT_EQ(outcome(small), LineFramer::Outcome::NoRoom);
    EXPECT_EQ(pool.out() + small.out(), 0U);
}

TEST(MessageParser, WordsAndNumbers) {
    const auto message = parseMessage("ack proxy=17 mark=905 took_ms=310.4");
    ASSERT_TRUE(message);
    EXPECT_EQ(message->count("proxy", 20), 17U);
    EXPECT_FALSE(message->count("proxy", 16));
    EXPECT_EQ(message->millis("took_ms"), Micros(310'400));
    for (const std::string_view bad : {"", "ack proxy", "ack =1"}) EXPECT_FALSE(parseMessage(bad)) << bad;
    for (const std::string_view bad : {"nan", "inf", "-1", "1x", "", "1e999"})
        EXPECT_FALSE(parseNumber(bad)) << bad;
}

HttpResponse responseOf(std::string_view text, bool ends) {
    HttpResponse out(1 << 20);
    inPieces(text, [&](std::string_view piece) { out.feed(piece); });
    if (ends) out.ended();
    return out;
}

RC_GTEST_PROP(HttpReader, BodiesOfEachKindInAnyPieces, ()) {
    const std::string_view texts[] = {
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nT: v\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\n\r\nhello"};
    for (const auto text : texts) {
        const auto response = responseOf(text, text.starts_with("HTTP/1.0"));
        RC_ASSERT(response.done());
        RC_ASSERT(response.status() == 200);
        RC_ASSERT(response.body() == "hello");
    }
    const std::string_view cut = texts[*rc::gen::inRange(0, 3)];
    RC_ASSERT(responseOf(cut.substr(0, *rc::gen::inRange<std::size_t>(0, cut.size())), true).broken());
}

TEST(HttpReader, WhatIsNoResponseIsBroken) {
    for (const std::string_view bad :
         {"HTTP/2 200\r\n", "\r\n", "HTTP/1.1 abc no\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n", "HTTP/1.1 200 OK\r\nnocolon\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        HttpResponse response(1 << 20);
        response.feed(bad);
        EXPECT_TRUE(response.broken()) << bad;
    }
}

/// Writes down what it is told, and orders what the test wants ordered.
struct Recorder : Planner {
    std::vector<std::string> seen;
    std::function<void()> orders;
    std::vector<EndpointUpdate> listed;
    std::vector<EndpointLoadReport> summed;
    std::vector<ProbeResult> results;
    int decided = 0;
    void note(std::string text) { seen.push_back(std::move(text)); }
    void beginBatch(Micros) override {}
    void updateEndpoints(EndpointListUpdate news, std::span<const EndpointUpdate> entries) override {
        note("list " + std::to_string(static_cast<int>(news)) + " " + std::to_string(entries.size()));
        listed.assign(entries.begin(), entries.end());
    }
    void proxyJoined(ProxyId proxy, ZoneId zone, double, bool fresh) override {
        note("joined " + std::to_string(proxy.value) + " zone " + std::to_string(zone.value) +
             (fresh ? " fresh" : ""));
    }
    void proxyLeft(ProxyId proxy) override { note("left " + std::to_string(proxy.value)); }
    void reportLoad(const EndpointLoadReport& line) override { summed.push_back(line); }
    void reportDemand(const DemandReport& line) override {
        note("usage " + std::to_string(line.requestClass.value) + " " + std::to_string(line.requests));
    }
    void barrierAcknowledged(ProxyId, BarrierId mark) override {
        note("applied " + std::to_string(mark.value));
    }
    void probeCompleted(const ProbeResult& result) override { results.push_back(result); }
    void timerExpired() override {}
    void decide() override {
        ++decided;
        if (orders) std::exchange(orders, {})();
    }
};

struct Reader : PushStream {
    std::string got;
    bool slow = false, over = false;
    bool push(std::string_view bytes) override {
        if (!slow) got += bytes;
        return !slow;
    }
    bool idle() const override { return !slow; }
    void replaced() override { over = true; }
    std::string take() { return std::exchange(got, {}); }
};

struct Desk : testing::Test {
    BufferPool pool{64}; // outlives what the loop still holds when it ends
    boost::asio::io_context io;
    Counters counters;
    NameRegistry names{{"lookup", "order"}, {"a", "b"}};
    Recorder planner;
    std::vector<EndpointId> probes;
    routing::RoutingState book{names, counters, [this](EndpointId server) { probes.push_back(server); },
                               [](Micros) {}};
    UpdateQueue outbox{book, names, counters};
    BatchRunner engine{io, planner, book, counters, 0us};
    InputTranslator intake{engine, outbox, names, counters, 20};
    SessionAcceptor door{intake, counters, pool};
    int alive = 0;
    EndpointId s1, s2;
    const TableId table{3};

    void settle() {
        io.restart();
        io.run();
    }
    void order(std::function<void()> orders) {
        planner.orders = std::move(orders);
        engine.openBatch();
        settle();
    }
    std::shared_ptr<Listener> listenFor(std::size_t peers) {
        const auto out = std::make_shared<Listener>(
            io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), peers,
            SessionAcceptor::kQueueBytesMost, counters, pool, pool,
            [this](Connection& connection) { return door.accept(connection); });
        out->start();
        return out;
    }
    std::unique_ptr<PeerSession> session(Reader& reader) {
        return std::make_unique<PeerSession>(intake, counters, pool, reader, [this] { ++alive; });
    }
    std::unique_ptr<PeerSession> proxy(Reader& reader) {
        auto out = session(reader);
        out->feed("hello proxy=17 zone=b weight=21.5 fresh=0\r\n");
        return out;
    }
    void listTwo() {
        const json::Value all = json::read(
            R"([{"id":"s-1","host_port":"127.0.0.1:1","locality":"a","cell":3,"phase":"Ready","size":1.5,"up_since_ms":2},
                {"id":"s-2","host_port":"127.0.0.1:2","locality":"b","cell":3,"phase":"Terminating","size":1}])");
        ASSERT_TRUE(intake.updateEndpoints(EndpointListUpdate::Snapshot, all));
        s1 = *names.endpoint("s-1"), s2 = *names.endpoint("s-2");
    }
};

TEST_F(Desk, MessagesBecomeInputsAndWhatIsBadIsCountedAndSkipped) {
    listTwo();
    EXPECT_EQ(planner.listed.at(0).startedAt, 2ms);
    EXPECT_EQ(planner.listed.at(1).state, EndpointState::Draining);
    Reader collectorEnd, proxyEnd;
    const auto collector = session(collectorEnd), stream = session(proxyEnd);
    EXPECT_TRUE(
        collector->feed("probe\r\nagent zone=b\r\noutcomes zone=b server=s-2 tries=212 failed=3 mean_ms=41.7 "
                        "span_ms=1000.0 load=queue:7,util:0.61,new:1\r\nprobe\r\ndemand proxy=3 class=order "
                        "tries=19 failed=0 span_ms=1000.0\r\n"));
    EXPECT_EQ(alive, 2);
    ASSERT_EQ(planner.summed.size(), 1U);
    const EndpointLoadReport line = planner.summed[0];
    EXPECT_EQ(line.endpoint, s2);
    EXPECT_EQ(line.meanLatency, Micros(41'700));
    EXPECT_EQ(line.load.utilization, 0.61);
    EXPECT_EQ(line.load.queueLength, 7);
    EXPECT_FALSE(line.load.inFlight);

    const std::pair<Counter, std::string_view> bad[] = {
        {Counter::Hellos, "hello proxy=17 zone=b weight=1 fresh=1 extra=9\r\n"},
        {Counter::OutOfPlace, "hello proxy=17 zone=b weight=1 fresh=1\r\n"},
        {Counter::OutOfPlace, "outcomes zone=b server=s-1 tries=1 failed=0 span_ms=1\r\n"},
        {Counter::BadName, "demand proxy=17 class=other tries=1 failed=0 span_ms=1\r\n"},
        {Counter::BadField, "demand proxy=17 class=order tries=1.5 failed=0 span_ms=1\r\n"},
        {Counter::BadField, "ack proxy=16 mark=1\r\n"},
        {Counter::BadField, "ack proxy=17 mark=65536\r\n"},
        {Counter::OutOfPlace, "line proxy=17\r\n"}};
    for (const auto& [what, text] : bad) {
        const auto before = counters.of(what);
        EXPECT_TRUE(stream->feed(text));
        EXPECT_EQ(counters.of(what), before + 1) << text;
    }
    const std::vector<std::string> wanted{"list 2 2", "usage 1 19", "joined 17 zone 1 fresh"};
    EXPECT_EQ(planner.seen, wanted);
    EXPECT_TRUE(proxyEnd.got.empty() && collectorEnd.got.empty()); // nothing is ever written to a collector
}

/// The sockets bring the names of the start terms, not those of the protocol's examples: both are known.
TEST_F(Desk, LoadReportsAreReadByTheNamesOfEitherPage) {
    listTwo();
    Reader reader;
    const auto collector = session(reader);
    collector->feed("agent zone=a\r\n");
    for (const std::string_view load :
         {"busy:0.5,q:2,rif:3,lat_ms:4", "util:0.5,queue:2,inflight:3,latency_ms:4"}) {
        collector->feed("outcomes zone=a server=s-1 tries=1 failed=0 mean_ms=1 span_ms=1 load=" +
                        std::string(load) + "\r\n");
        const LoadReport& report = planner.summed.back().load;
        EXPECT_EQ(report.utilization, 0.5);
        EXPECT_EQ(report.queueLength, 2);
        EXPECT_EQ(report.inFlight, 3);
        EXPECT_EQ(report.serviceTimeMillis, 4);
    }
}

TEST_F(Desk, AnEntryThatCantBeUsedIsNotPassedOn) {
    for (const std::string_view bad :
         {R"([{"id":"s-1","phase":"Ready"}])", R"([{"phase":"Gone"}])", R"([3])",
          R"([{"id":"x","host_port":"h","locality":"zz","phase":"Ready"}])",
          R"([{"id":"x","host_port":"h","locality":"a","phase":"Ready","size":-1}])"})
        EXPECT_FALSE(intake.updateEndpoints(EndpointListUpdate::Snapshot, json::read(bad))) << bad;
    EXPECT_TRUE(planner.seen.empty());
    EXPECT_FALSE(names.endpoint("x") || names.endpoint("s-1"));
    EXPECT_TRUE(
        intake.updateEndpoints(EndpointListUpdate::Delta, json::read(R"([{"id":"s-9","phase":"Gone"}])")));
}

/// A whole list with one spoilt entry was refused for good, and no drain was heard any more.
TEST_F(Desk, ADrainBesideASpoiltEntryIsHeardAndNobodyIsGoneBecauseOfIt) {
    listTwo();
    planner.seen.clear();
    EXPECT_FALSE(intake.updateEndpoints(
        EndpointListUpdate::Snapshot,
        json::read(
            R"([{"id":"s-2","host_port":"127.0.0.1:2","locality":"b","phase":"Ready","size":"much"},
                {"id":"s-1","host_port":"127.0.0.1:1","locality":"a","phase":"Terminating","size":1.5}])")));
    EXPECT_EQ(planner.seen, std::vector<std::string>{"list 1 1"}); // as a change: s-2 is missing, not gone
    EXPECT_EQ(planner.listed.at(0).id, s1);
    EXPECT_EQ(planner.listed.at(0).state, EndpointState::Draining);
    EXPECT_EQ(counters.of(Counter::BadEntry), 1U);
}

TEST_F(Desk, TheLateEndOfAnOldStreamIsNoLeaving) {
    Reader older, newer;
    const auto first = proxy(older), second = proxy(newer);
    first->feed("ack proxy=17 mark=4 took_ms=1\r\n");
    first->connectionClosed();
    const std::vector<std::string> wanted{"joined 17 zone 1", "joined 17 zone 1"};
    EXPECT_EQ(planner.seen, wanted);
    EXPECT_EQ(counters.of(Counter::Stale), 1U);
    second->connectionClosed();
    EXPECT_EQ(planner.seen.back(), "left 17");
}

/// Each binding, and each new server, took a line besides that let back what nobody had withdrawn: twice the
/// lines, and drains behind them that came too late.
TEST_F(Desk, ABindingBringsTheTableAndLevelsAndWhatIsToBeLetBackComesWhenItIsOrdered) {
    listTwo();
    Reader reader;
    const auto stream = proxy(reader);
    order([&] {
        book.setWeight(table, s1, 1.5);
        book.setWeight(table, s2, 0.25);
        book.setAdmission(table, 1, 1e6, RetryPolicy::AfterProofOfNoEffect);
        book.setAdmission(table, 2, 1e6, RetryPolicy::AfterProofOfNoEffect);
        book.assignTable({17}, 0, table);
        book.requestBarrier({905}, false);
    });
    EXPECT_EQ(reader.take(), "push replace=1 rows=s-1:1.5,s-2:0.25 part=1\r\n"
                             "push gate=1000000 again=1 stamp=905\r\n");
    EXPECT_EQ(counters.of(Counter::OrderLines), 5U); // replace, two rows, a level, a mark
    order([&] {
        EXPECT_TRUE(book.clearStaleExclusions({17}, 99));
        book.requestBarrier({906}, false);
    });
    EXPECT_EQ(reader.take(), "push undrop=s-1,s-2 stamp=906\r\n");
    order([&] { EXPECT_FALSE(book.clearStaleExclusions({17}, 99) || book.clearStaleExclusions({3}, 99)); });
    order([&] {
        book.setWeight(table, s2, 0);
        book.setExcluded(s2, true); // no line of its table names it any more
        book.setAdmission(table, 2, 0.5, RetryPolicy::Never);
        book.requestBarrier({907}, false);
    });
    EXPECT_EQ(reader.take(), "push rows=s-2:0 part=1\r\npush for=order gate=0.5 again=0 stamp=907\r\n");
    order([] {});
    EXPECT_EQ(reader.take(), "");
}

TEST_F(Desk, OldTablesAreToldOfWithdrawalsAndANewStreamForgetsWhatWasTold) {
    listTwo();
    Reader reader, newer;
    const auto stream = proxy(reader);
    order([&] { book.setExcluded(s2, true), book.requestBarrier({1}, false); });
    EXPECT_EQ(reader.take(), "push drop=s-2 stamp=1\r\n");
    order([&] { book.setExcluded(s2, true), book.requestBarrier({2}, false); });
    EXPECT_EQ(reader.take(), "");
    const auto next = proxy(newer);
    order([&] {
        book.setWeight(table, s2, 1);
        book.assignTable({17}, 3, table);
    });
    EXPECT_EQ(newer.take(), ""); // nothing goes without a mark: only its answer gives the credit back
    EXPECT_TRUE(book.needsBarrier());
    order([&] { book.requestBarrier({3}, false); });
    EXPECT_FALSE(book.needsBarrier());
    EXPECT_EQ(newer.take(), "push replace=1 rows=s-2:1 drop=s-2 stamp=3\r\n"); // withdrawn by our order still
    order([&] { book.setExcluded(s2, false), book.requestBarrier({4}, true); });
    EXPECT_EQ(newer.take(), "push undrop=s-2 stamp=4\r\n");
    EXPECT_EQ(reader.take(), "");
}

TEST_F(Desk, AServerThatIsForgottenIsNoNameAnyMoreAndComesBackAsAnother) {
    listTwo();
    Reader reader;
    const auto stream = proxy(reader);
    order([&] { book.setExcluded(s2, true), book.requestBarrier({1}, false); });
    EXPECT_EQ(reader.take(), "push drop=s-2 stamp=1\r\n");
    order([&] { EXPECT_TRUE(book.forgetEndpoint(s2)); });
    EXPECT_FALSE(names.endpoint("s-2"));
    EXPECT_EQ(names.address(s2), "");
    const EndpointId before = s2;
    listTwo();
    EXPECT_NE(s2, before);
    order([&] {
        book.setWeight(table, s2, 1), book.assignTable({17}, 0, table), book.requestBarrier({2}, false);
    });
    EXPECT_EQ(reader.take(),
              "push replace=1 rows=s-2:1 undrop=s-2 stamp=2\r\n"); // its proxy has it shut out still
}

TEST_F(Desk, ASlowReaderGetsItsTableAnewOnceItHasCaughtUp) {
    listTwo();
    Reader reader;
    const auto stream = proxy(reader);
    order([&] { book.setWeight(table, s1, 1), book.assignTable({17}, 0, table); });
    reader.take();
    reader.slow = true;
    order([&] { book.setWeight(table, s2, 1), book.requestBarrier({7}, false); });
    order([&] { book.setWeight(table, s1, 0.5), book.requestBarrier({8}, false); });
    reader.slow = false;
    order([] {});
    EXPECT_EQ(reader.take(), "push replace=1 rows=s-1:0.5,s-2:1 stamp=8\r\n");
    EXPECT_EQ(counters.of(Counter::Resyncs), 1U);
    reader.slow = true; // what it was told in vain is said again, as it stands by then
    order([&] { book.setExcluded(s1, true), book.requestBarrier({9}, false); });
    order([&] { book.setExcluded(s2, true), book.requestBarrier({10}, false); });
    order([&] { book.setExcluded(s1, false), book.requestBarrier({11}, false); });
    reader.slow = false;
    order([] {});
    EXPECT_EQ(reader.take(), "push replace=1 rows=s-1:0.5,s-2:1 drop=s-2 undrop=s-1 stamp=11\r\n");
}

TEST_F(Desk, LongTablesAreCutIntoPartsAndCountedOnce) {
    std::string all = "[";
    for (int k = 0; k < 12'000; ++k)
        all += std::string(k ? "," : "") + R"({"id":"server-with-a-long-name-to-fill-lines-)" +
               std::to_string(k) + R"(","host_port":"h:1","locality":"a","phase":"Ready"})";
    ASSERT_TRUE(intake.updateEndpoints(EndpointListUpdate::Snapshot, json::read(all + "]")));
    Reader reader;
    const auto stream = proxy(reader);
    order([&] {
        for (const auto& one : planner.listed) book.setWeight(table, one.id, 1);
        book.assignTable({17}, 1, table);
        book.requestBarrier({1}, false);
    });
    EXPECT_EQ(counters.of(Counter::Parts), 2U);
    EXPECT_EQ(counters.of(Counter::Messages), 1U);
    EXPECT_EQ(counters.of(Counter::OrderLines), 12'002U);
    EXPECT_EQ(reader.got.find("push for=lookup replace=1 rows="), 0U);
    EXPECT_EQ(reader.got.rfind("replace=1"), reader.got.find("replace=1"));
}

RC_GTEST_FIXTURE_PROP(Desk, AnythingAtAllMayComeAndIsTakenInPieces, ()) {
    const auto words =
        *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(std::vector<std::string>{
            "hello",    "ack",         "demand",     "agent",    "outcomes", "probe",
            " proxy=1", " zone=a",     " weight=1",  " fresh=1", " mark=2",  " class=order",
            " tries=3", " failed=9",   " span_ms=5", "\r\n",     "\n",       " ",
            "=",        " load=:,x:1", "\xff"}));
    std::string text;
    for (const auto& word : words) text += word;
    Reader reader;
    const auto peer = session(reader);
    bool open = true;
    inPieces(text, [&](std::string_view piece) { open = open && peer->feed(piece); });
    peer->connectionClosed();
}

/// A report whose lines came while a batch was about to close was judged in two halves, and all that
/// followed a period late.
TEST_F(Desk, ABatchClosesOnceNothingMoreComesNotInTheMiddleOfAReport) {
    BatchRunner slow(io, planner, book, counters, 200ms);
    slow.openBatch();
    boost::asio::steady_timer second(io, 300ms);
    second.async_wait([&](boost::system::error_code) {
        EXPECT_EQ(planner.decided, 0);
        slow.openBatch();
    });
    boost::asio::steady_timer early(io, 500ms); // past what a batch of one input takes
    early.async_wait([&](boost::system::error_code) { EXPECT_EQ(planner.decided, 0); });
    settle();
    EXPECT_EQ(planner.decided, 1);
}

struct Watch : testing::Test {
    Counters counters;
    std::vector<std::pair<EndpointListUpdate, std::size_t>> told;
    bool usable = true;
    DiscoveryWatch watch{"h:1",
                         [this](EndpointListUpdate news, const json::Value& members) {
                             told.emplace_back(news, members.size());
                             return usable;
                         },
                         counters, 1 << 20};
    static std::string answer(std::string_view body, std::string_view status = "200 OK") {
        return "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + std::string(body);
    }
};
constexpr std::string_view kWhole = R"({"revision":41,"complete":true,"members":[{"id":"s-1"}]})";
constexpr std::string_view kWatchCall = "GET /api/targets?index=41&wait=2000 HTTP/1.1\r\nHost: h:1\r\n\r\n";

TEST_F(Watch, AsksForTheWholeListThenForWhatIsNewer) {
    EXPECT_EQ(watch.connected(), "GET /api/targets HTTP/1.1\r\nHost: h:1\r\n\r\n");
    const std::string whole = answer(kWhole);
    EXPECT_EQ(watch.feed(whole.substr(0, 30)), "");
    EXPECT_EQ(watch.feed(whole.substr(30)), kWatchCall);
    EXPECT_EQ(watch.feed(answer(R"({"revision":41,"complete":false,"members":[]})")), kWatchCall);
    EXPECT_NE(watch.feed(answer(R"({"revision":43,"complete":false,"members":[{},{}]})")).find("index=43"),
              std::string::npos);
    const std::vector<std::pair<EndpointListUpdate, std::size_t>> wanted{{EndpointListUpdate::Snapshot, 1},
                                                                         {EndpointListUpdate::Delta, 2}};
    EXPECT_EQ(told, wanted);
    watch.lost(); // what it knows is asked on from there
    EXPECT_NE(watch.connected().find("index=43"), std::string::npos);
}

TEST_F(Watch, WhatCantBeUsedLeavesTheOldListAndTheWholeOneIsAskedForAnew) {
    for (const std::string& bad :
         {answer("{"), answer("[]"), answer(kWhole, "503 No"), answer(R"({"revision":1,"complete":true})"),
          answer(kWhole) + "more", std::string("SSH-2.0\r\n")}) {
        EXPECT_NE(watch.connected(), kWatchCall);
        EXPECT_EQ(watch.feed(bad), "");
        EXPECT_FALSE(watch.usable());
    }
    EXPECT_EQ(counters.of(Counter::ListsWhole), 0U);
    watch.connected();
    watch.feed(answer(kWhole));
    usable = false;
    EXPECT_EQ(watch.feed(answer(R"({"revision":43,"complete":false,"members":[{}]})")), "");
    EXPECT_NE(watch.connected(), kWatchCall);
}

/// A list of before was taken for news: a server that drains by now came back into the tables.
TEST_F(Watch, AnOlderVersionIsNoNewsUnlessItIsAnotherCount) {
    const auto version = [](int number, bool whole) {
        return answer(R"({"revision":)" + std::to_string(number) + R"(,"complete":)" +
                      (whole ? "true" : "false") + R"(,"members":[{"id":"s-1"}]})");
    };
    watch.connected();
    watch.feed(version(41, true));
    for (int k = 0; k < 9; ++k) {
        EXPECT_EQ(watch.feed(version(40, k % 2 == 0)), "");
        EXPECT_FALSE(watch.usable());
        EXPECT_EQ(watch.connected(), kWatchCall);
    }
    EXPECT_EQ(told.size(), 1U);
    EXPECT_EQ(watch.feed(version(40, false)), ""); // changes to a list that is not known
    EXPECT_NE(watch.connected(), kWatchCall);
    EXPECT_NE(watch.feed(version(40, true)).find("index=40"), std::string::npos);
    EXPECT_EQ(told.size(), 2U);
    EXPECT_NE(watch.feed(version(42, false)).find("index=42"), std::string::npos); // and counts from there
    EXPECT_EQ(watch.feed(version(41, false)), "");
}

/// A watch that has gone dead is noticed, and a new call can be answered, before what it missed counts as told.
TEST_F(Watch, ADeadWatchIsGivenUpBeforeWhatItMissedCountsAsTold) {
    watch.connected();
    EXPECT_LE(watch.patience(), 2s);
    watch.feed(answer(kWhole));
    EXPECT_LE(watch.patience() + 1500ms, 6s);
}

struct Probing : Desk {
    boost::asio::ip::tcp::acceptor server{io, {boost::asio::ip::address_v4::loopback(), 0}};
    Prober prober{io, names, intake, counters, pool, 64, 250ms, true};

    /// The result of a probe that the stand-in answers with `text`, or closes on where there is none.
    ProbeResult probe(std::string text) {
        const EndpointId id = names.registerEndpoint("s-1");
        names.setAddress(id, "127.0.0.1:" + std::to_string(server.local_endpoint().port()));
        boost::asio::ip::tcp::socket peer(io);
        boost::asio::streambuf asked;
        server.async_accept(peer, [&](boost::system::error_code) {
            boost::asio::async_read_until(
                peer, asked, "\r\n\r\n", [&](boost::system::error_code, std::size_t) {
                    if (text != "silent") boost::asio::write(peer, boost::asio::buffer(text)), peer.close();
                });
        });
        prober.probe(id);
        settle();
        return planner.results.back();
    }
};

TEST_F(Probing, EachKindOfAnswerHasItsResult) {
    const auto good =
        probe("HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT inflight=7, queue=2, util=.5\n");
    EXPECT_EQ(good.status, ProbeStatus::Answered);
    EXPECT_EQ(good.load.inFlight, 7);
    EXPECT_EQ(good.load.queueLength, 2);
    EXPECT_EQ(good.load.utilization, 0.5);
    EXPECT_EQ(probe("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").status, ProbeStatus::Error);
    EXPECT_EQ(probe("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT").status, ProbeStatus::ProtocolError);
    EXPECT_EQ(probe("").status, ProbeStatus::ProtocolError);
    EXPECT_EQ(probe("silent").status, ProbeStatus::TimedOut);
    server.close();
    prober.probe(names.registerEndpoint("s-1"));
    settle();
    EXPECT_EQ(planner.results.back().status, ProbeStatus::Unreachable);
}

TEST_F(Probing, AResultNeverComesInsideTheDecisionThatAskedForIt) {
    const EndpointId nowhere =
        names.registerEndpoint("s-9"); // its address can't be read, so the result is known at once
    order([&] {
        prober.probe(nowhere);
        EXPECT_TRUE(planner.results.empty());
    });
    ASSERT_EQ(planner.results.size(), 1U);
    EXPECT_EQ(planner.results[0].status, ProbeStatus::Unreachable);
}

TEST_F(Desk, StrangersThatHoldAllPlacesGiveWayToAProxy) {
    using boost::asio::ip::tcp;
    const auto listener = listenFor(3);
    std::vector<tcp::socket> peers;
    for (int k = 0; k < 6; ++k) peers.emplace_back(io).connect(listener->address());
    boost::asio::write(peers.back(), boost::asio::buffer("hello proxy=17 zone=b weight=1 fresh=1\r\n"sv));
    const auto start = std::chrono::steady_clock::now();
    while (planner.seen.empty() && io.run_one_for(10s)) {}
    EXPECT_EQ(planner.seen, std::vector<std::string>{"joined 17 zone 1 fresh"});
    EXPECT_LT(std::chrono::steady_clock::now() - start, 900ms); // not the time to join of one after the other
    EXPECT_GE(counters.of(Counter::RefusedStranger), 3U);
}

/// Peers that say nothing, half of something or no more than a probe held their connections for good.
TEST_F(Desk, WhoDoesNotJoinInTimeIsToldSoAndClosedAndWhoHasJoinedStays) {
    using boost::asio::ip::tcp;
    const auto listener = listenFor(9);
    door.startServing();
    std::vector<tcp::socket> peers;
    for (const auto text : {""sv, "hello proxy=1"sv, "probe\r\n"sv, "agent zone=a\r\n"sv}) {
        peers.emplace_back(io).connect(listener->address());
        boost::asio::write(peers.back(), boost::asio::buffer(text));
    }
    while (counters.of(Counter::Closed) < 3 && io.run_one_for(10s)) {}
    for (const int k : {0, 1, 2}) {
        std::string got;
        boost::system::error_code error;
        boost::asio::read(peers[static_cast<std::size_t>(k)], boost::asio::dynamic_buffer(got), error);
        EXPECT_EQ(got.substr(k == 2 ? 7 : 0, 6), "error ") << got;
    }
    io.run_for(50ms);
    EXPECT_EQ(counters.of(Counter::Closed), 3U);
    EXPECT_EQ(peers[3].available(), 0U);
}

TEST_F(Desk, AStrangerThatSaysAnythingElseIsRefusedAtOnce) {
    const std::string endless(5000, 'p');
    for (const std::string_view bad :
         {"GET / HTTP/1.1\r\n"sv, "GET "sv, "agent zone=x\r\n"sv,
          "hello proxy=99 zone=a weight=1 fresh=1\r\n"sv, "push drop=s-1\r\n"sv,
          "demand proxy=1 class=order tries=1 failed=0 span_ms=1\r\n"sv, "\x16\x03\x01"sv, "\r\n"sv,
          "*1\r\n"sv, "hello proxy\r\n"sv, std::string_view(endless)}) {
        Reader reader;
        const auto peer = session(reader);
        EXPECT_FALSE(peer->feed(bad)) << bad;
        EXPECT_TRUE(peer->isRejected()) << bad;
    }
    EXPECT_TRUE(planner.seen.empty());
}

/// A stream that went on with bytes that are no message was kept, and its proxy taken as joined.
TEST_F(Desk, AStreamThatGoesOnWithWhatCantBeReadHasLeftAndComesBack) {
    for (const std::string_view bad :
         {"\x8c\xf5\x01"sv, "{\"a\":1"sv, "xyzzy 1\r\n"sv, "demand proxy=17 class=order ack\r\n"sv}) {
        Reader reader;
        const auto stream = proxy(reader);
        EXPECT_TRUE(stream->feed("demand proxy=17 class=order tries=2 failed=0 span_ms=1\r\nde"));
        EXPECT_FALSE(
            stream->feed("mand proxy=17 class=order tries=3 failed=0 span_ms=1\r\n" + std::string(bad)))
            << bad;
        EXPECT_FALSE(stream->isRejected());
        EXPECT_EQ(planner.seen.back(), "usage 1 3"); // what came before was sound
        stream->connectionClosed();
        EXPECT_EQ(planner.seen.back(), "left 17");
    }
}

TEST_F(Desk, ANewStreamEndsTheOneThatItReplaces) {
    Reader older, newer;
    const auto first = proxy(older), second = proxy(newer);
    EXPECT_TRUE(older.over);
    EXPECT_FALSE(newer.over);
}

/// One spoilt field and nothing of the line is believed; the lines around it are.
TEST_F(Desk, SpoiltReportsAndAnswersArePassedOverAlone) {
    listTwo();
    Reader collectorEnd, proxyEnd;
    const auto collector = session(collectorEnd), stream = proxy(proxyEnd);
    collector->feed("agent zone=a\r\n");
    order([&] {
        book.setWeight(table, s1, 1), book.assignTable({17}, 0, table), book.requestBarrier({904}, false);
    });
    order([&] { book.setWeight(table, s2, 1), book.requestBarrier({905}, false); });
    planner.seen.clear();
    const std::string_view sound[] = {"outcomes", "zone=a",    "server=s-1", "tries=9",
                                      "failed=3", "mean_ms=4", "span_ms=10", "load=q:1"};
    const std::pair<std::size_t, std::string_view> spoilt[] = {
        {1, ""},           {1, "zone=q"},       {2, "server=s-7"},  {3, ""},           {3, "tries=many"},
        {3, "tries=-4"},   {3, "tries=1e9"},    {4, "failed=10"},   {4, "failed=nan"}, {5, ""},
        {5, "mean_ms=-1"}, {5, "mean_ms=1e11"}, {6, "span_ms=inf"}, {7, "load=q:-1"},  {7, "load=q"}};
    for (const auto& [place, word] : spoilt) {
        std::string text;
        for (std::size_t k = 0; k < std::size(sound); ++k) text.append(k == place ? word : sound[k]) += ' ';
        EXPECT_TRUE(collector->feed(text + "\r\n")) << text;
        EXPECT_TRUE(planner.summed.empty()) << text;
    }
    for (const std::string_view bad : {"demand proxy=16 class=order tries=1 failed=0 span_ms=1\r\n"sv,
                                       "demand proxy=17 class=order tries=1 failed=-2 span_ms=1\r\n"sv,
                                       "ack proxy=17 mark=9 took_ms=1\r\n"sv, "ack proxy=17 mark=905\r\n"sv,
                                       "ack proxy=17 mark=904 took_ms=x\r\n"sv})
        EXPECT_TRUE(stream->feed(bad)) << bad;
    EXPECT_TRUE(planner.seen.empty()) << planner.seen.front();
    stream->feed("demand proxy=17 class=order tries=1 failed=2 span_ms=1\r\n"); // two came before
    EXPECT_EQ(planner.seen.back(), "usage 1 1");
    planner.seen.clear();
    stream->feed("ack proxy=17 mark=905 took_ms=1\r\nack proxy=17 mark=904 took_ms=1\r\n");
    EXPECT_EQ(planner.seen, std::vector<std::string>{"applied 905"}); // the later one stands for both
    EXPECT_EQ(counters.of(Counter::BadMark), 2U);
}

/// With 256 descriptors half of them were kept from peers, though all proxies may come to one planner.
TEST(Limits, EveryProxyAndCollectorHasAPlaceAndMemoryIsBounded) {
    for (const std::size_t sockets : {256U, 512U, 1024U})
        for (const std::size_t memory : {32U, 48U, 192U}) {
            const ResourceBudget shares = divideLimits(sockets, memory, 200, 3);
            EXPECT_GE(shares.peers, 203U + 16U);
            EXPECT_GE(shares.probes, 4U);
            EXPECT_LT(shares.peers + shares.probes, sockets - 12);
            EXPECT_LE((shares.lineBlocks + shares.pushBlocks) * kBlockBytes, memory * 1024 * 1024 / 2);
        }
    EXPECT_GE(divideLimits(16, 1, 200, 3).peers, 1U);
}

} // namespace
} // namespace zincstack::net

// Tests the translation of messages into inputs of the planner, and that invalid ones are counted and
// ignored.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;
using namespace std::string_view_literals;

using tests::CapturingStream;

struct InputTranslatorTest : tests::PlatformHarness {};

TEST_F(InputTranslatorTest, TranslatesMessagesAndCountsInvalidOnes) {
    registerTwoEndpoints();
    EXPECT_EQ(planner.endpointUpdates.at(0).startedAt, 2ms);
    EXPECT_EQ(planner.endpointUpdates.at(1).state, EndpointState::Draining);
    CapturingStream collectorStream;
    CapturingStream proxyStream;
    const auto collectorSession = openSession(collectorStream);
    const auto proxySession = openSession(proxyStream);
    EXPECT_TRUE(collectorSession->feed(
        "probe\r\nagent zone=b\r\noutcomes zone=b server=s-2 tries=212 failed=3 mean_ms=41.7 "
        "span_ms=1000.0 load=queue:7,util:0.61,new:1\r\nprobe\r\ndemand proxy=3 class=order "
        "tries=19 failed=0 span_ms=1000.0\r\n"));
    EXPECT_EQ(answeredProbes, 2);
    ASSERT_EQ(planner.loadReports.size(), 1U);
    const EndpointLoadReport report = planner.loadReports[0];
    EXPECT_EQ(report.endpoint, drainingEndpoint);
    EXPECT_EQ(report.meanLatency, Micros(41'700));
    EXPECT_EQ(report.load.utilization, 0.61);
    EXPECT_EQ(report.load.queueLength, 7);
    EXPECT_FALSE(report.load.inFlight);

    const std::pair<Counter, std::string_view> messages[] = {
        {Counter::Hellos, "hello proxy=17 zone=b weight=1 fresh=1 extra=9\r\n"},
        {Counter::OutOfPlace, "hello proxy=17 zone=b weight=1 fresh=1\r\n"},
        {Counter::OutOfPlace, "outcomes zone=b server=s-1 tries=1 failed=0 span_ms=1\r\n"},
        {Counter::BadName, "demand proxy=17 class=other tries=1 failed=0 span_ms=1\r\n"},
        {Counter::BadField, "demand proxy=17 class=order tries=1.5 failed=0 span_ms=1\r\n"},
        {Counter::BadField, "ack proxy=16 mark=1\r\n"},
        {Counter::BadField, "ack proxy=17 mark=65536\r\n"},
        {Counter::OutOfPlace, "line proxy=17\r\n"}};
    for (const auto& [counter, text] : messages) {
        const auto before = counters.of(counter);
        EXPECT_TRUE(proxySession->feed(text));
        EXPECT_EQ(counters.of(counter), before + 1) << text;
    }
    const std::vector<std::string> expected{"list 2 2", "demand 1 19", "joined 17 zone 1 fresh"};
    EXPECT_EQ(planner.received, expected);
    // Nothing is ever written to a collector.
    EXPECT_TRUE(proxyStream.received.empty() && collectorStream.received.empty());
}

/// Load fields may have the names used in the start settings or those in the examples of the protocol.
TEST_F(InputTranslatorTest, AcceptsBothSpellingsOfLoadFields) {
    registerTwoEndpoints();
    CapturingStream collectorStream;
    const auto collectorSession = openSession(collectorStream);
    collectorSession->feed("agent zone=a\r\n");
    for (const std::string_view load :
         {"busy:0.5,q:2,rif:3,lat_ms:4", "util:0.5,queue:2,inflight:3,latency_ms:4"}) {
        collectorSession->feed("outcomes zone=a server=s-1 tries=1 failed=0 mean_ms=1 span_ms=1 load=" +
                               std::string(load) + "\r\n");
        const LoadReport& report = planner.loadReports.back().load;
        EXPECT_EQ(report.utilization, 0.5);
        EXPECT_EQ(report.queueLength, 2);
        EXPECT_EQ(report.inFlight, 3);
        EXPECT_EQ(report.serviceTimeMillis, 4);
    }
}

TEST_F(InputTranslatorTest, DoesNotPassOnInvalidEndpointEntries) {
    for (const std::string_view invalid :
         {R"([{"id":"s-1","phase":"Ready"}])", R"([{"phase":"Gone"}])", R"([3])",
          R"([{"id":"x","host_port":"h","locality":"zz","phase":"Ready"}])",
          R"([{"id":"x","host_port":"h","locality":"a","phase":"Ready","size":-1}])"})
        EXPECT_FALSE(inputs.updateEndpoints(EndpointListUpdate::Snapshot, json::read(invalid))) << invalid;
    EXPECT_TRUE(planner.received.empty());
    EXPECT_FALSE(names.endpoint("x") || names.endpoint("s-1"));
    EXPECT_TRUE(
        inputs.updateEndpoints(EndpointListUpdate::Delta, json::read(R"([{"id":"s-9","phase":"Gone"}])")));
}

/// Regression: a snapshot with one invalid entry was rejected as a whole, so that the planner no longer
/// noticed drains.
TEST_F(InputTranslatorTest, PassesOnValidEntriesOfAnInvalidSnapshotAsADelta) {
    registerTwoEndpoints();
    planner.received.clear();
    EXPECT_FALSE(inputs.updateEndpoints(
        EndpointListUpdate::Snapshot,
        json::read(
            R"([{"id":"s-2","host_port":"127.0.0.1:2","locality":"b","phase":"Ready","size":"much"},
                {"id":"s-1","host_port":"127.0.0.1:1","locality":"a","phase":"Terminating","size":1.5}])")));
    // Passed on as a delta, so that the missing s-2 does not count as removed.
    EXPECT_EQ(planner.received, std::vector<std::string>{"list 1 1"});
    EXPECT_EQ(planner.endpointUpdates.at(0).id, readyEndpoint);
    EXPECT_EQ(planner.endpointUpdates.at(0).state, EndpointState::Draining);
    EXPECT_EQ(counters.of(Counter::BadEntry), 1U);
}

/// An invalid field invalidates its message, but not the messages before and after it.
TEST_F(InputTranslatorTest, IgnoresOnlyTheInvalidReportsAndAcknowledgements) {
    registerTwoEndpoints();
    CapturingStream collectorStream;
    CapturingStream proxyStream;
    const auto collectorSession = openSession(collectorStream);
    const auto proxySession = openProxySession(proxyStream);
    collectorSession->feed("agent zone=a\r\n");
    decide([&] {
        state.setWeight(table, readyEndpoint, 1);
        state.assignTable({17}, 0, table);
        state.requestBarrier({904}, false);
    });
    decide([&] {
        state.setWeight(table, drainingEndpoint, 1);
        state.requestBarrier({905}, false);
    });
    planner.received.clear();
    const std::string_view validWords[] = {"outcomes", "zone=a",    "server=s-1", "tries=9",
                                           "failed=3", "mean_ms=4", "span_ms=10", "load=q:1"};
    const std::pair<std::size_t, std::string_view> replacements[] = {
        {1, ""},           {1, "zone=q"},       {2, "server=s-7"},  {3, ""},           {3, "tries=many"},
        {3, "tries=-4"},   {3, "tries=1e9"},    {4, "failed=10"},   {4, "failed=nan"}, {5, ""},
        {5, "mean_ms=-1"}, {5, "mean_ms=1e11"}, {6, "span_ms=inf"}, {7, "load=q:-1"},  {7, "load=q"}};
    for (const auto& [place, word] : replacements) {
        std::string text;
        for (std::size_t k = 0; k < std::size(validWords); ++k)
            text.append(k == place ? word : validWords[k]) += ' ';
        EXPECT_TRUE(collectorSession->feed(text + "\r\n")) << text;
        EXPECT_TRUE(planner.loadReports.empty()) << text;
    }
    for (const std::string_view invalid :
         {"demand proxy=16 class=order tries=1 failed=0 span_ms=1\r\n"sv,
          "demand proxy=17 class=order tries=1 failed=-2 span_ms=1\r\n"sv,
          "ack proxy=17 mark=9 took_ms=1\r\n"sv, "ack proxy=17 mark=905\r\n"sv,
          "ack proxy=17 mark=904 took_ms=x\r\n"sv})
        EXPECT_TRUE(proxySession->feed(invalid)) << invalid;
    EXPECT_TRUE(planner.received.empty()) << planner.received.front();
    // `failed` may exceed `tries`, because it can include requests of an earlier interval.
    proxySession->feed("demand proxy=17 class=order tries=1 failed=2 span_ms=1\r\n");
    EXPECT_EQ(planner.received.back(), "demand 1 1");
    planner.received.clear();
    proxySession->feed("ack proxy=17 mark=905 took_ms=1\r\nack proxy=17 mark=904 took_ms=1\r\n");
    // The acknowledgement of mark 905 covers the earlier mark 904.
    EXPECT_EQ(planner.received, std::vector<std::string>{"acknowledged 905"});
    EXPECT_EQ(counters.of(Counter::BadMark), 2U);
}

} // namespace
} // namespace zincstack::net

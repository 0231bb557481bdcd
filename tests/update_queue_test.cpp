// Tests which messages UpdateQueue writes when the desired state changes, and which updates wait for capacity
// in the control channel.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;

using tests::CapturingStream;

struct UpdateQueueTest : tests::PlatformHarness {};

/// Regression: each table assignment and each new endpoint also readmitted endpoints that had not been
/// excluded. This doubled the number of lines, and drains queued behind them missed their deadline.
TEST_F(UpdateQueueTest, AssignmentSendsTableAndAdmissionAndReadmitsOnlyOnRequest) {
    registerTwoEndpoints();
    CapturingStream stream;
    const auto session = openProxySession(stream);
    decide([&] {
        state.setWeight(table, readyEndpoint, 1.5);
        state.setWeight(table, drainingEndpoint, 0.25);
        state.setAdmission(table, 1, 1e6, RetryPolicy::AfterProofOfNoEffect);
        state.setAdmission(table, 2, 1e6, RetryPolicy::AfterProofOfNoEffect);
        state.assignTable({17}, 0, table);
        state.requestBarrier({905}, false);
    });
    EXPECT_EQ(stream.take(), "push replace=1 rows=s-1:1.5,s-2:0.25 part=1\r\n"
                             "push gate=1000000 again=1 stamp=905\r\n");
    EXPECT_EQ(counters.of(Counter::OrderLines), 5U); // replacement, two weights, one admission limit, barrier
    decide([&] {
        EXPECT_TRUE(state.clearStaleExclusions({17}, 99));
        state.requestBarrier({906}, false);
    });
    EXPECT_EQ(stream.take(), "push undrop=s-1,s-2 stamp=906\r\n");
    decide(
        [&] { EXPECT_FALSE(state.clearStaleExclusions({17}, 99) || state.clearStaleExclusions({3}, 99)); });
    decide([&] {
        state.setWeight(table, drainingEndpoint, 0);
        state.setExcluded(drainingEndpoint, true); // no drop: the proxy's table no longer contains it
        state.setAdmission(table, 2, 0.5, RetryPolicy::Never);
        state.requestBarrier({907}, false);
    });
    EXPECT_EQ(stream.take(), "push rows=s-2:0 part=1\r\npush for=order gate=0.5 again=0 stamp=907\r\n");
    decide([] {});
    EXPECT_EQ(stream.take(), "");
}

TEST_F(UpdateQueueTest, SendsExclusionsForInheritedTablesAndRepeatsThemOnANewStream) {
    registerTwoEndpoints();
    CapturingStream stream;
    CapturingStream newerStream;
    const auto session = openProxySession(stream);
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({1}, false);
    });
    EXPECT_EQ(stream.take(), "push drop=s-2 stamp=1\r\n");
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({2}, false);
    });
    EXPECT_EQ(stream.take(), "");
    const auto newerSession = openProxySession(newerStream);
    decide([&] {
        state.setWeight(table, drainingEndpoint, 1);
        state.assignTable({17}, 3, table);
    });
    EXPECT_EQ(newerStream.take(), ""); // no message without a barrier: its acknowledgement returns the credit
    EXPECT_TRUE(state.needsBarrier());
    decide([&] { state.requestBarrier({3}, false); });
    EXPECT_FALSE(state.needsBarrier());
    EXPECT_EQ(newerStream.take(), "push replace=1 rows=s-2:1 drop=s-2 stamp=3\r\n"); // still excluded
    decide([&] {
        state.setExcluded(drainingEndpoint, false);
        state.requestBarrier({4}, true);
    });
    EXPECT_EQ(newerStream.take(), "push undrop=s-2 stamp=4\r\n");
    EXPECT_EQ(stream.take(), "");
}

TEST_F(UpdateQueueTest, ForgottenEndpointReturnsWithANewIdAndIsReadmitted) {
    registerTwoEndpoints();
    CapturingStream stream;
    const auto session = openProxySession(stream);
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({1}, false);
    });
    EXPECT_EQ(stream.take(), "push drop=s-2 stamp=1\r\n");
    decide([&] { EXPECT_TRUE(state.forgetEndpoint(drainingEndpoint)); });
    EXPECT_FALSE(names.endpoint("s-2"));
    EXPECT_EQ(names.address(drainingEndpoint), "");
    const EndpointId formerId = drainingEndpoint;
    registerTwoEndpoints();
    EXPECT_NE(drainingEndpoint, formerId);
    decide([&] {
        state.setWeight(table, drainingEndpoint, 1);
        state.assignTable({17}, 0, table);
        state.requestBarrier({2}, false);
    });
    EXPECT_EQ(stream.take(),
              "push replace=1 rows=s-2:1 undrop=s-2 stamp=2\r\n"); // the proxy still excludes it
}

TEST_F(UpdateQueueTest, ResynchronizesALaggingProxyOnceItHasCaughtUp) {
    registerTwoEndpoints();
    CapturingStream stream;
    const auto session = openProxySession(stream);
    decide([&] {
        state.setWeight(table, readyEndpoint, 1);
        state.assignTable({17}, 0, table);
    });
    stream.take();
    stream.isSlow = true;
    decide([&] {
        state.setWeight(table, drainingEndpoint, 1);
        state.requestBarrier({7}, false);
    });
    decide([&] {
        state.setWeight(table, readyEndpoint, 0.5);
        state.requestBarrier({8}, false);
    });
    stream.isSlow = false;
    decide([] {});
    EXPECT_EQ(stream.take(), "push replace=1 rows=s-1:0.5,s-2:1 stamp=8\r\n");
    EXPECT_EQ(counters.of(Counter::Resyncs), 1U);
    stream.isSlow = true; // missed exclusions are sent in their current state
    decide([&] {
        state.setExcluded(readyEndpoint, true);
        state.requestBarrier({9}, false);
    });
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({10}, false);
    });
    decide([&] {
        state.setExcluded(readyEndpoint, false);
        state.requestBarrier({11}, false);
    });
    stream.isSlow = false;
    decide([] {});
    EXPECT_EQ(stream.take(), "push replace=1 rows=s-1:0.5,s-2:1 drop=s-2 undrop=s-1 stamp=11\r\n");
}

/// Regression (docs/incidents/2026-12-lost-acknowledgements.md): an unusable acknowledgement stopped ordinary
/// updates to a proxy, although its stream was alive.
TEST_F(UpdateQueueTest, AStreamThatStillBringsMessagesGetsUpdatesAfterALostAcknowledgement) {
    for (const std::string_view input :
         {"ack proxy=17 mark=1\r\n", "ack proxy=17 mark=1 took_ms=x\r\n", "ack proxy=99 mark=1 took_ms=1\r\n",
          "ack proxy=17 mark=99 took_ms=1\r\n",
          "demand proxy=17 class=order tries=1 failed=0 span_ms=1\r\n"}) {
        registerTwoEndpoints();
        CapturingStream stream;
        CapturingStream otherStream;
        const auto session = openProxySession(stream);
        updates.sessionOpened({3}, {1}, otherStream);
        const Micros start = batches.now() - 30s;
        const auto writeWeight = [&](std::uint16_t step) {
            state.setWeight(table, readyEndpoint, step);
            if (step == 1)
                for (const ProxyId proxy : {ProxyId{3}, ProxyId{17}}) state.assignTable(proxy, 0, table);
            state.requestBarrier({step}, false);
            state.flush(start + step * 5s);
            EXPECT_TRUE(updates.barrierAcknowledged({3}, {step}));
        };
        writeWeight(1);
        EXPECT_TRUE(session->feed(input));
        writeWeight(2);
        stream.take();
        writeWeight(3);
        EXPECT_EQ(stream.take(), "push rows=s-1:3 stamp=3\r\n") << input;
        updates.sessionClosed({3}, otherStream);
        session->connectionClosed();
    }
}

constexpr ProxyId kFirst{1};
constexpr ProxyId kSecond{2};

/// Two proxies with assigned tables on a channel with a capacity of 50 lines.
struct UpdateQueueCreditTest : testing::Test {
    static constexpr TableId kTable{0};
    static constexpr int kEndpointCount = 12;
    static constexpr std::size_t kInitialTableSize = 3;

    Counters counters;
    NameRegistry names{{"lookup"}, {"a"}};
    routing::RoutingState state{
        names, counters, [](EndpointId) {}, [](Micros) {}, {1000, 6, 50, 0, 10s, 100ms, 200ms}};
    UpdateQueue updates{state, names, counters};
    CapturingStream firstStream;
    CapturingStream secondStream;
    std::vector<EndpointId> endpoints;
    std::uint16_t lastBarrier = 0;
    Micros now{1s};

    void SetUp() override {
        for (int k = 0; k < kEndpointCount; ++k)
            endpoints.push_back(names.registerEndpoint("s-" + std::to_string(k)));
        updates.sessionOpened(kFirst, {0}, firstStream);
        updates.sessionOpened(kSecond, {0}, secondStream);
        for (std::size_t k = 0; k < kInitialTableSize; ++k) state.setWeight(kTable, endpoints[k], 1);
        assignTable(kFirst);
        assignTable(kSecond);
        discardReceived();
    }
    void assignTable(ProxyId proxy) {
        state.assignTable(proxy, 0, kTable);
        endBatch();
        acknowledge(proxy);
    }
    /// Requests a barrier for the proxies with pending changes and flushes.
    void endBatch() {
        state.requestBarrier({++lastBarrier}, false);
        now += 1ms;
        state.flush(now);
    }
    void acknowledge(ProxyId proxy) { EXPECT_TRUE(updates.barrierAcknowledged(proxy, {lastBarrier})); }
    void discardReceived() {
        firstStream.take();
        secondStream.take();
    }
};

TEST_F(UpdateQueueCreditTest, DeferredUpdatesMergeAndFollowRemovals) {
    for (std::size_t k = 3; k < 12; ++k) state.setWeight(kTable, endpoints[k], 1);
    endBatch(); // 9 weights, overhead and barrier: 16 of the 25 lines for ordinary updates
    EXPECT_NE(firstStream.take().find("s-11:1"), std::string::npos);
    EXPECT_EQ(secondStream.take(), "");
    EXPECT_EQ(state.pendingLines(), 32);

    for (std::size_t k = 4; k < 12; ++k) state.setWeight(kTable, endpoints[k], 2);
    state.setWeight(kTable, endpoints[0], 0);
    endBatch();
    const std::string stamp = " stamp=" + std::to_string(lastBarrier) + "\r\n";
    // The second proxy has waited longer and gets the current state. For the first there is only capacity for
    // the removal.
    EXPECT_EQ(secondStream.take(),
              "push rows=s-0:0,s-3:1,s-4:2,s-5:2,s-6:2,s-7:2,s-8:2,s-9:2,s-10:2,s-11:2" + stamp);
    EXPECT_EQ(firstStream.take(), "push rows=s-0:0" + stamp);
}

/// Guards against a removal without the admission limit that was ordered with it (review/7): the proxy would
/// send all its requests to what is left of the table, which may be endpoints that are warming up.
TEST_F(UpdateQueueCreditTest, RemovalsThatGoFirstTakeTheLimitsOfTheirTableAlong) {
    for (std::size_t k = 3; k < 12; ++k) state.setWeight(kTable, endpoints[k], 1);
    endBatch(); // the first proxy's message leaves no room for ordinary updates
    discardReceived();
    for (std::size_t k = 4; k < 12; ++k) state.setWeight(kTable, endpoints[k], 2);
    state.setAdmission(kTable, 0, 0.25, RetryPolicy::AfterProofOfNoEffect);
    endBatch();
    EXPECT_EQ(firstStream.take(), ""); // a limit alone can wait
    state.setWeight(kTable, endpoints[0], 0);
    endBatch();
    const std::string stamp = " stamp=" + std::to_string(lastBarrier) + "\r\n";
    EXPECT_EQ(firstStream.take(), "push rows=s-0:0 part=1\r\npush gate=0.25 again=1" + stamp);
}

/// Regression: weights deferred for one unresponsive proxy counted as pending lines. The planner limits its
/// rate by these, so the updates of all proxies were delayed.
TEST_F(UpdateQueueCreditTest, UpdatesForAnUnresponsiveProxyDoNotCountAsChannelLoad) {
    state.setWeight(kTable, endpoints[3], 1);
    endBatch();
    EXPECT_NE(firstStream.take(), ""); // the first proxy never acknowledges
    acknowledge(kSecond);
    for (int k = 0; k < 3; ++k) { // the second proxy makes progress
        now += 1s;
        updates.sessionOpened(kSecond, {0}, secondStream);
        assignTable(kSecond);
    }
    EXPECT_EQ(state.pendingLines(), 8); // one weight, overhead and barrier
    for (std::size_t k = 4; k < 12; ++k) state.setWeight(kTable, endpoints[k], 1);
    endBatch();
    EXPECT_EQ(firstStream.take(), "");
    // Adds the message to the second proxy, but not the update that waits for the first.
    EXPECT_EQ(state.pendingLines(), 8 + 15);
}

TEST_F(UpdateQueueCreditTest, DoesNotForgetAnEndpointWhileItsRemovalIsPending) {
    for (std::size_t k = 3; k < 12; ++k) state.setWeight(kTable, endpoints[k], 1);
    endBatch();
    for (std::size_t k = 3; k < 12; ++k) state.setWeight(kTable, endpoints[k], 2);
    endBatch();
    discardReceived();
    const EndpointId removed = endpoints[0];
    state.setWeight(kTable, removed, 0);
    EXPECT_FALSE(state.forgetEndpoint(removed));
    endBatch();
    EXPECT_NE(firstStream.take().find("s-0:0"), std::string::npos);
}

} // namespace
} // namespace zincstack::net

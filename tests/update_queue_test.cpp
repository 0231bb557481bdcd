// What proxies are sent on their push streams when the desired state changes, and what waits for capacity in the
// control channel.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;

using tests::CapturingStream;

struct UpdateQueueTest : tests::PlatformHarness {};

/// Regression: each assignment and each new endpoint also readmitted what nobody had excluded. That doubled the lines
/// and delayed drains behind them beyond their deadline.
TEST_F(UpdateQueueTest, AssignmentSendsTableAndAdmissionAndReadmitsOnlyOnRequest) {
    registerTwoEndpoints();
    CapturingStream reader;
    const auto stream = openProxyStream(reader);
    decide([&] {
        state.setWeight(table, readyEndpoint, 1.5);
        state.setWeight(table, drainingEndpoint, 0.25);
        state.setAdmission(table, 1, 1e6, RetryPolicy::AfterProofOfNoEffect);
        state.setAdmission(table, 2, 1e6, RetryPolicy::AfterProofOfNoEffect);
        state.assignTable({17}, 0, table);
        state.requestBarrier({905}, false);
    });
    EXPECT_EQ(reader.take(), "push replace=1 rows=s-1:1.5,s-2:0.25 part=1\r\n"
                             "push gate=1000000 again=1 stamp=905\r\n");
    EXPECT_EQ(counters.of(Counter::OrderLines), 5U); // replacement, two weights, a limit, a barrier
    decide([&] {
        EXPECT_TRUE(state.clearStaleExclusions({17}, 99));
        state.requestBarrier({906}, false);
    });
    EXPECT_EQ(reader.take(), "push undrop=s-1,s-2 stamp=906\r\n");
    decide(
        [&] { EXPECT_FALSE(state.clearStaleExclusions({17}, 99) || state.clearStaleExclusions({3}, 99)); });
    decide([&] {
        state.setWeight(table, drainingEndpoint, 0);
        state.setExcluded(drainingEndpoint, true); // its table does not contain it any more
        state.setAdmission(table, 2, 0.5, RetryPolicy::Never);
        state.requestBarrier({907}, false);
    });
    EXPECT_EQ(reader.take(), "push rows=s-2:0 part=1\r\npush for=order gate=0.5 again=0 stamp=907\r\n");
    decide([] {});
    EXPECT_EQ(reader.take(), "");
}

TEST_F(UpdateQueueTest, SendsExclusionsToInheritedTablesAndAgainOnANewStream) {
    registerTwoEndpoints();
    CapturingStream reader;
    CapturingStream newer;
    const auto stream = openProxyStream(reader);
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({1}, false);
    });
    EXPECT_EQ(reader.take(), "push drop=s-2 stamp=1\r\n");
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({2}, false);
    });
    EXPECT_EQ(reader.take(), "");
    const auto next = openProxyStream(newer);
    decide([&] {
        state.setWeight(table, drainingEndpoint, 1);
        state.assignTable({17}, 3, table);
    });
    EXPECT_EQ(newer.take(), ""); // only the acknowledgement of a barrier returns the credit
    EXPECT_TRUE(state.needsBarrier());
    decide([&] { state.requestBarrier({3}, false); });
    EXPECT_FALSE(state.needsBarrier());
    EXPECT_EQ(newer.take(), "push replace=1 rows=s-2:1 drop=s-2 stamp=3\r\n"); // still excluded
    decide([&] {
        state.setExcluded(drainingEndpoint, false);
        state.requestBarrier({4}, true);
    });
    EXPECT_EQ(newer.take(), "push undrop=s-2 stamp=4\r\n");
    EXPECT_EQ(reader.take(), "");
}

TEST_F(UpdateQueueTest, AForgottenEndpointReturnsWithANewIdAndIsReadmitted) {
    registerTwoEndpoints();
    CapturingStream reader;
    const auto stream = openProxyStream(reader);
    decide([&] {
        state.setExcluded(drainingEndpoint, true);
        state.requestBarrier({1}, false);
    });
    EXPECT_EQ(reader.take(), "push drop=s-2 stamp=1\r\n");
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
    EXPECT_EQ(reader.take(),
              "push replace=1 rows=s-2:1 undrop=s-2 stamp=2\r\n"); // the proxy still excludes it
}

TEST_F(UpdateQueueTest, ResynchronizesALaggingReaderOnceItHasCaughtUp) {
    registerTwoEndpoints();
    CapturingStream reader;
    const auto stream = openProxyStream(reader);
    decide([&] {
        state.setWeight(table, readyEndpoint, 1);
        state.assignTable({17}, 0, table);
    });
    reader.take();
    reader.isSlow = true;
    decide([&] {
        state.setWeight(table, drainingEndpoint, 1);
        state.requestBarrier({7}, false);
    });
    decide([&] {
        state.setWeight(table, readyEndpoint, 0.5);
        state.requestBarrier({8}, false);
    });
    reader.isSlow = false;
    decide([] {});
    EXPECT_EQ(reader.take(), "push replace=1 rows=s-1:0.5,s-2:1 stamp=8\r\n");
    EXPECT_EQ(counters.of(Counter::Resyncs), 1U);
    reader.isSlow = true; // what it missed is sent again, as it is by then
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
    reader.isSlow = false;
    decide([] {});
    EXPECT_EQ(reader.take(), "push replace=1 rows=s-1:0.5,s-2:1 drop=s-2 undrop=s-1 stamp=11\r\n");
}

constexpr ProxyId kFirst{1};
constexpr ProxyId kSecond{2};

/// Two proxies with complete tables on a channel for fifty lines.
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
    endBatch(); // 9 weights, overhead and barrier: 16 lines, of 25 that ordinary updates may fill
    EXPECT_NE(firstStream.take().find("s-11:1"), std::string::npos);
    EXPECT_EQ(secondStream.take(), "");
    EXPECT_EQ(state.pendingLines(), 32);

    for (std::size_t k = 4; k < 12; ++k) state.setWeight(kTable, endpoints[k], 2);
    state.setWeight(kTable, endpoints[0], 0);
    endBatch();
    const std::string stamp = " stamp=" + std::to_string(lastBarrier) + "\r\n";
    // The one that waits longer gets the present state; for the other there is capacity only for the removal.
    EXPECT_EQ(secondStream.take(),
              "push rows=s-0:0,s-3:1,s-4:2,s-5:2,s-6:2,s-7:2,s-8:2,s-9:2,s-10:2,s-11:2" + stamp);
    EXPECT_EQ(firstStream.take(), "push rows=s-0:0" + stamp);
}

/// Regression: the planner limits its rate by what is pending, so that weights deferred for one unresponsive proxy
/// delayed everybody's.
TEST_F(UpdateQueueCreditTest, UpdatesForAnUnresponsiveProxyAreNoLoadOnTheChannel) {
    state.setWeight(kTable, endpoints[3], 1);
    endBatch();
    EXPECT_NE(firstStream.take(), ""); // it never acknowledges
    acknowledge(kSecond);
    for (int k = 0; k < 3; ++k) { // others make progress
        now += 1s;
        updates.sessionOpened(kSecond, {0}, secondStream);
        assignTable(kSecond);
    }
    EXPECT_EQ(state.pendingLines(), 8); // one weight, overhead and barrier
    for (std::size_t k = 4; k < 12; ++k) state.setWeight(kTable, endpoints[k], 1);
    endBatch();
    EXPECT_EQ(firstStream.take(), "");
    EXPECT_EQ(state.pendingLines(), 8 + 15); // what the second was written, not what waits for the first
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

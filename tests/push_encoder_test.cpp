// Tests the encoding of updates as `push` lines.
#include <gtest/gtest.h>

#include <string>

#include "platform_harness.h"

namespace zincstack::net {
namespace {

using tests::CapturingStream;

struct PushEncoderTest : tests::PlatformHarness {};

TEST_F(PushEncoderTest, SplitsLongTablesIntoPartsAndCountsThemOnce) {
    std::string members = "[";
    for (int k = 0; k < 12'000; ++k)
        members += std::string(k ? "," : "") + R"({"id":"server-with-a-long-name-to-fill-lines-)" +
                   std::to_string(k) + R"(","host_port":"h:1","locality":"a","phase":"Ready"})";
    ASSERT_TRUE(inputs.updateEndpoints(EndpointListUpdate::Snapshot, json::read(members + "]")));
    CapturingStream stream;
    const auto session = openProxySession(stream);
    decide([&] {
        for (const EndpointUpdate& update : planner.endpointUpdates) state.setWeight(table, update.id, 1);
        state.assignTable({17}, 1, table);
        state.requestBarrier({1}, false);
    });
    EXPECT_EQ(counters.of(Counter::Parts), 2U);
    EXPECT_EQ(counters.of(Counter::Messages), 1U);
    EXPECT_EQ(counters.of(Counter::OrderLines), 12'002U);
    EXPECT_EQ(stream.received.find("push for=lookup replace=1 rows="), 0U);
    EXPECT_EQ(stream.received.rfind("replace=1"), stream.received.find("replace=1"));
}

} // namespace
} // namespace zincstack::net

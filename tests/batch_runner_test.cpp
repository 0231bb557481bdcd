// When the planner decides on a batch of inputs.
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "platform_harness.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;

struct BatchRunnerTest : tests::PlatformHarness {};

/// Regression: if a load report arrived while a batch was about to close, the planner evaluated the report in
/// two halves, and every later report one interval late.
TEST_F(BatchRunnerTest, ClosesABatchOnceNoMoreInputComes) {
    BatchRunner slow(io, planner, state, counters, 200ms);
    slow.openBatch();
    boost::asio::steady_timer secondInput(io, 300ms);
    secondInput.async_wait([&](boost::system::error_code) {
        EXPECT_EQ(planner.decisionCount, 0);
        slow.openBatch();
    });
    boost::asio::steady_timer check(io, 500ms); // later than a batch with one input would close
    check.async_wait([&](boost::system::error_code) { EXPECT_EQ(planner.decisionCount, 0); });
    runUntilIdle();
    EXPECT_EQ(planner.decisionCount, 1);
}

} // namespace
} // namespace zincstack::net

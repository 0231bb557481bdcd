// Tests the division of the limits on descriptors and memory.
#include <gtest/gtest.h>

#include "net/buffer_pool.h"
#include "net/line_framer.h"
#include "net/resource_budget.h"

namespace zincstack::net {
namespace {

/// Regression: with a limit of 256 descriptors, half of them were not available to peers, although every
/// proxy may connect to the same planner.
TEST(ResourceBudgetTest, ReservesAConnectionForEveryProxyAndBoundsBufferMemory) {
    for (const std::size_t sockets : {256U, 512U, 1024U})
        for (const std::size_t memory : {32U, 48U, 192U}) {
            const ResourceBudget budget = divideLimits(sockets, memory, 200, 3);
            EXPECT_GE(budget.peers, 203U + 16U);
            EXPECT_GE(budget.probes, 4U);
            EXPECT_LT(budget.peers + budget.probes, sockets - 12);
            const std::size_t blocks = budget.lineBlocks + budget.responseBlocks + budget.pushBlocks;
            EXPECT_LE(blocks * kBlockBytes + budget.peers * kOwnBufferBytes, memory * 1024 * 1024 / 2);
            EXPECT_GT(budget.responseBlocks, budget.probes);                   // one more for discovery
            EXPECT_GE(budget.lineBlocks * kBlockBytes * 3 / 4, kMaxLineBytes); // a collector's longest line
            EXPECT_GE(budget.pushBlocks * kBlockBytes, 4U * 1024 * 1024);
        }
    EXPECT_GE(divideLimits(16, 1, 200, 3).peers, 1U);
}

} // namespace
} // namespace zincstack::net

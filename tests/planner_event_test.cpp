// Planner events as text: the names that the log and the operators' page use.
#include <gtest/gtest.h>

#include "planner/planner_event.h"

namespace zincstack::tests {
namespace {

TEST(PlannerEvent, IsWrittenWithItsNameAndAllFields) {
    EXPECT_EQ(eventText(EndpointEjected{{7}, 12, 9}),
              "endpoint_ejected endpoint=7 attempts=12.000000 failures=9.000000");
    EXPECT_EQ(eventText(EndpointReadmitted{{7}, 3, 0}),
              "endpoint_readmitted endpoint=7 attempts=3.000000 failures=0.000000");
    EXPECT_EQ(eventText(LoadSheddingStarted{30, 20, 0.5}),
              "load_shedding_started demand=30.000000 best_capacity=20.000000 overload=0.500000");
    EXPECT_EQ(eventText(LoadSheddingStopped{10, 20, 0}),
              "load_shedding_stopped demand=10.000000 best_capacity=20.000000 overload=0.000000");
    EXPECT_EQ(eventText(UpdateDeadlock{{2}, 0.25}), "update_deadlock table=2 rate_limit_fraction=0.250000");
}

} // namespace
} // namespace zincstack::tests

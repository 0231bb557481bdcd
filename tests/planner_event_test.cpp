// Text format of planner events in logs: as the simulator's adapter writes them, and as the network daemon
// logs them, with the names of endpoints.
#include <gtest/gtest.h>

#include "log/log.h"
#include "metrics/counters.h"
#include "planner/planner_event.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

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
    EXPECT_EQ(eventText(WarmUpLimitStarted{{2}, 0.25}),
              "warm_up_limit_started table=2 admitted_fraction=0.250000");
    EXPECT_EQ(eventText(WarmUpLimitStopped{{2}}), "warm_up_limit_stopped table=2");
}

TEST(PlannerEvent, IsLoggedWithTheNameOfItsEndpoint) {
    net::NameRegistry names({"payments"}, {"east"});
    net::Counters counters;
    routing::RoutingState state(names, counters, [](EndpointId) {}, [](Micros) {});
    const EndpointId endpoint = names.registerEndpoint("s-2");
    log::start(log::Format::Text, log::Level::Info);
    testing::internal::CaptureStderr();
    state.report(EndpointEjected{endpoint, 12, 9});
    state.report(UpdateDeadlock{{3}, 0.25});
    state.report(WarmUpLimitStarted{{4}, 0.5});
    state.report(WarmUpLimitStopped{{4}});
    const std::string written = testing::internal::GetCapturedStderr();
    EXPECT_NE(written.find("info endpoint_ejected endpoint=s-2 attempts="), std::string::npos) << written;
    EXPECT_NE(written.find("info update_deadlock table=3 rate_limit_fraction="), std::string::npos)
        << written;
    EXPECT_NE(written.find("info warm_up_limit_started table=4 admitted_fraction="), std::string::npos)
        << written;
    EXPECT_NE(written.find("info warm_up_limit_stopped table=4"), std::string::npos) << written;
}

} // namespace
} // namespace zincstack::tests

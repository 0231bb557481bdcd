// Slow start: how fast new endpoints gain weight, and when they lose it again.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

TEST(SlowStart, ANewEndpointGainsWeightStepByStepAndNoFasterThanItWarmsUp) {
    const auto model = settledModel(6);
    model->updateEndpoint(9, EndpointState::Ready, model->now);
    model->advance(1s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 0.2);
    double before = 0.2;
    for (int step = 0; step < 40; ++step) {
        model->advance(500ms);
        if (step % 2) model->reportLoad(20, kNoFailures);
        EXPECT_LE(weightOf(*model, 9) - before, 0.2 + 1e-9);
        before = weightOf(*model, 9);
    }
    EXPECT_DOUBLE_EQ(before, 1);
    EXPECT_TRUE(model->violations.empty());
}

/// The endpoint list can name endpoints that do not belong to the fleet; they must not get full weight.
TEST(SlowStart, AWarmEndpointStepsUpOnlyAfterItHasAnswered) {
    const auto model = settledModel(6);
    model->updateEndpoint(9, EndpointState::Ready, 0us);
    model->advance(4s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 0.2);
    model->reportLoad(20, kNoFailures);
    model->advance(6s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 1);
}

TEST(SlowStart, AnEndpointThatWarmsUpLosesItsWeightUnderOverloadUnlessNoWarmOneIsLeft) {
    const auto model = settledModel(3);
    model->updateEndpoint(9, EndpointState::Ready, model->now);
    model->advance(2s);
    EXPECT_GT(weightOf(*model, 9), 0);
    model->reportLoad(20, [](auto) { return 0.5; });
    model->advance(500ms);
    EXPECT_EQ(weightOf(*model, 9), 0);
    for (std::uint64_t id = 1; id <= 3; ++id) model->updateEndpoint(id, EndpointState::Draining);
    model->advance(500ms);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 0.2);
}

/// Guards against an endpoint that slow start has taken down to weight 0 and that gets none again once it is
/// warm, because it would have to answer a request first (review/6): a zone that came back cold had no table.
TEST(SlowStart, AnEndpointWithoutWeightGetsTheFirstStepOnceItIsWarm) {
    const auto model = settledModel(3);
    model->updateEndpoint(9, EndpointState::Ready, model->now);
    model->advance(2s);
    model->reportLoad(20, [](std::uint64_t id) { return id == 9 ? 1 : 0.5; });
    model->advance(500ms);
    ASSERT_EQ(weightOf(*model, 9), 0);
    model->advance(model->safety.warmUpDuration);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 0.2);
    // It may not belong to the fleet: no more before it has answered.
    model->advance(4s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 0.2);
    advanceWithSuccessfulReports(*model, 8);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 1);
    EXPECT_TRUE(model->violations.empty());
}

} // namespace
} // namespace zincstack::tests

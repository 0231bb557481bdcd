// Slow start: how fast new endpoints get work, and when they have to give it back.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

TEST(SlowStart, ANewEndpointClimbsByFifthsAndNoFasterThanItWarmsUp) {
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

TEST(SlowStart, AnUnknownEndpointClimbsOnlyOnceItHasAnswered) {
    const auto model = settledModel(6);
    model->updateEndpoint(9, EndpointState::Ready, 0us);
    model->advance(4s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 0.2);
    model->reportLoad(20, kNoFailures);
    model->advance(6s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 9), 1);
}

TEST(SlowStart, AnEndpointThatWarmsUpIsLoweredUnderOverloadUnlessItIsTheLast) {
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

} // namespace
} // namespace zincstack::tests

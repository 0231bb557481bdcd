// The update scheduler: rounds of differences, and what happens where no change fits.
#include <gtest/gtest.h>

#include <algorithm>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

TEST(UpdateScheduler, SendsOnlyDifferencesAndAnAdditionCancelsItsRemoval) {
    const auto model = settledModel(6);
    model->updateEndpoint(9, EndpointState::Ready, 0us);
    model->updateEndpoint(9, EndpointState::Removed);
    model->updateEndpoint(3, EndpointState::Draining);
    model->advance(4s);
    for (const auto& update : model->weightUpdates) EXPECT_EQ(update.first, EndpointId{3});
    EXPECT_EQ(weightOf(*model, 3), 0);
    EXPECT_TRUE(model->excluded.contains({3}));
}

TEST(UpdateScheduler, ADeadlockMovesATableAtAReducedRateForOneRound) {
    const auto model = settledModel(4);
    model->addEndpoint(9, 60); // it has not reported, so it counts as average: no table's line for it fits
    model->updateEndpoint(9, EndpointState::Ready);
    model->advance(800ms);
    EXPECT_LT(model->admissionLimits.back().second, 1);
    EXPECT_EQ(weightOf(*model, 9), 12);
    model->advance(6s);
    EXPECT_EQ(model->admissionLimits.back().second, 1);
    const auto isDeadlock = [](const PlannerEvent& event) {
        return std::holds_alternative<UpdateDeadlock>(event);
    };
    EXPECT_EQ(std::ranges::count_if(model->events, isDeadlock), 2);
}

} // namespace
} // namespace zincstack::tests

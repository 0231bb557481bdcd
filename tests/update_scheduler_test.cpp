// Update scheduler: rounds issue only the differences between installed and target weights, and a deadlock
// (no pending change fits the endpoints' capacities) is resolved by reducing the admission of one table.
#include <gtest/gtest.h>

#include <algorithm>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

// Guards against updates for an endpoint that is added and removed within one window: both changes must merge
// to no difference, so that only the draining endpoint is updated.
TEST(UpdateScheduler, IssuesOnlyDifferencesAndARemovalCancelsItsPendingAddition) {
    const auto model = settledModel(6);
    model->updateEndpoint(9, EndpointState::Ready, 0us);
    model->updateEndpoint(9, EndpointState::Removed);
    model->updateEndpoint(3, EndpointState::Draining);
    model->advance(4s);
    for (const auto& update : model->weightUpdates) EXPECT_EQ(update.first, EndpointId{3});
    EXPECT_EQ(weightOf(*model, 3), 0);
    EXPECT_TRUE(model->excluded.contains({3}));
}

// Guards against a change that is never issued because it exceeds its endpoint's capacity: the affected
// table must be updated with reduced admission, and must admit all requests again when the step has ended.
TEST(UpdateScheduler, ADeadlockedTableIsUpdatedWithReducedAdmissionForOneStep) {
    const auto model = settledModel(4);
    // No attempt has succeeded at endpoint 9, so its capacity is estimated from the mean weight instead of
    // its listed one. Its addition does not fit in any table.
    model->addEndpoint(9, 60);
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

// The endpoint registry: what happens to the entry of an endpoint that is gone for good.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

/// Each joining proxy was told of every endpoint that had ever ended, and what was kept of them grew for good.
TEST(EndpointRegistry, ForgetsWhatEndedLongAgoAndReusesItsEntry) {
    const auto model = settledModel(4);
    model->forgetsEndpoints = true;
    model->updateEndpoint(3, EndpointState::Removed);
    model->advance(20s);
    EXPECT_TRUE(model->excluded.contains({3})); // an inherited table may name it still
    model->advance(15s);
    EXPECT_FALSE(model->excluded.contains({3}));
    model->updateEndpoint(9, EndpointState::Ready, 0us);
    model->batch([&] { // late input for the forgotten endpoint is not the new one's
        model->planner->reportLoad({{3}, {0}, 100, 100, 0us, 1s, {}});
        model->planner->probeCompleted({{3}, ProbeStatus::Unreachable, 0us, {}});
    });
    passCalmSeconds(*model, 10);
    EXPECT_EQ(weightOf(*model, 9), 1);
    model->updateEndpoint(3, EndpointState::Ready);
    passCalmSeconds(*model, 10);
    EXPECT_EQ(weightOf(*model, 3), 1);
    EXPECT_EQ(model->tables[{0}].size(), 5U);
    for (const auto& [id, proxy] : model->proxies) EXPECT_FALSE(proxy.excluded.contains({3}));
    EXPECT_TRUE(model->violations.empty());
}

} // namespace
} // namespace zincstack::tests

// Endpoint registry: what happens to the entry of an endpoint that has been removed.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

/// If removed endpoints were never forgotten, each joining proxy would be sent the exclusion of every
/// endpoint that was ever removed, and the state kept for them would grow without limit.
TEST(EndpointRegistry, ForgetsEndpointsRemovedLongAgoAndReusesTheirEntries) {
    const auto model = settledModel(4);
    model->forgetsEndpoints = true;
    model->updateEndpoint(3, EndpointState::Removed);
    model->advance(20s);
    EXPECT_TRUE(model->excluded.contains({3})); // an inherited table may still name it
    model->advance(15s);
    EXPECT_FALSE(model->excluded.contains({3}));
    model->updateEndpoint(9, EndpointState::Ready, 0us);
    model->batch([&] { // late input for the forgotten endpoint must not affect the new one
        model->planner->reportLoad({{3}, {0}, 100, 100, 0us, 1s, {}});
        model->planner->probeCompleted({{3}, ProbeStatus::Unreachable, 0us, {}});
    });
    advanceWithSuccessfulReports(*model, 10);
    EXPECT_EQ(weightOf(*model, 9), 1);
    model->updateEndpoint(3, EndpointState::Ready);
    advanceWithSuccessfulReports(*model, 10);
    EXPECT_EQ(weightOf(*model, 3), 1);
    EXPECT_EQ(model->tables[{0}].size(), 5U);
    for (const auto& [id, proxy] : model->proxies) EXPECT_FALSE(proxy.excluded.contains({3}));
    EXPECT_TRUE(model->violations.empty());
}

} // namespace
} // namespace zincstack::tests

// Health checks: how probe results decide about endpoints that are suspect, unlisted or ejected.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

/// The endpoint list can wrongly report a running endpoint as removed; it must stay in service until a probe
/// fails.
TEST(HealthChecks, AnUnlistedEndpointStaysInServiceWhileProbesSucceed) {
    ProxyModel model;
    model.safety.removalIsBinding = false;
    for (std::uint64_t id = 1; id <= 4; ++id) model.addEndpoint(id);
    model.start();
    model.join(1, 0, 10, {{1}});
    for (const auto status : {ProbeStatus::Answered, ProbeStatus::Unreachable}) {
        model.updateEndpoint(3, EndpointState::Removed);
        model.advance(1s);
        model.completeProbes(status);
        model.advance(1s);
        EXPECT_EQ(model.excluded.contains({3}), status != ProbeStatus::Answered);
    }
}

TEST(HealthChecks, AConfirmedOutlierIsEjectedAndReadmittedWithSlowStart) {
    const auto model = settledModel(6);
    model->reportLoad(20, [](auto id) { return id == 2 ? 0.8 : 0.0; });
    EXPECT_EQ(model->probes, std::vector<EndpointId>{{2}});
    model->completeProbes(ProbeStatus::Unreachable);
    model->advance(500ms);
    EXPECT_TRUE(model->excluded.contains({2}));
    for (int step = 0; step < 16 && model->excluded.contains({2}); ++step) {
        model->advance(500ms);
        model->completeProbes(ProbeStatus::Answered);
    }
    EXPECT_FALSE(model->excluded.contains({2}));
    EXPECT_LE(weightOf(*model, 2), 0.4); // slow start, not the full weight
    model->advance(4s);
    EXPECT_DOUBLE_EQ(weightOf(*model, 2), 1);
}

/// A hung endpoint can still answer shallow probes: an answered probe must not clear it if all of its
/// attempts fail.
TEST(HealthChecks, AnAnsweredProbeClearsAnEndpointThatServesRequestsButNotOneThatHangs) {
    for (const double failureRatio : {0.6, 1.0}) {
        const auto model = settledModel(6);
        for (int second = 0; second < 4; ++second) {
            model->reportLoad(20, [=](auto id) { return id == 2 ? failureRatio : 0.0; });
            model->completeProbes(ProbeStatus::Answered);
            model->advance(1s);
        }
        EXPECT_EQ(model->excluded.size(), failureRatio < 1 ? 0U : 1U);
    }
}

} // namespace
} // namespace zincstack::tests

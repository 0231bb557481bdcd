// Outlier detection: which endpoints become suspect, and what fraction of the fleet may be ejected.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

/// Load reports alone must not lower the weight of a slow endpoint: a health check has to confirm the
/// slowness first.
TEST(OutlierDetection, SlowEndpointsLoseOneStepAfterAProbeTimesOutWhileAThirdIsHealthy) {
    for (const std::uint64_t slowCount : {1, 4}) {
        const auto model = settledModel(6);
        for (int second = 0; second < 6; ++second) {
            model->reportLoad(20, kNoFailures, [=](auto id) { return id <= slowCount ? 1500ms : 150ms; });
            EXPECT_DOUBLE_EQ(weightOf(*model, 1), 1);
            model->completeProbes(second < 5 ? ProbeStatus::Answered : ProbeStatus::TimedOut);
            model->advance(1s);
        }
        EXPECT_DOUBLE_EQ(weightOf(*model, slowCount), 0.8);
        EXPECT_DOUBLE_EQ(weightOf(*model, 5), 1);
        EXPECT_TRUE(model->excluded.empty());
    }
}

/// If reports queue up, an endpoint goes without a report for several intervals although it is healthy. It
/// must not be probed as silent.
TEST(OutlierDetection, NoEndpointCountsAsSilentWithinTheFirstReportingCycles) {
    const auto model = settledModel(40);
    for (std::uint64_t second = 0; second < 8; ++second) { // reports queue up: four intervals a cycle
        const std::uint64_t first = 1 + second % 4 * 10;
        model->planner->beginBatch(model->now);
        for (std::uint64_t id = first; id < first + 10; ++id)
            model->planner->reportLoad({{id}, {0}, 40, 0, 200ms, 4s, {}});
        model->planner->decide();
        model->advance(1s);
    }
    EXPECT_TRUE(model->probes.empty());
}

/// Wrong reports on half of the fleet must not take half of its capacity out of service.
TEST(OutlierDetection, AtMostAThirdOfTheFleetIsEjected) {
    const auto model = settledModel(6);
    for (int second = 0; second < 5; ++second) {
        model->reportLoad(20, [](auto id) { return id <= 3 ? 1.0 : 0.0; });
        model->completeProbes(ProbeStatus::Unreachable);
        model->advance(1s);
    }
    EXPECT_EQ(model->excluded.size(), 2U);
}

} // namespace
} // namespace zincstack::tests

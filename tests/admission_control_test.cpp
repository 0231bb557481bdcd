// Admission control: which requests are shed when the whole fleet is overloaded, and when none may be shed.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

TEST(AdmissionControl, ShedsTheClassOfLeastPriorityPerLatencyObjectiveFirstAndRestoresIt) {
    const auto model = settledModel(6);
    for (int second = 0; second < 2; ++second) {
        model->reportLoad(20, [](auto) { return 0.8; });
        model->advance(1s);
    }
    ASSERT_FALSE(model->admissionLimits.empty());
    for (const auto& [requestClasses, limit] : model->admissionLimits)
        EXPECT_TRUE(limit >= 0.9 || requestClasses == 2);
    advanceWithSuccessfulReports(*model, 40);
    EXPECT_DOUBLE_EQ(model->admissionLimits.back().second, 1);
}

/// Guards against load shedding due to an underestimated capacity: after a restart of the planner the first
/// load reports covered few proxies, and admission stayed limited to that capacity for the rest of the day.
TEST(AdmissionControl, ShedsNothingWhileLoadReportsCoverFewRequests) {
    ProxyModel model;
    for (std::uint64_t id = 1; id <= 6; ++id) model.addEndpoint(id);
    model.start();
    for (std::uint16_t proxy = 0; proxy < 4; ++proxy)
        model.join(proxy, static_cast<std::uint8_t>(proxy % 2), 40, {{1}, {2}});
    const auto slowLatency = [](auto) { return Micros(3s); };
    for (int second = 0; second < 4; ++second) {
        model.reportLoad(3, kNoFailures, slowLatency);
        model.advance(1s);
    }
    for (const auto& [requestClasses, limit] : model.admissionLimits) EXPECT_EQ(limit, 1);
    for (int second = 0; second < 4; ++second) {
        model.reportLoad(20, kNoFailures, slowLatency);
        model.advance(1s);
    }
    EXPECT_LT(model.admissionLimits.back().second, 1);
}

/// Failures without slow responses are no sign of overload, and shedding load would not reduce them.
TEST(AdmissionControl, ShedsNothingForFailuresWithoutSlowResponses) {
    const auto model = settledModel(6);
    for (int second = 0; second < 4; ++second) {
        model->reportLoad(20, [](auto) { return 0.4; });
        model->advance(1s);
    }
    for (const auto& [requestClasses, limit] : model->admissionLimits) EXPECT_EQ(limit, 1);
}

} // namespace
} // namespace zincstack::tests

// Shared fixtures of the planner's tests: a proxy model whose planner has reached a steady state, and
// functions that query or drive it.
#pragma once

#include <memory>

#include "proxy_model.h"

namespace zincstack::tests {

/// A failure ratio for ProxyModel::reportLoad with which no attempt fails.
inline constexpr auto kNoFailures = [](std::uint64_t) { return 0.0; };

/// A model with `endpointCount` warm endpoints (ids from 1) and proxies that have joined and received their
/// tables, after one load report without failures. Clears the weight updates up to then from `weightUpdates`.
inline std::unique_ptr<ProxyModel> settledModel(std::size_t endpointCount, std::uint16_t proxyCount = 4) {
    auto model = std::make_unique<ProxyModel>();
    for (std::uint64_t id = 1; id <= endpointCount; ++id) model->addEndpoint(id);
    model->start();
    for (std::uint16_t proxy = 0; proxy < proxyCount; ++proxy)
        model->join(proxy, static_cast<std::uint8_t>(proxy % 2), 10, {{1}, {2}});
    model->advance(2s);
    model->reportLoad(20, kNoFailures);
    model->advance(1s);
    model->weightUpdates.clear();
    return model;
}

/// The weight that the planner last set for the endpoint in the first table; 0 if the table does not name it.
inline double weightOf(const ProxyModel& model, std::uint64_t endpoint) {
    const auto table = model.tables.find({0});
    if (table == model.tables.end()) return 0;
    const auto found = table->second.find({endpoint});
    return found == table->second.end() ? 0 : found->second;
}

/// Advances the time by `count` seconds, with a load report without failures at the start of each.
inline void advanceWithSuccessfulReports(ProxyModel& model, int count) {
    for (int second = 0; second < count; ++second) {
        model.reportLoad(20, kNoFailures);
        model.advance(1s);
    }
}

} // namespace zincstack::tests

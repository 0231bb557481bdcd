// What the planner's tests share: a proxy model whose planner has settled, and short questions to it.
#pragma once

#include <memory>

#include "proxy_model.h"

namespace zincstack::tests {

/// For ProxyModel::reportLoad: no attempt fails.
inline constexpr auto kNoFailures = [](std::uint64_t) { return 0.0; };

/// A model of `endpointCount` warm endpoints (ids from 1), with proxies that have joined and got their tables, and with
/// good load reports. What was ordered until then is cleared from `weightUpdates`.
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

/// The weight of an endpoint in the first table, as last ordered.
inline double weightOf(const ProxyModel& model, std::uint64_t endpoint) {
    const auto table = model.tables.find({0});
    if (table == model.tables.end()) return 0;
    const auto found = table->second.find({endpoint});
    return found == table->second.end() ? 0 : found->second;
}

/// Good load reports once a second for so many seconds.
inline void passCalmSeconds(ProxyModel& model, int count) {
    for (int second = 0; second < count; ++second) {
        model.reportLoad(20, kNoFailures);
        model.advance(1s);
    }
}

} // namespace zincstack::tests

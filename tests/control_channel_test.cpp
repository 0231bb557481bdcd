// Assignment of tables over the control channel: which joining proxies get theirs first, and which tables
// these are.
#include <gtest/gtest.h>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

TEST(ControlChannel, JoiningProxiesGetTheirTablesBusiestFirst) {
    ProxyModel model;
    for (std::uint64_t id = 1; id <= 4; ++id) model.addEndpoint(id);
    model.start();
    model.channel.maxMessagesPerProxy = 0;
    model.planner->beginBatch(model.now);
    for (std::uint16_t proxy = 0; proxy < 3; ++proxy) {
        model.proxies[{proxy}].joinedAt = model.now;
        model.planner->proxyJoined({proxy}, {0}, 1.0 + proxy, true);
    }
    model.advance(500ms);
    ASSERT_EQ(model.assignments.size(), 3U);
    EXPECT_EQ(model.assignments.front().first, ProxyId{2});
}

TEST(ControlChannel, ZoneLocalRequestClassesGetATableOfTheirZone) {
    ProxyModel model;
    model.requestClasses[1].zoneLocal = true;
    for (std::uint64_t id = 1; id <= 4; ++id) model.addEndpoint(id, 1, static_cast<std::uint8_t>(id % 2));
    model.start();
    model.join(1, 1, 10, {{1}});
    model.advance(1s);
    ASSERT_EQ(model.assignments.size(), 2U);
    EXPECT_EQ(model.tables[model.assignments[0].second].size(), 4U);
    EXPECT_EQ(model.tables[model.assignments[1].second].size(), 2U);
}

} // namespace
} // namespace zincstack::tests

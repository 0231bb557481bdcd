// Tests whole fleets on one planner while endpoints are replaced and planners restart. The scenarios are
// those of the incident docs/incidents/2026-12-backlog-drain.md, run on the planner's own streams
// (simulated_fleet.h). Deployments are as large as the one where the incident occurred, because it never
// occurred with 60 proxies.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "simulated_fleet.h"

namespace zincstack::tests {
namespace {

constexpr std::size_t kEndpointCount = 300;
constexpr std::uint16_t kPlannerCount = 5;

std::string violationsText(const SimulatedFleet& fleet) {
    std::string text;
    for (const auto& [rule, violations] : fleet.violations()) {
        text.append(nameOf(rule)).append(" violated ").append(std::to_string(violations.count));
        text.append(" times, first at ").append(violations.first).append("\n");
    }
    return text;
}

/// A rolling release: replaces endpoints in batches, the oldest first, one batch every two seconds.
class RollingRelease {
public:
    RollingRelease(SimulatedFleet& fleet, std::size_t batchSize) : fleet_(fleet), batchSize_(batchSize) {}
    void playSecond(int second) {
        if (second % 2 == 0) replaceBatch();
    }
    void replaceBatch() {
        std::vector<EndpointChange> changes;
        for (std::size_t k = 0; k < batchSize_; ++k) changes.push_back({oldest_++, EndpointState::Draining});
        fleet_.announceChanges(changes);
        for (std::size_t k = 0; k < batchSize_; ++k) fleet_.startEndpoint();
    }

private:
    SimulatedFleet& fleet_;
    const std::size_t batchSize_;
    std::size_t oldest_ = 0;
};

/// Proxy ids from `first` up to, and not including, `end`.
struct ProxyRange {
    std::uint16_t first;
    std::uint16_t end;
};

/// Lets proxies with an inherited table join one after the other, evenly spread over a period that begins at
/// construction.
class Arrivals {
public:
    Arrivals(SimulatedFleet& fleet, ProxyRange proxies, Micros period, const EndpointSet& inheritedTable)
        : fleet_(fleet), next_(proxies.first), proxies_(proxies), period_(period),
          inheritedTable_(inheritedTable), start_(fleet.now()) {}
    void playUntilNow() {
        const double reached = std::chrono::duration<double>(fleet_.now() - start_) / period_;
        const int count = proxies_.end - proxies_.first;
        for (; next_ < proxies_.end && next_ - proxies_.first < reached * count; ++next_)
            fleet_.join(next_, inheritedTable_, false);
    }

private:
    SimulatedFleet& fleet_;
    std::uint16_t next_;
    const ProxyRange proxies_;
    const Micros period_;
    const EndpointSet inheritedTable_;
    const Micros start_;
};

constexpr auto kNoStepAction = [] {};
constexpr auto kNoSecondAction = [](int) {};

/// Runs the fleet. Calls `playSecond` once and `playStep` ten times per second, and reports all requests as
/// successful.
void play(SimulatedFleet& fleet, int seconds, const auto& playSecond, const auto& playStep) {
    constexpr int kStepsPerSecond = 10;
    for (int second = 0; second < seconds; ++second) {
        playSecond(second);
        for (int step = 0; step < kStepsPerSecond; ++step) {
            playStep();
            fleet.advance(Micros(1s) / kStepsPerSecond);
        }
        fleet.reportSuccess();
    }
}

void addEndpoints(SimulatedFleet& fleet, std::size_t count = kEndpointCount) {
    for (std::size_t k = 0; k < count; ++k) fleet.addEndpoint();
    fleet.announceAllEndpoints(EndpointListUpdate::Cached);
}

/// Simulates the crash of all planners during a release. This planner is the first to restart, so all proxies
/// join it.
void joinAllProxiesToANewPlanner(SimulatedFleet& fleet) {
    constexpr int kReleaseEnd = 9;
    addEndpoints(fleet);
    Arrivals arrivals(fleet, {0, fleet.config().proxyCount}, 3s, fleet.readyEndpoints());
    RollingRelease release(fleet, 12);
    const auto playSecond = [&](int second) {
        if (second < kReleaseEnd) release.playSecond(second);
    };
    play(fleet, 24, playSecond, [&] { arrivals.playUntilNow(); });
}

TEST(FleetTest, RulesHoldWhenAllProxiesJoinAtOnceWithInheritedTablesDuringARelease) {
    for (const std::uint64_t seed : {1, 2}) {
        SimulatedFleet fleet({.seed = seed});
        joinAllProxiesToANewPlanner(fleet);
        EXPECT_TRUE(fleet.violations().empty()) << violationsText(fleet);
    }
}

/// The channel has a fifth of the configured rate, and the checked deadlines are five times the configured
/// ones.
TEST(FleetTest, RulesHoldWhenTheChannelIsSlowerThanConfigured) {
    SimulatedFleet fleet({.slowdown = 5});
    joinAllProxiesToANewPlanner(fleet);
    EXPECT_TRUE(fleet.violations().empty()) << violationsText(fleet);
}

/// Planners restart one after the other during a release. At each restart a fifth of the fleet joins this
/// planner.
TEST(FleetTest, RulesHoldWhenProxiesOfOtherPlannersJoinDuringARelease) {
    SimulatedFleet fleet({.seed = 3});
    addEndpoints(fleet);
    const EndpointSet inheritedTable = fleet.readyEndpoints();
    const auto proxiesPerPlanner = static_cast<std::uint16_t>(fleet.config().proxyCount / kPlannerCount);
    Arrivals ownArrivals(fleet, {0, proxiesPerPlanner}, 1s, inheritedTable);
    play(fleet, 20, kNoSecondAction, [&] { ownArrivals.playUntilNow(); });
    RollingRelease release(fleet, 20);
    for (std::uint16_t planner = 1; planner < 4; ++planner) {
        const ProxyRange proxies{static_cast<std::uint16_t>(planner * proxiesPerPlanner),
                                 static_cast<std::uint16_t>((planner + 1) * proxiesPerPlanner)};
        Arrivals otherArrivals(fleet, proxies, 2s, inheritedTable);
        const auto playSecond = [&](int second) { release.playSecond(second); };
        play(fleet, 6, playSecond, [&] { otherArrivals.playUntilNow(); });
    }
    play(fleet, 12, kNoSecondAction, kNoStepAction);
    EXPECT_TRUE(fleet.violations().empty()) << violationsText(fleet);
}

/// Four of five planners crash during a release, and all of their proxies join the fifth with complete
/// inherited tables while it has ejected some endpoints. Regression: the planner ordered each exclusion
/// repeatedly for all of these proxies, and some still used endpoints 3.2 s after their drain was announced.
TEST(FleetTest, RulesHoldWhenAllProxiesJoinAPlannerThatHasEjectedEndpoints) {
    SimulatedFleet fleet({.proxyCount = 80,
                          .zoneCount = 2,
                          .linesPerSecond = 1300,
                          .maxQueuedLines = 2600,
                          .drainGracePeriod = 3200ms,
                          .maxTimeWithoutEndpoint = 3400ms});
    addEndpoints(fleet, 60);
    const EndpointSet completeTable = fleet.readyEndpoints();
    for (std::uint16_t proxy = 0; proxy < 20; ++proxy) {
        EndpointSet bootstrapTable;
        for (std::size_t k = 0; k < 3; ++k) bootstrapTable.set(proxy + k);
        fleet.join(proxy, bootstrapTable, true);
    }
    fleet.advance(6s);
    fleet.reportFailures([](std::size_t endpoint) { return endpoint % 7 == 0; });
    fleet.advance(200ms);
    fleet.timeOutProbes();
    fleet.advance(3s);
    for (std::uint16_t proxy = 20; proxy < 80; ++proxy) {
        fleet.join(proxy, completeTable, false);
        if (proxy % 10 == 0) fleet.advance(60ms);
    }
    RollingRelease release(fleet, 9);
    for (int step = 0; step < 3; ++step) {
        release.replaceBatch();
        fleet.advance(2200ms);
    }
    fleet.advance(4s);
    EXPECT_TRUE(fleet.violations().empty()) << violationsText(fleet);
}

/// A third of the proxies stalls for five seconds, and another third loses its streams and reconnects after a
/// second.
TEST(FleetTest, RulesHoldWhenProxiesStallAndStreamsBreakUnderLoad) {
    SimulatedFleet fleet({.seed = 4});
    addEndpoints(fleet);
    const EndpointSet inheritedTable = fleet.readyEndpoints();
    const auto proxyCount = static_cast<std::uint16_t>(fleet.config().proxyCount / 2);
    Arrivals arrivals(fleet, {0, proxyCount}, 2s, inheritedTable);
    RollingRelease release(fleet, 12);
    const auto playSecond = [&](int second) {
        if (second < 12) release.playSecond(second);
        for (std::uint16_t proxy = 0; proxy < proxyCount; ++proxy) {
            if (proxy % 3 == 1 && (second == 4 || second == 9)) fleet.setStalled(proxy, second == 4);
            if (proxy % 3 == 2 && second == 5) fleet.leave(proxy);
            if (proxy % 3 == 2 && second == 6) fleet.join(proxy, inheritedTable, false);
        }
    };
    play(fleet, 20, playSecond, [&] { arrivals.playUntilNow(); });
    EXPECT_TRUE(fleet.violations().empty()) << violationsText(fleet);
}

/// Even if the channel transmits almost nothing, the planner does not write more unacknowledged lines than
/// the queue may hold.
TEST(FleetTest, QueueLimitHoldsWhenTheChannelIsStuck) {
    SimulatedFleet fleet({.slowdown = 1e6});
    joinAllProxiesToANewPlanner(fleet);
    EXPECT_EQ(fleet.violations().count(FleetRule::QueueLimit), 0U) << violationsText(fleet);
}

/// The second deployment of the incident: a low channel rate, a long queue, and a limit of 20 messages to
/// each proxy within kMessageWindow.
TEST(FleetTest, RulesHoldWithAMessageRateLimitAndASlowChannel) {
    SimulatedFleet fleet({.linesPerSecond = 3500,
                          .maxQueuedLines = 57'600,
                          .drainGracePeriod = 17'700ms,
                          .maxTimeWithoutEndpoint = 28'200ms,
                          .bootstrapTableSize = 5,
                          .maxMessagesPerProxy = 20,
                          .seed = 5});
    joinAllProxiesToANewPlanner(fleet);
    EXPECT_TRUE(fleet.violations().empty()) << violationsText(fleet);
}

} // namespace
} // namespace zincstack::tests

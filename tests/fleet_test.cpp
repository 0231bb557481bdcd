// Whole fleets on one planner while servers are released and planners restart: the days of the incident of
// docs/incidents/2026-12-backlog-drain.md, played on the planner's own streams (simulated_fleet.h). Figures are of the size at
// which it was seen; 60 proxies never showed it.
#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace zincstack::tests {
namespace {

using ServerSet = Fleet::ServerSet;

constexpr std::size_t kServers = 300;
constexpr std::uint16_t kPlanners = 5;

std::string text(const Fleet& fleet) {
    std::string out;
    for (const auto& [rule, cases] : fleet.broken)
        out += rule + " " + std::to_string(cases.first) + " times, first at " + cases.second + "\n";
    return out;
}

/// Servers are replaced in steps of two seconds, the oldest first.
class Release {
public:
    Release(Fleet& fleet, std::size_t step) : fleet_(fleet), step_(step) {}
    void second(int number) {
        if (number % 2) return;
        std::vector<std::pair<std::size_t, EndpointState>> changes;
        for (std::size_t k = 0; k < step_; ++k) changes.emplace_back(oldest_++, EndpointState::Draining);
        fleet_.tellChanges(changes);
        for (std::size_t k = 0; k < step_; ++k) fleet_.startServer();
    }

private:
    Fleet& fleet_;
    const std::size_t step_;
    std::size_t oldest_ = 0;
};

/// Proxies dial in one after the other, evenly over a span.
class Arrivals {
public:
    Arrivals(Fleet& fleet, std::uint16_t first, std::uint16_t end, Micros span, ServerSet held)
        : fleet_(fleet), next_(first), first_(first), end_(end), span_(span), held_(held), start_(fleet.now) {
    }
    void upToNow() {
        const double reached = std::chrono::duration<double>(fleet_.now - start_) / span_;
        for (; next_ < end_ && next_ - first_ < reached * (end_ - first_); ++next_)
            fleet_.join(next_, held_, false);
    }

private:
    Fleet& fleet_;
    std::uint16_t next_;
    const std::uint16_t first_, end_;
    const Micros span_;
    const ServerSet held_;
    const Micros start_;
};

/// Seconds of a day; `each` is called ten times in each of them, `second` once.
void play(Fleet& fleet, int seconds, const auto& second, const auto& each) {
    for (int number = 0; number < seconds; ++number) {
        second(number);
        for (int part = 0; part < 10; ++part) {
            each();
            fleet.pass(100ms);
        }
        fleet.reportWell();
    }
}

void addServers(Fleet& fleet) {
    for (std::size_t k = 0; k < kServers; ++k) fleet.addServer();
    fleet.tellWholeList(EndpointListUpdate::Cached);
}

/// All planners are killed in a release, and this one is the first that is back.
void everyProxyComesToAFreshPlanner(Fleet& fleet) {
    addServers(fleet);
    Arrivals arrivals(fleet, 0, fleet.terms.proxies, 3s, fleet.readyServers());
    Release release(fleet, 12);
    play(
        fleet, 24, [&](int second) { release.second(second < 9 ? second : 1); }, [&] { arrivals.upToNow(); });
}

TEST(FleetRules, HoldWhereEveryProxyComesAtOnceWithAnOldTableInARelease) {
    for (const std::uint64_t seed : {1, 2}) {
        Fleet fleet({.seed = seed});
        everyProxyComesToAFreshPlanner(fleet);
        EXPECT_TRUE(fleet.broken.empty()) << text(fleet);
    }
}

TEST(FleetRules, HoldWhereTheChannelIsSeveralTimesSlowerThanTheSettingsSay) {
    Fleet fleet({.slowdown = 5});
    everyProxyComesToAFreshPlanner(fleet);
    EXPECT_TRUE(fleet.broken.empty()) << text(fleet);
}

/// Planners restart one after the other in a release: each time a fifth of the fleet comes over.
TEST(FleetRules, HoldWhereTheProxiesOfOtherPlannersComeOverInARelease) {
    Fleet fleet({.seed = 3});
    addServers(fleet);
    const ServerSet held = fleet.readyServers();
    const auto share = static_cast<std::uint16_t>(fleet.terms.proxies / kPlanners);
    Arrivals own(fleet, 0, share, 1s, held);
    play(
        fleet, 20, [](int) {}, [&] { own.upToNow(); });
    Release release(fleet, 20);
    for (std::uint16_t planner = 1; planner < 4; ++planner) {
        Arrivals others(fleet, static_cast<std::uint16_t>(planner * share),
                        static_cast<std::uint16_t>((planner + 1) * share), 2s, held);
        play(
            fleet, 6, [&](int second) { release.second(second); }, [&] { others.upToNow(); });
    }
    play(
        fleet, 12, [](int) {}, [] {});
    EXPECT_TRUE(fleet.broken.empty()) << text(fleet);
}

/// Four of five planners are killed in a release, and all of their proxies come to the fifth with whole old tables
/// while it has shut out some servers as sick. Each withdrawal was once ordered again and again for all of them, and
/// proxies went on to servers 3.2 s after they were told to drain.
TEST(FleetRules, HoldWhereAllProxiesComeToAPlannerThatHasShutOutServers) {
    Fleet fleet({.proxies = 80,
                 .zones = 2,
                 .linesPerSecond = 1300,
                 .queueMost = 2600,
                 .drainGrace = 3200ms,
                 .bareMost = 3400ms});
    for (int k = 0; k < 60; ++k) fleet.addServer();
    fleet.tellWholeList(EndpointListUpdate::Cached);
    const ServerSet all = fleet.readyServers();
    for (std::uint16_t proxy = 0; proxy < 20; ++proxy) {
        ServerSet standing;
        for (std::size_t k = 0; k < 3; ++k) standing.set(proxy + k);
        fleet.join(proxy, standing, true);
    }
    fleet.pass(6s);
    fleet.report([](std::size_t server) { return server % 7 == 0; });
    fleet.pass(200ms);
    fleet.probesTimeOut();
    fleet.pass(3s);
    for (std::uint16_t proxy = 20; proxy < 80; ++proxy) {
        fleet.join(proxy, all, false);
        if (proxy % 10 == 0) fleet.pass(60ms);
    }
    Release release(fleet, 9);
    for (int step = 0; step < 3; ++step) {
        release.second(0);
        fleet.pass(2200ms);
    }
    fleet.pass(4s);
    EXPECT_TRUE(fleet.broken.empty()) << text(fleet);
}

/// A third of the proxies hear nothing for a while, another third loses its streams and dials in again.
TEST(FleetRules, HoldWhereProxiesStandStillAndStreamsBreakWhileMuchIsOnItsWay) {
    Fleet fleet({.seed = 4});
    addServers(fleet);
    const ServerSet held = fleet.readyServers();
    Arrivals first(fleet, 0, fleet.terms.proxies / 2, 2s, held);
    Release release(fleet, 12);
    play(
        fleet, 20,
        [&](int second) {
            release.second(second < 12 ? second : 1);
            for (std::uint16_t proxy = 0; proxy < fleet.terms.proxies / 2; ++proxy) {
                if (proxy % 3 == 1 && (second == 4 || second == 9)) fleet.stall(proxy, second == 4);
                if (proxy % 3 == 2 && second == 5) fleet.leave(proxy);
                if (proxy % 3 == 2 && second == 6) fleet.join(proxy, held, false);
            }
        },
        [&] { first.upToNow(); });
    EXPECT_TRUE(fleet.broken.empty()) << text(fleet);
}

/// Whatever the channel takes, what has no answer is never more than may wait.
TEST(FleetRules, NoMoreWaitsThanMayThoughTheChannelStandsStill) {
    Fleet fleet({.slowdown = 1e6});
    everyProxyComesToAFreshPlanner(fleet);
    EXPECT_EQ(fleet.broken.count("backlog"), 0U) << text(fleet);
}

/// A slow pace beside a long queue, and few messages to each proxy: the second deployment of the report.
TEST(FleetRules, HoldWhereMessagesToAProxyAreCountedAndTheChannelIsSlowForItsQueue) {
    Fleet fleet({.linesPerSecond = 3500,
                 .queueMost = 57'600,
                 .drainGrace = 17'700ms,
                 .bareMost = 28'200ms,
                 .standingLines = 5,
                 .messagesMost = 20,
                 .seed = 5});
    everyProxyComesToAFreshPlanner(fleet);
    EXPECT_TRUE(fleet.broken.empty()) << text(fleet);
}

} // namespace
} // namespace zincstack::tests

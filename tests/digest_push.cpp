// Recorded days of a small fleet: the bytes that the update queue (platform/update_queue.h) writes to each
// proxy's stream.
#include "digest_days.h"
#include "simulated_fleet.h"

namespace zincstack::tests {

namespace {

constexpr int kRunSeconds = 12;
constexpr int kStepsPerSecond = 5;
constexpr Micros kStep = Micros(1s) / kStepsPerSecond;

SimulatedFleetConfig randomConfig(SeededNumbers& numbers) {
    SimulatedFleetConfig config;
    config.proxyCount = static_cast<std::uint16_t>(numbers.between(20, 80));
    config.zoneCount = static_cast<std::uint8_t>(numbers.between(1, 3));
    config.linesPerSecond = numbers.oneOf({400.0, 1300.0, 6800.0});
    config.maxQueuedLines = numbers.oneOf({800.0, 2600.0, 20000.0});
    config.slowdown = numbers.oneOf({1.0, 1.0, 3.0});
    config.bootstrapTableSize = static_cast<std::uint32_t>(numbers.between(3, 6));
    config.maxMessagesPerProxy = numbers.oneOf({0U, 0U, 8U, 20U});
    config.seed = numbers.below(1000);
    return config;
}

/// Plays one planner with its fleet, from its start until it is killed.
class PlannerRun {
public:
    PlannerRun(SeededNumbers& numbers, RecordedDay& day, const SimulatedFleetConfig& config,
               bool inheritTables)
        : numbers_(numbers), day_(day), inheritTables_(inheritTables), fleet_(config) {
        fleet_.setWriteObserver(
            [this](std::uint16_t proxy, std::string_view bytes) { record(proxy, bytes); });
        for (auto count = numbers_.between(12, 40); count > 0; --count) fleet_.addEndpoint();
        fleet_.announceAllEndpoints(EndpointListUpdate::Cached);
        initialEndpoints_ = fleet_.readyEndpoints();
    }
    void play() {
        const auto proxies = fleet_.config().proxyCount;
        const int joinSeconds = static_cast<int>(numbers_.between(1, 4));
        const int joinSteps = joinSeconds * kStepsPerSecond;
        for (int step = 0; step < kRunSeconds * kStepsPerSecond; ++step) {
            for (; nextProxy_ < proxies && nextProxy_ * joinSteps <= step * proxies; ++nextProxy_)
                join(nextProxy_);
            if (numbers_.chance(0.25)) performRandomStep();
            fleet_.advance(kStep);
            if (step % kStepsPerSecond == 0) report();
            if (!hasFailingEndpoints_ && step % kStepsPerSecond == 2) fleet_.answerProbes();
        }
    }

private:
    void record(std::uint16_t proxy, std::string_view bytes) {
        ++day_.coverage["writes"];
        day_.coverage["bytes"] += bytes.size();
        day_.events.push_back(eventText(fleet_.now(), "written",
                                        {{"proxy", std::to_string(proxy)}, {"bytes", escapedText(bytes)}}));
    }
    void join(std::uint16_t proxy) {
        EndpointSet table = initialEndpoints_;
        if (!inheritTables_)
            for (std::size_t endpoint = 0; endpoint < kMaxEndpoints; ++endpoint)
                if (endpoint % 8 != proxy % 8U) table.reset(endpoint);
        fleet_.join(proxy, table, !inheritTables_);
    }
    std::uint16_t anyJoinedProxy() { return static_cast<std::uint16_t>(numbers_.below(nextProxy_)); }
    void performRandomStep() {
        switch (numbers_.below(6)) {
        case 0:
        case 1: release(); break;
        case 2: changeStalled(); break;
        case 3: leaveOrRejoin(); break;
        case 4: hasFailingEndpoints_ = !hasFailingEndpoints_; break;
        default: fleet_.timeOutProbes();
        }
    }
    void release() {
        ++day_.coverage["releases"];
        const auto count = numbers_.between(1, 4);
        std::vector<EndpointChange> changes;
        const auto state = numbers_.chance(0.7) ? EndpointState::Draining : EndpointState::Removed;
        for (std::uint64_t k = 0; k < count && oldestEndpoint_ < initialEndpoints_.count(); ++k)
            changes.push_back({oldestEndpoint_++, state});
        fleet_.announceChanges(changes);
        for (std::uint64_t k = 0; k < count; ++k) fleet_.startEndpoint();
    }
    void changeStalled() {
        const auto proxy = anyJoinedProxy();
        if (disconnected_.contains(proxy)) return;
        ++day_.coverage["stalls started or ended"];
        const bool isStalled = stalled_.insert(proxy).second;
        if (!isStalled) stalled_.erase(proxy);
        fleet_.setStalled(proxy, isStalled);
    }
    void leaveOrRejoin() {
        const auto proxy = anyJoinedProxy();
        if (disconnected_.erase(proxy)) return join(proxy);
        ++day_.coverage["proxies left"];
        fleet_.leave(proxy);
        stalled_.erase(proxy);
        disconnected_.insert(proxy);
    }
    void report() {
        if (!hasFailingEndpoints_) return fleet_.reportSuccess();
        fleet_.reportFailures([](std::size_t endpoint) { return endpoint % 7 == 0; });
    }

    SeededNumbers& numbers_;
    RecordedDay& day_;
    const bool inheritTables_;
    SimulatedFleet fleet_;
    EndpointSet initialEndpoints_;
    std::uint16_t nextProxy_ = 0;
    std::size_t oldestEndpoint_ = 0;
    bool hasFailingEndpoints_ = false;
    std::set<std::uint16_t> stalled_;
    std::set<std::uint16_t> disconnected_;
};

} // namespace

RecordedDay playPushDay(std::uint64_t seed) {
    SeededNumbers numbers(seed);
    RecordedDay day;
    const SimulatedFleetConfig config = randomConfig(numbers);
    for (const bool inheritTables : {false, true}) {
        // Every fourth seed plays only the planner that restarts first after all planners were killed.
        if (seed % 4 == 0 && !inheritTables) continue;
        ++day.coverage["planner runs"];
        PlannerRun(numbers, day, config, inheritTables).play();
    }
    return day;
}

} // namespace zincstack::tests

// Recorded days of a small fleet: the bytes that the update queue (platform/update_queue.h) writes to each
// proxy's stream.
#include "digest_days.h"
#include "simulated_fleet.h"

namespace zincstack::tests {

namespace {

constexpr int kSecondsOfALife = 12;
constexpr int kPartsOfASecond = 5;
constexpr Micros kPart = Micros(1s) / kPartsOfASecond;

SimulatedFleetConfig figuresOf(SeededNumbers& numbers) {
    SimulatedFleetConfig figures;
    figures.proxyCount = static_cast<std::uint16_t>(numbers.between(20, 80));
    figures.zoneCount = static_cast<std::uint8_t>(numbers.between(1, 3));
    figures.linesPerSecond = numbers.oneOf({400.0, 1300.0, 6800.0});
    figures.maxQueuedLines = numbers.oneOf({800.0, 2600.0, 20000.0});
    figures.slowdown = numbers.oneOf({1.0, 1.0, 3.0});
    figures.bootstrapTableSize = static_cast<std::uint32_t>(numbers.between(3, 6));
    figures.maxMessagesPerProxy = numbers.oneOf({0U, 0U, 8U, 20U});
    figures.seed = numbers.below(1000);
    return figures;
}

/// Plays one planner with its fleet, from its start until it is killed.
class PlannerLife {
public:
    PlannerLife(SeededNumbers& numbers, RecordedDay& day, const SimulatedFleetConfig& figures,
                bool comeWithOldTables)
        : numbers_(numbers), day_(day), comeWithOldTables_(comeWithOldTables), fleet_(figures) {
        fleet_.setWriteObserver(
            [this](std::uint16_t proxy, std::string_view bytes) { record(proxy, bytes); });
        for (auto count = numbers_.between(12, 40); count > 0; --count) fleet_.addEndpoint();
        fleet_.announceAllEndpoints(EndpointListUpdate::Cached);
        servers_ = fleet_.readyEndpoints();
    }
    void play() {
        const auto proxies = fleet_.config().proxyCount;
        const int joinSeconds = static_cast<int>(numbers_.between(1, 4));
        const int joinParts = joinSeconds * kPartsOfASecond;
        for (int part = 0; part < kSecondsOfALife * kPartsOfASecond; ++part) {
            for (; nextProxy_ < proxies && nextProxy_ * joinParts <= part * proxies; ++nextProxy_)
                join(nextProxy_);
            if (numbers_.chance(0.25)) happen();
            fleet_.advance(kPart);
            if (part % kPartsOfASecond == 0) report();
            if (!isSick_ && part % kPartsOfASecond == 2) fleet_.answerProbes();
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
        EndpointSet holds = servers_;
        if (!comeWithOldTables_)
            for (std::size_t server = 0; server < kMaxEndpoints; ++server)
                if (server % 8 != proxy % 8U) holds.reset(server);
        fleet_.join(proxy, holds, !comeWithOldTables_);
    }
    std::uint16_t anyJoined() { return static_cast<std::uint16_t>(numbers_.below(nextProxy_)); }
    void happen() {
        switch (numbers_.below(6)) {
        case 0:
        case 1: release(); break;
        case 2: changeStalled(); break;
        case 3: leaveAndComeBack(); break;
        case 4: isSick_ = !isSick_; break;
        default: fleet_.timeOutProbes();
        }
    }
    void release() {
        ++day_.coverage["releases"];
        const auto count = numbers_.between(1, 4);
        std::vector<EndpointChange> changes;
        const auto state = numbers_.chance(0.7) ? EndpointState::Draining : EndpointState::Removed;
        for (std::uint64_t k = 0; k < count && oldest_ < servers_.count(); ++k)
            changes.push_back({oldest_++, state});
        fleet_.announceChanges(changes);
        for (std::uint64_t k = 0; k < count; ++k) fleet_.startEndpoint();
    }
    void changeStalled() {
        const auto proxy = anyJoined();
        if (absent_.contains(proxy)) return;
        ++day_.coverage["stalls and ends of stalls"];
        const bool stalls = stalled_.insert(proxy).second;
        if (!stalls) stalled_.erase(proxy);
        fleet_.setStalled(proxy, stalls);
    }
    void leaveAndComeBack() {
        const auto proxy = anyJoined();
        if (absent_.erase(proxy)) return join(proxy);
        ++day_.coverage["proxies left"];
        fleet_.leave(proxy);
        stalled_.erase(proxy);
        absent_.insert(proxy);
    }
    void report() {
        if (!isSick_) return fleet_.reportSuccess();
        fleet_.reportFailures([](std::size_t server) { return server % 7 == 0; });
    }

    SeededNumbers& numbers_;
    RecordedDay& day_;
    const bool comeWithOldTables_;
    SimulatedFleet fleet_;
    EndpointSet servers_;
    std::uint16_t nextProxy_ = 0;
    std::size_t oldest_ = 0;
    bool isSick_ = false;
    std::set<std::uint16_t> stalled_;
    std::set<std::uint16_t> absent_;
};

} // namespace

RecordedDay playPushDay(std::uint64_t seed) {
    SeededNumbers numbers(seed);
    RecordedDay day;
    const SimulatedFleetConfig figures = figuresOf(numbers);
    for (const bool comeWithOldTables : {false, true}) {
        // Every fourth seed plays only the planner that restarts first after all planners were killed.
        if (seed % 4 == 0 && !comeWithOldTables) continue;
        ++day.coverage["planner lives"];
        PlannerLife(numbers, day, figures, comeWithOldTables).play();
    }
    return day;
}

} // namespace zincstack::tests

// Tests the planner as a whole: the safety rules must hold after every step of random event sequences, and of
// a rolling release with a mass reconnect at full size.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <ostream>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

enum class Happening {
    EndpointDrains,
    EndpointIsRemoved,
    EndpointStarts,
    ProxyLeaves,
    ProxyJoins,
    AttemptsFail,
    AllAreSlow,
    ChannelSlowsDown,
    ProbesComplete,
    PlannerRestarts
};

/// Used by RapidCheck to print the event sequence that violates a rule.
std::ostream& operator<<(std::ostream& out, Happening happening) {
    constexpr const char* kNames[] = {
        "EndpointDrains", "EndpointIsRemoved", "EndpointStarts",   "ProxyLeaves",    "ProxyJoins",
        "AttemptsFail",   "AllAreSlow",        "ChannelSlowsDown", "ProbesComplete", "PlannerRestarts"};
    return out << kNames[static_cast<int>(happening)];
}

rc::Gen<Happening> anyHappening() {
    using enum Happening;
    return rc::gen::element(EndpointDrains, EndpointIsRemoved, EndpointStarts, EndpointStarts, ProxyLeaves,
                            ProxyJoins, ProxyJoins, AttemptsFail, AllAreSlow, ChannelSlowsDown,
                            ProbesComplete, PlannerRestarts);
}

/// Applies an event to the model. `who` is the id of the endpoint or proxy concerned. `part`, from 0 to 1,
/// sets the failure ratio, the proxy's request rate, the slowdown of the channel or the result of probes.
void play(ProxyModel& model, Happening happening, std::uint16_t who, double part) {
    const auto failureRatio = [part, who](std::uint64_t id) { return id % 12 == who ? 1.0 : part; };
    switch (happening) {
    case Happening::EndpointDrains: model.updateEndpoint(who, EndpointState::Draining); break;
    case Happening::EndpointIsRemoved: model.updateEndpoint(who, EndpointState::Removed); break;
    case Happening::EndpointStarts: model.updateEndpoint(who, EndpointState::Ready, model.now - 500ms); break;
    case Happening::ProxyLeaves: model.leave(who); break;
    case Happening::ProxyJoins:
        model.join(who, static_cast<std::uint8_t>(who % 2), 100 * part, {{who}, {who + 1U}});
        break;
    case Happening::AttemptsFail: model.reportLoad(20, failureRatio); break;
    case Happening::AllAreSlow: model.reportLoad(20, kNoFailures, [](auto) { return 3s; }); break;
    case Happening::ChannelSlowsDown: model.slowdown = 1 + 4 * part; break;
    case Happening::ProbesComplete:
        model.completeProbes(part < 0.5 ? ProbeStatus::TimedOut : ProbeStatus::Answered);
        break;
    case Happening::PlannerRestarts: model.restart(who); break;
    }
}

TEST(PlannerRules, HoldOnRandomDays) {
    const auto step =
        rc::gen::tuple(anyHappening(), rc::gen::inRange<std::uint16_t>(0, 12), rc::gen::inRange(0, 101));
    using Steps = std::vector<std::tuple<Happening, std::uint16_t, int>>;
    const bool held = rc::check("the five rules hold after every step", [&] {
        ProxyModel model;
        model.forgetsEndpoints = *rc::gen::element(false, true);
        model.sendsExclusionsOnce = *rc::gen::element(false, true);
        model.channel.maxMessagesPerProxy = *rc::gen::element(0U, 30U);
        model.proxyFleet.throttleMode =
            *rc::gen::element(ThrottleMode::Fraction, ThrottleMode::Rate, ThrottleMode::None);
        for (std::uint64_t id = 0; id < 12; ++id)
            model.addEndpoint(id, 1 + static_cast<double>(id % 3), static_cast<std::uint8_t>(id % 2));
        model.start(*rc::gen::inRange<std::uint64_t>(0, 1000));
        for (std::uint16_t proxy = 0; proxy < 8; ++proxy)
            model.join(proxy, static_cast<std::uint8_t>(proxy % 2), 5 + proxy,
                       {{proxy}, {proxy + 1U}, {proxy + 2U}});
        for (const auto& [happening, who, percent] : *rc::gen::container<Steps>(40, step)) {
            const double part = percent / 100.0;
            play(model, happening, who, part);
            model.advance(Micros(static_cast<std::int64_t>(part * 3e6)));
            if (!model.violations.empty()) RC_FAIL(model.violations.front());
        }
    });
    EXPECT_TRUE(held);
}

/// Reconnects 150 proxies at the same time with the endpoints of their tables, some of which have begun to
/// drain meanwhile.
void reconnectMost(ProxyModel& model) {
    for (std::uint16_t proxy = 0; proxy < 150; ++proxy) {
        std::set<EndpointId> inherited;
        for (const auto& [endpoint, weight] : model.proxies[{proxy}].weights) inherited.insert(endpoint);
        if (inherited.empty()) inherited = model.proxies[{proxy}].inheritedEndpoints;
        model.join(proxy, static_cast<std::uint8_t>(proxy % 2), 5, std::move(inherited));
    }
}

/// Plays a rolling release in batches and a mass reconnect at full size. Returns the resulting tables,
/// exclusions and events.
auto playLargeDay(ProxyModel& model) {
    constexpr std::uint64_t kBatchSize = 30;
    model.channel = {7000, 6, 20000, 0, 10s, 200ms, 500ms};
    model.safety.drainGracePeriod = 4s;
    model.safety.maxTimeWithoutEndpoint = 5s;
    for (std::uint64_t id = 0; id < 200; ++id) model.addEndpoint(id, 1, static_cast<std::uint8_t>(id % 2));
    model.start();
    for (std::uint16_t proxy = 0; proxy < 200; ++proxy)
        model.join(proxy, static_cast<std::uint8_t>(proxy % 2), 5,
                   {{proxy}, {(proxy + 7U) % 200}, {(proxy + 50U) % 200}});
    for (std::uint64_t batch = 0; batch < 4; ++batch) {
        const std::uint64_t first = batch * kBatchSize;
        for (std::uint64_t id = first; id < first + kBatchSize; ++id)
            model.updateEndpoint(id, EndpointState::Draining);
        model.advance(3s);
        for (std::uint64_t id = first; id < first + kBatchSize; ++id)
            model.updateEndpoint(1000 + id, EndpointState::Ready, model.now);
        if (batch == 2) reconnectMost(model);
        model.reportLoad(10, [](auto id) { return id % 9 ? 0.0 : 0.6; });
        model.completeProbes(ProbeStatus::TimedOut);
        model.advance(5s);
    }
    return std::make_tuple(model.tables, model.excluded, model.events);
}

TEST(PlannerRules, HoldAtFullSizeAndTheSameInputsGiveTheSameUpdates) {
    ProxyModel first;
    ProxyModel second;
    EXPECT_EQ(playLargeDay(first), playLargeDay(second));
    EXPECT_TRUE(first.violations.empty()) << first.violations.front();
}

} // namespace
} // namespace zincstack::tests

// Tests the planner as a whole: the safety rules must hold after every step of random event sequences, and of
// a rolling release with a mass reconnect at full size.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <ostream>

#include "settled_model.h"

namespace zincstack::tests {
namespace {

enum class FleetEvent {
    EndpointDrains,
    EndpointIsRemoved,
    EndpointStarts,
    ProxyLeaves,
    ProxyJoins,
    AttemptsFail,
    AttemptsAreSlow,
    ChannelSlowsDown,
    ProbesComplete,
    PlannerRestarts
};

/// Used by RapidCheck to print the event sequence that violates a rule.
std::ostream& operator<<(std::ostream& out, FleetEvent event) {
    constexpr const char* kNames[] = {
        "EndpointDrains", "EndpointIsRemoved", "EndpointStarts",   "ProxyLeaves",    "ProxyJoins",
        "AttemptsFail",   "AttemptsAreSlow",   "ChannelSlowsDown", "ProbesComplete", "PlannerRestarts"};
    return out << kNames[static_cast<int>(event)];
}

rc::Gen<FleetEvent> anyFleetEvent() {
    using enum FleetEvent;
    return rc::gen::element(EndpointDrains, EndpointIsRemoved, EndpointStarts, EndpointStarts, ProxyLeaves,
                            ProxyJoins, ProxyJoins, AttemptsFail, AttemptsAreSlow, ChannelSlowsDown,
                            ProbesComplete, PlannerRestarts);
}

/// Applies an event to the model. `target` is the id of the endpoint or proxy concerned. `fraction`, 0 to 1,
/// sets the failure ratio, the proxy's request rate, the slowdown of the channel or the result of probes.
void applyEvent(ProxyModel& model, FleetEvent event, std::uint16_t target, double fraction) {
    const auto failureRatio = [fraction, target](std::uint64_t id) {
        return id % 12 == target ? 1.0 : fraction;
    };
    switch (event) {
    case FleetEvent::EndpointDrains: model.updateEndpoint(target, EndpointState::Draining); break;
    case FleetEvent::EndpointIsRemoved: model.updateEndpoint(target, EndpointState::Removed); break;
    case FleetEvent::EndpointStarts:
        model.updateEndpoint(target, EndpointState::Ready, model.now - 500ms);
        break;
    case FleetEvent::ProxyLeaves: model.leave(target); break;
    case FleetEvent::ProxyJoins:
        model.join(target, static_cast<std::uint8_t>(target % 2), 100 * fraction, {{target}, {target + 1U}});
        break;
    case FleetEvent::AttemptsFail: model.reportLoad(20, failureRatio); break;
    case FleetEvent::AttemptsAreSlow: model.reportLoad(20, kNoFailures, [](auto) { return 3s; }); break;
    case FleetEvent::ChannelSlowsDown: model.slowdown = 1 + 4 * fraction; break;
    case FleetEvent::ProbesComplete:
        model.completeProbes(fraction < 0.5 ? ProbeStatus::TimedOut : ProbeStatus::Answered);
        break;
    case FleetEvent::PlannerRestarts: model.restart(target); break;
    }
}

TEST(PlannerRules, HoldForRandomEventSequences) {
    const auto step =
        rc::gen::tuple(anyFleetEvent(), rc::gen::inRange<std::uint16_t>(0, 12), rc::gen::inRange(0, 101));
    using Steps = std::vector<std::tuple<FleetEvent, std::uint16_t, int>>;
    const bool held = rc::check("the safety rules hold after every step", [&] {
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
        for (const auto& [event, target, percent] : *rc::gen::container<Steps>(40, step)) {
            const double fraction = percent / 100.0;
            applyEvent(model, event, target, fraction);
            model.advance(Micros(static_cast<std::int64_t>(fraction * 3e6)));
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
auto playLargeRelease(ProxyModel& model) {
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

TEST(PlannerRules, HoldAtFullSizeAndSameInputsGiveSameUpdates) {
    ProxyModel first;
    ProxyModel second;
    EXPECT_EQ(playLargeRelease(first), playLargeRelease(second));
    EXPECT_TRUE(first.violations.empty()) << first.violations.front();
}

} // namespace
} // namespace zincstack::tests

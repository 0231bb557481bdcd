// Implements the checks of the safety rules of a simulated fleet.
#include "fleet_rules.h"

#include <algorithm>
#include <chrono>

namespace zincstack::tests {

namespace {

constexpr Micros kStartUpTime = 1s;       // deadlines start no earlier than this after the start of the run
constexpr Micros kDeadlineMargin = 300ms; // added to the configured deadlines

std::string millisText(Micros duration) { return std::to_string(duration.count() / 1000) + " ms"; }

std::string proxyText(std::uint16_t id) { return "proxy " + std::to_string(id); }

/// The deadline to check: messages take longer on a slow channel, so it grows with the slowdown.
Micros deadlineOf(Micros configured, double slowdown) {
    return std::chrono::duration_cast<Micros>(slowdown * configured) + kDeadlineMargin;
}

bool isWarm(const SimulatedEndpoint& endpoint, Micros now) {
    return endpoint.state == EndpointState::Ready && now - endpoint.startedAt >= kWarmUpDuration;
}

} // namespace

std::string_view nameOf(FleetRule rule) {
    switch (rule) {
    case FleetRule::DrainDeadline: return "drain deadline";
    case FleetRule::EndpointAvailability: return "endpoint availability";
    case FleetRule::BarrierIsKnown: return "barrier is known";
    case FleetRule::MessageRate: return "message rate";
    case FleetRule::QueueLimit: return "queue limit";
    }
    return "";
}

FleetRules::FleetRules(const SimulatedFleetConfig& config, Micros startedAt)
    : config_(config), startedAt_(startedAt), firstDeadlineStart_(startedAt + kStartUpTime),
      drainGracePeriod_(deadlineOf(config.drainGracePeriod, config.slowdown)),
      maxTimeWithoutEndpoint_(deadlineOf(config.maxTimeWithoutEndpoint, config.slowdown)) {}

void FleetRules::checkDeadlines(Micros now, const std::vector<SimulatedEndpoint>& endpoints,
                                SimulatedProxies& proxies) {
    if (now < firstDeadlineStart_) return;
    AnnouncedEnds ends;
    for (std::size_t k = 0; k < endpoints.size(); ++k)
        if (endpoints[k].endAnnouncedAt) ends[*endpoints[k].endAnnouncedAt].set(k);
    const bool hasWarmEndpoint = std::ranges::any_of(
        endpoints, [&](const SimulatedEndpoint& endpoint) { return isWarm(endpoint, now); });
    for (auto& [id, proxy] : proxies) {
        if (proxy.isStalled) continue; // a stalled proxy sends no requests
        checkDrains(now, id, proxy, ends);
        checkAvailability(now, id, proxy, hasWarmEndpoint);
    }
}

void FleetRules::checkDrains(Micros now, std::uint16_t id, const SimulatedProxy& proxy,
                             const AnnouncedEnds& ends) {
    for (std::size_t requestClass = 0; requestClass < kRequestClassCount; ++requestClass) {
        const EndpointSet mayPick = proxy.mayPick(requestClass);
        for (const auto& [announcedAt, ended] : ends) {
            if (now - std::max({announcedAt, proxy.joinedAt, firstDeadlineStart_}) <= drainGracePeriod_)
                break;
            const EndpointSet late = mayPick & ended;
            if (late.none()) continue;
            recordViolation(FleetRule::DrainDeadline, now,
                            proxyText(id) + " may pick s-" + std::to_string(late._Find_first()) +
                                ", whose end was announced " + millisText(now - announcedAt) +
                                " ago; the proxy joined " + millisText(now - proxy.joinedAt) + " ago");
        }
    }
}

void FleetRules::checkAvailability(Micros now, std::uint16_t id, SimulatedProxy& proxy,
                                   bool hasWarmEndpoint) {
    bool isWithoutEndpoint = false;
    for (std::size_t requestClass = 0; requestClass < kRequestClassCount; ++requestClass)
        isWithoutEndpoint |= proxy.mayPick(requestClass).none();
    if (!isWithoutEndpoint || !hasWarmEndpoint) return proxy.withoutEndpointSince.reset();
    if (!proxy.withoutEndpointSince) proxy.withoutEndpointSince = now;
    if (now - std::max(*proxy.withoutEndpointSince, firstDeadlineStart_) > maxTimeWithoutEndpoint_)
        recordViolation(FleetRule::EndpointAvailability, now, proxyText(id) + " has no endpoint to pick");
}

void FleetRules::checkMessageRate(Micros now, std::uint16_t id, SimulatedProxy& proxy) {
    proxy.writtenAt.push_back(now);
    while (now - proxy.writtenAt.front() > kMessageWindow) proxy.writtenAt.pop_front();
    if (config_.maxMessagesPerProxy > 0 && proxy.writtenAt.size() > config_.maxMessagesPerProxy)
        recordViolation(FleetRule::MessageRate, now,
                        proxyText(id) + " was sent too many messages within the window");
}

void FleetRules::checkQueue(Micros now, double queuedLines) {
    if (queuedLines <= config_.maxQueuedLines) return;
    recordViolation(FleetRule::QueueLimit, now,
                    std::to_string(static_cast<long>(queuedLines)) + " lines are queued, " +
                        std::to_string(static_cast<long>(config_.maxQueuedLines)) + " are allowed");
}

void FleetRules::recordViolation(FleetRule rule, Micros now, const std::string& what) {
    RuleViolations& violations = violations_[rule];
    if (violations.count++ > 0) return;
    const double seconds = std::chrono::duration<double>(now - startedAt_).count();
    violations.first = std::to_string(seconds) + " s: " + what;
}

} // namespace zincstack::tests

// The safety rules of a simulated fleet. FleetRules checks them after every step and counts the violations of
// each.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simulated_proxy.h"

namespace zincstack::tests {

/// The safety rules of a fleet.
enum class FleetRule : std::uint8_t {
    DrainDeadline, ///< a proxy stops picking an endpoint within the grace period after its end was announced
    EndpointAvailability, ///< no proxy lacks an endpoint for longer than maxTimeWithoutEndpoint
    BarrierIsKnown,       ///< the planner accepts every acknowledgement
    MessageRate,          ///< at most maxMessagesPerProxy messages to one proxy within kMessageWindow
    QueueLimit,           ///< at most maxQueuedLines lines are queued in the channel
};

std::string_view nameOf(FleetRule rule);

/// The violations of one rule.
struct RuleViolations {
    int count = 0;
    std::string first; ///< time and description of the first one; empty if there is none
};

/// Checks the rules and records their violations. Deadlines are multiplied by the configured slowdown.
class FleetRules {
public:
    FleetRules(const SimulatedFleetConfig& config, Micros startedAt);

    /// Checks DrainDeadline and EndpointAvailability for every proxy that is not stalled.
    void checkDeadlines(Micros now, const std::vector<SimulatedEndpoint>& endpoints,
                        SimulatedProxies& proxies);
    /// Records that a message has been written to the proxy, and checks MessageRate.
    void checkMessageRate(Micros now, std::uint16_t id, SimulatedProxy& proxy);
    /// Checks QueueLimit.
    void checkQueue(Micros now, double queuedLines);
    void recordViolation(FleetRule rule, Micros now, const std::string& what);

    const std::map<FleetRule, RuleViolations>& violations() const { return violations_; }

private:
    /// Endpoints by the time at which their end was announced.
    using AnnouncedEnds = std::map<Micros, EndpointSet>;

    void checkDrains(Micros now, std::uint16_t id, const SimulatedProxy& proxy, const AnnouncedEnds& ends);
    void checkAvailability(Micros now, std::uint16_t id, SimulatedProxy& proxy, bool hasWarmEndpoint);

    const SimulatedFleetConfig config_;
    const Micros startedAt_;
    const Micros firstDeadlineStart_; ///< no deadline starts earlier
    const Micros drainGracePeriod_;
    const Micros maxTimeWithoutEndpoint_;
    std::map<FleetRule, RuleViolations> violations_;
};

} // namespace zincstack::tests

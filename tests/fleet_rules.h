// The rules that a simulated fleet is checked against after every step, and how often each was violated.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simulated_proxy.h"

namespace zincstack::tests {

enum class FleetRule : std::uint8_t {
    DrainDeadline, ///< a proxy stops picking an endpoint within the grace period after its end was announced
    EndpointAvailability, ///< no proxy is without an endpoint for too long
    BarrierIsKnown,       ///< the planner accepts every acknowledgement
    MessageRate,          ///< messages to one proxy within the window
    QueueLimit,           ///< lines that wait in the channel
};

std::string_view nameOf(FleetRule rule);

struct RuleViolations {
    int count = 0;
    std::string first; ///< when, and what happened
};

class FleetRules {
public:
    FleetRules(const SimulatedFleetConfig& config, Micros startedAt);

    /// Checks the deadlines: of drains, and of proxies without an endpoint.
    void checkDeadlines(Micros now, const std::vector<SimulatedEndpoint>& endpoints,
                        SimulatedProxies& proxies);
    /// A message has been written to the proxy.
    void checkMessageRate(Micros now, std::uint16_t id, SimulatedProxy& proxy);
    void checkQueue(Micros now, double queuedLines);
    void recordViolation(FleetRule rule, Micros now, const std::string& what);

    const std::map<FleetRule, RuleViolations>& violations() const { return violations_; }

private:
    /// Endpoints by the time when their end was announced.
    using AnnouncedEnds = std::map<Micros, EndpointSet>;

    void checkDrains(Micros now, std::uint16_t id, const SimulatedProxy& proxy, const AnnouncedEnds& ends);
    void checkAvailability(Micros now, std::uint16_t id, SimulatedProxy& proxy, bool hasWarmEndpoint);

    const SimulatedFleetConfig config_;
    const Micros startedAt_;
    const Micros firstDeadlineStart_; ///< no deadline runs before
    const Micros drainGracePeriod_;
    const Micros maxTimeWithoutEndpoint_;
    std::map<FleetRule, RuleViolations> violations_;
};

} // namespace zincstack::tests

// A closed loop of clients, proxies, endpoints and planners in simulated time, for faults of whole zones.
// Load is a flow: rates are spread over a proxy's table by weight, and clients repeat what was rejected or
// failed. The planners see only what proxies would report. Two rules are checked after every step: no proxy
// lacks an endpoint for too long, and no endpoint that warms up is overloaded.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "planner/planner.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

/// The endpoints of one zone, and the load that its clients bring.
struct ZoneSpec {
    std::size_t endpoints = 4;
    double demand = 0; ///< requests per second of all its proxies, without repeats
};

/// A deployment with the same proxies in each zone.
struct ZoneTrafficConfig {
    std::vector<ZoneSpec> zones;
    std::vector<bool> zoneLocalClasses = {true, true, true}; ///< by request class; all have the same demand
    ThrottleMode throttleMode = ThrottleMode::Fraction;
    std::size_t proxiesPerZone = 3;
    std::size_t planners = 1;     ///< proxies are distributed over them
    double endpointCapacity = 14; ///< requests per second of a warm endpoint
    SafetyLimits safety{3s, 2900ms, 0.19, 16s, 4, 3s};
};

/// Plays the deployment. Zones and endpoints are given by their index.
class ZoneTrafficModel {
public:
    explicit ZoneTrafficModel(const ZoneTrafficConfig& config);
    ~ZoneTrafficModel();
    ZoneTrafficModel(const ZoneTrafficModel&) = delete;
    ZoneTrafficModel& operator=(const ZoneTrafficModel&) = delete;

    /// Starts the planners with the endpoint list; all proxies join.
    void start();
    /// Replaces the planners by new ones. Proxies keep what they hold until they are assigned a table.
    void restartPlanners();

    // -- faults --
    void stop(std::size_t zone, std::size_t count);      ///< the processes of the zone's first endpoints die
    void startCold(std::size_t zone, std::size_t count); ///< they start again
    /// Announces the state and the start time of the zone's first endpoints to all planners.
    void list(std::size_t zone, std::size_t count, EndpointState state);
    /// All endpoints of the zone die, are listed as removed 2 s later, start again after `duration`, and are
    /// listed as ready 1 s after that.
    void loseZone(std::size_t zone, Micros duration = 5s);

    void advance(Micros duration);

    // -- observation --
    const ZoneTrafficConfig& config() const { return config_; }
    /// Broken rules in order of occurrence, one entry for each rule and proxy or endpoint.
    const std::vector<std::string>& violations() const { return violations_; }
    /// Fraction of the zone's requests that were served in the last step, repeats included.
    double servedFraction(std::size_t zone) const;
    /// The lowest admission limit at a proxy of the zone, over its request classes: a fraction, or a rate in
    /// requests per second, as ordered.
    double lowestLimit(std::size_t zone) const;
    /// Whether the rule on endpoints that warm up has been broken.
    bool hasOverloadedColdEndpoint() const { return hasOverloadedColdEndpoint_; }
    /// Whether a planner has reported that it limits a table during a warm-up, and not that the limit has
    /// stopped.
    bool hasWarmUpLimit() const;
    /// Whether a proxy of the zone may send to endpoints of which none is warm, without an admission limit.
    bool sendsUnlimitedToColdEndpoints(std::size_t zone) const;
    /// Most that an endpoint of the zone was sent within SafetyLimits::overloadDuration while it warmed up
    /// and its start was announced, as a multiple of its capacity.
    double worstOverload(std::size_t zone) const;

private:
    static constexpr std::size_t kWaves = 3; ///< a client's first attempt and its repeats
    class PlannerLink;

    /// An endpoint's process and what the proxies send to it.
    struct Endpoint {
        EndpointUpdate listed;
        Micros startedAt{};
        Micros startAnnouncedAt{};
        bool isUp = true;
        double sent = 0; ///< requests per second in this step
        double served = 0;
        std::deque<std::pair<Micros, double>> sentWhileCold = {}; ///< time and number of requests
        double worstOverload = 0;
    };
    /// Load of one request class at one proxy.
    struct ClassLoad {
        std::array<double, kWaves> waves{}; ///< requests per second, by number of earlier attempts
        double offered = 0;
        double served = 0;
        double requestsToReport = 0;
        Micros withoutEndpointSince{-1};
    };
    /// What a proxy has been told about one request class.
    struct ClassRoute {
        std::map<EndpointId, double> weights;
        double limit = kNoLimit;
    };
    struct Proxy {
        std::size_t zone = 0;
        std::size_t planner = 0;
        std::vector<ClassLoad> load;
        std::vector<ClassRoute> routes;
        std::map<EndpointId, bool> excluded;
    };
    /// Attempts of a planner's proxies of one zone at one endpoint since the last report.
    struct AttemptCount {
        double attempts = 0;
        double served = 0;
    };

    static constexpr double kNoLimit = 1e9;

    void step();
    void generateRequests(Proxy& proxy, std::size_t requestClass);
    void sendRequests();
    void serveRequests();
    void report();
    void checkColdEndpoints();
    void checkAvailability(Proxy& proxy, std::uint16_t id);
    void recordViolation(const std::string& text);
    double admittedRate(const Proxy& proxy, std::size_t requestClass) const;
    static bool isExcluded(const Proxy& proxy, EndpointId endpoint);
    static double usableWeight(const Proxy& proxy, std::size_t requestClass);
    void forEachPart(const Proxy& proxy, std::size_t requestClass, const auto& handlePart);
    double warmUpFraction(const Endpoint& endpoint) const;
    std::vector<EndpointId> firstOf(std::size_t zone, std::size_t count) const;

    const ZoneTrafficConfig config_;
    Micros now_{100s};
    std::map<EndpointId, Endpoint> endpoints_;
    std::vector<Proxy> proxies_;
    std::vector<std::unique_ptr<PlannerLink>> links_;
    std::map<std::tuple<std::size_t, std::size_t, EndpointId>, AttemptCount> attempts_; ///< planner, zone
    std::vector<std::string> violations_;
    bool hasOverloadedColdEndpoint_ = false;
};

} // namespace zincstack::tests

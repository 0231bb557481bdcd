// The state of a simulated fleet (simulated_fleet.h): its configuration, its endpoints and its proxies.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"
#include "platform/push_stream.h"
#include "routing/name_registry.h"

namespace zincstack::tests {

using namespace std::chrono_literals;

inline constexpr std::size_t kMaxEndpoints = 1024;
inline constexpr std::size_t kRequestClassCount = 3;
inline constexpr Micros kWarmUpDuration = 16s;
inline constexpr Micros kMessageWindow = 10s; ///< maxMessagesPerProxy applies to this period
/// Endpoints by their index in the fleet, which is also in their names: s-0, s-1 and so on.
using EndpointSet = std::bitset<kMaxEndpoints>;

/// The configuration of a simulated deployment. Lines are counted as on the wire, including the message
/// overhead.
struct SimulatedFleetConfig {
    std::uint16_t proxyCount = 2400;
    std::uint8_t zoneCount = 3;
    double linesPerSecond = 6800;
    double maxQueuedLines = 62'400;
    double messageOverheadLines = 6;
    double slowdown = 1; ///< factor by which the channel is slower than linesPerSecond
    Micros meanTransitTime = 250ms;
    Micros drainGracePeriod = 10'100ms;
    Micros maxTimeWithoutEndpoint = 14'700ms;
    std::uint32_t bootstrapTableSize = 6;
    std::uint32_t maxMessagesPerProxy = 0; ///< within kMessageWindow; 0: no limit
    std::uint64_t seed = 1;
};

/// An endpoint as service discovery lists it.
struct SimulatedEndpoint {
    EndpointId id;
    EndpointState state;
    Micros startedAt;
    std::optional<Micros> endAnnouncedAt; ///< time of the first announcement as draining or removed
};

/// A connected proxy, with the state that results from the messages that it has applied.
struct SimulatedProxy {
    std::unique_ptr<net::PushStream> stream;
    std::uint64_t session = 0;
    std::uint8_t zone = 0;
    Micros joinedAt{};
    bool isStalled = false;
    std::array<EndpointSet, kRequestClassCount> tables;
    EndpointSet excluded;
    std::optional<Micros> withoutEndpointSince;
    std::vector<std::string> unread = {};
    std::deque<Micros> writtenAt = {}; ///< times of the messages written within kMessageWindow

    /// Applies a push message. Returns the barrier to acknowledge; std::nullopt if the message has none.
    std::optional<BarrierId> apply(std::string_view message, const net::NameRegistry& names);
    EndpointSet mayPick(std::size_t requestClass) const { return tables[requestClass] & ~excluded; }
};

using SimulatedProxies = std::map<std::uint16_t, SimulatedProxy>;

} // namespace zincstack::tests

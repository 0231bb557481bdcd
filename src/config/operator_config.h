// The operator's file: what is switched on beside what the platform prescribes. Absent parts are off.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "errors/input_error.h"
#include "log/log.h"
#include "planner/planner.h"
#include "json/schema.h"

namespace zincstack::config {

struct LogConfig {
    bool json = false;
    log::Level minLevel = log::Level::Info;
    friend bool operator==(const LogConfig&, const LogConfig&) = default;
};

/// The pub-sub channel to proxies that hold a subscription.
struct PubsubConfig {
    std::string listen; ///< address and port
    std::uint32_t maxSubscribers = 1000;
    std::size_t windowLines = 1024;             ///< unacknowledged by one subscriber
    std::size_t windowBytes = 32 * 1024;        ///< unacknowledged by one subscriber
    std::size_t memoryBytes = 16 * 1024 * 1024; ///< for all subscribers together
    std::size_t maxTombstones = 4096;           ///< removed entries that are remembered
    Micros heartbeatInterval = std::chrono::seconds(1);
    Micros leaseDuration = std::chrono::seconds(5);
    Micros stallTimeout = std::chrono::seconds(20);
    std::uint32_t reconnectsPerSecond = 200;
    friend bool operator==(const PubsubConfig&, const PubsubConfig&) = default;
};

struct OperatorConfig {
    LogConfig log;
    std::optional<PubsubConfig> pubsub; ///< none: the service is off
};

/// All errors of the text, sorted by place; empty if it can be used.
std::vector<json::ValidationError> findOperatorConfigErrors(std::string_view text);
/// Throws InputError with the first error and its place.
OperatorConfig readOperatorConfig(std::string_view text);
/// Reads the file; everything is off where the path is empty. Throws InputError, naming the file.
OperatorConfig loadOperatorConfig(const std::string& path);
/// The bytes of a file. Throws InputError where it can't be read or is larger than any configuration file.
std::string readFile(const std::string& path);

} // namespace zincstack::config

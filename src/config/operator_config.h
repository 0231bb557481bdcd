// The operator's file: what is switched on beside what the platform posts. Absent parts are off.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "errors/input_error.h"
#include "planner/planner.h"
#include "json/schema.h"

namespace zincstack::config {

struct LogConfig {
    bool json = false;
    std::uint8_t least = 1; ///< 0 debug, 1 info, 2 warn, 3 critical
    friend bool operator==(const LogConfig&, const LogConfig&) = default;
};
struct PubsubConfig {
    std::string listen;
    std::uint32_t subscribers = 1000;
    std::size_t windowLines = 1024, windowBytes = 32 * 1024, memoryBytes = 16 * 1024 * 1024;
    std::size_t maxTombstones = 4096;
    Micros heartbeatInterval = std::chrono::seconds(1), leaseDuration = std::chrono::seconds(5),
           stallTimeout = std::chrono::seconds(20);
    std::uint32_t reconnectsPerSecond = 200;
    friend bool operator==(const PubsubConfig&, const PubsubConfig&) = default;
};
struct OperatorConfig {
    LogConfig log;
    std::optional<PubsubConfig> channel;
};

/// Every fault of the text, by its place; none: it can be used.
std::vector<json::Fault> findOperatorConfigErrors(std::string_view text);
/// Throws InputError, naming the first fault and its place.
OperatorConfig readOperatorConfig(std::string_view text);
/// Reads the file; no path: everything is off. Throws InputError, naming the file.
OperatorConfig loadOperatorConfig(const std::string& path);
/// The bytes of a file. Throws InputError where it can't be read, or is larger than any such file.
std::string readFile(const std::string& path);

} // namespace zincstack::config

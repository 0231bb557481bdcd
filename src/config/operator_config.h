// The operator's file: settings of one planner that its start file does not contain. A section that is absent
// leaves its feature off or at its defaults.
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

/// Format and level of the log.
struct LogConfig {
    bool json = false; ///< one JSON object per line; false: text
    log::Level minLevel = log::Level::Info;
    friend bool operator==(const LogConfig&, const LogConfig&) = default;
};

/// The pub-sub channel, through which proxies subscribe to routing tables.
struct PubsubConfig {
    std::string listen;                         ///< address and port
    std::uint32_t maxSubscribers = 1000;        ///< connected at the same time
    std::size_t windowLines = 1024;             ///< maximum unacknowledged lines of one subscriber
    std::size_t windowBytes = 32 * 1024;        ///< maximum unacknowledged bytes of one subscriber
    std::size_t memoryBytes = 16 * 1024 * 1024; ///< maximum unacknowledged bytes of all subscribers together
    std::size_t maxTombstones = 4096;           ///< removed entries that each topic remembers
    Micros heartbeatInterval = std::chrono::seconds(1); ///< maximum time between two frames of either side
    Micros leaseDuration = std::chrono::seconds(5);     ///< a subscriber silent for this long is disconnected
    /// A subscriber that acknowledges nothing that it was sent for this long is disconnected.
    Micros stallTimeout = std::chrono::seconds(20);
    /// Maximum rate at which disconnected subscribers are told to reconnect.
    std::uint32_t reconnectsPerSecond = 200;
    friend bool operator==(const PubsubConfig&, const PubsubConfig&) = default;
};

/// The contents of the operator's file.
struct OperatorConfig {
    LogConfig log;
    std::optional<PubsubConfig> pubsub; ///< std::nullopt: the channel is off
};

/// All errors in the text, sorted by JSON pointer; empty if the text is valid.
std::vector<json::ValidationError> findOperatorConfigErrors(std::string_view text);
/// Throws InputError with the JSON pointer of the first error if the text is invalid.
OperatorConfig readOperatorConfig(std::string_view text);
/// Reads the file; returns the defaults if the path is empty. Throws InputError, which names the file, if the
/// file cannot be read or is invalid.
OperatorConfig loadOperatorConfig(const std::string& path);
/// The bytes of a file. Throws InputError if it cannot be read or is larger than 16 MiB.
std::string readFile(const std::string& path);

} // namespace zincstack::config

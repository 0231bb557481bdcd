// Parses the command line into a subcommand and its options.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zincstack::command {

/// `zincstack run`, and `zincstack` without a subcommand.
struct RunOptions {
    std::string operatorFile; ///< path; empty: none
};

/// `zincstack check`.
struct CheckOptions {
    std::vector<std::string> files; ///< paths of start files and operator's files
};

/// `zincstack subscribe`.
struct SubscribeOptions {
    std::vector<std::string> planners; ///< addresses, tried in turn
    std::string zone;
    std::optional<std::uint16_t> proxy; ///< std::nullopt: subscribe as an observer
    double weight = 1;                  ///< approximate requests per second of the proxy
    bool json = false;                  ///< one JSON object per line; false: text
    std::uint32_t maxChanges = 0;       ///< exit after printing this many changes; 0: never
};

/// `zincstack standin discovery`.
struct StandinOptions {
    std::string file;   ///< path of the endpoint list in discovery's format; reloaded when it changes
    std::string listen; ///< address and port
};

/// The chosen subcommand with its options.
using Command = std::variant<RunOptions, CheckOptions, SubscribeOptions, StandinOptions>;

/// Returns the command with its options. For --help, --version and usage errors the text is printed, and the
/// exit code is returned instead.
std::variant<Command, int> parseCommandLine(int argumentCount, const char* const* arguments);

} // namespace zincstack::command

// The command line: the subcommand that was chosen and its options.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zincstack::command {

struct RunOptions {
    std::string operatorFile; ///< empty: none
};

struct CheckOptions {
    std::vector<std::string> files;
};

struct SubscribeOptions {
    std::vector<std::string> planners; ///< addresses, tried in turn
    std::string zone;
    std::optional<std::uint16_t> proxy; ///< none: watch only
    double weight = 1;
    bool json = false;
    std::uint32_t changes = 0; ///< end after so many; 0: never
};

/// The stand-in of discovery.
struct StandinOptions {
    std::string file; ///< the endpoint list, in discovery's form; read again when it changes
    std::string listen;
};

using Command = std::variant<RunOptions, CheckOptions, SubscribeOptions, StandinOptions>;

/// The command with its options. Where nothing is left to do (help, version, an error in the command line) it has
/// been printed, and the exit code is returned.
std::variant<Command, int> parseCommandLine(int argumentCount, const char* const* arguments);

} // namespace zincstack::command

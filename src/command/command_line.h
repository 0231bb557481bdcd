// The command line: what is to be done, and with which files and addresses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zincstack::command {

struct Run {
    std::string operatorFile; ///< empty: none
};
struct Check {
    std::vector<std::string> files;
};
struct Subscribe {
    std::vector<std::string> planners; ///< addresses, tried in turn
    std::string zone;
    std::optional<std::uint16_t> proxy; ///< none: it only watches
    double weight = 1;
    bool json = false;
    std::uint32_t changes = 0; ///< ends after so many; 0: never
};
struct Standin {      ///< of discovery
    std::string file; ///< the list, in discovery's form; looked at again when it changes
    std::string listen;
};
using Order = std::variant<Run, Check, Subscribe, Standin>;

/// What was asked for; or the exit code where that is all (help, version, a line that can't be read), after it
/// was told on the standard streams.
std::variant<Order, int> read(int count, const char* const* words);

} // namespace zincstack::command

// What a planner is told where it is put up: its name and addresses, the seed, limits, the list as last had,
// and the start terms as flat pairs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "config/start_settings.h"
#include "json/json.h"

namespace zincstack::net {

struct StartFile {
    std::string name;
    std::string listen;
    std::string discovery;
    std::uint64_t seed = 0;
    std::uint32_t sockets = 1024;
    std::uint32_t memoryMb = 192;
    json::Value known; ///< in discovery's form; null where there is none
    config::FlatSettings flat;
};

/// Nested values as path=value pairs, in the form of the simulator's start text.
void flatten(const json::Value& value, const std::string& path, config::FlatSettings& into);

/// Throws InputError, naming the field.
StartFile readStartFile(std::string_view text);

/// Reads the file that the environment names; name and addresses of the environment go before the file's.
StartFile loadStartFile();
/// Reads that file again: what the environment says is as old as the start, so the file's fields go first.
StartFile reloadStartFile();

} // namespace zincstack::net

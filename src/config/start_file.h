// The start file of one planner: its name, addresses, seed, resource limits and settings, and a cached
// endpoint list.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "config/start_settings.h"
#include "json/json.h"

namespace zincstack::config {

/// The contents of a start file. PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY may override its fields.
struct StartFile {
    std::string name;      ///< of the planner
    std::string listen;    ///< address and port that the planner listens on
    std::string discovery; ///< address and port of the discovery service
    std::uint64_t seed = 0;
    std::uint32_t maxDescriptors = 1024; ///< file descriptors of the process
    std::uint32_t memoryMegabytes = 192;
    json::Value cachedEndpoints; ///< in the format of the discovery service; null if there is none
    FlatSettings settings;
};

/// Adds the scalars within a JSON value to `settings` as path=value pairs, in the format of the simulator's
/// start text.
void flatten(const json::Value& value, const std::string& path, FlatSettings& settings);

/// Throws InputError, which names the field, if a field is missing or invalid.
StartFile parseStartFile(std::string_view text);

/// Reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY override its fields.
/// Throws InputError if the file cannot be read or is invalid.
StartFile loadStartFile();
/// Reads that file without the overrides: the environment cannot change while the process runs, so an
/// override would hide a changed field.
StartFile reloadStartFile();

} // namespace zincstack::config

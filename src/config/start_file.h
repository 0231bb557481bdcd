// The start file: the name, addresses, seed and limits of one planner, the endpoint list that it knew last, and its
// settings.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "config/start_settings.h"
#include "json/json.h"

namespace zincstack::config {

struct StartFile {
    std::string name;
    std::string listen;    ///< address and port
    std::string discovery; ///< address and port
    std::uint64_t seed = 0;
    std::uint32_t maxDescriptors = 1024;
    std::uint32_t memoryMegabytes = 192;
    json::Value cachedEndpoints; ///< in discovery's form; null where there is none
    FlatSettings settings;
};

/// Adds the scalars below a JSON value to `settings`, as path=value pairs in the form of the simulator's start text.
void flatten(const json::Value& value, const std::string& path, FlatSettings& settings);

/// Throws InputError, naming the field.
StartFile parseStartFile(std::string_view text);

/// Reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY override its fields.
StartFile loadStartFile();
/// Reads that file again, without the overrides: they are as old as the process.
StartFile reloadStartFile();

} // namespace zincstack::config

// The settings that a planner starts with, in the types of planner.h. The words and units of the settings are known
// in this module only. They come as flat pairs from a start file or from the simulator's start text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/settings_reader.h"
#include "planner/planner.h"

namespace zincstack::config {

/// Splits a text of path=value lines. Throws InputError where a line has no '='.
FlatSettings splitText(std::string_view text);

struct StartSettings {
    FleetConfig fleet;
    ProxyFleetConfig proxies;
    ControlChannelLimits controlChannel;
    SafetyLimits safetyLimits;
    std::vector<RequestClassConfig> requestClasses;
    std::vector<std::string> requestClassNames; ///< one for each of the classes
    std::vector<std::string> zoneNames;
    std::vector<std::string> reportColumns; ///< columns of the load reports on the simulator's wire
    Micros tick{};                          ///< the shortest gap between decisions
    Micros connectTimeout{};                ///< of health checks; zero: not set
    std::vector<std::string> notices;       ///< words that are not known, one line each
};

/// Throws InputError, naming the setting, where one is missing or can't be used.
StartSettings readStartSettings(const FlatSettings& settings);

/// Sets the field of a load report that has this name on either wire; other names are ignored.
void setLoadField(std::string_view name, double value, LoadReport& report);

} // namespace zincstack::config

// The settings that a planner starts with, converted to the types of planner.h. They arrive as path=value
// pairs from a start file or from the simulator's start text; only this module knows their names, keywords
// and units.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/settings_reader.h"
#include "planner/planner.h"

namespace zincstack::config {

/// Splits a text of path=value lines. Throws InputError if a non-empty line has no '='.
FlatSettings splitText(std::string_view text);

/// All settings that a planner starts with.
struct StartSettings {
    FleetConfig fleet;
    ProxyFleetConfig proxies;
    ControlChannelLimits controlChannel;
    SafetyLimits safetyLimits;
    std::vector<RequestClassConfig> requestClasses;
    std::vector<std::string> requestClassNames; ///< in the order of requestClasses
    std::vector<std::string> zoneNames;
    std::vector<std::string> reportColumns; ///< of load reports in the simulator's protocol
    Micros tick{};                          ///< minimum interval between decisions
    Micros connectTimeout{};                ///< of health checks; zero: not configured
    std::vector<std::string> notices;       ///< one line for each unknown keyword
};

/// Throws InputError, which names the setting, if a required setting is missing or a value is invalid.
StartSettings readStartSettings(const FlatSettings& settings);

/// Sets the field of a load report that has this name in the platform's or the simulator's protocol. Other
/// names are ignored.
void setLoadField(std::string_view name, double value, LoadReport& report);

} // namespace zincstack::config

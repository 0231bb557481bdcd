// Reads flat path=value pairs into the start terms of planner.h, for whichever front brings them: the
// simulator's start text or a planner's own configuration. Words of the wire end here.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "errors/input_error.h"
#include "planner/planner.h"

namespace zincstack::config {

using FlatSettings = std::map<std::string, std::string, std::less<>>;

/// Splits a text of path=value lines. Throws InputError where a line has no '='.
FlatSettings splitText(std::string_view text);

struct StartSettings {
    FleetConfig fleet;
    ProxyFleetConfig forwarders;
    ControlChannelLimits channel;
    SafetyLimits guards;
    std::vector<RequestClassConfig> products;
    std::vector<std::string> productNames;
    std::vector<std::string> zoneNames;
    std::vector<std::string> reportColumns;
    Micros tick{};                    ///< the shortest gap between decisions
    Micros connectTimeout{};          ///< zero: not told
    std::vector<std::string> notices; ///< words that are not known, one line each
};

/// Throws InputError, naming the term, where one is missing or no number.
StartSettings readStartSettings(const FlatSettings& flat);

/// Puts a value of a load report where it belongs, by its name on either wire; other names are let pass.
void setLoadField(std::string_view name, double value, LoadReport& into);

} // namespace zincstack::config

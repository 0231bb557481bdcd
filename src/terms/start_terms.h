// Reads flat path=value pairs into the start terms of planner.h, for whichever front brings them: the
// simulator's start text or a planner's own configuration. Words of the wire end here.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"
#include "terms/malformed.h"

namespace zincstack::terms {

using FlatTerms = std::map<std::string, std::string, std::less<>>;

/// Splits a text of path=value lines. Throws Malformed where a line has no '='.
FlatTerms splitText(std::string_view text);

struct StartTerms {
    FleetTerms fleet;
    ForwarderTerms forwarders;
    ChannelTerms channel;
    GuardTerms guards;
    std::vector<ProductTerms> products;
    std::vector<std::string> productNames;
    std::vector<std::string> zoneNames;
    std::vector<std::string> reportColumns;
    Micros tick{};                    ///< the shortest gap between decisions
    Micros connectTimeout{};          ///< zero: not told
    std::vector<std::string> notices; ///< words that are not known, one line each
};

/// Throws Malformed, naming the term, where one is missing or no number.
StartTerms readStartTerms(const FlatTerms& flat);

/// Puts a value of a load report where it belongs, by its name on either wire; other names are let pass.
void placeLoad(std::string_view name, double value, LoadReport& into);

} // namespace zincstack::terms

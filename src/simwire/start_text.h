// Reads the start text (path=value lines) into the terms of planner.h. Words of the wire end here.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace zincstack::simwire {

struct StartText {
    FleetTerms fleet;
    ForwarderTerms forwarders;
    ChannelTerms channel;
    GuardTerms guards;
    std::vector<ProductTerms> products;
    std::vector<std::string> reportColumns;
    std::vector<std::string> notices; ///< words that are not known, one line each
};

/// Throws Malformed, naming the term, where one is missing or no number.
StartText readStartText(std::string_view text);

} // namespace zincstack::simwire

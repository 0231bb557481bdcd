// Any text as an operator's file or a start file: faults, and nothing worse.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "terms/operator_terms.h"
#include "terms/start_terms.h"
#include "terms/station.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace zincstack;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const bool sound = terms::faultsOfOperatorText(text).empty();
    try {
        terms::readOperatorTerms(text);
        if (!sound) std::abort(); // check and run must agree
    } catch (const Malformed&) {
        if (sound) std::abort();
    }
    try {
        terms::readStartTerms(net::readStation(text).flat);
    } catch (const Malformed&) {}
    return 0;
}

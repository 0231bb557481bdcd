// Any text as an operator's file or a start file: faults, and nothing worse.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "config/operator_config.h"
#include "config/start_file.h"
#include "config/start_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace zincstack;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const bool sound = config::findOperatorConfigErrors(text).empty();
    try {
        config::readOperatorConfig(text);
        if (!sound) std::abort(); // check and run must agree
    } catch (const InputError&) {
        if (sound) std::abort();
    }
    try {
        config::readStartSettings(net::readStartFile(text).flat);
    } catch (const InputError&) {}
    return 0;
}

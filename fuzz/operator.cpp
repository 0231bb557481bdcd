// Fuzzer of the settings: any text as an operator's file or a start file leads to errors, and to nothing worse.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "config/operator_config.h"
#include "config/start_file.h"
#include "config/start_settings.h"

namespace {

using namespace zincstack;

/// The errors that `check` lists and those that `run` fails with must agree.
void readAsOperatorFile(std::string_view text) {
    const bool isValid = config::findOperatorConfigErrors(text).empty();
    try {
        config::readOperatorConfig(text);
        if (!isValid) std::abort();
    } catch (const InputError&) {
        if (isValid) std::abort();
    }
}

void readAsStartFile(std::string_view text) {
    try {
        config::readStartSettings(config::parseStartFile(text).settings);
    } catch (const InputError&) {
        // Expected of nearly every text.
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    readAsOperatorFile(text);
    readAsStartFile(text);
    return 0;
}

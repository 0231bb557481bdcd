// Fuzzer of the configuration readers: for arbitrary text as an operator file or a start file they must
// return normally or throw InputError.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "config/operator_config.h"
#include "config/start_file.h"
#include "config/start_settings.h"

namespace {

using namespace zincstack;

/// Aborts if findOperatorConfigErrors(), which the command `check` uses, and readOperatorConfig(), which
/// `run` uses, disagree on whether the text is valid.
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
        // Expected: nearly all inputs are invalid.
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    readAsOperatorFile(text);
    readAsStartFile(text);
    return 0;
}

// The message of the InputError that a call throws.
#pragma once

#include <string>

#include "errors/input_error.h"

namespace zincstack::tests {

/// Empty if the call throws none.
std::string inputErrorOf(const auto& call) {
    try {
        call();
    } catch (const InputError& error) { return error.what(); }
    return "";
}

} // namespace zincstack::tests

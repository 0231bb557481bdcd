// Helper for tests of error messages.
#pragma once

#include <string>

#include "errors/input_error.h"

namespace zincstack::tests {

/// Returns the message of the InputError that the call throws; empty if it throws none.
std::string inputErrorOf(const auto& call) {
    try {
        call();
    } catch (const InputError& error) { return error.what(); }
    return "";
}

} // namespace zincstack::tests

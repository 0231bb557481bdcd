// `zincstack check`: validates start files and operator's files and prints every error with its location.
#pragma once

#include <ostream>

#include "command/command_line.h"

namespace zincstack::command {

/// Prints one line for each error: file, JSON pointer, message. Returns the exit code: 0 if all files are
/// valid, 2 otherwise.
int check(const CheckOptions& options, std::ostream& out);

} // namespace zincstack::command

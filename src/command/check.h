// `zincstack check`: prints every fault of start files and operator's files with its place.
#pragma once

#include <ostream>

#include "command/command_line.h"

namespace zincstack::command {

/// One line for each fault: file, JSON pointer, what is wrong. The exit code: 0 where all files can be used, else 2.
int check(const CheckOptions& options, std::ostream& out);

} // namespace zincstack::command

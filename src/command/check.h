// `zincstack check`: every fault of start files and operator's files, by its place.
#pragma once

#include <ostream>

#include "command/command_line.h"

namespace zincstack::command {

/// The exit code: 0 where all files can be used, 2 otherwise. A line a fault: file, JSON pointer, what is wrong.
int check(const Check& order, std::ostream& out);

} // namespace zincstack::command

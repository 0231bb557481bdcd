// `zincstack subscribe`: a zone's tables as they change, for people or for programs.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Runs until a signal or so many changes; the exit code, 2 if a planner refuses it for good. Throws InputError where an address can't be read.
int subscribe(const Subscribe& order);

} // namespace zincstack::command

// `zincstack subscribe`: prints a zone's tables as they change, for people or for programs.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Runs until a signal or until so many changes were printed. The exit code: 2 if a planner refuses the subscription
/// for good. Throws InputError where an address can't be read.
int subscribe(const SubscribeOptions& options);

} // namespace zincstack::command

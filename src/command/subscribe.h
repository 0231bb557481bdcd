// `zincstack subscribe`: prints the routing tables of a zone as they change, as text or as JSON.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Runs until SIGTERM, SIGINT or the maximum number of printed changes, and returns the exit code: 2 if a
/// planner refuses the subscription permanently, 0 otherwise. Throws InputError if an address is invalid.
int subscribe(const SubscribeOptions& options);

} // namespace zincstack::command

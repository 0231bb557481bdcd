// `zincstack run`: one planner on sockets. Wiring, signals and reload.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Serves until a signal; the exit code. Throws Malformed where something given can't be used.
int run(const Run& order);

} // namespace zincstack::command

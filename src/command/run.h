// `zincstack run`: one planner on sockets. Wiring, signals and reload.
#pragma once

#include "command/command_line.h"
#include "command/held_signals.h"

namespace zincstack::command {

/// Serves until a signal; the exit code. The signals are let in once they are handled, and held again at the end.
int run(const Run& order, HeldSignals& held);

} // namespace zincstack::command

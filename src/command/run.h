// `zincstack run`: loads the configuration and runs one planner process.
#pragma once

#include "command/command_line.h"
#include "command/signal_mask.h"

namespace zincstack::command {

/// Serves until SIGTERM or SIGINT and returns the exit code: 2 if the configuration is invalid, 1 for any
/// other failure. `signals` are unblocked once their handlers are installed and blocked again when the event
/// loop has ended.
int run(const RunOptions& options, SignalMask& signals);

} // namespace zincstack::command

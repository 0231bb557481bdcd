// `zincstack standin ...`: the stand-ins of outside systems, each alone, for drills and demonstrations.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Runs until a signal; the exit code. Throws InputError where an address or the first list can't be used.
int standin(const Standin& order);

} // namespace zincstack::command

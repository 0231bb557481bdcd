// `zincstack standin discovery`: a stand-in for the discovery agent that serves an endpoint list from a file,
// for tests and drills.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Serves until SIGTERM or SIGINT and returns the exit code. Throws InputError if the address or the first
/// list is invalid; if a later list is invalid, the previous one is still served.
int standin(const StandinOptions& options);

} // namespace zincstack::command

// `zincstack standin discovery`: a stand-in of discovery that serves an endpoint list from a file, for drills.
#pragma once

#include "command/command_line.h"

namespace zincstack::command {

/// Serves until SIGTERM or SIGINT; the exit code. Throws InputError where the address or the first list can't be
/// used; a later list that can't be used leaves the one before in force.
int standin(const StandinOptions& options);

} // namespace zincstack::command

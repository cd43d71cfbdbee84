#pragma once

#include "Program/ClientCommand.h"

namespace dandelionloom {

/// `check`: reads settings and list files, and writes all their faults.
ExitCode runCheckCommand(const CommandInput &input);

/// `serve`: starts an entry instance if its settings have no fault. Gives the exit code of the
/// process.
int runServeCommand(const CommandInput &input);

} // namespace dandelionloom

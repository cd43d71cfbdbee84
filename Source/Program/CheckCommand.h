#pragma once

#include "Program/ClientCommand.h"

namespace dandelionloom {

/// `check`: validates a settings file and list files, and reports all their faults.
ExitCode runCheckCommand(const CommandInput &input);

/// `serve`: runs an entry instance if its settings have no fault. Returns the exit code of the
/// process.
int runServeCommand(const CommandInput &input);

} // namespace dandelionloom

#pragma once

#include "Program/ClientCommand.h"

namespace dandelionloom {

/// `waves`: start, pause, resume, cancel, status.
ExitCode runWaveCommand(const CommandInput &input);

} // namespace dandelionloom

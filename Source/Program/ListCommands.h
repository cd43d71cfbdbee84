#pragma once

#include "Model/Lists.h"
#include "Program/ClientCommand.h"

namespace dandelionloom {

/// `plans` and `allowances`: show, apply FILE, diff FILE, history.
ExitCode runListCommand(const CommandInput &input, ListKind kind);

} // namespace dandelionloom

#pragma once

#include "Program/ClientCommand.h"

namespace dandelionloom {

ExitCode runInstancesCommand(const CommandInput &input);
ExitCode runEndpointsCommand(const CommandInput &input);
ExitCode runStatusCommand(const CommandInput &input);

} // namespace dandelionloom

#pragma once

#include <string>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Reason for which a configuration is rejected; empty if it is valid.
std::string configurationFault(const FleetConfiguration &configuration);

} // namespace dandelionloom

#pragma once

#include <string>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Why a configuration must not be accepted; empty if it may be.
std::string configurationFault(const FleetConfiguration &configuration);

} // namespace dandelionloom

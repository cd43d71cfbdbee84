#pragma once

#include "Adapters/Settings/Settings.h"

namespace dandelionloom {

/// Runs one entry instance until SIGTERM or SIGINT. Returns the exit code of the process.
int runServe(const Settings &settings);

} // namespace dandelionloom

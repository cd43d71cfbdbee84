#pragma once

#include "Adapters/Settings/Settings.h"

namespace dandelionloom {

/// Runs one entry instance until it is told to end. Returns the exit code of the process.
int runServe(const Settings &settings);

} // namespace dandelionloom

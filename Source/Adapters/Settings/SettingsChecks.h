#pragma once

#include <string>
#include <vector>

#include "Adapters/Settings/Settings.h"

namespace dandelionloom {

/// Two settings that cannot both hold, each of which may be valid alone.
struct SettingsContradiction
{
    /// Path of the key to change, for example "peer[2].name".
    std::string place;
    /// "expected ..., found ..."
    std::string message;
};

std::vector<SettingsContradiction> contradictionsOf(const Settings &settings);

} // namespace dandelionloom

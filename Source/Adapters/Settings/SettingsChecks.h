#pragma once

#include <string>
#include <vector>

#include "Adapters/Settings/Settings.h"

namespace dandelionloom {

/// A conflict between settings that are each valid on their own.
struct SettingsContradiction
{
    /// Path of the key to change, such as "peer[2].name".
    std::string place;
    /// "expected ..., found ..."
    std::string message;
};

/// Returns all conflicts between the settings.
std::vector<SettingsContradiction> contradictionsOf(const Settings &settings);

} // namespace dandelionloom

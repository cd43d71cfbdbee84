#pragma once

#include <string>
#include <vector>

#include "Adapters/Settings/Settings.h"

namespace dandelionloom {

/// A conflict between settings that are each valid on their own.
struct SettingsConflict
{
    /// Path of the key to change, such as "peer[2].name".
    std::string keyPath;
    /// "expected ..., found ..."
    std::string message;
};

/// Returns all conflicts between the settings.
std::vector<SettingsConflict> findConflicts(const Settings &settings);

} // namespace dandelionloom

#pragma once

#include <string>

#include "Adapters/Settings/Settings.h"

namespace dandelionloom {

/// Builds settings in code, for tests and tools. build() checks for the same conflicts as
/// parseSettings().
class SettingsBuilder
{
public:
    /// Defaults to cluster "test", group "region-1" and credential files in the working directory.
    SettingsBuilder();

    SettingsBuilder &cluster(const std::string &id, const std::string &group);
    SettingsBuilder &instance(const std::string &name, const std::string &availabilityZone,
                              const std::string &rack = "rack-1");
    SettingsBuilder &dataFolder(const std::string &path);
    SettingsBuilder &listen(const ListenSettings &listen);
    SettingsBuilder &peer(const PeerSettings &peer);
    SettingsBuilder &credentials(const CredentialSettings &credentials);
    SettingsBuilder &platform(const std::string &url, const std::string &credentialFile);
    SettingsBuilder &log(const LogSettings &log);
    SettingsBuilder &timing(const TimingSettings &timing);
    SettingsBuilder &limits(const LimitSettings &limits);
    SettingsBuilder &storage(const StorageSettings &storage);
    SettingsBuilder &weights(const WeightSettings &weights);

    /// Fails with one message for each conflict.
    Result<Settings, SettingsError> build() const;

private:
    Settings m_settings;
};

} // namespace dandelionloom

#include "Adapters/Settings/SettingsBuilder.h"

#include "Adapters/Settings/SettingsChecks.h"

namespace dandelionloom {

SettingsBuilder::SettingsBuilder()
{
    m_settings.cluster = {"test", "region-1"};
    m_settings.credentials = {"callers", "operators", "endpoints", "peers"};
}

SettingsBuilder &SettingsBuilder::cluster(const std::string &id, const std::string &group)
{
    m_settings.cluster = {id, group};
    return *this;
}

SettingsBuilder &SettingsBuilder::instance(const std::string &name,
                                           const std::string &availabilityZone,
                                           const std::string &rack)
{
    m_settings.instance.name = name;
    m_settings.instance.availabilityZone = availabilityZone;
    m_settings.instance.rack = rack;
    return *this;
}

SettingsBuilder &SettingsBuilder::dataFolder(const std::string &path)
{
    m_settings.instance.dataFolder = path;
    return *this;
}

SettingsBuilder &SettingsBuilder::listen(const ListenSettings &listen)
{
    m_settings.listen = listen;
    return *this;
}

SettingsBuilder &SettingsBuilder::peer(const PeerSettings &peer)
{
    m_settings.peers.push_back(peer);
    return *this;
}

SettingsBuilder &SettingsBuilder::credentials(const CredentialSettings &credentials)
{
    m_settings.credentials = credentials;
    return *this;
}

SettingsBuilder &SettingsBuilder::platform(const std::string &url,
                                           const std::string &credentialFile)
{
    m_settings.platform = {url, credentialFile};
    return *this;
}

SettingsBuilder &SettingsBuilder::log(const LogSettings &log)
{
    m_settings.log = log;
    return *this;
}

SettingsBuilder &SettingsBuilder::timing(const TimingSettings &timing)
{
    m_settings.timing = timing;
    return *this;
}

SettingsBuilder &SettingsBuilder::limits(const LimitSettings &limits)
{
    m_settings.limits = limits;
    return *this;
}

SettingsBuilder &SettingsBuilder::storage(const StorageSettings &storage)
{
    m_settings.storage = storage;
    return *this;
}

SettingsBuilder &SettingsBuilder::weights(const WeightSettings &weights)
{
    m_settings.weights = weights;
    return *this;
}

Result<Settings, SettingsError> SettingsBuilder::build() const
{
    SettingsError error;
    for (const SettingsConflict &conflict : findConflicts(m_settings)) {
        error.faults.push_back(conflict.keyPath + ": " + conflict.message);
    }
    if (!error.faults.empty()) {
        return error;
    }
    return m_settings;
}

} // namespace dandelionloom

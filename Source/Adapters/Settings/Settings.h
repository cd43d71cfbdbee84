#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Model/Result.h"
#include "Model/Time.h"
#include "Ports/DecisionLog.h"

namespace dandelionloom {

struct ClusterSettings
{
    std::string id;
    std::string group;
};

/// The entry instance that reads the settings.
struct InstanceSettings
{
    std::string name;
    std::string availabilityZone;
    std::string rack;
    /// Needed by voters. Followers without one keep their state in memory only.
    std::optional<std::string> dataFolder;
};

/// Addresses to listen on, each an IP number and a port: "10.0.0.1:8000", "[::1]:8000".
struct ListenSettings
{
    std::string callers;
    std::string operators;
    std::string endpoints;
    std::string peers;
};

/// One entry instance of the cluster; the list includes this instance.
struct PeerSettings
{
    std::string name;
    std::string availabilityZone;
    /// Address of its peer listener.
    std::string address;
    /// Address of its operator listener.
    std::string operators;
    bool voter = false;

    bool operator==(const PeerSettings &) const = default;
};

struct CredentialSettings
{
    std::string callersFile;
    std::string operatorsFile;
    std::string endpointsFile;
    std::string peersFile;
};

struct PlatformSettings
{
    /// Without a URL no wave, move or job is carried out.
    std::optional<std::string> url;
    std::string credentialFile;
};

struct LogSettings
{
    LogSeverity severity = LogSeverity::Info;
    /// Standard error if absent.
    std::optional<std::string> file;
};

// The defaults, ranges and reasons of the numbers below are in NumberKeys.cpp and docs/settings.md.

struct TimingSettings
{
    Milliseconds heartbeat{150};
    Milliseconds electionTimeoutMin{600};
    Milliseconds electionTimeoutMax{1200};
    Milliseconds listsLease{10000};
    Milliseconds endpointLease{60000};
    Milliseconds digestInterval{5000};
    Milliseconds drainLimit{60000};
    Milliseconds proving{30000};
};

struct LimitSettings
{
    std::uint64_t bodyBytes = 1048576;
    std::uint64_t headerBytes = 16384;
    std::uint32_t headerCount = 64;
    std::uint32_t requestLineBytes = 4096;
    std::uint32_t callerConnections = 1024;
    Milliseconds readTimeout{10000};
    std::uint32_t queueLength = 1000;
    std::uint32_t retryPercent = 10;
    std::uint32_t longWorkPercent = 75;
    std::uint64_t entryBytes = 258048;
};

struct StorageSettings
{
    std::uint64_t compactAfterBytes = 8388608;
    std::uint64_t compactAfterEntries = 10000;
};

/// Relative weights of the four metrics of a deployment.
struct WeightSettings
{
    double buffer = 1;
    double shortWait = 1;
    double rollOutTime = 1;
    double moves = 1;
};

/// Settings of one `serve` process, checked as a whole.
struct Settings
{
    ClusterSettings cluster;
    InstanceSettings instance;
    ListenSettings listen;
    std::vector<PeerSettings> peers;
    CredentialSettings credentials;
    PlatformSettings platform;
    LogSettings log;
    TimingSettings timing;
    LimitSettings limits;
    StorageSettings storage;
    WeightSettings weights;

    /// The entry of this instance in `peers`; null if it is missing, which checked settings
    /// exclude.
    const PeerSettings *ownPeer() const;
    bool isVoter() const;
};

/// All faults of a file, each a line "file:line: expected ..., found ...".
struct SettingsError
{
    std::vector<std::string> faults;
};

/// Reads and checks a settings file. Relative paths in it are relative to the file's folder.
Result<Settings, SettingsError> readSettings(const std::string &path);

/// Checks settings given as TOML text. `file` names the text in faults; its folder is the base of
/// relative paths.
Result<Settings, SettingsError> parseSettings(const std::string &text, const std::string &file);

} // namespace dandelionloom

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

/// The entry instance that runs with these settings.
struct InstanceSettings
{
    std::string name;
    std::string availabilityZone;
    std::string rack;
    /// Required for voters. A follower without a data folder keeps its state in memory only.
    std::optional<std::string> dataFolder;
};

/// Listen addresses, each an IP address and a port: "10.0.0.1:8000", "[::1]:8000".
struct ListenSettings
{
    std::string callers;
    std::string operators;
    std::string endpoints;
    std::string peers;
};

/// An entry instance of the cluster. The list of peers includes this instance.
struct PeerSettings
{
    std::string name;
    std::string availabilityZone;
    /// Address of the listener for peers.
    std::string address;
    /// Address of the listener for operators.
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
    /// Waves, moves and jobs are not executed without a platform URL.
    std::optional<std::string> url;
    std::string credentialFile;
};

struct LogSettings
{
    LogSeverity severity = LogSeverity::Info;
    /// Defaults to standard error.
    std::optional<std::string> file;
};

// NumberKeys.cpp and docs/settings.md give the ranges and reasons of the defaults below.

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
    std::uint32_t memoryMb = 256;
    std::uint32_t maxOpenFiles = 4096;
};

struct StorageSettings
{
    std::uint64_t compactAfterBytes = 8388608;
    std::uint64_t compactAfterEntries = 10000;
};

/// Relative weights of the four costs that planning decisions trade off; see NumberKeys.cpp.
struct WeightSettings
{
    double buffer = 1;
    double shortWait = 1;
    double rollOutTime = 1;
    double moves = 1;
};

/// Settings of a `serve` process. readSettings() and SettingsBuilder return only settings that are
/// valid and free of conflicts.
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

    /// Returns the entry of this instance in `peers`. Never null for validated settings.
    const PeerSettings *ownPeer() const;
    bool isVoter() const;
};

/// All faults in a settings file, each as "file:line: expected ..., found ...".
struct SettingsError
{
    std::vector<std::string> faults;
};

/// Reads and validates a settings file. Relative paths in it are resolved against the file's
/// folder.
Result<Settings, SettingsError> readSettings(const std::string &path);

/// Parses and validates settings in TOML. `file` is the file name in fault messages; relative paths
/// are resolved against its folder.
Result<Settings, SettingsError> parseSettings(const std::string &text, const std::string &file);

} // namespace dandelionloom

#include "Adapters/Settings/Settings.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "Adapters/Settings/SettingsChecks.h"
#include "Adapters/Settings/TableReader.h"
#include "Adapters/Settings/TextChecks.h"

namespace dandelionloom {

namespace {

/// Converts a parsed TOML file to settings and reports faults of single keys.
class SectionReader
{
public:
    SectionReader(const toml::table &root, const std::string &file, FaultList &faults)
        : m_root(root), m_folder(std::filesystem::path(file).parent_path()), m_faults(faults)
    { }

    Settings read()
    {
        Settings settings;
        readCluster(settings.cluster);
        readInstance(settings.instance);
        readListen(settings.listen);
        readPeers(settings.peers);
        readCredentials(settings.credentials);
        readPlatform(settings.platform);
        readLog(settings.log);
        readTiming(settings.timing);
        readLimits(settings.limits);
        readStorage(settings.storage);
        readWeights(settings.weights);
        reportUnknownSections();
        return settings;
    }

private:
    TableReader section(const std::string &name)
    {
        m_knownSections.push_back(name);
        const toml::node *node = m_root.get(name);
        const toml::table *table = node != nullptr ? node->as_table() : nullptr;
        if (node != nullptr && table == nullptr) {
            m_faults.add(node->source().begin.line,
                         "expected a section [" + name + "], found another value");
        }
        return {table, "[" + name + "]", 1, m_faults};
    }

    std::string path(const std::string &text) const
    {
        if (text.empty() || std::filesystem::path(text).is_absolute()) {
            return text;
        }
        return (m_folder / text).lexically_normal().string();
    }

    std::optional<std::string> path(const std::optional<std::string> &text) const
    {
        return text ? std::optional(path(*text)) : std::nullopt;
    }

    template <typename Number>
    Number number(TableReader &reader, const char *section, const char *key)
    {
        return static_cast<Number>(reader.number(numberKey(section, key)));
    }

    Milliseconds milliseconds(TableReader &reader, const char *section, const char *key)
    {
        return Milliseconds(reader.number(numberKey(section, key)));
    }

    void readCluster(ClusterSettings &cluster)
    {
        TableReader reader = section("cluster");
        cluster.id = reader.name("id");
        cluster.group = reader.name("group");
        reader.reportUnknownKeys();
    }

    void readInstance(InstanceSettings &instance)
    {
        TableReader reader = section("instance");
        instance.name = reader.name("name");
        instance.availabilityZone = reader.name("availability_zone");
        instance.rack = reader.name("rack");
        instance.dataFolder = path(reader.optionalText("data_folder"));
        reader.reportUnknownKeys();
    }

    void readListen(ListenSettings &listen)
    {
        TableReader reader = section("listen");
        listen.callers = reader.address("callers");
        listen.operators = reader.address("operators");
        listen.endpoints = reader.address("endpoints");
        listen.peers = reader.address("peers");
        reader.reportUnknownKeys();
    }

    void readPeers(std::vector<PeerSettings> &peers)
    {
        m_knownSections.push_back("peer");
        const toml::node *node = m_root.get("peer");
        if (node == nullptr) {
            m_faults.add(1, "expected a [[peer]] for each entry instance, found none");
            return;
        }
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            m_faults.add(node->source().begin.line,
                         "expected [[peer]] with double brackets, found another value");
            return;
        }
        for (const toml::node &element : *array) {
            const toml::table *table = element.as_table();
            TableReader reader(table, "[[peer]]", element.source().begin.line, m_faults);
            PeerSettings peer;
            peer.name = reader.name("name");
            peer.availabilityZone = reader.name("availability_zone");
            peer.address = reader.address("address");
            peer.operators = reader.address("operators");
            peer.voter = reader.flag("voter", false);
            reader.reportUnknownKeys();
            peers.push_back(std::move(peer));
        }
    }

    void readCredentials(CredentialSettings &credentials)
    {
        TableReader reader = section("credentials");
        credentials.callersFile = path(reader.text("callers_file"));
        credentials.operatorsFile = path(reader.text("operators_file"));
        credentials.endpointsFile = path(reader.text("endpoints_file"));
        credentials.peersFile = path(reader.text("peers_file"));
        reader.reportUnknownKeys();
    }

    void readPlatform(PlatformSettings &platform)
    {
        TableReader reader = section("platform");
        platform.url = reader.optionalText("url");
        platform.credentialFile = path(reader.optionalText("credential_file").value_or(""));
        if (platform.url && !platform.url->starts_with("http://")) {
            reader.fault("url", "expected url as http://IP:port, found '" + *platform.url + "'");
        }
        reader.reportUnknownKeys();
    }

    void readLog(LogSettings &log)
    {
        TableReader reader = section("log");
        const std::vector<std::string> severities(logSeverityNames.names.begin(),
                                                  logSeverityNames.names.end());
        const std::string severity = reader.choice("severity", severities, "info");
        log.severity = logSeverityNames.value(severity).value_or(LogSeverity::Info);
        log.file = path(reader.optionalText("file"));
        reader.reportUnknownKeys();
    }

    void readTiming(TimingSettings &timing)
    {
        TableReader reader = section("timing");
        timing.heartbeat = milliseconds(reader, "timing", "heartbeat_ms");
        timing.electionTimeoutMin = milliseconds(reader, "timing", "election_timeout_min_ms");
        timing.electionTimeoutMax = milliseconds(reader, "timing", "election_timeout_max_ms");
        timing.listsLease = milliseconds(reader, "timing", "lists_lease_ms");
        timing.endpointLease = milliseconds(reader, "timing", "endpoint_lease_ms");
        timing.digestInterval = milliseconds(reader, "timing", "digest_interval_ms");
        timing.drainLimit = milliseconds(reader, "timing", "drain_limit_ms");
        timing.proving = milliseconds(reader, "timing", "proving_ms");
        reader.reportUnknownKeys();
    }

    void readLimits(LimitSettings &limits)
    {
        TableReader reader = section("limits");
        limits.bodyBytes = number<std::uint64_t>(reader, "limits", "body_bytes");
        limits.headerBytes = number<std::uint64_t>(reader, "limits", "header_bytes");
        limits.headerCount = number<std::uint32_t>(reader, "limits", "header_count");
        limits.requestLineBytes = number<std::uint32_t>(reader, "limits", "request_line_bytes");
        limits.callerConnections = number<std::uint32_t>(reader, "limits", "caller_connections");
        limits.readTimeout = milliseconds(reader, "limits", "read_timeout_ms");
        limits.queueLength = number<std::uint32_t>(reader, "limits", "queue_length");
        limits.retryPercent = number<std::uint32_t>(reader, "limits", "retry_percent");
        limits.longWorkPercent = number<std::uint32_t>(reader, "limits", "long_work_percent");
        limits.entryBytes = number<std::uint64_t>(reader, "limits", "entry_bytes");
        limits.memoryMb = number<std::uint32_t>(reader, "limits", "memory_mb");
        limits.maxOpenFiles = number<std::uint32_t>(reader, "limits", "max_open_files");
        reader.reportUnknownKeys();
    }

    void readStorage(StorageSettings &storage)
    {
        TableReader reader = section("storage");
        storage.compactAfterBytes = number<std::uint64_t>(reader, "storage", "compact_after_bytes");
        storage.compactAfterEntries =
                number<std::uint64_t>(reader, "storage", "compact_after_entries");
        reader.reportUnknownKeys();
    }

    void readWeights(WeightSettings &weights)
    {
        TableReader reader = section("weights");
        weights.buffer = reader.decimal(decimalKey("weights", "buffer"));
        weights.shortWait = reader.decimal(decimalKey("weights", "short_wait"));
        weights.rollOutTime = reader.decimal(decimalKey("weights", "roll_out_time"));
        weights.moves = reader.decimal(decimalKey("weights", "moves"));
        reader.reportUnknownKeys();
    }

    void reportUnknownSections()
    {
        for (const auto &[key, value] : m_root) {
            const std::string unknown(key.str());
            if (std::find(m_knownSections.begin(), m_knownSections.end(), unknown)
                != m_knownSections.end()) {
                continue;
            }
            const std::string closest = closestMatch(unknown, m_knownSections);
            m_faults.add(key.source().begin.line,
                         "expected a section of the settings, found '" + unknown + "'"
                                 + (closest.empty() ? "" : "; did you mean '" + closest + "'?"));
        }
    }

    const toml::table &m_root;
    const std::filesystem::path m_folder;
    FaultList &m_faults;
    std::vector<std::string> m_knownSections;
};

/// Returns the line of a key, or of its nearest existing parent if the key is absent.
std::uint32_t lineOfKeyPath(const toml::table &root, const std::string &keyPath)
{
    std::string path = keyPath;
    while (!path.empty()) {
        const auto view = toml::at_path(root, path);
        if (view.node() != nullptr) {
            return std::max<std::uint32_t>(1, view.node()->source().begin.line);
        }
        const std::size_t dot = path.rfind('.');
        path = dot == std::string::npos ? "" : path.substr(0, dot);
    }
    return 1;
}

} // namespace

const PeerSettings *Settings::ownPeer() const
{
    for (const PeerSettings &peer : peers) {
        if (peer.name == instance.name) {
            return &peer;
        }
    }
    return nullptr;
}

bool Settings::isVoter() const
{
    const PeerSettings *own = ownPeer();
    return own != nullptr && own->voter;
}

Result<Settings, SettingsError> parseSettings(const std::string &text, const std::string &file)
{
    const toml::parse_result parsed = toml::parse(text, file);
    FaultList faults(file);
    if (!parsed) {
        faults.add(parsed.error().source().begin.line,
                   "expected valid TOML, found: " + std::string(parsed.error().description()));
        return SettingsError{faults.lines()};
    }
    Settings settings = SectionReader(parsed.table(), file, faults).read();
    // An invalid value has been replaced by its default. A timing conflict with a default would not
    // be in the file, so timing conflicts are reported only if all single values are valid.
    const bool valuesAreValid = faults.empty();
    for (const SettingsConflict &conflict : findConflicts(settings)) {
        const bool isTiming = conflict.keyPath.starts_with("timing");
        if (valuesAreValid || !isTiming) {
            faults.add(lineOfKeyPath(parsed.table(), conflict.keyPath), conflict.message);
        }
    }
    if (!faults.empty()) {
        return SettingsError{faults.lines()};
    }
    return settings;
}

Result<Settings, SettingsError> readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return SettingsError{
                {path + ": expected a readable settings file, found: " + std::strerror(errno)}};
    }
    return parseSettings(text.str(), path);
}

} // namespace dandelionloom

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Adapters/Disk/DiskLogStorage.h"
#include "Support/TemporaryFolder.h"

namespace dandelionloom::test {

std::string contentOf(const std::string &path);
void setContent(const std::string &path, const std::string &content);
/// Names of the files in a folder, sorted.
std::vector<std::string> namesIn(const std::string &folder);

/// The calls of the system without syncs, for steps whose durability a test doesn't examine.
FileCalls quickFileCalls();

/// Thrown where the simulated machine stops.
struct SimulatedCrash
{ };

/// What of the unsynced changes a crash keeps.
enum class Unsynced {
    /// Nothing: only synced data under synced names.
    Lost,
    /// All: the process alone stopped.
    Kept,
    /// A random part of the bytes, under synced names.
    Partial
};

/// File calls over one real folder that know what a loss of power would leave of it, and that can
/// fail or crash on request.
class SimulatedDisk
{
public:
    explicit SimulatedDisk(std::string folder);

    FileCalls calls();

    /// Stops at the count-th passing of a point.
    void crashAt(const std::string &point, int count);
    /// Lets the count-th write keep some bytes and then fail.
    void failWrite(int count, int number, std::size_t keptBytes);
    void failOpen(int count, int number);
    void failSync(int count);
    /// Reports success of syncs without doing them.
    void ignoreSyncs() { m_ignoresSyncs = true; }
    int syncCount() const { return m_syncs; }
    bool failed() const { return m_failed; }

    /// Changes the folder to what the crash leaves.
    void losePower(Unsynced unsynced, std::mt19937 &random);

private:
    struct File
    {
        std::string durable;
    };
    using Names = std::map<std::string, std::size_t>;

    std::string nameOf(const std::string &path) const;
    int open(const std::string &path, int flags);
    ssize_t write(int descriptor, const char *data, size_t length, off_t offset);
    int sync(int descriptor);

    const std::string m_folder;
    std::vector<File> m_files;
    Names m_liveNames;
    Names m_durableNames;
    std::map<int, std::pair<std::size_t, std::string>> m_open;

    std::string m_crashPoint;
    int m_crashCount = 0;
    int m_failWriteAt = 0;
    int m_failOpenAt = 0;
    int m_failSyncAt = 0;
    int m_failNumber = 0;
    std::size_t m_keptBytes = 0;
    int m_writes = 0;
    int m_opens = 0;
    int m_syncs = 0;
    bool m_ignoresSyncs = false;
    bool m_failed = false;
};

} // namespace dandelionloom::test

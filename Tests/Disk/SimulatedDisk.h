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
void writeContent(const std::string &path, const std::string &content);
/// Names of the files in a folder, sorted.
std::vector<std::string> fileNamesIn(const std::string &folder);

/// The real system calls with syncs left out, for steps whose durability the test does not check.
FileCalls unsyncedFileCalls();

/// Thrown at the crash point where the simulated power loss or process crash happens.
struct SimulatedCrash
{ };

/// Which unsynced changes survive a crash.
enum class Unsynced {
    /// None: only synced data under synced names remains.
    Lost,
    /// All: only the process crashed; the kernel keeps the data.
    Kept,
    /// A random prefix of the unsynced bytes, under synced names.
    Partial
};

/// Wraps the file system calls on one real folder. Tracks which data and names are synced, so that
/// a power loss can be simulated, and injects errors and crashes on request.
class SimulatedDisk
{
public:
    explicit SimulatedDisk(std::string folder);

    FileCalls calls();

    /// Throws SimulatedCrash when the crash point is reached for the count-th time.
    void crashAt(const std::string &crashPoint, int count);
    /// Makes the count-th write store at most `keptBytes` and then fail with `errorNumber`.
    void failWrite(int count, int errorNumber, std::size_t keptBytes);
    void failOpen(int count, int errorNumber);
    void failSync(int count);
    /// Makes syncs report success without making anything durable.
    void ignoreSyncs() { m_ignoresSyncs = true; }
    int syncCount() const { return m_syncs; }
    /// True once an injected write or open error has occurred.
    bool failed() const { return m_failed; }

    /// Reduces the folder to the content that survives the crash.
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
    int m_failErrno = 0;
    std::size_t m_keptBytes = 0;
    int m_writes = 0;
    int m_opens = 0;
    int m_syncs = 0;
    bool m_ignoresSyncs = false;
    bool m_failed = false;
};

} // namespace dandelionloom::test

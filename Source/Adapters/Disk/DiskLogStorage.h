#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "Adapters/Disk/DataFolder.h"
#include "Adapters/Disk/FileCalls.h"
#include "Adapters/Disk/LogSegments.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

struct DiskLogOptions
{
    std::string folder;
    std::string clusterId;
    std::string group;
    /// Size at which a new segment is started. Compaction frees whole segments.
    std::uint64_t segmentBytes = 16U << 20U;
    /// Replaced by tests.
    FileCalls calls = systemFileCalls();
};

/// LogStorage in one data folder: lock, meta, hard state, snapshot and log segments. After an
/// InputOutput error every later call fails with it: a failed sync is never repeated, as the
/// system may have dropped the data and report success the second time.
class DiskLogStorage : public LogStorage
{
public:
    explicit DiskLogStorage(DiskLogOptions options);

    Result<RecoveredLog, StorageError> open() override;
    Result<Done, StorageError> saveHardState(const HardState &hardState) override;
    Result<Done, StorageError> append(const std::vector<LogEntry> &entries) override;
    /// A snapshot that is not newer than the present one changes nothing.
    Result<Done, StorageError> saveSnapshot(const Snapshot &snapshot) override;
    std::uint64_t sizeBytes() const override;

private:
    /// Term and place of an entry behind the snapshot.
    struct EntryPlace
    {
        std::uint64_t term = 0;
        std::uint64_t segment = 0;
    };

    Result<RecoveredLog, StorageError> recover();
    Result<Done, StorageError> createContent();
    Result<Done, StorageError> replay(const RecoveredSegments &segments, RecoveredLog &log);
    Result<Done, StorageError> compact();
    void dropThrough(std::uint64_t lastIndex, std::uint64_t lastTerm);
    Result<Done, StorageError> appendChecked(const std::vector<LogEntry> &entries);
    Result<Done, StorageError> writeSnapshot(const Snapshot &snapshot);
    /// Keeps an InputOutput error for all later calls.
    Result<Done, StorageError> kept(Result<Done, StorageError> result);

    const DiskLogOptions m_options;
    FolderLock m_lock;
    LogSegments m_segments;
    std::string m_storageId;
    std::optional<StorageError> m_failed;
    bool m_opened = false;

    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotBytes = 0;
    /// Entries from m_snapshotIndex + 1 on.
    std::deque<EntryPlace> m_entries;
    /// The segments on disk hold only dropped entries; the next append starts the log anew.
    bool m_startsLog = false;
};

} // namespace dandelionloom

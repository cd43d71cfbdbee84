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
    /// Size at which the next append starts a new segment. Compaction removes only whole segments.
    std::uint64_t segmentBytes = 16U << 20U;
    /// Tests replace these to inject faults and crashes.
    FileCalls calls = systemFileCalls();
};

/// LogStorage in one data folder, which holds the lock file, the meta file, the hard state, the
/// snapshot and the log segments. After any error other than DiskFull, every later call that
/// changes the log fails with the same error. In particular, a failed sync is never retried,
/// because the kernel may have discarded the dirty pages and would then report success.
class DiskLogStorage : public LogStorage
{
public:
    explicit DiskLogStorage(DiskLogOptions options);

    Result<RecoveredLog, StorageError> open() override;
    Result<Done, StorageError> saveHardState(const HardState &hardState) override;
    Result<Done, StorageError> append(const std::vector<LogEntry> &entries) override;
    /// Ignores a snapshot that is not newer than the current one.
    Result<Done, StorageError> saveSnapshot(const Snapshot &snapshot) override;
    std::uint64_t sizeBytes() const override;

private:
    /// Term of an entry after the snapshot, and the segment that stores it.
    struct EntryLocation
    {
        std::uint64_t term = 0;
        std::uint64_t segment = 0;
    };

    Result<RecoveredLog, StorageError> recover();
    Result<Done, StorageError> initializeFolder();
    /// Applies the recovered batches in order, so that later entries overwrite earlier ones.
    Result<Done, StorageError> replay(const RecoveredSegments &segments, RecoveredLog &log);
    /// Removes the segments that hold no entry after the snapshot.
    Result<Done, StorageError> compact();
    /// Discards the entries up to lastIndex, or all entries if the one at lastIndex has another
    /// term.
    void discardThrough(std::uint64_t lastIndex, std::uint64_t lastTerm);
    /// Checks that the entries leave no gap in the log, and appends them.
    Result<Done, StorageError> appendChecked(const std::vector<LogEntry> &entries);
    Result<Done, StorageError> writeSnapshot(const Snapshot &snapshot);
    /// Stores an error other than DiskFull, so that all later changes fail with it.
    Result<Done, StorageError> latchFailure(Result<Done, StorageError> result);

    const DiskLogOptions m_options;
    FolderLock m_lock;
    LogSegments m_segments;
    std::string m_storageId;
    std::optional<StorageError> m_fatalError;
    bool m_opened = false;

    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotBytes = 0;
    /// Locations of the entries starting at m_snapshotIndex + 1.
    std::deque<EntryLocation> m_entries;
    /// True if the segments on disk hold only discarded entries, so that the next segment starts a
    /// new log and makes them obsolete.
    bool m_nextSegmentStartsLog = false;
};

} // namespace dandelionloom

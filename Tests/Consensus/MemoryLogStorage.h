#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "Ports/LogStorage.h"

namespace dandelionloom::test {

/// In-memory log storage. Its content survives restarts of the replica until loseDisk() is called.
class MemoryLogStorage : public LogStorage
{
public:
    /// The storage id consists of `name` and the number of the disk.
    explicit MemoryLogStorage(std::string name);

    Result<RecoveredLog, StorageError> open() override;
    Result<Done, StorageError> saveHardState(const HardState &hardState) override;
    Result<Done, StorageError> append(const std::vector<LogEntry> &entries) override;
    Result<Done, StorageError> saveSnapshot(const Snapshot &snapshot) override;
    std::uint64_t sizeBytes() const override;

    /// Replaces the disk with an empty one. Must not be called while a replica uses it.
    void loseDisk();
    /// Makes all writes fail with this error until it is called with none.
    void failWith(std::optional<StorageErrorKind> kind);
    /// Blocks writes to simulate a disk that hangs.
    void block(bool blocked);
    std::size_t syncs() const;

private:
    /// Waits while writes are blocked, then returns the injected error, if any.
    std::optional<StorageError> fault(std::unique_lock<std::mutex> &lock);

    const std::string m_name;
    mutable std::mutex m_mutex;
    std::uint64_t m_disk = 1;
    bool m_created = true;
    HardState m_hardState;
    std::optional<Snapshot> m_snapshot;
    std::vector<LogEntry> m_entries;
    std::optional<StorageErrorKind> m_failure;
    bool m_blocked = false;
    std::condition_variable m_unblocked;
    std::size_t m_syncs = 0;
};

} // namespace dandelionloom::test

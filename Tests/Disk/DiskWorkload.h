#pragma once

#include <functional>
#include <string>

#include "Disk/SimulatedDisk.h"

namespace dandelionloom::test {

/// The state that a storage must recover after a restart.
struct StoredState
{
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries;

    bool operator==(const StoredState &) const = default;

    std::uint64_t lastIndex() const;
    void append(const std::vector<LogEntry> &batch);
    void save(const Snapshot &saved);
};

StoredState stateOf(const RecoveredLog &log);
DiskLogOptions diskOptions(const std::string &folder, FileCalls calls);
std::vector<LogEntry> entriesFrom(std::uint64_t index, std::uint64_t term, std::size_t count);

/// One change to the storage, together with its effect on the expected state.
struct DiskStep
{
    std::string name;
    std::function<Result<Done, StorageError>(LogStorage &)> run;
    std::function<void(StoredState &)> apply;
};

/// A fixed sequence of appends, overwritten entries, term changes, snapshots of the replica's own
/// log and snapshots installed by a leader: one ahead of the log and one that conflicts with it.
std::vector<DiskStep> diskWorkload();

} // namespace dandelionloom::test

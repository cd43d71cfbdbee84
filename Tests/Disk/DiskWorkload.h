#pragma once

#include <functional>
#include <string>

#include "Disk/SimulatedDisk.h"

namespace dandelionloom::test {

/// What a storage must give back after a restart.
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

/// One change of the storage, with its effect on the expected state.
struct DiskStep
{
    std::string name;
    std::function<Result<Done, StorageError>(LogStorage &)> run;
    std::function<void(StoredState &)> apply;
};

/// A fixed sequence with appends, overwritten entries, terms, snapshots of the own log, and
/// snapshots that a leader sent: one ahead of the log and one that contradicts it.
std::vector<DiskStep> diskWorkload();

} // namespace dandelionloom::test

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Result.h"

namespace dandelionloom {

struct LogEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    /// What the payload is, for the consensus module: 0 command, 1 voter change.
    std::uint32_t kind = 0;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
    MSGPACK_DEFINE_ARRAY(index, term, kind, payload)
};

/// Term and vote, synced before they are answered for.
struct HardState
{
    std::uint64_t term = 0;
    std::string votedFor;

    bool operator==(const HardState &) const = default;
    MSGPACK_DEFINE_ARRAY(term, votedFor)
};

/// A voter is a name with the random id of its data folder, so that an emptied folder is no voter.
struct VoterId
{
    std::string name;
    std::string storageId;

    bool operator==(const VoterId &) const = default;
    bool operator<(const VoterId &other) const
    {
        return std::tie(name, storageId) < std::tie(other.name, other.storageId);
    }
    MSGPACK_DEFINE_ARRAY(name, storageId)
};

struct Snapshot
{
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::vector<VoterId> voters;
    std::string state;

    bool operator==(const Snapshot &) const = default;
    MSGPACK_DEFINE_ARRAY(lastIndex, lastTerm, voters, state)
};

enum class StorageErrorKind { DiskFull, Damaged, ForeignCluster, NewerFormat, InputOutput };
inline constexpr EnumNames<StorageErrorKind, 5> storageErrorKindNames{
        {"disk-full", "damaged", "foreign-cluster", "newer-format", "input-output"}};

struct StorageError
{
    StorageErrorKind kind = StorageErrorKind::InputOutput;
    /// Names file and offset, what was expected and what was found.
    std::string message;
};

/// What a start finds in the data folder.
struct RecoveredLog
{
    /// Random id of the data folder; `created` tells that this start made it.
    std::string storageId;
    bool created = false;
    HardState hardState;
    std::optional<Snapshot> snapshot;
    /// All entries behind the snapshot, in order.
    std::vector<LogEntry> entries;
    /// Bytes of a torn last record that were cut.
    std::uint64_t tornBytes = 0;
};

/// Durable log of one replica. Used by one thread. Every call returns after the data is synced.
/// On InputOutput the caller must stop the process: a failed sync may have lost earlier writes.
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    virtual Result<RecoveredLog, StorageError> open() = 0;
    virtual Result<Done, StorageError> saveHardState(const HardState &hardState) = 0;
    /// Replaces all entries from entries.front().index on. DiskFull leaves the log unchanged.
    virtual Result<Done, StorageError> append(const std::vector<LogEntry> &entries) = 0;
    /// Saves the snapshot, then drops the entries it covers.
    virtual Result<Done, StorageError> saveSnapshot(const Snapshot &snapshot) = 0;
    /// Bytes on disk: log and snapshot.
    virtual std::uint64_t sizeBytes() const = 0;
};

} // namespace dandelionloom

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
    /// Payload type, defined by the consensus module: 0 command, 1 voter change, 2 part of a
    /// command.
    std::uint32_t kind = 0;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
    MSGPACK_DEFINE_ARRAY(index, term, kind, payload)
};

/// Current term and vote. Must be synced before any message that depends on them is sent.
struct HardState
{
    std::uint64_t term = 0;
    std::string votedFor;

    bool operator==(const HardState &) const = default;
    MSGPACK_DEFINE_ARRAY(term, votedFor)
};

/// Identity of a voter: its name and the random id of its data folder. An instance that lost its
/// data folder gets a new id and is therefore no longer a voter.
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
    /// States the file and offset, and what was expected and found.
    std::string message;
};

/// State recovered from the data folder at startup.
struct RecoveredLog
{
    /// Random id of the data folder. `created` is true if this start has generated it.
    std::string storageId;
    bool created = false;
    HardState hardState;
    std::optional<Snapshot> snapshot;
    /// All entries after the snapshot, in order.
    std::vector<LogEntry> entries;
    /// Bytes of an incomplete last record that were truncated.
    std::uint64_t tornBytes = 0;
};

/// Durable log of one replica. Not thread-safe. Each write is synced before the call returns. After
/// an InputOutput error the caller must stop the process, because a failed sync may have lost
/// earlier writes.
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    virtual Result<RecoveredLog, StorageError> open() = 0;
    virtual Result<Done, StorageError> saveHardState(const HardState &hardState) = 0;
    /// Replaces all entries from entries.front().index on. The log is unchanged after DiskFull.
    virtual Result<Done, StorageError> append(const std::vector<LogEntry> &entries) = 0;
    /// Saves the snapshot, then deletes the entries it covers.
    virtual Result<Done, StorageError> saveSnapshot(const Snapshot &snapshot) = 0;
    /// Size of log and snapshot on disk.
    virtual std::uint64_t sizeBytes() const = 0;
};

} // namespace dandelionloom

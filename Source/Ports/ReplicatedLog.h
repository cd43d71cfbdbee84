#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Model/Time.h"
#include "State/Commands.h"
#include "State/StateStore.h"

namespace dandelionloom {

enum class LogErrorKind {
    /// The command was not appended and never will be. It is safe to retry.
    NotAccepted,
    /// The command may have been accepted, or may be accepted later.
    Unknown,
    /// The leader's disk is full. The command was not appended.
    DiskFull,
    /// The encoded command exceeds the entry size limit. It was not appended.
    TooLarge
};
inline constexpr EnumNames<LogErrorKind, 4> logErrorKindNames{
        {"not-accepted", "unknown", "disk-full", "too-large"}};

struct LogError
{
    LogErrorKind kind = LogErrorKind::NotAccepted;
    std::string message;
};

enum class LogRole { Follower, Voter, Candidate, Leader };
inline constexpr EnumNames<LogRole, 4> logRoleNames{{"follower", "voter", "candidate", "leader"}};

struct LogStatus
{
    LogRole role = LogRole::Follower;
    std::uint64_t term = 0;
    /// Name of the known leader; empty if there is none.
    std::string leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    /// Milliseconds since the last known contact with a quorum; -1 if there was none.
    std::int64_t quorumContactAgeMs = -1;
    /// True once a quorum has confirmed the state after process start.
    bool ready = false;
};

/// Latest progress report of one entry instance that the leader has received.
struct ReplicaProgress
{
    std::string name;
    std::string availabilityZone;
    bool voter = false;
    std::uint64_t appliedIndex = 0;
    std::uint64_t listsRevision = 0;
    /// Milliseconds since the last message from the instance; -1 if there was none.
    std::int64_t heardAgeMs = -1;

    MSGPACK_DEFINE_ARRAY(name, availabilityZone, voter, appliedIndex, listsRevision, heardAgeMs)
};

/// Interface to the replicated log for the gateway, the controller and the administration API.
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;

    /// Proposes a command and waits until this process has applied it. Blocks for at most
    /// `timeout`.
    virtual Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds timeout) = 0;

    /// Linearizable read: waits until this process has applied all entries that were committed when
    /// the call was made. Returns the applied index.
    virtual Result<std::uint64_t, LogError> confirmRead(Milliseconds timeout) = 0;

    virtual LogStatus status() const = 0;

    /// Requests the progress of all entry instances from the leader. Blocks for at most `timeout`.
    virtual Result<std::vector<ReplicaProgress>, LogError> progress(Milliseconds timeout) = 0;

    virtual const StateStore &state() const = 0;
};

} // namespace dandelionloom

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
    /// The command was not appended and never will be. Safe to send again.
    NotAccepted,
    /// The command may or may not be accepted later.
    Unknown,
    /// The leader's disk has no room. Not appended.
    DiskFull,
    /// The encoded command exceeds the entry limit. Not appended.
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
    /// Name of the known leader; empty without one.
    std::string leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    /// Milliseconds since the last proof of contact with a quorum; -1 before the first.
    std::int64_t quorumContactAgeMs = -1;
    /// False until the state was confirmed by a quorum after the start of the process.
    bool ready = false;
};

/// Last report of one entry instance as the leader knows it.
struct ReplicaProgress
{
    std::string name;
    std::string availabilityZone;
    bool voter = false;
    std::uint64_t appliedIndex = 0;
    std::uint64_t listsRevision = 0;
    /// Milliseconds since it was last heard; -1 if never.
    std::int64_t heardAgeMs = -1;

    MSGPACK_DEFINE_ARRAY(name, availabilityZone, voter, appliedIndex, listsRevision, heardAgeMs)
};

/// The replicated log as the gateway, the controller and the administration API use it.
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;

    /// Orders a command and waits until this process has applied it. Blocks up to `timeout`.
    virtual Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds timeout) = 0;

    /// Waits until this process has applied all that a quorum had accepted at the call; gives the
    /// applied index.
    virtual Result<std::uint64_t, LogError> confirmRead(Milliseconds timeout) = 0;

    virtual LogStatus status() const = 0;

    /// Progress of all entry instances, asked of the leader. Blocks up to `timeout`.
    virtual Result<std::vector<ReplicaProgress>, LogError> progress(Milliseconds timeout) = 0;

    virtual const StateStore &state() const = 0;
};

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "Model/Claims.h"
#include "Model/Fleet.h"
#include "Model/Lists.h"
#include "Model/Result.h"

namespace dandelionloom {

/// Version of the record format in the log and in snapshots.
inline constexpr std::uint32_t recordFormatVersion = 1;

/// Idempotency id of an operator's change. A retry with the same id gets the first outcome.
struct ChangeId
{
    std::string id;
    std::string operatorName;

    MSGPACK_DEFINE_ARRAY(id, operatorName)
};

/// Replaces a list if it still has the expected revision.
struct ApplyList
{
    ChangeId change;
    ListKind kind = ListKind::Plans;
    std::uint64_t expectedRevision = 0;
    std::vector<Plan> plans;
    std::vector<Allowance> allowances;

    MSGPACK_DEFINE_ARRAY(change, kind, expectedRevision, plans, allowances)
};

/// Adds an instance that announced itself for the first time, or updates its rack and zone.
struct RegisterInstance
{
    std::string id;
    std::string pool;
    std::string availabilityZone;
    std::string rack;

    MSGPACK_DEFINE_ARRAY(id, pool, availabilityZone, rack)
};

/// Moves a drained instance to another pool atomically.
struct MoveInstance
{
    std::string id;
    std::uint64_t expectedEpoch = 0;
    std::string pool;

    MSGPACK_DEFINE_ARRAY(id, expectedEpoch, pool)
};

/// Changes the phase of an instance. The transition to Draining requires a grant, see GrantDrain.
struct SetInstancePhase
{
    std::string id;
    std::uint64_t expectedEpoch = 0;
    InstancePhase phase = InstancePhase::InService;

    MSGPACK_DEFINE_ARRAY(id, expectedEpoch, phase)
};

struct StartWave
{
    ChangeId change;
    std::string wave;
    std::vector<std::string> targets;
    std::uint32_t drainLimitMs = 60000;

    MSGPACK_DEFINE_ARRAY(change, wave, targets, drainLimitMs)
};

struct ControlWave
{
    ChangeId change;
    std::string wave;
    WaveState state = WaveState::Paused;

    MSGPACK_DEFINE_ARRAY(change, wave, state)
};

/// Uses one unit of the availability budget of the instance's pool and changes the instance from in
/// service to draining. Rejected if the pool's budget, computed from the replicated records, is
/// used up.
struct GrantDrain
{
    std::string id;
    std::uint64_t expectedEpoch = 0;
    /// Wave id, or "move" for a move to `movingTo`.
    std::string holder;
    std::string movingTo;
    /// Instances of the pool that are observed to be unavailable but are in service according to
    /// their replicated records.
    std::uint32_t observedUnavailable = 0;

    MSGPACK_DEFINE_ARRAY(id, expectedEpoch, holder, movingTo, observedUnavailable)
};

/// Releases a grant before the instance is stopped: draining or drained to in service.
struct ReleaseDrain
{
    std::string id;
    std::uint64_t expectedEpoch = 0;

    MSGPACK_DEFINE_ARRAY(id, expectedEpoch)
};

struct ClaimRequests
{
    std::vector<RequestClaim> claims;

    MSGPACK_DEFINE_ARRAY(claims)
};

struct SettleRequests
{
    std::vector<RequestClaim> claims;

    MSGPACK_DEFINE_ARRAY(claims)
};

/// Removes change ids and claims that have exceeded their retention time.
struct ExpireRecords
{
    MSGPACK_DEFINE_ARRAY()
    std::int64_t unused = 0;
};

/// Appended by a new leader to commit the entries of earlier terms.
struct NoOperation
{
    MSGPACK_DEFINE_ARRAY()
    std::int64_t unused = 0;
};

/// The index of an alternative is the record's kind on disk and on the wire: only append.
using CommandBody = std::variant<NoOperation, ApplyList, RegisterInstance, MoveInstance,
                                 SetInstancePhase, StartWave, ControlWave, GrantDrain, ReleaseDrain,
                                 ClaimRequests, SettleRequests, ExpireRecords>;

struct Command
{
    /// Group of entry instances that owns the record.
    std::string group;
    /// Wall time of the leader that appended the command. Applying the command may use no other
    /// clock, so that all replicas compute the same state.
    std::int64_t atMs = 0;
    CommandBody body;
};

enum class CommandStatus { Applied, Conflict, Invalid };
inline constexpr EnumNames<CommandStatus, 3> commandStatusNames{{"applied", "conflict", "invalid"}};

/// Deterministic result of applying a command; identical on every replica.
struct CommandOutcome
{
    CommandStatus status = CommandStatus::Applied;
    /// Revision of the lists or epoch of the instance after the command.
    std::uint64_t revision = 0;
    /// The expected and actual values, for a conflict or an invalid command.
    std::string message;
    /// One response for each claim of ClaimRequests, in order.
    std::vector<ClaimResponse> claims;

    MSGPACK_DEFINE_ARRAY(status, revision, message, claims)
};

struct CodecError
{
    std::string message;
};

std::string encodeCommand(const Command &command);
/// Fails on a truncated or malformed record and on a newer format version.
Result<Command, CodecError> decodeCommand(const std::string &bytes);

std::string encodeOutcome(const CommandOutcome &outcome);
Result<CommandOutcome, CodecError> decodeOutcome(const std::string &bytes);

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::CommandStatus)

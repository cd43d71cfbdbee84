#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "State/Commands.h"

namespace dandelionloom {

/// Replicated state machine of one group. Each part of the state has its own lock. Only the replica
/// applies commands, from a single thread; reads are thread-safe.
class StateStore
{
public:
    explicit StateStore(std::string group);

    /// Applies one committed command. Deterministic: the result depends only on the state and the
    /// command.
    CommandOutcome apply(std::uint64_t index, const Command &command);

    /// The current lists. Never null; revision 0 before the first change.
    std::shared_ptr<const Lists> lists() const;
    /// The most recent accepted list changes, oldest first.
    std::vector<ListChange> history() const;
    std::shared_ptr<const Fleet> fleet() const;
    std::optional<RequestClaim> claim(const std::string &plan, const std::string &key) const;
    std::size_t claimCount() const;
    std::uint64_t appliedIndex() const;

    /// The whole state as one msgpack document.
    std::string encodeSnapshot() const;
    /// Replaces the state. Fails and leaves the state unchanged on a malformed snapshot, a snapshot
    /// of another group, or a newer format version.
    Result<Done, CodecError> restoreSnapshot(const std::string &bytes);

private:
    struct ChangeRecord
    {
        std::int64_t atMs = 0;
        std::string fingerprint;
        CommandOutcome outcome;
        MSGPACK_DEFINE_ARRAY(atMs, fingerprint, outcome)
    };
    /// Serialized form of a snapshot.
    struct SnapshotDocument
    {
        std::uint32_t version = 0;
        std::string group;
        std::uint64_t appliedIndex = 0;
        Lists lists;
        std::vector<ListChange> history;
        Fleet fleet;
        std::map<std::string, ChangeRecord> changes;
        std::vector<RequestClaim> claims;
        MSGPACK_DEFINE_ARRAY(version, group, appliedIndex, lists, history, fleet, changes, claims)
    };
    struct ClaimShard
    {
        mutable std::mutex mutex;
        std::map<std::string, RequestClaim> claims;
    };
    static constexpr std::size_t claimShardCount = 16;

    ClaimShard &claimShard(const std::string &claimKey);
    const ClaimShard &claimShard(const std::string &claimKey) const;

    CommandOutcome applyBody(const Command &command, const NoOperation &body);
    CommandOutcome applyBody(const Command &command, const ApplyList &body);
    CommandOutcome applyBody(const Command &command, const RegisterInstance &body);
    CommandOutcome applyBody(const Command &command, const MoveInstance &body);
    CommandOutcome applyBody(const Command &command, const SetInstancePhase &body);
    CommandOutcome applyBody(const Command &command, const StartWave &body);
    CommandOutcome applyBody(const Command &command, const ControlWave &body);
    CommandOutcome applyBody(const Command &command, const GrantDrain &body);
    CommandOutcome applyBody(const Command &command, const ReleaseDrain &body);
    CommandOutcome applyBody(const Command &command, const ClaimRequests &body);
    CommandOutcome applyBody(const Command &command, const SettleRequests &body);
    CommandOutcome applyBody(const Command &command, const ExpireRecords &body);

    ClaimResponse claimRequest(std::int64_t atMs, const RequestClaim &wanted);
    void settleRequest(const RequestClaim &settled);
    /// The recorded outcome of a change id, an invalid outcome if the id is empty or was used for a
    /// different change, or none if the id is new.
    std::optional<CommandOutcome> earlierOutcome(const ChangeId &change,
                                                 const std::string &fingerprint) const;
    CommandOutcome recordOutcome(const Command &command, const ChangeId &change,
                                 const std::string &fingerprint, CommandOutcome outcome);
    /// Applies a change to a copy of the fleet, and replaces the fleet by the copy if the change is
    /// accepted.
    CommandOutcome changeFleet(const std::function<CommandOutcome(Fleet &)> &change);

    const std::string m_group;

    mutable std::mutex m_listsMutex;
    std::shared_ptr<const Lists> m_lists;
    std::vector<ListChange> m_history;

    mutable std::mutex m_fleetMutex;
    std::shared_ptr<const Fleet> m_fleet;

    mutable std::mutex m_changesMutex;
    std::map<std::string, ChangeRecord> m_changes;

    std::array<ClaimShard, claimShardCount> m_claimShards;

    mutable std::mutex m_indexMutex;
    std::uint64_t m_appliedIndex = 0;
};

} // namespace dandelionloom

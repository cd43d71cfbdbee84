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

/// The agreed state of one group, in shards that each have their own lock. Only the replica
/// applies commands, from one thread; all threads may read.
class StateStore
{
public:
    explicit StateStore(std::string group);

    /// Applies one committed command. Deterministic: depends on the state and the command alone.
    CommandOutcome apply(std::uint64_t index, const Command &command);

    /// The lists in force. Never null; revision 0 before the first change.
    std::shared_ptr<const Lists> lists() const;
    /// The last accepted list changes, oldest first.
    std::vector<ListChange> history() const;
    std::shared_ptr<const Fleet> fleet() const;
    std::optional<RequestClaim> claim(const std::string &plan, const std::string &key) const;
    std::size_t claimCount() const;
    std::uint64_t appliedIndex() const;

    /// The whole state as one msgpack document.
    std::string encodeSnapshot() const;
    /// Replaces the state. Fails, with the state unchanged, on damaged bytes, another group, or a
    /// newer format version.
    Result<Done, CodecError> restoreSnapshot(const std::string &bytes);

private:
    struct ChangeRecord
    {
        std::int64_t atMs = 0;
        std::string fingerprint;
        CommandOutcome outcome;
        MSGPACK_DEFINE_ARRAY(atMs, fingerprint, outcome)
    };
    /// Format of a snapshot.
    struct Document
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

    ClaimShard &claimShard(const std::string &claimName);
    const ClaimShard &claimShard(const std::string &claimName) const;

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

    ClaimAnswer claimOne(std::int64_t atMs, const RequestClaim &wanted);
    void settleOne(const RequestClaim &settled);
    /// The first outcome of a change id, or an invalid outcome if the id was used otherwise.
    std::optional<CommandOutcome> earlierOutcome(const ChangeId &change,
                                                 const std::string &fingerprint) const;
    CommandOutcome remember(const Command &command, const ChangeId &change,
                            const std::string &fingerprint, CommandOutcome outcome);
    /// Replaces the fleet by a changed copy if the change was applied.
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

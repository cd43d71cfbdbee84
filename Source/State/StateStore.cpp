#include "State/StateStore.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

#include <xxhash.h>

#include "State/FleetRules.h"
#include "State/ListRules.h"

namespace dandelionloom {

namespace {

constexpr std::int64_t millisecondsPerHour = 60LL * 60 * 1000;

/// An operator who did not receive a response may retry for one day.
constexpr std::int64_t recordRetentionMs = 24 * millisecondsPerHour;

/// A claim takes 777 bytes of memory (measureState), so the full table takes 78 MB of the 128 MB of
/// a node.
constexpr std::size_t claimLimit = 100000;

/// Number of changes that `plans history` can show.
constexpr std::size_t historyLimit = 1000;

/// ASCII unit separator. Can't occur in plan ids or idempotency keys, which are printable.
constexpr char keySeparator = '\x1f';

std::string claimKeyOf(const std::string &plan, const std::string &key)
{
    return plan + keySeparator + key;
}

template <typename T>
std::string packedBytes(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Hash that identifies the content of an operator's command. The content itself is not stored: 690
/// allowances take 14 KB, and change ids are retained for a day.
template <typename T>
std::string fingerprintOf(const T &body)
{
    const std::string bytes = packedBytes(body);
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return packedBytes(std::array<std::uint64_t, 2>{hash.high64, hash.low64});
}

CommandOutcome invalid(std::string message)
{
    return {CommandStatus::Invalid, 0, std::move(message), {}};
}

CommandOutcome conflict(std::uint64_t revision, std::string message)
{
    return {CommandStatus::Conflict, revision, std::move(message), {}};
}

CommandOutcome applied(std::uint64_t revision)
{
    return {CommandStatus::Applied, revision, {}, {}};
}

} // namespace

StateStore::StateStore(std::string group)
    : m_group(std::move(group)), m_lists(std::make_shared<const Lists>()),
      m_fleet(std::make_shared<const Fleet>())
{ }

CommandOutcome StateStore::apply(std::uint64_t index, const Command &command)
{
    CommandOutcome outcome;
    if (command.group != m_group) {
        outcome = invalid("expected a record of group '" + m_group + "', found group '"
                          + command.group + "'");
    } else {
        outcome = std::visit([&](const auto &body) { return applyBody(command, body); },
                             command.body);
    }
    const std::lock_guard lock(m_indexMutex);
    m_appliedIndex = index;
    return outcome;
}

std::shared_ptr<const Lists> StateStore::lists() const
{
    const std::lock_guard lock(m_listsMutex);
    return m_lists;
}

std::vector<ListChange> StateStore::history() const
{
    const std::lock_guard lock(m_listsMutex);
    return m_history;
}

std::shared_ptr<const Fleet> StateStore::fleet() const
{
    const std::lock_guard lock(m_fleetMutex);
    return m_fleet;
}

std::optional<RequestClaim> StateStore::claim(const std::string &plan, const std::string &key) const
{
    const std::string claimKey = claimKeyOf(plan, key);
    const ClaimShard &shard = claimShard(claimKey);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.claims.find(claimKey);
    if (found == shard.claims.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t StateStore::claimCount() const
{
    std::size_t count = 0;
    for (const ClaimShard &shard : m_claimShards) {
        const std::lock_guard lock(shard.mutex);
        count += shard.claims.size();
    }
    return count;
}

std::uint64_t StateStore::appliedIndex() const
{
    const std::lock_guard lock(m_indexMutex);
    return m_appliedIndex;
}

StateStore::ClaimShard &StateStore::claimShard(const std::string &claimKey)
{
    return m_claimShards[std::hash<std::string>{}(claimKey) % claimShardCount];
}

const StateStore::ClaimShard &StateStore::claimShard(const std::string &claimKey) const
{
    return m_claimShards[std::hash<std::string>{}(claimKey) % claimShardCount];
}

CommandOutcome StateStore::applyBody(const Command &, const NoOperation &)
{
    return applied(0);
}

CommandOutcome StateStore::applyBody(const Command &command, const ApplyList &body)
{
    const std::string fingerprint = fingerprintOf(body);
    if (const auto earlier = earlierOutcome(body.change, fingerprint)) {
        return *earlier;
    }
    const std::shared_ptr<const Lists> current = lists();
    const std::uint64_t found =
            body.kind == ListKind::Plans ? current->plansRevision : current->allowancesRevision;
    if (found != body.expectedRevision) {
        return recordOutcome(command, body.change, fingerprint,
                             conflict(found,
                                      "expected revision " + std::to_string(body.expectedRevision)
                                              + " of the "
                                              + std::string(listKindNames.name(body.kind))
                                              + " list, found " + std::to_string(found)));
    }
    Result<Lists, ListError> next = applyListChange(*current, body);
    if (!isOk(next)) {
        return recordOutcome(command, body.change, fingerprint, invalid(errorOf(next).message));
    }
    Lists changed = takeValue(std::move(next));
    const std::uint64_t revision = changed.revision;
    {
        const std::lock_guard lock(m_listsMutex);
        const auto entries =
                body.kind == ListKind::Plans ? changed.plans.size() : changed.allowances.size();
        m_lists = std::make_shared<const Lists>(std::move(changed));
        m_history.push_back({revision, body.kind, body.change.id, body.change.operatorName,
                             command.atMs, static_cast<std::uint32_t>(entries)});
        if (m_history.size() > historyLimit) {
            m_history.erase(m_history.begin());
        }
    }
    return recordOutcome(command, body.change, fingerprint, applied(revision));
}

CommandOutcome StateStore::applyBody(const Command &command, const RegisterInstance &body)
{
    return changeFleet([&](Fleet &next) { return registerInstance(next, body, command.atMs); });
}

CommandOutcome StateStore::applyBody(const Command &command, const MoveInstance &body)
{
    return changeFleet([&](Fleet &next) { return moveInstance(next, body, command.atMs); });
}

CommandOutcome StateStore::applyBody(const Command &command, const SetInstancePhase &body)
{
    return changeFleet([&](Fleet &next) { return setInstancePhase(next, body, command.atMs); });
}

CommandOutcome StateStore::applyBody(const Command &command, const StartWave &body)
{
    const std::string fingerprint = fingerprintOf(body);
    if (const auto earlier = earlierOutcome(body.change, fingerprint)) {
        return *earlier;
    }
    return recordOutcome(command, body.change, fingerprint, changeFleet([&](Fleet &next) {
                             return startWave(next, body, command.atMs);
                         }));
}

CommandOutcome StateStore::applyBody(const Command &command, const ControlWave &body)
{
    const std::string fingerprint = fingerprintOf(body);
    if (const auto earlier = earlierOutcome(body.change, fingerprint)) {
        return *earlier;
    }
    return recordOutcome(command, body.change, fingerprint, changeFleet([&](Fleet &next) {
                             return controlWave(next, body, command.atMs);
                         }));
}

CommandOutcome StateStore::applyBody(const Command &command, const GrantDrain &body)
{
    const std::shared_ptr<const Lists> current = lists();
    return changeFleet([&](Fleet &next) { return grantDrain(next, *current, body, command.atMs); });
}

CommandOutcome StateStore::applyBody(const Command &command, const ReleaseDrain &body)
{
    return changeFleet([&](Fleet &next) { return releaseDrain(next, body, command.atMs); });
}

CommandOutcome StateStore::applyBody(const Command &command, const ClaimRequests &body)
{
    CommandOutcome outcome = applied(0);
    outcome.claims.reserve(body.claims.size());
    for (const RequestClaim &wanted : body.claims) {
        outcome.claims.push_back(claimRequest(command.atMs, wanted));
    }
    return outcome;
}

CommandOutcome StateStore::applyBody(const Command &, const SettleRequests &body)
{
    for (const RequestClaim &settled : body.claims) {
        settleRequest(settled);
    }
    return applied(0);
}

CommandOutcome StateStore::applyBody(const Command &command, const ExpireRecords &)
{
    const std::int64_t oldest = command.atMs - recordRetentionMs;
    {
        const std::lock_guard lock(m_changesMutex);
        std::erase_if(m_changes, [&](const auto &item) { return item.second.atMs < oldest; });
    }
    for (ClaimShard &shard : m_claimShards) {
        const std::lock_guard lock(shard.mutex);
        std::erase_if(shard.claims,
                      [&](const auto &item) { return item.second.claimedAtMs < oldest; });
    }
    return applied(0);
}

ClaimResponse StateStore::claimRequest(std::int64_t atMs, const RequestClaim &wanted)
{
    const std::string claimKey = claimKeyOf(wanted.plan, wanted.key);
    const bool full = claimCount() >= claimLimit;
    ClaimShard &shard = claimShard(claimKey);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.claims.find(claimKey);
    if (found == shard.claims.end() && full) {
        return {ClaimVerdict::Full, wanted};
    }
    if (found != shard.claims.end() && found->second.digest != wanted.digest) {
        return {ClaimVerdict::KeyReused, found->second};
    }
    if (found != shard.claims.end() && found->second.state != ClaimState::NotRun) {
        return {ClaimVerdict::Exists, found->second};
    }
    RequestClaim claim = wanted;
    claim.state = ClaimState::Claimed;
    claim.claimedAtMs = atMs;
    shard.claims[claimKey] = claim;
    return {ClaimVerdict::Granted, std::move(claim)};
}

void StateStore::settleRequest(const RequestClaim &settled)
{
    const std::string claimKey = claimKeyOf(settled.plan, settled.key);
    ClaimShard &shard = claimShard(claimKey);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.claims.find(claimKey);
    // A claim is settled once, and only by the request that holds it. A delayed settlement of an
    // earlier claim of the same key, even from the same process, must not change the outcome of the
    // current claim.
    if (found == shard.claims.end() || found->second.state != ClaimState::Claimed
        || found->second.gateway != settled.gateway
        || found->second.gatewayIncarnation != settled.gatewayIncarnation
        || found->second.requestId != settled.requestId || found->second.digest != settled.digest) {
        return;
    }
    const std::int64_t claimedAtMs = found->second.claimedAtMs;
    found->second = settled;
    found->second.claimedAtMs = claimedAtMs;
}

std::optional<CommandOutcome> StateStore::earlierOutcome(const ChangeId &change,
                                                         const std::string &fingerprint) const
{
    if (change.id.empty()) {
        return invalid("expected a change id, found none");
    }
    const std::lock_guard lock(m_changesMutex);
    const auto found = m_changes.find(change.id);
    if (found == m_changes.end()) {
        return std::nullopt;
    }
    if (found->second.fingerprint != fingerprint) {
        return invalid("change id '" + change.id + "' was used before for another change");
    }
    return found->second.outcome;
}

CommandOutcome StateStore::recordOutcome(const Command &command, const ChangeId &change,
                                         const std::string &fingerprint, CommandOutcome outcome)
{
    const std::lock_guard lock(m_changesMutex);
    m_changes[change.id] = {command.atMs, fingerprint, outcome};
    return outcome;
}

CommandOutcome StateStore::changeFleet(const std::function<CommandOutcome(Fleet &)> &change)
{
    Fleet next = *fleet();
    CommandOutcome outcome = change(next);
    if (outcome.status != CommandStatus::Applied) {
        return outcome;
    }
    const std::lock_guard lock(m_fleetMutex);
    m_fleet = std::make_shared<const Fleet>(std::move(next));
    return outcome;
}

std::string StateStore::encodeSnapshot() const
{
    SnapshotDocument document;
    document.version = recordFormatVersion;
    document.group = m_group;
    document.appliedIndex = appliedIndex();
    document.lists = *lists();
    document.history = history();
    document.fleet = *fleet();
    {
        const std::lock_guard lock(m_changesMutex);
        document.changes = m_changes;
    }
    for (const ClaimShard &shard : m_claimShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &item : shard.claims) {
            document.claims.push_back(item.second);
        }
    }
    // The order of the shards depends on the hash. Sorting makes the snapshots of equal states
    // byte-identical.
    std::sort(document.claims.begin(), document.claims.end(),
              [](const RequestClaim &left, const RequestClaim &right) {
                  return std::tie(left.plan, left.key) < std::tie(right.plan, right.key);
              });
    return packedBytes(document);
}

Result<Done, CodecError> StateStore::restoreSnapshot(const std::string &bytes)
{
    SnapshotDocument document;
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        handle.get().convert(document);
    } catch (const std::exception &exception) {
        return CodecError{std::string("snapshot is damaged: ") + exception.what()};
    }
    if (document.version > recordFormatVersion) {
        return CodecError{"snapshot has format version " + std::to_string(document.version)
                          + ", expected at most " + std::to_string(recordFormatVersion)};
    }
    if (document.group != m_group) {
        return CodecError{"expected a snapshot of group '" + m_group + "', found group '"
                          + document.group + "'"};
    }
    {
        const std::lock_guard lock(m_listsMutex);
        m_lists = std::make_shared<const Lists>(std::move(document.lists));
        m_history = std::move(document.history);
    }
    {
        const std::lock_guard lock(m_fleetMutex);
        m_fleet = std::make_shared<const Fleet>(std::move(document.fleet));
    }
    {
        const std::lock_guard lock(m_changesMutex);
        m_changes = std::move(document.changes);
    }
    for (ClaimShard &shard : m_claimShards) {
        const std::lock_guard lock(shard.mutex);
        shard.claims.clear();
    }
    for (RequestClaim &claim : document.claims) {
        const std::string claimKey = claimKeyOf(claim.plan, claim.key);
        ClaimShard &shard = claimShard(claimKey);
        const std::lock_guard lock(shard.mutex);
        shard.claims[claimKey] = std::move(claim);
    }
    const std::lock_guard lock(m_indexMutex);
    m_appliedIndex = document.appliedIndex;
    return Done{};
}

} // namespace dandelionloom

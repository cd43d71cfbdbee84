#include "Consensus/Raft.h"

#include <algorithm>
#include <stdexcept>

namespace dandelionloom {

namespace {

constexpr std::int64_t peerExpiryIntervalMs = 1000;

} // namespace

std::string formatVoterId(const VoterId &voter)
{
    return voter.name + "/" + voter.storageId;
}

Raft::Raft(RaftOptions options, const HardState &hardState,
           std::shared_ptr<const Snapshot> snapshot, const std::vector<LogEntry> &entries,
           SteadyTimeMs now)
    : m_options(std::move(options)),
      m_directory(m_options.self.name, m_options.voterNames, m_options.peerRetentionMs),
      m_random(m_options.seed), m_term(hardState.term), m_votedFor(hardState.votedFor),
      m_snapshot(std::move(snapshot))
{
    const std::uint64_t base = m_snapshot ? m_snapshot->lastIndex : 0;
    std::uint64_t lastTerm = m_snapshot ? m_snapshot->lastTerm : 0;
    std::vector<LogEntry> usable;
    for (const LogEntry &entry : entries) {
        // Stale entries that a snapshot from the leader superseded may still be on disk. They
        // start at the first index gap or decreasing term.
        if (entry.index != base + usable.size() + 1 || entry.term < lastTerm) {
            break;
        }
        lastTerm = entry.term;
        usable.push_back(entry);
    }
    m_log = RaftLog(base, m_snapshot ? m_snapshot->lastTerm : 0,
                    m_snapshot ? m_snapshot->voters : std::vector<VoterId>{}, usable);
    m_commitIndex = base;
    m_deliveredIndex = base;
    // The instance may have heard a leader just before its restart, so it grants no vote during
    // the first election timeout.
    m_lastLeaderContactAt = now;
    resetElectionDeadline(now);
    m_nextProbe = now;
}

void Raft::tick(SteadyTimeMs now)
{
    if (now >= m_nextPeerExpiry) {
        m_nextPeerExpiry = now + peerExpiryIntervalMs;
        m_directory.forgetExpired(now);
    }
    departureTick(now);
    if (m_role == RaftRole::Leader) {
        leaderTick(now);
        return;
    }
    if (isVoter()) {
        if (now >= m_electionDeadline) {
            startPreVote(now);
        }
        // A voter that was replaced while it was unreachable learns of the change only from a
        // leader, and a leader sends entries only to voters and to learners that have probed it.
        if (m_options.targetVoters > 0 && m_role == RaftRole::PreCandidate && now >= m_nextProbe) {
            probe(now);
        }
        return;
    }
    if (now >= m_nextProbe && (m_leader.name.empty() || !hasRecentLeaderContact(now))) {
        probe(now);
    }
}

void Raft::receive(const RaftMessage &message, SteadyTimeMs now)
{
    if (m_outputTaken) {
        throw std::logic_error("expected synced() or syncFailed() before the next input");
    }
    const bool probe = message.kind == RaftMessageKind::Probe;
    if (message.from == m_options.self || message.from.name.empty()
        || message.to.name != m_options.self.name) {
        return;
    }
    // A message for the storage that this instance had before it lost its disk names its sender,
    // too.
    recordPeers(message, now);
    if (message.to.storageId != m_options.self.storageId
        && !(probe && message.to.storageId.empty())) {
        return;
    }
    switch (message.kind) {
    case RaftMessageKind::Probe:
        return onProbe(message, now);
    case RaftMessageKind::ProbeResponse:
        return onProbeResponse(message, now);
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
        return onVoteRequest(message, now);
    case RaftMessageKind::PreVoteResponse:
    case RaftMessageKind::VoteResponse:
        return onVoteResponse(message, now);
    case RaftMessageKind::Append:
        return onAppend(message, now);
    case RaftMessageKind::AppendResponse:
        return onAppendResponse(message, now);
    case RaftMessageKind::SnapshotChunk:
        return onSnapshotChunk(message, now);
    case RaftMessageKind::SnapshotResponse:
        return onSnapshotResponse(message, now);
    case RaftMessageKind::Departure:
        return onDeparture(message, now);
    case RaftMessageKind::DepartureResponse:
        return onDepartureResponse(message, now);
    }
}

std::optional<LogPosition> Raft::propose(std::string payload)
{
    if (m_role != RaftRole::Leader) {
        return std::nullopt;
    }
    std::vector<std::string> parts = splitCommand(std::move(payload), m_options.maxBatchBytes);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const bool isLast = part + 1 == parts.size();
        appendLocal(isLast ? commandEntryKind : commandPartEntryKind, std::move(parts[part]));
    }
    return LogPosition{m_log.lastIndex(), m_term};
}

void Raft::addProbeTarget(const std::string &name)
{
    m_directory.addConfigured(name);
}

void Raft::addPeerHint(const std::string &name, SteadyTimeMs now)
{
    if (m_directory.recordHint(name, now)) {
        m_nextProbe = std::min(m_nextProbe, now);
    }
}

std::optional<std::uint64_t> Raft::startRead(SteadyTimeMs now)
{
    if (m_role != RaftRole::Leader || !hasCommittedInTerm()) {
        return std::nullopt;
    }
    m_pendingReads.push_back({++m_lastReadId, ++m_heartbeatRound, m_commitIndex});
    sendHeartbeats(now);
    confirmReads();
    return m_lastReadId;
}

void Raft::setSnapshot(std::shared_ptr<const Snapshot> snapshot, std::uint64_t compactTo)
{
    m_log.compact(std::min({compactTo, snapshot->lastIndex, m_deliveredIndex}));
    m_snapshot = std::move(snapshot);
}

RaftOutput Raft::takeOutput()
{
    RaftOutput output;
    if (m_hardStateChanged) {
        output.hardState = HardState{m_term, m_votedFor};
    }
    output.snapshot = m_receivedSnapshot;
    output.entries = m_log.unsynced();
    output.messages = std::move(m_messages);
    m_messages.clear();
    m_outputTaken = true;
    return output;
}

RaftSyncedOutput Raft::synced(SteadyTimeMs now)
{
    m_outputTaken = false;
    m_hardStateChanged = false;
    m_log.synced();
    RaftSyncedOutput released;
    if (m_receivedSnapshot) {
        released.restored = m_receivedSnapshot;
        m_commandParts = {};
        installSnapshot(now);
    }
    if (m_ownVotePending) {
        m_ownVotePending = false;
        if (m_role == RaftRole::Candidate) {
            m_votes.push_back(m_options.self);
            if (isQuorum(m_votes.size())) {
                becomeLeader(now);
            }
        }
    }
    if (m_role == RaftRole::Leader) {
        advanceCommit();
        proposeVoterChange(now);
        confirmReads();
        sendNewEntries(now);
    }
    const std::uint64_t deliverable = std::min(m_commitIndex, m_log.durableIndex());
    for (; m_deliveredIndex < deliverable; ++m_deliveredIndex) {
        if (auto entry = m_commandParts.add(m_log.at(m_deliveredIndex + 1))) {
            released.committed.push_back(std::move(*entry));
        }
    }
    released.messages = std::move(m_messagesAfterSync);
    m_messagesAfterSync.clear();
    released.messages.insert(released.messages.end(), m_messages.begin(), m_messages.end());
    m_messages.clear();
    released.reads = std::move(m_finishedReads);
    m_finishedReads.clear();
    return released;
}

void Raft::syncFailed(SteadyTimeMs now)
{
    m_outputTaken = false;
    m_log.undo();
    m_messagesAfterSync.clear();
    m_receivedSnapshot.reset();
    m_incomingSnapshot.reset();
    m_commitIndex = std::max(m_deliveredIndex, std::min(m_commitIndex, m_log.lastIndex()));
    if (m_role == RaftRole::Candidate || (m_role == RaftRole::Leader && !hasCommittedInTerm())) {
        // A node that cannot persist its vote or the first entry of its term cannot lead. It steps
        // down so that another voter can be elected.
        becomeFollower(m_term, now);
    }
    m_ownVotePending = false;
}

void Raft::resign(SteadyTimeMs now)
{
    if (m_role == RaftRole::Leader) {
        becomeFollower(m_term, now);
    }
}

bool Raft::hasLeader(SteadyTimeMs now) const
{
    return m_role == RaftRole::Leader
            || (!m_leader.name.empty() && now - m_lastLeaderContactAt < m_options.electionMaxMs);
}

bool Raft::isVoter() const
{
    return isVoter(m_options.self);
}

std::vector<std::string> Raft::peerNames() const
{
    std::vector<std::string> names = m_directory.names();
    for (const VoterId &voter : voters()) {
        if (voter.name != m_options.self.name
            && std::find(names.begin(), names.end(), voter.name) == names.end()) {
            names.push_back(voter.name);
        }
    }
    return names;
}

bool Raft::isVoter(const VoterId &id) const
{
    return std::find(voters().begin(), voters().end(), id) != voters().end();
}

bool Raft::isQuorum(std::size_t count) const
{
    return count * 2 > voters().size();
}

std::optional<QuorumContact> Raft::contact(SteadyTimeMs now) const
{
    if (m_role != RaftRole::Leader) {
        return m_contact;
    }
    if (!hasCommittedInTerm()) {
        return std::nullopt;
    }
    const SteadyTimeMs at = quorumContactAt(now);
    if (at == 0) {
        return std::nullopt;
    }
    return QuorumContact{at, m_commitIndex};
}

void Raft::becomeFollower(std::uint64_t term, SteadyTimeMs now)
{
    if (term > m_term) {
        m_term = term;
        m_votedFor.clear();
        m_hardStateChanged = true;
    }
    if (m_role == RaftRole::Leader) {
        failReads();
        m_peers.clear();
        m_departing.clear();
    }
    m_role = RaftRole::Follower;
    m_leader = {};
    m_votes.clear();
    m_ownVotePending = false;
    resetElectionDeadline(now);
}

void Raft::recordLeaderContact(const VoterId &leader, SteadyTimeMs now)
{
    m_leader = leader;
    m_lastLeader = leader;
    m_lastLeaderContactAt = now;
    resetElectionDeadline(now);
}

void Raft::resetElectionDeadline(SteadyTimeMs now)
{
    std::uniform_int_distribution<std::int64_t> timeout(m_options.electionMinMs,
                                                        m_options.electionMaxMs);
    m_electionDeadline = now + timeout(m_random);
    if (m_departure != RaftDeparture::None) {
        // The others come first. If none of them can be elected, this instance still can.
        m_electionDeadline += m_options.electionMaxMs;
    }
}

void Raft::failReads()
{
    for (const PendingRead &read : m_pendingReads) {
        m_finishedReads.push_back({read.id, std::nullopt});
    }
    m_pendingReads.clear();
}

RaftMessage Raft::makeMessage(RaftMessageKind kind, const VoterId &to) const
{
    RaftMessage result;
    result.kind = kind;
    result.from = m_options.self;
    result.to = to;
    result.term = m_term;
    result.commit = m_commitIndex;
    return result;
}

RaftMessage Raft::makeResponse(RaftMessageKind kind, const RaftMessage &request) const
{
    RaftMessage result = makeMessage(kind, request.from);
    result.request = request.request;
    result.round = request.round;
    result.sentAt = request.sentAt;
    return result;
}

} // namespace dandelionloom

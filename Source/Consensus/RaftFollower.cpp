#include <algorithm>

#include "Consensus/Raft.h"

// Follower side of replication: entries and snapshots from the leader.

namespace dandelionloom {

namespace {

/// Whether the entries follow the message's log position without an index gap or a decreasing term,
/// and every voter change can be decoded.
bool isWellFormed(const RaftMessage &message)
{
    std::uint64_t index = message.logIndex;
    std::uint64_t term = message.logTerm;
    for (const LogEntry &entry : message.entries) {
        if (entry.index != index + 1 || entry.term < term || entry.term > message.term
            || (entry.kind == voterEntryKind && !isOk(decodeVoters(entry.payload)))) {
            return false;
        }
        index = entry.index;
        term = entry.term;
    }
    return message.logTerm <= message.term;
}

} // namespace

void Raft::onAppend(const RaftMessage &request, SteadyTimeMs now)
{
    if (request.term < m_term) {
        respondToAppend(request, false, 0, now);
        return;
    }
    if (!isWellFormed(request) || m_receivedSnapshot
        || (request.term == m_term && m_role == RaftRole::Leader)) {
        return;
    }
    if (request.term > m_term || m_role != RaftRole::Follower) {
        becomeFollower(request.term, now);
    }
    recordLeaderContact(request.from, now);
    if (request.contactAgeMs >= 0 && request.peerClock > 0 && request.peerClock <= now) {
        // The leader received this value of the local clock before it sent the message. The
        // computed contact time is therefore never later than the real one, regardless of the
        // network delay.
        const SteadyTimeMs at = request.peerClock - request.contactAgeMs;
        if (!m_contact || at > m_contact->at) {
            m_contact = QuorumContact{at, request.commit};
        }
    }

    // Committed entries are identical on every leader, so they need no comparison.
    const std::uint64_t lastSent = request.logIndex + request.entries.size();
    if (lastSent <= m_commitIndex) {
        respondToAppend(request, true, m_commitIndex, now);
        return;
    }
    std::uint64_t previous = request.logIndex;
    if (previous < m_commitIndex) {
        previous = m_commitIndex;
    } else if (m_log.termAt(previous) != request.logTerm) {
        std::uint64_t retry = std::min(m_log.lastIndex(), previous);
        if (const auto conflict = m_log.termAt(retry); retry == previous && conflict) {
            // Skips all entries of the conflicting term, so that the leader does not have to probe
            // them one by one.
            while (retry > m_commitIndex && m_log.termAt(retry) == conflict) {
                --retry;
            }
        }
        respondToAppend(request, false, retry, now);
        return;
    }
    std::vector<LogEntry> added;
    for (const LogEntry &entry : request.entries) {
        if (entry.index > previous && (!added.empty() || m_log.termAt(entry.index) != entry.term)) {
            added.push_back(entry);
        }
    }
    m_log.replaceFrom(added);
    m_commitIndex = std::max(m_commitIndex, std::min(request.commit, lastSent));
    respondToAppend(request, true, lastSent, now);
}

void Raft::respondToAppend(const RaftMessage &request, bool accepted, std::uint64_t index,
                           SteadyTimeMs now)
{
    RaftMessage reply = makeResponse(RaftMessageKind::AppendResponse, request);
    reply.accepted = accepted;
    reply.logIndex = index;
    reply.peerClock = now;
    m_messagesAfterSync.push_back(std::move(reply));
}

void Raft::onSnapshotChunk(const RaftMessage &request, SteadyTimeMs now)
{
    if (request.term < m_term) {
        respondToAppend(request, false, 0, now);
        return;
    }
    if (m_receivedSnapshot || (request.term == m_term && m_role == RaftRole::Leader)
        || request.offset + request.data.size() > request.totalBytes) {
        return;
    }
    if (request.term > m_term || m_role != RaftRole::Follower) {
        becomeFollower(request.term, now);
    }
    recordLeaderContact(request.from, now);
    RaftMessage reply = makeResponse(RaftMessageKind::SnapshotResponse, request);
    reply.logIndex = request.logIndex;
    reply.peerClock = now;
    if (request.logIndex <= m_commitIndex) {
        reply.accepted = true;
        m_messagesAfterSync.push_back(std::move(reply));
        return;
    }
    const bool sameTransfer = m_incomingSnapshot
            && m_incomingSnapshot->lastIndex == request.logIndex
            && m_incomingSnapshot->lastTerm == request.logTerm
            && m_incomingSnapshotBytes == request.totalBytes;
    if (!sameTransfer) {
        m_incomingSnapshot = std::make_shared<Snapshot>();
        m_incomingSnapshot->lastIndex = request.logIndex;
        m_incomingSnapshot->lastTerm = request.logTerm;
        m_incomingSnapshot->voters = request.voters;
        m_incomingSnapshotBytes = request.totalBytes;
    }
    if (request.offset == m_incomingSnapshot->state.size()) {
        m_incomingSnapshot->state += request.data;
    }
    if (m_incomingSnapshot->state.size() == m_incomingSnapshotBytes) {
        m_receivedSnapshot = std::move(m_incomingSnapshot);
        m_incomingSnapshot.reset();
        reply.accepted = true;
    } else {
        reply.offset = m_incomingSnapshot->state.size();
    }
    m_messagesAfterSync.push_back(std::move(reply));
}

void Raft::installSnapshot(SteadyTimeMs)
{
    const std::shared_ptr<const Snapshot> snapshot = std::move(m_receivedSnapshot);
    m_receivedSnapshot.reset();
    if (m_log.termAt(snapshot->lastIndex) == snapshot->lastTerm) {
        m_log.compact(snapshot->lastIndex);
    } else {
        m_log.reset(snapshot->lastIndex, snapshot->lastTerm, snapshot->voters);
    }
    m_commitIndex = std::max(m_commitIndex, snapshot->lastIndex);
    m_deliveredIndex = std::max(m_deliveredIndex, snapshot->lastIndex);
    m_snapshot = snapshot;
}

} // namespace dandelionloom

#include <algorithm>

#include "Consensus/Raft.h"

// The receiving side of replication: entries and snapshots from the leader.

namespace dandelionloom {

namespace {

/// Whether the entries follow the position the message names without a gap or a falling term.
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
        answerAppend(request, false, 0, now);
        return;
    }
    if (!isWellFormed(request) || m_received
        || (request.term == m_term && m_role == RaftRole::Leader)) {
        return;
    }
    if (request.term > m_term || m_role != RaftRole::Follower) {
        becomeFollower(request.term, now);
    }
    heardLeader(request.from, now);
    if (request.contactAgeMs >= 0 && request.peerClock > 0 && request.peerClock <= now) {
        // The leader had this clock value from here before it sent the message, so the contact
        // is at least as recent as dated by it, however long the message was on its way.
        const SteadyTimeMs at = request.peerClock - request.contactAgeMs;
        if (!m_contact || at > m_contact->at) {
            m_contact = QuorumContact{at, request.commit};
        }
    }

    // Committed entries match any leader's.
    const std::uint64_t lastSent = request.logIndex + request.entries.size();
    if (lastSent <= m_commit) {
        answerAppend(request, true, m_commit, now);
        return;
    }
    std::uint64_t previous = request.logIndex;
    if (previous < m_commit) {
        previous = m_commit;
    } else if (m_log.termAt(previous) != request.logTerm) {
        std::uint64_t retry = std::min(m_log.lastIndex(), previous);
        if (const auto conflict = m_log.termAt(retry); retry == previous && conflict) {
            // Skips the whole term of the conflicting entry.
            while (retry > m_commit && m_log.termAt(retry) == conflict) {
                --retry;
            }
        }
        answerAppend(request, false, retry, now);
        return;
    }
    std::vector<LogEntry> added;
    for (const LogEntry &entry : request.entries) {
        if (entry.index > previous && (!added.empty() || m_log.termAt(entry.index) != entry.term)) {
            added.push_back(entry);
        }
    }
    m_log.replaceFrom(added);
    m_commit = std::max(m_commit, std::min(request.commit, lastSent));
    answerAppend(request, true, lastSent, now);
}

void Raft::answerAppend(const RaftMessage &request, bool accepted, std::uint64_t index,
                        SteadyTimeMs now)
{
    RaftMessage reply = answer(RaftMessageKind::AppendAnswer, request);
    reply.accepted = accepted;
    reply.logIndex = index;
    reply.peerClock = now;
    m_messagesAfterSync.push_back(std::move(reply));
}

void Raft::onSnapshotChunk(const RaftMessage &request, SteadyTimeMs now)
{
    if (request.term < m_term) {
        answerAppend(request, false, 0, now);
        return;
    }
    if (m_received || (request.term == m_term && m_role == RaftRole::Leader)
        || request.offset + request.data.size() > request.totalBytes) {
        return;
    }
    if (request.term > m_term || m_role != RaftRole::Follower) {
        becomeFollower(request.term, now);
    }
    heardLeader(request.from, now);
    RaftMessage reply = answer(RaftMessageKind::SnapshotAnswer, request);
    reply.logIndex = request.logIndex;
    reply.peerClock = now;
    if (request.logIndex <= m_commit) {
        reply.accepted = true;
        m_messagesAfterSync.push_back(std::move(reply));
        return;
    }
    const bool sameTransfer = m_incoming && m_incoming->lastIndex == request.logIndex
            && m_incoming->lastTerm == request.logTerm && m_incomingTotal == request.totalBytes;
    if (!sameTransfer) {
        m_incoming = std::make_shared<Snapshot>();
        m_incoming->lastIndex = request.logIndex;
        m_incoming->lastTerm = request.logTerm;
        m_incoming->voters = request.voters;
        m_incomingTotal = request.totalBytes;
    }
    if (request.offset == m_incoming->state.size()) {
        m_incoming->state += request.data;
    }
    if (m_incoming->state.size() == m_incomingTotal) {
        m_received = std::move(m_incoming);
        m_incoming.reset();
        reply.accepted = true;
    } else {
        reply.offset = m_incoming->state.size();
    }
    m_messagesAfterSync.push_back(std::move(reply));
}

void Raft::installSnapshot(SteadyTimeMs)
{
    const std::shared_ptr<const Snapshot> snapshot = std::move(m_received);
    m_received.reset();
    if (m_log.termAt(snapshot->lastIndex) == snapshot->lastTerm) {
        m_log.compact(snapshot->lastIndex);
    } else {
        m_log.reset(snapshot->lastIndex, snapshot->lastTerm, snapshot->voters);
    }
    m_commit = std::max(m_commit, snapshot->lastIndex);
    m_delivered = std::max(m_delivered, snapshot->lastIndex);
    m_snapshot = snapshot;
}

} // namespace dandelionloom

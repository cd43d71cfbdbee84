#include <algorithm>

#include "Consensus/Raft.h"

// Leader side of replication: append, commit, linearizable reads and check-quorum.

namespace dandelionloom {

template <typename Value>
Value Raft::quorumValue(Value own, Value Peer::*member) const
{
    std::vector<Value> values;
    for (const VoterId &voter : voters()) {
        if (voter == m_options.self) {
            values.push_back(own);
            continue;
        }
        const auto peer = m_peers.find(voter);
        values.push_back(peer == m_peers.end() ? Value{} : peer->second.*member);
    }
    if (values.empty()) {
        return Value{};
    }
    std::sort(values.rbegin(), values.rend());
    return values[values.size() / 2];
}

SteadyTimeMs Raft::quorumContactAt(SteadyTimeMs now) const
{
    return quorumValue(now, &Peer::ackedSentAt);
}

bool Raft::hasCommittedInTerm() const
{
    return m_commitIndex >= m_termStartIndex;
}

void Raft::leaderTick(SteadyTimeMs now)
{
    // Check-quorum: a leader that has lost contact with a majority steps down so that its clients
    // fail over. This check comes first, so that a process that was suspended steps down before it
    // sends anything.
    if (now - quorumValue(now, &Peer::lastContactAt) >= m_options.electionMaxMs) {
        becomeFollower(m_term, now);
        return;
    }
    removeUnresponsiveLearners(now);
    forgetDepartures(now);
    seekPeers(now);
    if (now >= m_nextHeartbeat) {
        sendHeartbeats(now);
    }
}

void Raft::sendHeartbeats(SteadyTimeMs now)
{
    m_nextHeartbeat = now + m_options.heartbeatMs;
    for (auto &[id, peer] : m_peers) {
        sendToPeer(id, peer, now, true);
    }
}

void Raft::sendNewEntries(SteadyTimeMs now)
{
    for (auto &[id, peer] : m_peers) {
        sendToPeer(id, peer, now, false);
    }
}

void Raft::sendToPeer(const VoterId &id, Peer &peer, SteadyTimeMs now, bool heartbeat)
{
    // A lost request is resent after half of the minimum election timeout.
    const bool waiting =
            peer.inFlight != 0 && now - peer.inFlightSince < m_options.electionMinMs / 2;
    const bool behind = !waiting && peer.matchIndex < m_log.durableIndex();
    if (behind) {
        // Entries that were sent but never acknowledged are sent again.
        peer.nextIndex = std::min(peer.nextIndex, m_log.durableIndex());
    }
    if (behind && (peer.transfer || !m_log.termAt(peer.nextIndex - 1))) {
        sendSnapshotChunk(id, peer, now);
        return;
    }
    if (!behind && !heartbeat && (waiting || peer.sentCommit >= m_commitIndex)) {
        return;
    }
    RaftMessage request = makeMessage(RaftMessageKind::Append, id);
    request.request = nextRequestId();
    request.round = m_heartbeatRound;
    request.sentAt = now;
    request.peerClock = peer.peerClock;
    const SteadyTimeMs contactAt = hasCommittedInTerm() ? quorumContactAt(now) : 0;
    request.contactAgeMs = contactAt > 0 ? now - contactAt : -1;
    // A heartbeat carries the peer's match index, or 0 if the entry there was compacted.
    request.logIndex = m_log.termAt(peer.matchIndex) ? peer.matchIndex : 0;
    if (behind) {
        request.logIndex = peer.nextIndex - 1;
        request.entries =
                m_log.slice(peer.nextIndex, m_log.durableIndex(), m_options.maxBatchBytes);
        peer.inFlight = request.request;
        peer.inFlightSince = now;
    }
    request.logTerm = m_log.termAt(request.logIndex).value_or(0);
    if (heartbeat && m_options.targetVoters > 0) {
        request.peers = sharedPeerNames();
    }
    peer.sentCommit = m_commitIndex;
    m_messages.push_back(std::move(request));
}

void Raft::sendSnapshotChunk(const VoterId &id, Peer &peer, SteadyTimeMs now)
{
    if (!peer.transfer) {
        peer.transfer = m_snapshot;
        peer.transferOffset = 0;
    }
    if (!peer.transfer) {
        return;
    }
    const Snapshot &snapshot = *peer.transfer;
    RaftMessage request = makeMessage(RaftMessageKind::SnapshotChunk, id);
    request.request = nextRequestId();
    request.round = m_heartbeatRound;
    request.sentAt = now;
    request.logIndex = snapshot.lastIndex;
    request.logTerm = snapshot.lastTerm;
    request.voters = snapshot.voters;
    request.offset = std::min<std::uint64_t>(peer.transferOffset, snapshot.state.size());
    request.totalBytes = snapshot.state.size();
    request.data = snapshot.state.substr(request.offset, m_options.maxBatchBytes);
    peer.inFlight = request.request;
    peer.inFlightSince = now;
    m_messages.push_back(std::move(request));
}

Raft::Peer *Raft::recordPeerContact(const RaftMessage &reply, SteadyTimeMs now)
{
    if (reply.term > m_term) {
        becomeFollower(reply.term, now);
        return nullptr;
    }
    const auto found = m_peers.find(reply.from);
    if (m_role != RaftRole::Leader || reply.term < m_term || found == m_peers.end()
        || reply.sentAt > now || reply.round > m_heartbeatRound) {
        return nullptr;
    }
    Peer &peer = found->second;
    peer.lastContactAt = now;
    if (reply.sentAt >= peer.ackedSentAt) {
        peer.ackedSentAt = reply.sentAt;
        peer.peerClock = reply.peerClock;
    }
    peer.ackedRound = std::max(peer.ackedRound, reply.round);
    return &peer;
}

void Raft::onAppendResponse(const RaftMessage &reply, SteadyTimeMs now)
{
    Peer *peer = recordPeerContact(reply, now);
    if (peer == nullptr || (reply.accepted && reply.logIndex > m_log.durableIndex())) {
        return;
    }
    const bool expected = reply.request != 0 && reply.request == peer->inFlight;
    if (expected) {
        peer->inFlight = 0;
    }
    if (reply.accepted) {
        peer->matchIndex = std::max(peer->matchIndex, reply.logIndex);
        peer->nextIndex = std::max(peer->nextIndex, peer->matchIndex + 1);
        return;
    }
    if (expected) {
        const std::uint64_t retry = std::min(reply.logIndex + 1, peer->nextIndex - 1);
        peer->nextIndex = std::max(peer->matchIndex + 1, retry);
    }
}

void Raft::onSnapshotResponse(const RaftMessage &reply, SteadyTimeMs now)
{
    Peer *peer = recordPeerContact(reply, now);
    if (peer == nullptr || reply.logIndex > m_log.durableIndex()) {
        return;
    }
    const bool expected = reply.request != 0 && reply.request == peer->inFlight;
    if (expected) {
        peer->inFlight = 0;
    }
    if (reply.accepted) {
        peer->matchIndex = std::max(peer->matchIndex, reply.logIndex);
        peer->nextIndex = std::max(peer->nextIndex, peer->matchIndex + 1);
        peer->transfer.reset();
    } else if (expected && peer->transfer) {
        peer->transferOffset = reply.offset;
    }
}

void Raft::advanceCommit()
{
    const std::uint64_t index = quorumValue(m_log.durableIndex(), &Peer::matchIndex);
    // Only entries of the current term are committed by counting replicas; earlier entries are
    // committed with them (Raft, section 5.4.2).
    if (index > m_commitIndex && m_log.termAt(index) == m_term) {
        m_commitIndex = index;
    }
}

void Raft::confirmReads()
{
    const std::uint64_t round = quorumValue(m_heartbeatRound, &Peer::ackedRound);
    while (!m_pendingReads.empty() && m_pendingReads.front().round <= round) {
        m_finishedReads.push_back({m_pendingReads.front().id, m_pendingReads.front().index});
        m_pendingReads.pop_front();
    }
}

void Raft::appendLocal(std::uint32_t kind, std::string payload)
{
    m_log.replaceFrom({LogEntry{m_log.lastIndex() + 1, m_term, kind, std::move(payload)}});
}

} // namespace dandelionloom

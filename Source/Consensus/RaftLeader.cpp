#include <algorithm>

#include "Consensus/Raft.h"

// The leader's side: replication, commit, reads and check-quorum.

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
    return quorumValue(now, &Peer::answeredSentAt);
}

bool Raft::committedInTerm() const
{
    return m_commit >= m_termStartIndex;
}

void Raft::leaderTick(SteadyTimeMs now)
{
    // Check-quorum: a leader that a majority no longer hears must not hold on to its clients. A
    // process that was frozen finds its last answers too old here before it does anything else.
    if (now - quorumValue(now, &Peer::heardAt) >= m_options.electionMaxMs) {
        becomeFollower(m_term, now);
        return;
    }
    dropSilentLearners(now);
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
    // A lost request is repeated after half of the shortest election timeout.
    const bool waiting =
            peer.inFlight != 0 && now - peer.inFlightSince < m_options.electionMinMs / 2;
    const bool behind = !waiting && peer.match < m_log.durableIndex();
    if (behind) {
        // Also when all was sent once: what is not known to match is sent again.
        peer.next = std::min(peer.next, m_log.durableIndex());
    }
    if (behind && (peer.transfer || !m_log.termAt(peer.next - 1))) {
        sendChunk(id, peer, now);
        return;
    }
    if (!behind && !heartbeat && (waiting || peer.sentCommit >= m_commit)) {
        return;
    }
    RaftMessage request = message(RaftMessageKind::Append, id);
    request.request = nextRequest();
    request.round = m_round;
    request.sentAt = now;
    request.peerClock = peer.peerClock;
    const SteadyTimeMs contactAt = committedInTerm() ? quorumContactAt(now) : 0;
    request.contactAgeMs = contactAt > 0 ? now - contactAt : -1;
    // A heartbeat names an index that is known to match, or none if it was compacted.
    request.logIndex = m_log.termAt(peer.match) ? peer.match : 0;
    if (behind) {
        request.logIndex = peer.next - 1;
        request.entries = m_log.slice(peer.next, m_log.durableIndex(), m_options.maxBatchBytes);
        peer.inFlight = request.request;
        peer.inFlightSince = now;
    }
    request.logTerm = m_log.termAt(request.logIndex).value_or(0);
    peer.sentCommit = m_commit;
    m_messages.push_back(std::move(request));
}

void Raft::sendChunk(const VoterId &id, Peer &peer, SteadyTimeMs now)
{
    if (!peer.transfer) {
        peer.transfer = m_snapshot;
        peer.transferOffset = 0;
    }
    if (!peer.transfer) {
        return;
    }
    const Snapshot &snapshot = *peer.transfer;
    RaftMessage request = message(RaftMessageKind::SnapshotChunk, id);
    request.request = nextRequest();
    request.round = m_round;
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

Raft::Peer *Raft::heardPeer(const RaftMessage &reply, SteadyTimeMs now)
{
    if (reply.term > m_term) {
        becomeFollower(reply.term, now);
        return nullptr;
    }
    const auto found = m_peers.find(reply.from);
    if (m_role != RaftRole::Leader || reply.term < m_term || found == m_peers.end()
        || reply.sentAt > now || reply.round > m_round) {
        return nullptr;
    }
    Peer &peer = found->second;
    peer.heardAt = now;
    if (reply.sentAt >= peer.answeredSentAt) {
        peer.answeredSentAt = reply.sentAt;
        peer.peerClock = reply.peerClock;
    }
    peer.answeredRound = std::max(peer.answeredRound, reply.round);
    return &peer;
}

void Raft::onAppendAnswer(const RaftMessage &reply, SteadyTimeMs now)
{
    Peer *peer = heardPeer(reply, now);
    if (peer == nullptr || (reply.accepted && reply.logIndex > m_log.durableIndex())) {
        return;
    }
    const bool awaited = reply.request != 0 && reply.request == peer->inFlight;
    if (awaited) {
        peer->inFlight = 0;
    }
    if (reply.accepted) {
        peer->match = std::max(peer->match, reply.logIndex);
        peer->next = std::max(peer->next, peer->match + 1);
        return;
    }
    if (awaited) {
        const std::uint64_t retry = std::min(reply.logIndex + 1, peer->next - 1);
        peer->next = std::max(peer->match + 1, retry);
    }
}

void Raft::onSnapshotAnswer(const RaftMessage &reply, SteadyTimeMs now)
{
    Peer *peer = heardPeer(reply, now);
    if (peer == nullptr || reply.logIndex > m_log.durableIndex()) {
        return;
    }
    const bool awaited = reply.request != 0 && reply.request == peer->inFlight;
    if (awaited) {
        peer->inFlight = 0;
    }
    if (reply.accepted) {
        peer->match = std::max(peer->match, reply.logIndex);
        peer->next = std::max(peer->next, peer->match + 1);
        peer->transfer.reset();
    } else if (awaited && peer->transfer) {
        peer->transferOffset = reply.offset;
    }
}

void Raft::advanceCommit()
{
    const std::uint64_t index = quorumValue(m_log.durableIndex(), &Peer::match);
    // Only entries of the own term are committed by counting; they commit all before them.
    if (index > m_commit && m_log.termAt(index) == m_term) {
        m_commit = index;
    }
}

void Raft::confirmReads()
{
    const std::uint64_t round = quorumValue(m_round, &Peer::answeredRound);
    while (!m_pendingReads.empty() && m_pendingReads.front().round <= round) {
        m_finishedReads.push_back({m_pendingReads.front().id, m_pendingReads.front().index});
        m_pendingReads.pop_front();
    }
}

void Raft::appendOwn(std::uint32_t kind, std::string payload)
{
    m_log.replaceFrom({LogEntry{m_log.lastIndex() + 1, m_term, kind, std::move(payload)}});
}

} // namespace dandelionloom

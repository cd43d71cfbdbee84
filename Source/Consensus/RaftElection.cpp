#include <algorithm>

#include "Consensus/Raft.h"

// Elections: pre-vote, vote, and the transition to leader.

namespace dandelionloom {

void Raft::startPreVote(SteadyTimeMs now)
{
    m_role = RaftRole::PreCandidate;
    m_leader = {};
    m_votes = {m_options.self};
    resetElectionDeadline(now);
    if (isQuorum(m_votes.size())) {
        startElection(now);
        return;
    }
    for (const VoterId &voter : voters()) {
        if (voter == m_options.self) {
            continue;
        }
        RaftMessage request = makeMessage(RaftMessageKind::PreVote, voter);
        request.request = nextRequestId();
        request.term = m_term + 1;
        request.logIndex = m_log.lastIndex();
        request.logTerm = m_log.lastTerm();
        m_messages.push_back(std::move(request));
    }
}

void Raft::startElection(SteadyTimeMs now)
{
    m_role = RaftRole::Candidate;
    m_leader = {};
    ++m_term;
    m_votedFor = formatVoterId(m_options.self);
    m_hardStateChanged = true;
    m_votes.clear();
    m_ownVotePending = true;
    resetElectionDeadline(now);
    for (const VoterId &voter : voters()) {
        if (voter == m_options.self) {
            continue;
        }
        RaftMessage request = makeMessage(RaftMessageKind::Vote, voter);
        request.request = nextRequestId();
        request.logIndex = m_log.lastIndex();
        request.logTerm = m_log.lastTerm();
        m_messagesAfterSync.push_back(std::move(request));
    }
}

bool Raft::hasRecentLeaderContact(SteadyTimeMs now) const
{
    return now - m_lastLeaderContactAt < m_options.electionMinMs;
}

bool Raft::isUpToDate(const RaftMessage &message) const
{
    return message.logTerm > m_log.lastTerm()
            || (message.logTerm == m_log.lastTerm() && message.logIndex >= m_log.lastIndex());
}

void Raft::onVoteRequest(const RaftMessage &request, SteadyTimeMs now)
{
    const bool preVote = request.kind == RaftMessageKind::PreVote;
    // A voter that has recently heard from its leader ignores vote requests. Otherwise a candidate
    // that can send but not receive would depose a working leader.
    // A voter that has learnt the present term from an answer may have heard the leader of an
    // earlier term since, whose lease lasts for as long as this contact is recent.
    if (m_role == RaftRole::Leader || hasRecentLeaderContact(now)) {
        if (request.term > m_term || (!preVote && request.term == m_term)) {
            return;
        }
    }
    if (!preVote && request.term > m_term) {
        becomeFollower(request.term, now);
    }
    RaftMessage reply = makeResponse(
            preVote ? RaftMessageKind::PreVoteResponse : RaftMessageKind::VoteResponse, request);
    if (preVote) {
        reply.accepted = request.term > m_term && isUpToDate(request);
        // A granted pre-vote returns the requested term, a rejected one the voter's own term.
        reply.term = reply.accepted ? request.term : m_term;
        m_messagesAfterSync.push_back(std::move(reply));
        return;
    }
    const std::string candidate = formatVoterId(request.from);
    reply.accepted = request.term == m_term && (m_votedFor.empty() || m_votedFor == candidate)
            && m_leader.name.empty() && isUpToDate(request);
    if (reply.accepted) {
        if (m_votedFor != candidate) {
            m_votedFor = candidate;
            m_hardStateChanged = true;
        }
        resetElectionDeadline(now);
    }
    m_messagesAfterSync.push_back(std::move(reply));
}

void Raft::onVoteResponse(const RaftMessage &reply, SteadyTimeMs now)
{
    const bool preVote = reply.kind == RaftMessageKind::PreVoteResponse;
    if (!reply.accepted) {
        if (reply.term > m_term) {
            becomeFollower(reply.term, now);
        }
        return;
    }
    const bool expected = preVote ? m_role == RaftRole::PreCandidate && reply.term == m_term + 1
                                  : m_role == RaftRole::Candidate && reply.term == m_term;
    if (!expected || !isVoter(reply.from)
        || std::find(m_votes.begin(), m_votes.end(), reply.from) != m_votes.end()) {
        return;
    }
    m_votes.push_back(reply.from);
    if (!isQuorum(m_votes.size())) {
        return;
    }
    if (preVote) {
        startElection(now);
    } else if (!m_ownVotePending) {
        becomeLeader(now);
    }
}

void Raft::becomeLeader(SteadyTimeMs now)
{
    m_role = RaftRole::Leader;
    m_leader = m_options.self;
    m_peers.clear();
    m_departing.clear();
    for (const VoterId &voter : voters()) {
        if (voter == m_options.self) {
            continue;
        }
        Peer peer;
        peer.nextIndex = m_log.lastIndex() + 1;
        // The time until an unresponsive voter is replaced counts from its last sign of life. For
        // the leader before this one that is its last message.
        peer.lastContactAt = voter == m_lastLeader ? m_lastLeaderContactAt : now;
        m_peers.emplace(voter, peer);
    }
    m_nextHeartbeat = now;
    m_leaderSince = now;
    // Committing this no-op entry of the new term also commits the entries of earlier terms.
    appendLocal(commandEntryKind, {});
    m_termStartIndex = m_log.lastIndex();
    sendHeartbeats(now);
}

} // namespace dandelionloom

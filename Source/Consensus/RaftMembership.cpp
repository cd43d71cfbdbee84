#include <algorithm>

#include "Consensus/Raft.h"

// Cluster bootstrap, and admission and removal of voters.

namespace dandelionloom {

namespace {

constexpr std::int64_t probeIntervalMs = 300;

/// A running learner probes again or responds to the leader long before this.
constexpr std::int64_t learnerTimeoutMs = 10000;

/// Entries that a learner may lack when it becomes a voter. One batch delivers them.
constexpr std::uint64_t maxAdmissionLag = 64;

} // namespace

void Raft::probe(SteadyTimeMs now)
{
    m_nextProbe = now + probeIntervalMs;
    if (m_departure != RaftDeparture::None) {
        return;
    }
    bootstrapCluster(now);
    for (const std::string &name : peerNames()) {
        sendProbe(name);
    }
}

void Raft::sendProbe(const std::string &name)
{
    RaftMessage request = makeMessage(RaftMessageKind::Probe, {name, {}});
    request.request = nextRequestId();
    request.logIndex = m_log.durableIndex();
    m_messages.push_back(std::move(request));
}

void Raft::seekPeers(SteadyTimeMs now)
{
    if (m_options.targetVoters == 0 || now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + probeIntervalMs;
    for (const std::string &name : peerNames()) {
        if (!hasContact(name, now)) {
            sendProbe(name);
        }
    }
}

bool Raft::hasContact(const std::string &name, SteadyTimeMs now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return item.first.name == name && now - item.second.lastContactAt < m_options.electionMaxMs;
    });
}

void Raft::recordPeers(const RaftMessage &message, SteadyTimeMs now)
{
    if (m_options.targetVoters == 0) {
        return;
    }
    bool isNew = m_directory.recordContact(message.from.name, now);
    for (const std::string &name : message.peers) {
        isNew = m_directory.recordHint(name, now) || isNew;
    }
    if (isNew) {
        // An instance without a leader asks the new ones at once.
        m_nextProbe = std::min(m_nextProbe, now);
    }
}

std::vector<std::string> Raft::sharedPeerNames() const
{
    std::vector<std::string> names = m_directory.contactedNames();
    for (const VoterId &voter : voters()) {
        names.push_back(voter.name);
    }
    return names;
}

void Raft::onProbe(const RaftMessage &request, SteadyTimeMs now)
{
    RaftMessage reply = makeResponse(RaftMessageKind::ProbeResponse, request);
    reply.accepted = !voters().empty();
    if (m_options.targetVoters > 0) {
        reply.peers = sharedPeerNames();
    }
    m_messagesAfterSync.push_back(std::move(reply));
    if (m_role != RaftRole::Leader || !mayBecomeVoter(request.from.name)
        || request.from.name == m_options.self.name || isVoter(request.from)) {
        return;
    }
    std::erase_if(m_peers, [&](const auto &item) {
        return item.first.name == request.from.name && item.first != request.from
                && !isVoter(item.first);
    });
    // A process that asks for admission has started again.
    m_departing.erase(request.from);
    const auto [learner, added] = m_peers.try_emplace(request.from);
    learner->second.lastContactAt = now;
    if (added) {
        learner->second.nextIndex = std::min(request.logIndex, m_log.durableIndex()) + 1;
        sendToPeer(request.from, learner->second, now, true);
    }
}

bool Raft::mayBecomeVoter(const std::string &name) const
{
    return m_options.targetVoters > 0
            || std::find(m_options.voterNames.begin(), m_options.voterNames.end(), name)
            != m_options.voterNames.end();
}

void Raft::onProbeResponse(const RaftMessage &reply, SteadyTimeMs now)
{
    m_probeResults[reply.from.name] = {reply.from, reply.term, reply.accepted};
    bootstrapCluster(now);
}

void Raft::bootstrapCluster(SteadyTimeMs)
{
    const std::vector<std::string> &names = m_options.voterNames;
    // Only one instance may bootstrap, and only while no other knows a voter set. If it loses its
    // disk later, it finds another instance with a voter set, because each commit needs a quorum.
    if (!m_options.mayBootstrap || !voters().empty() || m_log.lastIndex() != 0 || names.empty()
        || *std::min_element(names.begin(), names.end()) != m_options.self.name) {
        return;
    }
    std::vector<VoterId> initialVoters{m_options.self};
    std::uint64_t term = m_term;
    for (const std::string &name : names) {
        if (name == m_options.self.name) {
            continue;
        }
        const auto result = m_probeResults.find(name);
        if (result == m_probeResults.end() || result->second.knowsVoters) {
            return;
        }
        initialVoters.push_back(result->second.id);
        term = std::max(term, result->second.term);
    }
    // The term is above all known terms, so that delayed messages from before a disk loss can't
    // carry it.
    m_term = term + 1;
    m_votedFor = formatVoterId(m_options.self);
    m_hardStateChanged = true;
    std::sort(initialVoters.begin(), initialVoters.end());
    appendLocal(voterEntryKind, encodeVoters(initialVoters));
}

void Raft::proposeVoterChange(SteadyTimeMs now)
{
    // Only one change at a time, and none before an entry of the current term is committed.
    // Otherwise the voter sets of two leaders could have disjoint quorums.
    if (!hasCommittedInTerm() || m_log.votersIndex() > m_commitIndex) {
        return;
    }
    if (removeExcessVoter(now) || addSuccessor(now)) {
        return;
    }
    for (const auto &[id, peer] : m_peers) {
        if (!mayVote(id, peer, now)) {
            continue;
        }
        std::vector<VoterId> next = voters();
        const auto old =
                std::find_if(next.begin(), next.end(),
                             [&name = id.name](const auto &voter) { return voter.name == name; });
        if (old == next.end()) {
            if (m_options.targetVoters > 0 && next.size() >= m_options.targetVoters) {
                const std::optional<VoterId> unresponsive = unresponsiveVoter(now);
                if (!unresponsive) {
                    continue;
                }
                std::erase(next, *unresponsive);
            } else {
                next.push_back(id);
                std::sort(next.begin(), next.end());
            }
        } else {
            // A voter with the same name and another storage id is removed first, and the new id is
            // added by a second change, so that the quorums of each step overlap. A voter that
            // still responds is not removed.
            const auto oldPeer = m_peers.find(*old);
            if (oldPeer != m_peers.end()
                && now - oldPeer->second.lastContactAt < m_options.electionMaxMs) {
                continue;
            }
            next.erase(old);
        }
        proposeVoters(std::move(next));
        return;
    }
}

bool Raft::mayVote(const VoterId &id, const Peer &peer, SteadyTimeMs now) const
{
    return !isVoter(id) && !isDeparting(id)
            && peer.matchIndex + maxAdmissionLag >= m_log.durableIndex() && peer.matchIndex != 0
            && now - peer.lastContactAt < m_options.electionMinMs;
}

void Raft::proposeVoters(std::vector<VoterId> next)
{
    std::sort(next.begin(), next.end());
    appendLocal(voterEntryKind, encodeVoters(next));
}

bool Raft::removeExcessVoter(SteadyTimeMs now)
{
    if (!isExcessive()) {
        return false;
    }
    std::optional<VoterId> removed;
    for (const VoterId &voter : voters()) {
        if (isDeparting(voter) && voter != m_options.self) {
            removed = voter;
        }
    }
    if (!removed && isDeparting(m_options.self)) {
        // The next leader removes this voter, as it takes part in the election until then.
        becomeFollower(m_term, now);
        return true;
    }
    if (!removed) {
        removed = unresponsiveVoter(now);
    }
    if (!removed) {
        if (now - m_leaderSince < m_options.unresponsiveVoterTimeoutMs) {
            // The departing voter may not have found this leader yet.
            return true;
        }
        // The departure was called off. Four voters bear no more losses than three.
        const auto other = std::find_if(voters().rbegin(), voters().rend(),
                                        [&](const auto &voter) { return voter != m_options.self; });
        removed = *other;
    }
    std::vector<VoterId> next = voters();
    std::erase(next, *removed);
    proposeVoters(std::move(next));
    return true;
}

bool Raft::addSuccessor(SteadyTimeMs now)
{
    const bool departs = std::any_of(voters().begin(), voters().end(),
                                     [&](const auto &voter) { return isDeparting(voter); });
    if (!departs || voters().size() < m_options.targetVoters) {
        return false;
    }
    for (const auto &[id, peer] : m_peers) {
        const bool nameVotes =
                std::any_of(voters().begin(), voters().end(),
                            [&name = id.name](const auto &voter) { return voter.name == name; });
        if (mayVote(id, peer, now) && !nameVotes) {
            std::vector<VoterId> next = voters();
            next.push_back(id);
            proposeVoters(std::move(next));
            return true;
        }
    }
    return false;
}

std::optional<VoterId> Raft::unresponsiveVoter(SteadyTimeMs now) const
{
    for (const VoterId &voter : voters()) {
        const auto peer = m_peers.find(voter);
        if (voter != m_options.self && peer != m_peers.end()
            && now - peer->second.lastContactAt >= m_options.unresponsiveVoterTimeoutMs) {
            return voter;
        }
    }
    return std::nullopt;
}

void Raft::removeUnresponsiveLearners(SteadyTimeMs now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return !isVoter(item.first) && now - item.second.lastContactAt >= learnerTimeoutMs;
    });
}

} // namespace dandelionloom

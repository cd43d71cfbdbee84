#include <algorithm>

#include "Consensus/Raft.h"

// Founding a cluster, and admission of voters whose folder is new.

namespace dandelionloom {

namespace {

constexpr std::int64_t probeIntervalMs = 300;

/// An instance that waits for its admission probes again long before this.
constexpr std::int64_t learnerTimeoutMs = 10000;

/// Entries that an instance may lack when it is admitted. It gets them within one batch.
constexpr std::uint64_t admissionLag = 64;

} // namespace

void Raft::probe(SteadyTimeMs now)
{
    m_nextProbe = now + probeIntervalMs;
    foundCluster(now);
    std::vector<std::string> targets = m_options.voterNames;
    targets.insert(targets.end(), m_probeTargets.begin(), m_probeTargets.end());
    for (const std::string &name : targets) {
        if (name == m_options.self.name) {
            continue;
        }
        RaftMessage request = message(RaftMessageKind::Probe, {name, {}});
        request.request = nextRequest();
        request.logIndex = m_log.durableIndex();
        m_messages.push_back(std::move(request));
    }
}

void Raft::onProbe(const RaftMessage &request, SteadyTimeMs now)
{
    RaftMessage reply = answer(RaftMessageKind::ProbeAnswer, request);
    reply.accepted = !voters().empty();
    m_messagesAfterSync.push_back(std::move(reply));
    if (m_role != RaftRole::Leader || !mayBecomeVoter(request.from.name)
        || request.from.name == m_options.self.name || isVoter(request.from)) {
        return;
    }
    std::erase_if(m_peers, [&](const auto &item) {
        return item.first.name == request.from.name && item.first != request.from
                && !isVoter(item.first);
    });
    const auto [learner, added] = m_peers.try_emplace(request.from);
    learner->second.heardAt = now;
    if (added) {
        learner->second.next = std::min(request.logIndex, m_log.durableIndex()) + 1;
        sendToPeer(request.from, learner->second, now, true);
    }
}

bool Raft::mayBecomeVoter(const std::string &name) const
{
    return m_options.targetVoters > 0
            || std::find(m_options.voterNames.begin(), m_options.voterNames.end(), name)
            != m_options.voterNames.end();
}

void Raft::onProbeAnswer(const RaftMessage &reply, SteadyTimeMs now)
{
    m_probeResults[reply.from.name] = {reply.from, reply.term, reply.accepted};
    foundCluster(now);
}

void Raft::foundCluster(SteadyTimeMs)
{
    const std::vector<std::string> &names = m_options.voterNames;
    // Only one name may found, and only while all others know no voters. A founder that lost its
    // disk later finds another that does, because a commit needs one.
    if (!m_options.mayFound || !voters().empty() || m_log.lastIndex() != 0 || names.empty()
        || *std::min_element(names.begin(), names.end()) != m_options.self.name) {
        return;
    }
    std::vector<VoterId> founders{m_options.self};
    std::uint64_t term = m_term;
    for (const std::string &name : names) {
        if (name == m_options.self.name) {
            continue;
        }
        const auto result = m_probeResults.find(name);
        if (result == m_probeResults.end() || result->second.knowsVoters) {
            return;
        }
        founders.push_back(result->second.id);
        term = std::max(term, result->second.term);
    }
    // A term above all seen: a late message of a founder that lost its disk can't have it.
    m_term = term + 1;
    m_votedFor = voteName(m_options.self);
    m_hardStateChanged = true;
    std::sort(founders.begin(), founders.end());
    appendOwn(voterEntryKind, encodeVoters(founders));
}

void Raft::changeVoters(SteadyTimeMs now)
{
    // One change at a time, and none before an entry of the own term is committed: else two
    // leaders' changes could have quorums without a common voter.
    if (!committedInTerm() || m_log.votersIndex() > m_commit) {
        return;
    }
    for (const auto &[id, peer] : m_peers) {
        if (isVoter(id) || peer.match + admissionLag < m_log.durableIndex() || peer.match == 0
            || now - peer.heardAt >= m_options.electionMinMs) {
            continue;
        }
        std::vector<VoterId> next = voters();
        const auto old =
                std::find_if(next.begin(), next.end(),
                             [&name = id.name](const auto &voter) { return voter.name == name; });
        if (old == next.end()) {
            if (m_options.targetVoters > 0 && next.size() >= m_options.targetVoters) {
                const std::optional<VoterId> silent = silentVoter(now);
                if (!silent) {
                    continue;
                }
                std::erase(next, *silent);
            } else {
                next.push_back(id);
                std::sort(next.begin(), next.end());
            }
        } else {
            // The old identity is removed first and the new one added by a second change, so
            // that the quorums of each step overlap. While the old one answers it stays.
            const auto oldPeer = m_peers.find(*old);
            if (oldPeer != m_peers.end()
                && now - oldPeer->second.heardAt < m_options.electionMaxMs) {
                continue;
            }
            next.erase(old);
        }
        appendOwn(voterEntryKind, encodeVoters(next));
        return;
    }
}

std::optional<VoterId> Raft::silentVoter(SteadyTimeMs now) const
{
    for (const VoterId &voter : voters()) {
        const auto peer = m_peers.find(voter);
        if (voter != m_options.self && peer != m_peers.end()
            && now - peer->second.heardAt >= m_options.voterReplaceMs) {
            return voter;
        }
    }
    return std::nullopt;
}

void Raft::dropSilentLearners(SteadyTimeMs now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return !isVoter(item.first) && now - item.second.heardAt >= learnerTimeoutMs;
    });
}

} // namespace dandelionloom

#include <algorithm>

#include "Consensus/Raft.h"

// Departure of an instance that is about to stop: its vote passes to another instance first.

namespace dandelionloom {

namespace {

/// Several requests fit into the time that a stopping process has for its departure.
constexpr std::int64_t departureIntervalMs = 150;

/// A departing instance that is up repeats its request long before this. One that came back asks
/// for admission.
constexpr std::int64_t departureTimeoutMs = 10000;

} // namespace

void Raft::depart(SteadyTimeMs now)
{
    if (m_departure == RaftDeparture::None) {
        m_departure = RaftDeparture::Requested;
        m_nextDepartureRequest = now;
    }
}

void Raft::departureTick(SteadyTimeMs now)
{
    if (m_departure != RaftDeparture::Requested) {
        return;
    }
    if (m_role == RaftRole::Leader) {
        m_departing[m_options.self] = now;
        if (!isExcessive() && !hasSuccessor(m_options.self, now)) {
            m_departure = RaftDeparture::NoSuccessor;
        }
        return;
    }
    if (!isVoter() && m_log.votersIndex() <= m_commitIndex && !hasLeader(now)) {
        m_departure = RaftDeparture::Released;
        return;
    }
    if (now < m_nextDepartureRequest) {
        return;
    }
    m_nextDepartureRequest = now + departureIntervalMs;
    // Without a leader any voter may have become it.
    const std::vector<VoterId> targets = hasLeader(now) ? std::vector{m_leader} : voters();
    for (const VoterId &target : targets) {
        if (target != m_options.self) {
            RaftMessage request = makeMessage(RaftMessageKind::Departure, target);
            request.request = nextRequestId();
            m_messages.push_back(std::move(request));
        }
    }
}

void Raft::onDeparture(const RaftMessage &request, SteadyTimeMs now)
{
    if (m_role != RaftRole::Leader) {
        return;
    }
    m_departing[request.from] = now;
    RaftMessage reply = makeResponse(RaftMessageKind::DepartureResponse, request);
    reply.accepted = !isVoter(request.from) || isExcessive() || hasSuccessor(request.from, now);
    if (hasCommittedInTerm() && m_log.votersIndex() <= m_commitIndex) {
        reply.voters = voters();
    }
    m_messagesAfterSync.push_back(std::move(reply));
}

void Raft::onDepartureResponse(const RaftMessage &reply, SteadyTimeMs)
{
    if (m_departure != RaftDeparture::Requested || m_role == RaftRole::Leader) {
        return;
    }
    const auto isSelf = [this](const VoterId &voter) { return voter == m_options.self; };
    if (!reply.voters.empty() && std::none_of(reply.voters.begin(), reply.voters.end(), isSelf)) {
        m_departure = RaftDeparture::Released;
    } else if (!reply.accepted) {
        m_departure = RaftDeparture::NoSuccessor;
    }
}

bool Raft::isDeparting(const VoterId &id) const
{
    return m_departing.contains(id);
}

void Raft::forgetDepartures(SteadyTimeMs now)
{
    std::erase_if(m_departing,
                  [now](const auto &item) { return now - item.second >= departureTimeoutMs; });
}

bool Raft::isExcessive() const
{
    // A new group may have more voters than it needs.
    return m_options.targetVoters > 0
            && voters().size() > std::max(m_options.targetVoters, m_options.voterNames.size());
}

bool Raft::hasSuccessor(const VoterId &departing, SteadyTimeMs now) const
{
    // The departing voters get the learners in the order of their ids.
    const auto before =
            std::count_if(m_departing.begin(), m_departing.end(), [&](const auto &item) {
                return isVoter(item.first) && item.first < departing;
            });
    const auto learners = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return !isVoter(item.first) && !isDeparting(item.first)
                && now - item.second.lastContactAt < m_options.electionMaxMs;
    });
    return learners > before;
}

} // namespace dandelionloom

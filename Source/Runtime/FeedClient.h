#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Model/Result.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"
#include "Runtime/AppliedState.h"
#include "Runtime/ReplicaMessages.h"
#include "Runtime/ReplicaOptions.h"

namespace dandelionloom {

/// Sources of a follower in order of preference: voters of its zone, followers of its zone with
/// a lower name, voters of other zones. The order by name prevents cycles of followers that feed
/// one another. `rotation` rotates each list of voters, so that followers are spread over the
/// voters.
std::vector<std::string> feedSources(const ReplicaOptions &options, std::uint64_t rotation);

/// Whether this replica may serve entries to `requester`: only to replicas of its configuration.
bool mayServeFeed(const ReplicaOptions &options, const std::string &requester);

/// Pulls committed entries by long polls into the applied state of an instance without a log of its
/// own. Used by the replica's thread; answers to polls are posted to it through `post`.
class FeedClient
{
public:
    using Post = std::function<void(std::function<void()>)>;
    using Reports = std::function<std::vector<ReplicaProgress>(SteadyTimeMs)>;

    FeedClient(const ReplicaOptions &options, AppliedState &applied, PeerTransport &transport,
               DecisionLog &log, Post post, Reports reports);

    /// Starts a poll if none is in flight. Returns an error if a committed record can't be decoded.
    Result<Done, CodecError> tick(SteadyTimeMs now);

    /// Name of the leader that the source reported.
    const std::string &leader() const { return m_leader; }
    std::uint64_t term() const { return m_term; }
    std::uint64_t sourceIndex() const { return m_sourceIndex; }

private:
    void poll(SteadyTimeMs now);
    void onPollAnswer(std::uint64_t number, const PeerResult &result, SteadyTimeMs sentAt);
    void applyAnswer(FeedAnswer answer, SteadyTimeMs sentAt);
    void appendSnapshotChunk(const FeedAnswer &answer);
    void nextSource(const std::string &reason, SteadyTimeMs now);

    AppliedState &m_applied;
    PeerTransport &m_transport;
    DecisionLog &m_log;
    const Post m_post;
    const Reports m_reports;

    std::vector<std::string> m_sources;
    std::size_t m_currentSource = 0;
    SteadyTimeMs m_sourceSince = 0;
    bool m_pollInFlight = false;
    std::uint64_t m_pollNumber = 0;
    SteadyTimeMs m_nextPollAt = 0;
    /// Last time that the source gave a newer contact with a quorum or a chunk of a snapshot, or
    /// was replaced.
    SteadyTimeMs m_lastProgressAt = 0;
    /// Time of the newest known contact with a quorum.
    SteadyTimeMs m_contactAt = 0;

    std::uint64_t m_snapshotIndex = 0;
    std::string m_snapshot;
    std::string m_leader;
    std::uint64_t m_term = 0;
    std::uint64_t m_sourceIndex = 0;
    std::string m_fatalError;
};

} // namespace dandelionloom

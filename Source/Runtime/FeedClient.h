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
/// a lower name, the other voters. The order by name leaves no cycle of followers that feed one
/// another. `spread` shifts the start within each class, so that followers share the voters.
std::vector<std::string> feedSources(const ReplicaOptions &options, std::uint64_t spread);

/// Whether `source` is one that feedSources() may name for `requester`.
bool mayFeed(const ReplicaOptions &options, const std::string &requester);

/// Pulls committed entries into the applied state of an instance without a log of its own.
/// Used by the replica's thread; poll results come back through `post`.
class FeedClient
{
public:
    using Post = std::function<void(std::function<void()>)>;
    using Reports = std::function<std::vector<ReplicaProgress>(SteadyTimeMs)>;

    FeedClient(const ReplicaOptions &options, AppliedState &applied, PeerTransport &transport,
               DecisionLog &log, Post post, Reports reports);

    /// Starts a poll if none is in flight. Gives an error if a committed record can't be read.
    Result<Done, CodecError> tick(SteadyTimeMs now);

    /// Name of the leader as the source reported it.
    const std::string &leader() const { return m_leader; }
    std::uint64_t term() const { return m_term; }
    std::uint64_t sourceIndex() const { return m_sourceIndex; }

private:
    void poll(SteadyTimeMs now);
    void onAnswer(std::uint64_t number, const PeerResult &result, SteadyTimeMs sentAt);
    void take(FeedAnswer answer, SteadyTimeMs sentAt);
    void takeChunk(const FeedAnswer &answer);
    void nextSource(const std::string &reason, SteadyTimeMs now);

    AppliedState &m_applied;
    PeerTransport &m_transport;
    DecisionLog &m_log;
    const Post m_post;
    const Reports m_reports;

    std::vector<std::string> m_sources;
    std::size_t m_current = 0;
    SteadyTimeMs m_sourceSince = 0;
    bool m_inFlight = false;
    std::uint64_t m_pollNumber = 0;
    SteadyTimeMs m_nextPoll = 0;
    /// When the last contact with a quorum got more recent, and that contact.
    SteadyTimeMs m_fresherAt = 0;
    SteadyTimeMs m_contactAt = 0;

    std::uint64_t m_snapshotIndex = 0;
    std::string m_snapshot;
    std::string m_leader;
    std::uint64_t m_term = 0;
    std::uint64_t m_sourceIndex = 0;
    std::string m_fault;
};

} // namespace dandelionloom

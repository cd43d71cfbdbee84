#pragma once

#include <list>
#include <string>

#include "Ports/PeerTransport.h"
#include "Runtime/AppliedState.h"
#include "Runtime/ReplicaMessages.h"

namespace dandelionloom {

/// Answers the long polls of followers from the applied state. Used by the replica's thread.
class FeedSource
{
public:
    explicit FeedSource(AppliedState &applied);

    struct Leader
    {
        std::string name;
        std::uint64_t term = 0;
    };

    void request(const FeedRequest &request, PeerTransport::Reply reply, SteadyTimeMs now);
    /// Answers the polls for which there are new entries or whose hold time is over.
    void serve(const Leader &leader, SteadyTimeMs now);

private:
    struct Poll
    {
        FeedRequest request;
        PeerTransport::Reply reply;
        SteadyTimeMs receivedAt = 0;
    };

    FeedAnswer answer(const Poll &poll, std::vector<LogEntry> entries, const Leader &leader,
                      SteadyTimeMs now) const;
    void addSnapshotChunk(const FeedRequest &request, FeedAnswer &answer, SteadyTimeMs now);

    AppliedState &m_applied;
    std::list<Poll> m_polls;
    std::uint64_t m_snapshotIndex = 0;
    std::string m_snapshot;
    SteadyTimeMs m_snapshotUsedAt = 0;
};

} // namespace dandelionloom

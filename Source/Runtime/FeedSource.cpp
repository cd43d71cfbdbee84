#include "Runtime/FeedSource.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// One answer in this time is the idle cost of a follower, and the age that a hop adds at most
/// to its last contact with a quorum.
constexpr std::int64_t holdMs = 1500;

constexpr std::size_t chunkBytes = 256 * 1024;

/// An unused snapshot is freed after this time.
constexpr std::int64_t snapshotKeepMs = 30000;

} // namespace

FeedSource::FeedSource(AppliedState &applied) : m_applied(applied) { }

void FeedSource::request(const FeedRequest &request, PeerTransport::Reply reply, SteadyTimeMs now)
{
    m_polls.push_back({request, std::move(reply), now});
}

void FeedSource::serve(const Leader &leader, SteadyTimeMs now)
{
    for (auto poll = m_polls.begin(); poll != m_polls.end();) {
        auto entries = m_applied.entriesAfter(poll->request.appliedIndex, chunkBytes);
        const bool isNew = !entries || !entries->empty();
        if (!isNew && now - poll->since < holdMs) {
            ++poll;
            continue;
        }
        const bool needsSnapshot = !entries;
        FeedAnswer result = answer(
                *poll, needsSnapshot ? std::vector<LogEntry>{} : std::move(*entries), leader, now);
        if (needsSnapshot) {
            addChunk(poll->request, result, now);
        }
        poll->reply(packMessage(result));
        poll = m_polls.erase(poll);
    }
    if (!m_snapshot.empty() && now - m_snapshotUsedAt > snapshotKeepMs) {
        m_snapshot = {};
        m_snapshotIndex = 0;
    }
}

FeedAnswer FeedSource::answer(const Poll &poll, std::vector<LogEntry> entries, const Leader &leader,
                              SteadyTimeMs now) const
{
    FeedAnswer result;
    result.entries = std::move(entries);
    result.appliedIndex = m_applied.index();
    if (const auto &contact = m_applied.contact()) {
        result.contactAgeMs = now - contact->at;
        result.contactCommit = contact->commit;
    }
    result.heldMs = now - poll.since;
    result.term = leader.term;
    result.leader = leader.name;
    return result;
}

void FeedSource::addChunk(const FeedRequest &request, FeedAnswer &answer, SteadyTimeMs now)
{
    // A snapshot is used on as long as the kept entries follow it.
    const bool usable =
            !m_snapshot.empty() && m_applied.entriesAfter(m_snapshotIndex, 1).has_value();
    if (!usable) {
        m_snapshot = m_applied.encode();
        m_snapshotIndex = m_applied.index();
    }
    m_snapshotUsedAt = now;
    answer.snapshotIndex = m_snapshotIndex;
    answer.snapshotBytes = m_snapshot.size();
    if (request.snapshotIndex == m_snapshotIndex) {
        answer.snapshotOffset = std::min<std::uint64_t>(request.snapshotOffset, m_snapshot.size());
    }
    answer.snapshotData = m_snapshot.substr(answer.snapshotOffset, chunkBytes);
}

} // namespace dandelionloom

#include "Runtime/FeedSource.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// A poll is held for this time if there are no new entries. It sets how often an idle follower
/// polls, and how much each hop adds at most to the age of the last contact with a quorum.
constexpr std::int64_t longPollMs = 1500;

constexpr std::size_t chunkBytes = 256 * 1024;

/// The encoded snapshot is freed when no follower has read it for this time.
constexpr std::int64_t snapshotRetentionMs = 30000;

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
        const bool hasUpdate = !entries || !entries->empty();
        if (!hasUpdate && now - poll->receivedAt < longPollMs) {
            ++poll;
            continue;
        }
        const bool needsSnapshot = !entries;
        FeedAnswer result = answer(
                *poll, needsSnapshot ? std::vector<LogEntry>{} : std::move(*entries), leader, now);
        if (needsSnapshot) {
            addSnapshotChunk(poll->request, result, now);
        }
        poll->reply(packMessage(result));
        poll = m_polls.erase(poll);
    }
    if (!m_snapshot.empty() && now - m_snapshotUsedAt > snapshotRetentionMs) {
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
    result.heldMs = now - poll.receivedAt;
    result.term = leader.term;
    result.leader = leader.name;
    return result;
}

void FeedSource::addSnapshotChunk(const FeedRequest &request, FeedAnswer &answer, SteadyTimeMs now)
{
    // The cached snapshot is usable as long as the entries behind it are still kept.
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

#include "Runtime/FeedClient.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// A source holds a poll for 1.5 s; the rest is for a slow network.
constexpr Milliseconds pollTimeout{2500};

/// Two held polls without a more recent contact: the source is cut off or has stopped pulling.
constexpr std::int64_t staleSourceMs = 3200;

/// A follower that had to leave its preferred source tries it again after this time.
constexpr std::int64_t preferredRetryMs = 20000;

constexpr std::int64_t retryMs = 200;

/// Larger announcements are faults: a state this size would not fit a node.
constexpr std::uint64_t snapshotLimitBytes = 1ULL << 30;

} // namespace

std::vector<std::string> feedSources(const ReplicaOptions &options, std::uint64_t spread)
{
    std::vector<std::string> zoneVoters;
    std::vector<std::string> zoneFollowers;
    std::vector<std::string> otherVoters;
    for (const ReplicaPeer &peer : options.peers) {
        const bool sameZone = peer.availabilityZone == options.availabilityZone;
        if (peer.voter) {
            (sameZone ? zoneVoters : otherVoters).push_back(peer.name);
        } else if (sameZone && peer.name < options.name) {
            zoneFollowers.push_back(peer.name);
        }
    }
    std::sort(zoneFollowers.begin(), zoneFollowers.end());
    std::vector<std::string> result;
    for (auto *names : {&zoneVoters, &zoneFollowers, &otherVoters}) {
        // The lowest follower of a zone pulls from outside it and is the root of the zone's tree.
        if (names != &zoneFollowers && !names->empty()) {
            std::sort(names->begin(), names->end());
            std::rotate(names->begin(),
                        names->begin() + static_cast<std::ptrdiff_t>(spread % names->size()),
                        names->end());
        }
        result.insert(result.end(), names->begin(), names->end());
    }
    return result;
}

bool mayFeed(const ReplicaOptions &options, const std::string &requester)
{
    return std::any_of(options.peers.begin(), options.peers.end(),
                       [&](const ReplicaPeer &peer) { return peer.name == requester; });
}

FeedClient::FeedClient(const ReplicaOptions &options, AppliedState &applied,
                       PeerTransport &transport, DecisionLog &log, Post post, Reports reports)
    : m_applied(applied), m_transport(transport), m_log(log), m_post(std::move(post)),
      m_reports(std::move(reports)), m_sources(feedSources(options, options.seed))
{ }

Result<Done, CodecError> FeedClient::tick(SteadyTimeMs now)
{
    if (!m_fault.empty()) {
        return CodecError{m_fault};
    }
    if (m_inFlight || now < m_nextPoll || m_sources.empty()) {
        return Done{};
    }
    if (m_fresherAt == 0) {
        m_fresherAt = now;
        m_sourceSince = now;
    }
    if (m_current != 0 && now - m_sourceSince > preferredRetryMs) {
        m_current = 0;
        m_sourceSince = now;
        m_fresherAt = now;
    } else if (now - m_fresherAt > staleSourceMs) {
        nextSource("it has no recent contact with a quorum", now);
    }
    poll(now);
    return Done{};
}

void FeedClient::poll(SteadyTimeMs now)
{
    m_inFlight = true;
    const std::uint64_t number = ++m_pollNumber;
    const FeedRequest request{m_applied.index(), m_snapshotIndex, m_snapshot.size(),
                              m_reports(now)};
    m_transport.call(m_sources[m_current], PeerMessageKind::Feed, packMessage(request), pollTimeout,
                     [this, number, now, post = m_post](PeerResult result) {
                         post([this, number, now, result = std::move(result)] {
                             onAnswer(number, result, now);
                         });
                     });
}

void FeedClient::onAnswer(std::uint64_t number, const PeerResult &result, SteadyTimeMs sentAt)
{
    if (number != m_pollNumber || !m_inFlight) {
        return;
    }
    m_inFlight = false;
    const SteadyTimeMs now = steadyTimeNow();
    if (!isOk(result)) {
        m_nextPoll = now + retryMs;
        nextSource(errorOf(result).message, now);
        return;
    }
    auto answer = unpackMessage<FeedAnswer>(valueOf(result));
    if (!isOk(answer)) {
        m_nextPoll = now + retryMs;
        nextSource("its answer is damaged", now);
        return;
    }
    take(takeValue(std::move(answer)), sentAt);
    if (m_applied.contact() && m_applied.contact()->at > m_contactAt) {
        m_contactAt = m_applied.contact()->at;
        m_fresherAt = now;
    }
}

void FeedClient::take(FeedAnswer answer, SteadyTimeMs sentAt)
{
    if (answer.term >= m_term) {
        m_term = answer.term;
        m_leader = answer.leader;
    }
    m_sourceIndex = answer.appliedIndex;
    if (answer.snapshotIndex != 0) {
        takeChunk(answer);
    } else {
        m_snapshotIndex = 0;
        m_snapshot.clear();
    }
    for (const LogEntry &entry : answer.entries) {
        if (entry.index <= m_applied.index()) {
            continue;
        }
        const auto applied = m_applied.apply(entry);
        if (!isOk(applied)) {
            // A gap is the source's fault, a record that can't be read is this program's age.
            if (entry.index == m_applied.index() + 1) {
                m_fault = errorOf(applied).message;
            }
            return;
        }
    }
    // The source can't have dated its contact later than the answer, which it sent at the
    // earliest `heldMs` after the request.
    if (answer.contactAgeMs >= 0 && answer.heldMs >= 0) {
        const SteadyTimeMs answeredAt = std::min(sentAt + answer.heldMs, steadyTimeNow());
        m_applied.noteContact({answeredAt - answer.contactAgeMs, answer.contactCommit});
    }
}

void FeedClient::takeChunk(const FeedAnswer &answer)
{
    if (answer.snapshotIndex <= m_applied.index() || answer.snapshotBytes > snapshotLimitBytes) {
        return;
    }
    if (m_snapshotIndex != answer.snapshotIndex) {
        m_snapshotIndex = answer.snapshotIndex;
        m_snapshot.clear();
    }
    if (answer.snapshotOffset != m_snapshot.size()) {
        return;
    }
    m_snapshot += answer.snapshotData;
    if (m_snapshot.size() < answer.snapshotBytes) {
        m_fresherAt = steadyTimeNow();
        return;
    }
    const auto restored = m_applied.restore(m_snapshotIndex, m_snapshot);
    if (!isOk(restored)) {
        m_log.event(LogSeverity::Error, "replica",
                    "feed source " + m_sources[m_current] + ": " + errorOf(restored).message);
    }
    m_snapshotIndex = 0;
    m_snapshot.clear();
}

void FeedClient::nextSource(const std::string &reason, SteadyTimeMs now)
{
    m_snapshotIndex = 0;
    m_snapshot.clear();
    m_fresherAt = now;
    m_sourceSince = now;
    if (m_sources.size() < 2) {
        return;
    }
    const std::string &old = m_sources[m_current];
    m_current = (m_current + 1) % m_sources.size();
    m_log.event(LogSeverity::Info, "replica",
                "feed source " + old + " replaced by " + m_sources[m_current] + ": " + reason);
}

} // namespace dandelionloom

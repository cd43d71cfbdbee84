#include "Runtime/FeedClient.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// A source holds a poll for up to 1.5 s; the rest allows for a slow network.
constexpr Milliseconds pollTimeout{2500};

/// A little more than two held polls. A source that gives no newer contact with a quorum for this
/// long is cut off or has stopped pulling entries itself.
constexpr std::int64_t staleSourceMs = 3200;

/// A follower that replaced its preferred source tries it again after this time.
constexpr std::int64_t preferredRetryMs = 20000;

constexpr std::int64_t retryDelayMs = 200;

/// A larger announced size is an error: such a state would not fit the memory of an instance.
constexpr std::uint64_t maxSnapshotBytes = 1ULL << 30;

} // namespace

std::vector<std::string> feedSources(const ReplicaOptions &options, std::uint64_t rotation)
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
        // Followers are not rotated: in a zone without voters all of them then prefer the one with
        // the lowest name, which pulls from another zone and is the root of the zone's tree.
        if (names != &zoneFollowers && !names->empty()) {
            std::sort(names->begin(), names->end());
            std::rotate(names->begin(),
                        names->begin() + static_cast<std::ptrdiff_t>(rotation % names->size()),
                        names->end());
        }
        result.insert(result.end(), names->begin(), names->end());
    }
    return result;
}

bool mayServeFeed(const ReplicaOptions &options, const std::string &requester)
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
    if (!m_fatalError.empty()) {
        return CodecError{m_fatalError};
    }
    if (m_pollInFlight || now < m_nextPollAt || m_sources.empty()) {
        return Done{};
    }
    if (m_lastProgressAt == 0) {
        m_lastProgressAt = now;
        m_sourceSince = now;
    }
    if (m_currentSource != 0 && now - m_sourceSince > preferredRetryMs) {
        m_currentSource = 0;
        m_sourceSince = now;
        m_lastProgressAt = now;
    } else if (now - m_lastProgressAt > staleSourceMs) {
        nextSource("it has no recent contact with a quorum", now);
    }
    poll(now);
    return Done{};
}

void FeedClient::poll(SteadyTimeMs now)
{
    m_pollInFlight = true;
    const std::uint64_t number = ++m_pollNumber;
    const FeedRequest request{m_applied.index(), m_snapshotIndex, m_snapshot.size(),
                              m_reports(now)};
    m_transport.call(m_sources[m_currentSource], PeerMessageKind::Feed, packMessage(request),
                     pollTimeout, [this, number, now, post = m_post](PeerResult result) {
                         post([this, number, now, result = std::move(result)] {
                             onPollAnswer(number, result, now);
                         });
                     });
}

void FeedClient::onPollAnswer(std::uint64_t number, const PeerResult &result, SteadyTimeMs sentAt)
{
    if (number != m_pollNumber || !m_pollInFlight) {
        return;
    }
    m_pollInFlight = false;
    const SteadyTimeMs now = steadyTimeNow();
    if (!isOk(result)) {
        m_nextPollAt = now + retryDelayMs;
        nextSource(errorOf(result).message, now);
        return;
    }
    auto answer = unpackMessage<FeedAnswer>(valueOf(result));
    if (!isOk(answer)) {
        m_nextPollAt = now + retryDelayMs;
        nextSource("its answer is damaged", now);
        return;
    }
    applyAnswer(takeValue(std::move(answer)), sentAt);
    if (m_applied.contact() && m_applied.contact()->at > m_contactAt) {
        m_contactAt = m_applied.contact()->at;
        m_lastProgressAt = now;
    }
}

void FeedClient::applyAnswer(FeedAnswer answer, SteadyTimeMs sentAt)
{
    if (answer.term >= m_term) {
        m_term = answer.term;
        m_leader = answer.leader;
    }
    m_sourceIndex = answer.appliedIndex;
    if (answer.snapshotIndex != 0) {
        appendSnapshotChunk(answer);
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
            // An entry that is not the next one is an error of the source, which the next poll can
            // repair. A next entry that can't be decoded has a format that this program doesn't
            // know.
            if (entry.index == m_applied.index() + 1) {
                m_fatalError = errorOf(applied).message;
            }
            return;
        }
    }
    // Converts the age of the contact to this clock. The answer was sent at least `heldMs` after
    // the request, so the result is never later than the actual contact.
    if (answer.contactAgeMs >= 0 && answer.heldMs >= 0) {
        const SteadyTimeMs answeredAt = std::min(sentAt + answer.heldMs, steadyTimeNow());
        m_applied.recordContact({answeredAt - answer.contactAgeMs, answer.contactCommit});
    }
}

void FeedClient::appendSnapshotChunk(const FeedAnswer &answer)
{
    if (answer.snapshotIndex <= m_applied.index() || answer.snapshotBytes > maxSnapshotBytes) {
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
        m_lastProgressAt = steadyTimeNow();
        return;
    }
    const auto restored = m_applied.restore(m_snapshotIndex, m_snapshot);
    if (!isOk(restored)) {
        m_log.event(LogSeverity::Error, "replica",
                    "feed source " + m_sources[m_currentSource] + ": " + errorOf(restored).message);
    }
    m_snapshotIndex = 0;
    m_snapshot.clear();
}

void FeedClient::nextSource(const std::string &reason, SteadyTimeMs now)
{
    m_snapshotIndex = 0;
    m_snapshot.clear();
    m_lastProgressAt = now;
    m_sourceSince = now;
    if (m_sources.size() < 2) {
        return;
    }
    const std::string &oldSource = m_sources[m_currentSource];
    m_currentSource = (m_currentSource + 1) % m_sources.size();
    m_log.event(LogSeverity::Info, "replica",
                "feed source " + oldSource + " replaced by " + m_sources[m_currentSource] + ": "
                        + reason);
}

} // namespace dandelionloom

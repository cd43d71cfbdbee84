#include <limits>
#include <utility>

#include "Runtime/Replica.h"

// Messages between replicas: consensus, feeds, forwarded calls and progress reports.

namespace dandelionloom {

namespace {

/// Interval at which this instance forwards the reports of the followers that it feeds, and at
/// which the leader sends its own report to the voters.
constexpr std::int64_t reportIntervalMs = 1000;

/// Interval at which the leader sends all reports to the voters, so that a new leader knows how
/// long ago each instance was last heard. 45 reports of 50 bytes every 5 s are 450 B/s per voter.
constexpr std::int64_t leaderReportIntervalMs = 5000;

/// Older reports are not forwarded.
constexpr std::int64_t reportMaxAgeMs = 30000;

PeerMessageKind transportKind(RaftMessageKind kind)
{
    switch (kind) {
    case RaftMessageKind::Vote:
        return PeerMessageKind::Vote;
    case RaftMessageKind::Append:
        return PeerMessageKind::Append;
    case RaftMessageKind::SnapshotChunk:
        return PeerMessageKind::SnapshotChunk;
    default:
        return PeerMessageKind::PreVote;
    }
}

bool isAnswer(RaftMessageKind kind)
{
    switch (kind) {
    case RaftMessageKind::ProbeResponse:
    case RaftMessageKind::PreVoteResponse:
    case RaftMessageKind::VoteResponse:
    case RaftMessageKind::AppendResponse:
    case RaftMessageKind::SnapshotResponse:
        return true;
    default:
        return false;
    }
}

} // namespace

void Replica::setHandlers()
{
    for (const PeerMessageKind kind : {PeerMessageKind::PreVote, PeerMessageKind::Vote,
                                       PeerMessageKind::Append, PeerMessageKind::SnapshotChunk}) {
        m_transport.setHandler(
                kind,
                [this](const std::string &from, std::string body, PeerTransport::Reply reply) {
                    post([this, from, body = std::move(body), reply = std::move(reply)] {
                        onRaftRequest(from, body, reply);
                    });
                });
    }
    m_transport.setHandler(
            PeerMessageKind::Feed,
            [this](const std::string &from, std::string body, PeerTransport::Reply reply) {
                post([this, from, body = std::move(body), reply = std::move(reply)] {
                    const auto request = unpackMessage<FeedRequest>(body);
                    if (!isOk(request) || !mayServeFeed(m_options, from)) {
                        reply(std::string());
                        return;
                    }
                    const SteadyTimeMs now = steadyTimeNow();
                    m_progress.mergeReports(valueOf(request).reports, now);
                    m_feedSource.request(valueOf(request), reply, now);
                });
            });
    m_transport.setHandler(
            PeerMessageKind::Propose,
            [this](const std::string &, std::string body, PeerTransport::Reply reply) {
                // The time-out counts from the receipt, not from the execution of the task: a
                // command that was queued while the process was suspended must not be appended
                // after its sender has given up.
                const SteadyTimeMs receivedAt = steadyTimeNow();
                post([this, receivedAt, body = std::move(body), reply = std::move(reply)] {
                    const auto request = unpackMessage<ProposeRequest>(body);
                    if (!isOk(request)) {
                        reply(packMessage(ProposeAnswer{
                                ProposeVerdict::Refused, 0, {}, "the message is damaged"}));
                        return;
                    }
                    appendCommand(
                            valueOf(request).command, receivedAt + valueOf(request).timeoutMs,
                            [reply](const ProposeAnswer &answer) { reply(packMessage(answer)); });
                });
            });
    m_transport.setHandler(
            PeerMessageKind::ReadIndex,
            [this](const std::string &, const std::string &, PeerTransport::Reply reply) {
                post([this, reply = std::move(reply)] {
                    const auto callback = [reply](std::optional<std::uint64_t> index) {
                        reply(packMessage(ReadIndexAnswer{index.has_value(), index.value_or(0)}));
                    };
                    if (isLeader()) {
                        m_queuedReads.emplace_back(callback);
                    } else {
                        callback(std::nullopt);
                    }
                });
            });
    m_transport.setHandler(
            PeerMessageKind::Progress,
            [this](const std::string &, const std::string &, PeerTransport::Reply reply) {
                post([this, reply = std::move(reply)] {
                    ProgressAnswer answer;
                    answer.isLeader = isLeader();
                    if (answer.isLeader) {
                        answer.replicas = leaderProgress(steadyTimeNow());
                    }
                    reply(packMessage(answer));
                });
            });
}

void Replica::onRaftRequest(const std::string &from, const std::string &body,
                            const PeerTransport::Reply &reply)
{
    const auto message = decodeRaftMessage(body);
    if (!m_raft || !isOk(message) || valueOf(message).from.name != from
        || isAnswer(valueOf(message).kind)) {
        reply(std::string());
        return;
    }
    // iterate() sends an empty answer to each request that is still unanswered when it ends.
    auto &pendingReply = m_pendingReplies[{from, valueOf(message).request}];
    if (pendingReply) {
        pendingReply(std::string());
    }
    pendingReply = reply;
    recordReports(valueOf(message).report, steadyTimeNow());
    m_raft->receive(valueOf(message), steadyTimeNow());
}

void Replica::send(std::vector<RaftMessage> messages)
{
    const std::string reports = isLeader() && !messages.empty() ? leaderReports() : std::string();
    for (RaftMessage &message : messages) {
        if (message.kind == RaftMessageKind::Append) {
            message.report = reports;
        }
        if (isAnswer(message.kind)) {
            sendAnswer(std::move(message));
        } else {
            sendRequest(message);
        }
    }
}

void Replica::sendAnswer(RaftMessage message)
{
    const auto reply = m_pendingReplies.extract({message.to.name, message.request});
    if (!reply) {
        return;
    }
    if (message.kind == RaftMessageKind::AppendResponse) {
        message.report = packMessage(reportsToSend(steadyTimeNow()));
    }
    reply.mapped()(encodeRaftMessage(message));
}

void Replica::sendRequest(const RaftMessage &message)
{
    m_transport.call(message.to.name, transportKind(message.kind), encodeRaftMessage(message),
                     Milliseconds(m_options.electionMaxMs),
                     [this, to = message.to.name](PeerResult result) {
                         if (!isOk(result) || valueOf(result).empty()) {
                             return;
                         }
                         post([this, to, body = takeValue(std::move(result))] {
                             const auto answer = decodeRaftMessage(body);
                             if (!isOk(answer) || valueOf(answer).from.name != to
                                 || !isAnswer(valueOf(answer).kind)) {
                                 return;
                             }
                             const SteadyTimeMs now = steadyTimeNow();
                             recordReports(valueOf(answer).report, now);
                             m_raft->receive(valueOf(answer), now);
                         });
                     });
}

std::string Replica::leaderReports()
{
    const SteadyTimeMs now = steadyTimeNow();
    if (now < m_nextOwnReport) {
        return {};
    }
    m_nextOwnReport = now + reportIntervalMs;
    std::vector<ReplicaProgress> reports;
    if (now >= m_nextLeaderReports) {
        m_nextLeaderReports = now + leaderReportIntervalMs;
        reports = m_progress.reports(now, std::numeric_limits<std::int64_t>::max());
    }
    reports.push_back(ownReport());
    return packMessage(reports);
}

void Replica::recordReports(const std::string &packed, SteadyTimeMs now)
{
    const auto reports = unpackMessage<std::vector<ReplicaProgress>>(packed);
    if (isOk(reports)) {
        m_progress.mergeReports(valueOf(reports), now);
    }
}

ReplicaProgress Replica::ownReport() const
{
    return {m_options.name,    m_options.availabilityZone, m_raft && m_raft->isVoter(),
            m_applied.index(), m_store.lists()->revision,  0};
}

std::vector<ReplicaProgress> Replica::reportsToSend(SteadyTimeMs now)
{
    std::vector<ReplicaProgress> reports;
    if (now >= m_nextForwardedReports) {
        m_nextForwardedReports = now + reportIntervalMs;
        reports = m_progress.reports(now, reportMaxAgeMs);
    }
    reports.push_back(ownReport());
    return reports;
}

std::vector<ReplicaProgress> Replica::leaderProgress(SteadyTimeMs now) const
{
    std::vector<ReplicaProgress> result{ownReport()};
    const auto reports = m_progress.reports(now, std::numeric_limits<std::int64_t>::max());
    for (const ReplicaPeer &peer : m_options.peers) {
        ReplicaProgress entry;
        entry.name = peer.name;
        entry.availabilityZone = peer.availabilityZone;
        entry.voter = peer.voter;
        for (const ReplicaProgress &report : reports) {
            if (report.name == peer.name) {
                entry = report;
            }
        }
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace dandelionloom

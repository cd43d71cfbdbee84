#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// The numeric values are part of the wire protocol: only append new kinds.
enum class RaftMessageKind {
    /// Sent by an instance without a leader, to request admission and to discover whether a cluster
    /// exists; and by a leader to instances that it has no contact with, so that they find it.
    Probe,
    ProbeResponse,
    PreVote,
    PreVoteResponse,
    Vote,
    VoteResponse,
    Append,
    AppendResponse,
    SnapshotChunk,
    SnapshotResponse,
    /// Sent to the leader by an instance that is about to stop, until its vote has passed to
    /// another one.
    Departure,
    DepartureResponse
};
inline constexpr EnumNames<RaftMessageKind, 12> raftMessageKindNames{
        {"probe", "probe-answer", "pre-vote", "pre-vote-answer", "vote", "vote-answer", "append",
         "append-answer", "snapshot-chunk", "snapshot-answer", "departure", "departure-answer"}};

/// True for the answer to a request of another instance.
bool isResponse(RaftMessageKind kind);

/// One message of the consensus protocol. The kind determines which fields are used.
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::Probe;
    VoterId from;
    /// The storage id is empty if the sender does not know it (Probe). A message for another
    /// storage id is ignored, because it is addressed to a voter that no longer exists.
    VoterId to;
    /// Id that the sender assigned to the request; echoed in the response.
    std::uint64_t request = 0;
    std::uint64_t term = 0;
    /// Append: entry that precedes the first one sent. Votes and probes: last entry of the sender's
    /// log. AppendResponse: last matching index, or the index to retry from after a rejection.
    /// Snapshot messages: last entry covered by the snapshot.
    std::uint64_t logIndex = 0;
    std::uint64_t logTerm = 0;
    /// Commit index of the sender.
    std::uint64_t commit = 0;
    /// Responses: vote granted, entries appended, snapshot complete, (probes) voter set known, or
    /// (departures) the vote passes to another instance or isn't needed.
    bool accepted = false;
    /// Heartbeat round of the leader; responses to it confirm reads.
    std::uint64_t round = 0;
    /// Clock of the leader at send time, in milliseconds; echoed in the response.
    std::int64_t sentAt = 0;
    /// AppendResponse: clock of the voter. Append: the last such value that the leader received
    /// from this voter, so that the voter can compute the contact time without a bound on network
    /// delay.
    std::int64_t peerClock = 0;
    /// Append: age of the leader's last contact with a quorum; -1 if there was none.
    std::int64_t contactAgeMs = -1;
    std::vector<LogEntry> entries;
    /// Snapshot messages: voters as of the snapshot. DepartureResponse: the committed voter set;
    /// empty while a change is in progress.
    std::vector<VoterId> voters;
    /// Snapshot messages: offset of `data` in the state. Responses: next offset expected.
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string data;
    /// Progress report of the sender. Opaque to the consensus module.
    std::string report;
    /// ProbeResponse and heartbeats: names of instances of the group that the sender knows. Absent
    /// in messages of earlier versions.
    std::vector<std::string> peers;

    MSGPACK_DEFINE_ARRAY(kind, from, to, request, term, logIndex, logTerm, commit, accepted, round,
                         sentAt, peerClock, contactAgeMs, entries, voters, offset, totalBytes, data,
                         report, peers)
};

struct RaftMessageError
{
    std::string message;
};

std::string encodeRaftMessage(const RaftMessage &message);
/// Fails on truncated or malformed messages and on an unknown kind.
Result<RaftMessage, RaftMessageError> decodeRaftMessage(const std::string &bytes);

/// Payload of a voter change: the complete voter set after the change.
std::string encodeVoters(const std::vector<VoterId> &voters);
Result<std::vector<VoterId>, RaftMessageError> decodeVoters(const std::string &bytes);

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::RaftMessageKind)

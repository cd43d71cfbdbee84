#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// The number is on the wire: only append.
enum class RaftMessageKind {
    /// Sent by an instance that is in no voter set it knows: asks for its admission, and finds out
    /// whether the cluster exists.
    Probe,
    ProbeAnswer,
    PreVote,
    PreVoteAnswer,
    Vote,
    VoteAnswer,
    Append,
    AppendAnswer,
    SnapshotChunk,
    SnapshotAnswer
};
inline constexpr EnumNames<RaftMessageKind, 10> raftMessageKindNames{
        {"probe", "probe-answer", "pre-vote", "pre-vote-answer", "vote", "vote-answer", "append",
         "append-answer", "snapshot-chunk", "snapshot-answer"}};

/// One message of the consensus protocol. Which fields count depends on the kind.
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::Probe;
    VoterId from;
    /// The storage id is empty if the sender does not know it (Probe). A message for another
    /// storage id is refused: it was meant for a voter that no longer exists.
    VoterId to;
    /// Id of the request at its sender; an answer repeats it.
    std::uint64_t request = 0;
    std::uint64_t term = 0;
    /// Append: entry before the first one sent. Votes and probes: last entry of the sender's log.
    /// AppendAnswer: last index known to match, or where to continue after a rejection.
    /// Snapshot messages: last entry that the snapshot covers.
    std::uint64_t logIndex = 0;
    std::uint64_t logTerm = 0;
    /// Commit index of the sender.
    std::uint64_t commit = 0;
    /// Answers: vote granted, entries appended, or (probes) whether a voter set is known.
    bool accepted = false;
    /// Number of the heartbeat round that confirms reads.
    std::uint64_t round = 0;
    /// Clock of the leader at sending, in milliseconds; an answer repeats it.
    std::int64_t sentAt = 0;
    /// AppendAnswer: clock of the voter. Append: the last such value the leader received from
    /// this voter, so that the voter can date the contact without trusting the network's delay.
    std::int64_t peerClock = 0;
    /// Append: age of the leader's last contact with a quorum; -1 if there was none.
    std::int64_t contactAgeMs = -1;
    std::vector<LogEntry> entries;
    std::vector<VoterId> voters;
    /// Snapshot messages: position of `data` in the state; answers: next position wanted.
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string data;
    /// Progress report of the sender, filled and read by the runtime.
    std::string report;

    MSGPACK_DEFINE_ARRAY(kind, from, to, request, term, logIndex, logTerm, commit, accepted, round,
                         sentAt, peerClock, contactAgeMs, entries, voters, offset, totalBytes, data,
                         report)
};

struct RaftMessageError
{
    std::string message;
};

std::string encodeRaftMessage(const RaftMessage &message);
/// Fails on bytes that are not a whole message and on an unknown kind.
Result<RaftMessage, RaftMessageError> decodeRaftMessage(const std::string &bytes);

/// Payload of a voter change: the whole voter set after the change.
std::string encodeVoters(const std::vector<VoterId> &voters);
Result<std::vector<VoterId>, RaftMessageError> decodeVoters(const std::string &bytes);

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::RaftMessageKind)

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Consensus/RaftLog.h"
#include "Consensus/RaftMessage.h"
#include "Model/Time.h"

namespace dandelionloom {

struct RaftOptions
{
    VoterId self;
    /// Names that may be voters. The first in alphabetical order founds a new cluster once all
    /// of them have answered that they know none.
    std::vector<std::string> voterNames;
    /// False on an instance that joins a cluster which exists: it never founds one.
    bool mayFound = true;
    /// Number of voters that the leader keeps by admitting any instance that probes it and by
    /// replacing voters that are silent. 0: only `voterNames` are admitted, and none is replaced.
    std::size_t targetVoters = 0;
    /// Silence after which a voter is replaced by an instance that is ready. Three seconds let a
    /// process restart and an instance that is suspended for a moment keep their vote.
    std::int64_t voterReplaceMs = 3000;
    std::int64_t heartbeatMs = 150;
    std::int64_t electionMinMs = 600;
    std::int64_t electionMaxMs = 1200;
    /// Payload bytes of one Append and of one snapshot chunk.
    std::size_t maxBatchBytes = 256 * 1024;
    std::uint64_t seed = 1;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };
inline constexpr EnumNames<RaftRole, 4> raftRoleNames{
        {"follower", "pre-candidate", "candidate", "leader"}};

/// A proof that a quorum followed the leader at `at` on the local clock. All that was accepted
/// before is covered by `commit`.
struct QuorumContact
{
    SteadyTimeMs at = 0;
    std::uint64_t commit = 0;
};

/// What the caller must do now. Messages here depend on no sync.
struct RaftOutput
{
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<RaftMessage> messages;

    bool needsSync() const { return hardState || !entries.empty() || snapshot; }
};

struct ConfirmedRead
{
    std::uint64_t id = 0;
    /// Applying up to this index makes the read current. None if leadership was lost.
    std::optional<std::uint64_t> index;
};

/// What is released once the output of takeOutput() has been synced.
struct RaftReleased
{
    std::vector<RaftMessage> messages;
    /// A snapshot from the leader replaces the applied state; precedes `committed`.
    std::shared_ptr<const Snapshot> restored;
    std::vector<LogEntry> committed;
    std::vector<ConfirmedRead> reads;
};

struct LogPosition
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/// Raft without I/O, clock or threads. The caller passes times of one monotonic clock. After any
/// number of inputs it calls takeOutput(), syncs what the output holds (hard state, then snapshot,
/// then entries), and calls synced() or syncFailed(). No input may come between these two calls.
class Raft
{
public:
    Raft(RaftOptions options, const HardState &hardState, std::shared_ptr<const Snapshot> snapshot,
         const std::vector<LogEntry> &entries, SteadyTimeMs now);

    // Inputs.
    void tick(SteadyTimeMs now);
    void receive(const RaftMessage &message, SteadyTimeMs now);
    /// Appends a command. None if this is not the leader.
    std::optional<LogPosition> propose(std::string payload);
    /// Starts a heartbeat round. None if this is not the leader, or no entry of its term is
    /// committed yet; its commit index may then be behind its predecessor's.
    std::optional<std::uint64_t> startRead(SteadyTimeMs now);
    /// Takes over a snapshot that the caller has made and synced, and drops entries up to
    /// `compactTo`. Later entries stay in memory for voters that are a little behind.
    void setSnapshot(std::shared_ptr<const Snapshot> snapshot, std::uint64_t compactTo);

    /// Adds an instance that probes are sent to. Has no effect on a name that is known.
    void addProbeTarget(const std::string &name);

    // Outputs.
    RaftOutput takeOutput();
    RaftReleased synced(SteadyTimeMs now);
    /// The disk is full: undoes the unsynced changes and drops what depends on them.
    void syncFailed(SteadyTimeMs now);

    RaftRole role() const { return m_role; }
    std::uint64_t term() const { return m_term; }
    /// Name of the known leader; empty without one.
    const std::string &leader() const { return m_leader.name; }
    std::uint64_t commitIndex() const { return m_commit; }
    const RaftLog &log() const { return m_log; }
    const std::vector<VoterId> &voters() const { return m_log.voters(); }
    bool isVoter() const;
    /// The last proof of contact with a quorum.
    std::optional<QuorumContact> contact(SteadyTimeMs now) const;

private:
    /// What the leader knows of one voter or of an instance that is to become one.
    struct Peer
    {
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        SteadyTimeMs heardAt = 0;
        /// Sending time of the latest message that the peer answered in this term.
        SteadyTimeMs answeredSentAt = 0;
        std::uint64_t answeredRound = 0;
        std::int64_t peerClock = 0;
        /// Request that carries entries or a chunk and has no answer yet; 0 without one.
        std::uint64_t inFlight = 0;
        SteadyTimeMs inFlightSince = 0;
        /// Commit index of the last Append to it.
        std::uint64_t sentCommit = 0;
        /// Snapshot in transfer and its next chunk. A transfer goes on with the snapshot it
        /// started with; else a busy cluster's new snapshots would restart it forever.
        std::shared_ptr<const Snapshot> transfer;
        std::uint64_t transferOffset = 0;
    };
    struct PendingRead
    {
        std::uint64_t id = 0;
        std::uint64_t round = 0;
        std::uint64_t index = 0;
    };
    /// What another instance answered to a probe.
    struct ProbeResult
    {
        VoterId id;
        std::uint64_t term = 0;
        bool knowsVoters = false;
    };

    // Roles.
    void becomeFollower(std::uint64_t term, SteadyTimeMs now);
    void becomeLeader(SteadyTimeMs now);
    void heardLeader(const VoterId &leader, SteadyTimeMs now);
    void resetElectionDeadline(SteadyTimeMs now);
    void failReads();
    bool isQuorum(std::size_t count) const;
    bool isVoter(const VoterId &id) const;

    // Elections.
    void startPreVote(SteadyTimeMs now);
    void startElection(SteadyTimeMs now);
    void onVoteRequest(const RaftMessage &message, SteadyTimeMs now);
    void onVoteAnswer(const RaftMessage &message, SteadyTimeMs now);
    bool leaderIsFresh(SteadyTimeMs now) const;
    bool isUpToDate(const RaftMessage &message) const;

    // Founding and admission.
    void probe(SteadyTimeMs now);
    void onProbe(const RaftMessage &message, SteadyTimeMs now);
    void onProbeAnswer(const RaftMessage &message, SteadyTimeMs now);
    void foundCluster(SteadyTimeMs now);
    void changeVoters(SteadyTimeMs now);
    bool mayBecomeVoter(const std::string &name) const;
    /// The voter to remove so that a ready learner can take its place; none if all answer.
    std::optional<VoterId> silentVoter(SteadyTimeMs now) const;
    void dropSilentLearners(SteadyTimeMs now);

    // Leader.
    void leaderTick(SteadyTimeMs now);
    void sendHeartbeats(SteadyTimeMs now);
    void sendToPeer(const VoterId &id, Peer &peer, SteadyTimeMs now, bool heartbeat);
    void sendChunk(const VoterId &id, Peer &peer, SteadyTimeMs now);
    void sendNewEntries(SteadyTimeMs now);
    void onAppendAnswer(const RaftMessage &message, SteadyTimeMs now);
    void onSnapshotAnswer(const RaftMessage &message, SteadyTimeMs now);
    Peer *heardPeer(const RaftMessage &message, SteadyTimeMs now);
    void advanceCommit();
    void confirmReads();
    void appendOwn(std::uint32_t kind, std::string payload);
    bool committedInTerm() const;
    /// The value that a quorum of voters has reached; the leader counts with `own`.
    template <typename Value>
    Value quorumValue(Value own, Value Peer::*member) const;
    /// Sending time of the latest heartbeat round that a quorum answered; 0 without one.
    SteadyTimeMs quorumContactAt(SteadyTimeMs now) const;

    // Follower.
    void onAppend(const RaftMessage &message, SteadyTimeMs now);
    void answerAppend(const RaftMessage &message, bool accepted, std::uint64_t index,
                      SteadyTimeMs now);
    void onSnapshotChunk(const RaftMessage &message, SteadyTimeMs now);
    void installSnapshot(SteadyTimeMs now);

    RaftMessage message(RaftMessageKind kind, const VoterId &to) const;
    RaftMessage answer(RaftMessageKind kind, const RaftMessage &request) const;
    std::uint64_t nextRequest() { return ++m_lastRequest; }

    const RaftOptions m_options;
    /// Names that probes are sent to besides RaftOptions::voterNames.
    std::vector<std::string> m_probeTargets;
    std::mt19937_64 m_random;

    std::uint64_t m_term = 0;
    std::string m_votedFor;
    bool m_hardStateChanged = false;
    RaftLog m_log;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::uint64_t m_commit = 0;
    /// Last committed index that was given to the caller.
    std::uint64_t m_delivered = 0;

    RaftRole m_role = RaftRole::Follower;
    VoterId m_leader;
    SteadyTimeMs m_leaderHeardAt = 0;
    SteadyTimeMs m_electionDeadline = 0;
    SteadyTimeMs m_nextProbe = 0;
    /// Voters that granted the vote or pre-vote in progress.
    std::vector<VoterId> m_votes;
    /// The own vote counts once it is synced.
    bool m_ownVotePending = false;
    std::map<std::string, ProbeResult> m_probeResults;
    std::optional<QuorumContact> m_contact;

    std::map<VoterId, Peer> m_peers;
    SteadyTimeMs m_nextHeartbeat = 0;
    std::uint64_t m_round = 0;
    std::uint64_t m_termStartIndex = 0;
    std::deque<PendingRead> m_pendingReads;
    std::vector<ConfirmedRead> m_finishedReads;
    std::uint64_t m_lastRead = 0;

    /// Snapshot in transfer from the leader.
    std::shared_ptr<Snapshot> m_incoming;
    std::uint64_t m_incomingTotal = 0;
    /// Whole snapshot from the leader that is not synced yet.
    std::shared_ptr<const Snapshot> m_received;
    RaftMessage m_receivedRequest;

    std::uint64_t m_lastRequest = 0;
    std::vector<RaftMessage> m_messages;
    std::vector<RaftMessage> m_messagesAfterSync;
    bool m_outputTaken = false;
};

/// The form in which a vote is kept in HardState::votedFor.
std::string voteName(const VoterId &voter);

} // namespace dandelionloom

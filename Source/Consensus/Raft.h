#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Consensus/CommandParts.h"
#include "Consensus/PeerDirectory.h"
#include "Consensus/RaftLog.h"
#include "Consensus/RaftMessage.h"
#include "Model/Time.h"

namespace dandelionloom {

struct RaftOptions
{
    VoterId self;
    /// Names of the initial voters. The first in alphabetical order bootstraps a new cluster once
    /// all the others have responded that they know no voter set.
    std::vector<std::string> voterNames;
    /// False on an instance that joins an existing cluster: it never bootstraps a new one.
    bool mayBootstrap = true;
    /// Number of voters that the leader maintains by admitting any instance that probes it and by
    /// replacing unresponsive voters. 0: only `voterNames` are admitted, and none is replaced.
    std::size_t targetVoters = 0;
    /// Time without contact after which a voter is replaced by a learner that has caught up. With
    /// three seconds, a voter that restarts or is briefly suspended keeps its vote.
    std::int64_t unresponsiveVoterTimeoutMs = 3000;
    std::int64_t heartbeatMs = 150;
    std::int64_t electionMinMs = 600;
    std::int64_t electionMaxMs = 1200;
    /// Time without contact after which the name of an instance that is neither a voter nor in the
    /// settings is forgotten. One that is away for longer finds the group by its own probes.
    std::int64_t peerRetentionMs = 600'000;
    /// Maximum payload bytes of one Append or snapshot chunk.
    std::size_t maxBatchBytes = 256 * 1024;
    std::uint64_t seed = 1;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };
inline constexpr EnumNames<RaftRole, 4> raftRoleNames{
        {"follower", "pre-candidate", "candidate", "leader"}};

/// State of an instance that is about to stop.
enum class RaftDeparture {
    None,
    /// Its vote has not passed to another instance yet.
    Requested,
    /// It is no voter of the committed voter set.
    Released,
    /// There is no instance that could take its vote.
    NoSuccessor
};
inline constexpr EnumNames<RaftDeparture, 4> raftDepartureNames{
        {"none", "requested", "released", "no-successor"}};

/// Proof that a quorum acknowledged the leader at local time `at` or later. `commit` covers every
/// entry that was committed before `at`.
struct QuorumContact
{
    SteadyTimeMs at = 0;
    std::uint64_t commit = 0;
};

/// State that the caller must persist, and messages that it may send before persisting it.
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
    /// The read is linearizable once this index is applied. None if leadership was lost.
    std::optional<std::uint64_t> index;
};

/// Messages, entries and reads that take effect only after the output of takeOutput() was synced.
struct RaftSyncedOutput
{
    std::vector<RaftMessage> messages;
    /// A snapshot from the leader that replaces the applied state. It precedes `committed`.
    std::shared_ptr<const Snapshot> restored;
    std::vector<LogEntry> committed;
    std::vector<ConfirmedRead> reads;
};

struct LogPosition
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/// Raft state machine without I/O, clock or threads. The caller passes times of one monotonic
/// clock. After any number of inputs it calls takeOutput(), syncs the output (hard state, then
/// snapshot, then entries), and calls synced() or syncFailed(). No input is allowed between
/// takeOutput() and synced() or syncFailed().
class Raft
{
public:
    Raft(RaftOptions options, const HardState &hardState, std::shared_ptr<const Snapshot> snapshot,
         const std::vector<LogEntry> &entries, SteadyTimeMs now);

    // Inputs.
    void tick(SteadyTimeMs now);
    void receive(const RaftMessage &message, SteadyTimeMs now);
    /// Appends a command. None if this is not the leader. A command larger than
    /// RaftOptions::maxBatchBytes is split into several entries, of which the position is the last.
    std::optional<LogPosition> propose(std::string payload);
    /// Starts a linearizable read with a heartbeat round and returns its id. None if this is not
    /// the leader, or if no entry of its term is committed yet: its commit index may then be lower
    /// than that of the previous leader.
    std::optional<std::uint64_t> startRead(SteadyTimeMs now);
    /// Installs a snapshot that the caller has taken and synced, and discards entries up to
    /// `compactTo`. Later entries stay in memory, so that voters that lag slightly need no
    /// snapshot.
    void setSnapshot(std::shared_ptr<const Snapshot> snapshot, std::uint64_t compactTo);

    /// Adds an instance from the settings, which is asked for the group whenever there is no
    /// leader.
    void addProbeTarget(const std::string &name);
    /// Adds an instance that another part of the process has heard of. It is forgotten after
    /// RaftOptions::peerRetentionMs.
    void addPeerHint(const std::string &name, SteadyTimeMs now);

    // Outputs.
    RaftOutput takeOutput();
    RaftSyncedOutput synced(SteadyTimeMs now);
    /// Reports that the disk is full. Rolls back the unsynced log changes and discards the messages
    /// that depend on them.
    void syncFailed(SteadyTimeMs now);
    /// Gives up the leadership, so that another voter can be elected. Has no effect on an instance
    /// that does not lead.
    void resign(SteadyTimeMs now);

    /// Passes this instance's vote to an instance that has caught up, before the process stops. The
    /// group bears as many losses meanwhile: the successor votes before this instance ceases to. A
    /// leader gives up the leadership once its successor votes. A second call has no effect.
    void depart(SteadyTimeMs now);
    RaftDeparture departure() const { return m_departure; }

    RaftRole role() const { return m_role; }
    std::uint64_t term() const { return m_term; }
    /// Name of the known leader; empty if there is none.
    const std::string &leader() const { return m_leader.name; }
    /// True while this instance leads or has had recent contact with a leader.
    bool hasLeader(SteadyTimeMs now) const;
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const RaftLog &log() const { return m_log; }
    const std::vector<VoterId> &voters() const { return m_log.voters(); }
    bool isVoter() const;
    /// Names of the instances that are asked for the group: those in the settings, the voters, and
    /// those learnt from messages.
    std::vector<std::string> peerNames() const;
    /// Names learnt from messages since the last call. The caller must make these instances
    /// reachable.
    std::vector<std::string> takeNewPeers() { return m_directory.takeNewNames(); }
    /// The latest contact with a quorum, if there was one.
    std::optional<QuorumContact> contact(SteadyTimeMs now) const;

private:
    /// The leader's replication progress for one voter or learner.
    struct Peer
    {
        std::uint64_t matchIndex = 0;
        std::uint64_t nextIndex = 1;
        SteadyTimeMs lastContactAt = 0;
        /// Send time of the latest message that the peer acknowledged in this term.
        SteadyTimeMs ackedSentAt = 0;
        std::uint64_t ackedRound = 0;
        std::int64_t peerClock = 0;
        /// Id of the unacknowledged request that carries entries or a chunk; 0 if there is none.
        std::uint64_t inFlight = 0;
        SteadyTimeMs inFlightSince = 0;
        /// Commit index in the last Append sent to the peer.
        std::uint64_t sentCommit = 0;
        /// Snapshot being sent, and the offset of its next chunk. A transfer continues with the
        /// snapshot it started with; otherwise each new snapshot of a busy cluster would restart it
        /// and it might never complete.
        std::shared_ptr<const Snapshot> transfer;
        std::uint64_t transferOffset = 0;
    };
    struct PendingRead
    {
        std::uint64_t id = 0;
        std::uint64_t round = 0;
        std::uint64_t index = 0;
    };
    /// Response of another instance to a probe.
    struct ProbeResult
    {
        VoterId id;
        std::uint64_t term = 0;
        bool knowsVoters = false;
    };

    // Roles.
    void becomeFollower(std::uint64_t term, SteadyTimeMs now);
    void becomeLeader(SteadyTimeMs now);
    void recordLeaderContact(const VoterId &leader, SteadyTimeMs now);
    void resetElectionDeadline(SteadyTimeMs now);
    void failReads();
    bool isQuorum(std::size_t count) const;
    bool isVoter(const VoterId &id) const;

    // Elections.
    void startPreVote(SteadyTimeMs now);
    void startElection(SteadyTimeMs now);
    void onVoteRequest(const RaftMessage &message, SteadyTimeMs now);
    void onVoteResponse(const RaftMessage &message, SteadyTimeMs now);
    bool hasRecentLeaderContact(SteadyTimeMs now) const;
    bool isUpToDate(const RaftMessage &message) const;

    // Bootstrap and membership changes.
    void probe(SteadyTimeMs now);
    void sendProbe(const std::string &name);
    /// Sends probes to the known instances that the leader has no contact with. An instance that
    /// lost its disk knows its seeds only, and those may know nobody.
    void seekPeers(SteadyTimeMs now);
    bool hasContact(const std::string &name, SteadyTimeMs now) const;
    /// Records the sender of a message and the names that it passes on.
    void recordPeers(const RaftMessage &message, SteadyTimeMs now);
    /// Names that are passed on to other instances.
    std::vector<std::string> sharedPeerNames() const;
    void onProbe(const RaftMessage &message, SteadyTimeMs now);
    void onProbeResponse(const RaftMessage &message, SteadyTimeMs now);
    void bootstrapCluster(SteadyTimeMs now);
    void proposeVoterChange(SteadyTimeMs now);
    bool mayBecomeVoter(const std::string &name) const;
    /// The voter to remove in favor of a learner that has caught up; none if all are responsive.
    std::optional<VoterId> unresponsiveVoter(SteadyTimeMs now) const;
    /// Whether the learner has caught up and responds.
    bool mayVote(const VoterId &id, const Peer &peer, SteadyTimeMs now) const;
    void proposeVoters(std::vector<VoterId> next);
    /// Removes a voter from a set that has more than it needs. False if none is to be removed.
    bool removeExcessVoter(SteadyTimeMs now);
    /// Adds a successor of a departing voter. False if there is none to be added.
    bool addSuccessor(SteadyTimeMs now);
    void removeUnresponsiveLearners(SteadyTimeMs now);

    // Departure.
    void departureTick(SteadyTimeMs now);
    void onDeparture(const RaftMessage &message, SteadyTimeMs now);
    void onDepartureResponse(const RaftMessage &message, SteadyTimeMs now);
    bool isDeparting(const VoterId &id) const;
    void forgetDepartures(SteadyTimeMs now);
    /// Whether there are more voters than needed, as while a vote passes to a successor.
    bool isExcessive() const;
    /// Whether a learner is left for the departing voter after those that precede it.
    bool hasSuccessor(const VoterId &departing, SteadyTimeMs now) const;

    // Leader.
    void leaderTick(SteadyTimeMs now);
    void sendHeartbeats(SteadyTimeMs now);
    void sendToPeer(const VoterId &id, Peer &peer, SteadyTimeMs now, bool heartbeat);
    void sendSnapshotChunk(const VoterId &id, Peer &peer, SteadyTimeMs now);
    void sendNewEntries(SteadyTimeMs now);
    void onAppendResponse(const RaftMessage &message, SteadyTimeMs now);
    void onSnapshotResponse(const RaftMessage &message, SteadyTimeMs now);
    Peer *recordPeerContact(const RaftMessage &message, SteadyTimeMs now);
    void advanceCommit();
    void confirmReads();
    void appendLocal(std::uint32_t kind, std::string payload);
    bool hasCommittedInTerm() const;
    /// The highest value that a quorum of voters has reached; the leader contributes `own`.
    template <typename Value>
    Value quorumValue(Value own, Value Peer::*member) const;
    /// Send time of the latest messages that a quorum has acknowledged; 0 if there were none.
    SteadyTimeMs quorumContactAt(SteadyTimeMs now) const;

    // Follower.
    void onAppend(const RaftMessage &message, SteadyTimeMs now);
    void respondToAppend(const RaftMessage &message, bool accepted, std::uint64_t index,
                         SteadyTimeMs now);
    void onSnapshotChunk(const RaftMessage &message, SteadyTimeMs now);
    void installSnapshot(SteadyTimeMs now);

    RaftMessage makeMessage(RaftMessageKind kind, const VoterId &to) const;
    RaftMessage makeResponse(RaftMessageKind kind, const RaftMessage &request) const;
    std::uint64_t nextRequestId() { return ++m_lastRequestId; }

    const RaftOptions m_options;
    PeerDirectory m_directory;
    std::mt19937_64 m_random;

    std::uint64_t m_term = 0;
    std::string m_votedFor;
    bool m_hardStateChanged = false;
    RaftLog m_log;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::uint64_t m_commitIndex = 0;
    /// Last committed index that was passed to the caller.
    std::uint64_t m_deliveredIndex = 0;

    RaftRole m_role = RaftRole::Follower;
    VoterId m_leader;
    SteadyTimeMs m_lastLeaderContactAt = 0;
    /// Leader of the last contact, also after it is no longer followed.
    VoterId m_lastLeader;
    SteadyTimeMs m_electionDeadline = 0;
    SteadyTimeMs m_nextProbe = 0;
    SteadyTimeMs m_nextPeerExpiry = 0;
    CommandParts m_commandParts;
    /// Voters that granted the vote or pre-vote in progress.
    std::vector<VoterId> m_votes;
    /// True until the candidate's vote for itself is synced; it counts only from then on.
    bool m_ownVotePending = false;
    std::map<std::string, ProbeResult> m_probeResults;
    std::optional<QuorumContact> m_contact;

    RaftDeparture m_departure = RaftDeparture::None;
    SteadyTimeMs m_nextDepartureRequest = 0;
    /// Leader: instances that are about to stop, with the time of their last request. They get no
    /// vote.
    std::map<VoterId, SteadyTimeMs> m_departing;

    std::map<VoterId, Peer> m_peers;
    SteadyTimeMs m_nextHeartbeat = 0;
    std::uint64_t m_heartbeatRound = 0;
    std::uint64_t m_termStartIndex = 0;
    SteadyTimeMs m_leaderSince = 0;
    std::deque<PendingRead> m_pendingReads;
    std::vector<ConfirmedRead> m_finishedReads;
    std::uint64_t m_lastReadId = 0;

    /// Snapshot that is being received from the leader.
    std::shared_ptr<Snapshot> m_incomingSnapshot;
    std::uint64_t m_incomingSnapshotBytes = 0;
    /// Completely received snapshot that is not synced yet.
    std::shared_ptr<const Snapshot> m_receivedSnapshot;
    RaftMessage m_receivedRequest;

    std::uint64_t m_lastRequestId = 0;
    std::vector<RaftMessage> m_messages;
    std::vector<RaftMessage> m_messagesAfterSync;
    bool m_outputTaken = false;
};

/// Text form of a voter id in HardState::votedFor.
std::string formatVoterId(const VoterId &voter);

} // namespace dandelionloom

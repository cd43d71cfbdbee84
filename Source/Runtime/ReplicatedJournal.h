#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Consensus/Raft.h"
#include "Ports/DecisionLog.h"
#include "Ports/LogStorage.h"
#include "Ports/PeerTransport.h"
#include "Runtime/TaskQueue.h"

namespace dandelionloom {

struct JournalOptions
{
    /// Name of this instance among its peers.
    std::string name;
    /// Names of the instances that bootstrap the journal. This instance's name may be included.
    std::vector<std::string> initialVoters;
    /// Allows bootstrapping a new journal; true only on the first start of the whole system.
    bool mayBootstrap = false;
    /// Three voters tolerate the loss of one. A fourth instance stays a non-voting replacement,
    /// because four voters tolerate no more losses than three and block on an even split.
    std::size_t targetVoters = 3;
    /// See RaftOptions::unresponsiveVoterTimeoutMs.
    std::int64_t unresponsiveVoterTimeoutMs = 3000;
    std::int64_t heartbeatMs = 120;
    std::int64_t electionMinMs = 450;
    std::int64_t electionMaxMs = 900;
    /// A snapshot is requested once the log since the last one has reached this size.
    std::size_t compactBytes = 4 * 1024 * 1024;
    std::uint64_t seed = 1;
};

/// Leadership as the journal's thread knows it.
struct JournalStatus
{
    bool isLeader = false;
    std::uint64_t term = 0;
    /// Name of the leader; empty if it is unknown.
    std::string leader;
    std::vector<std::string> voters;
    /// End of the leader lease on the local clock: no other instance can have been elected before
    /// it. The leader must not act after it. 0 if there is no lease.
    SteadyTimeMs leaseUntil = 0;

    bool operator==(const JournalStatus &) const = default;
};

/// Leader lease, see JournalStatus::leaseUntil.
struct LeaderLease
{
    /// Term of the lease; 0 without one.
    std::uint64_t term = 0;
    SteadyTimeMs until = 0;
};

/// Callbacks that run on the journal's thread. The owner posts them to its own thread.
struct JournalEvents
{
    std::function<void(std::vector<LogEntry>)> committed;
    std::function<void(std::uint64_t index, std::string state)> restored;
    std::function<void(JournalStatus)> status;
    /// The log has reached JournalOptions::compactBytes; the owner must call saveSnapshot().
    std::function<void()> snapshotRequested;
    /// The disk failed and the process must stop. Called once.
    std::function<void(std::string)> failed;
    /// An instance that is not in the settings became known by a message. The owner must make it
    /// reachable as a peer before it returns, as messages to the instance may follow at once.
    std::function<void(std::string name)> peerFound;
};

/// A durable, replicated log of opaque records, stored by the instances with a disk. One thread
/// owns the consensus state and the storage, so that a sync never delays the owner's event loop.
class ReplicatedJournal
{
public:
    /// The references must outlive the journal.
    ReplicatedJournal(JournalOptions options, LogStorage &storage, PeerTransport &transport,
                      DecisionLog &log, JournalEvents events);
    ~ReplicatedJournal();

    /// Recovers the log from the storage, reports the snapshot through JournalEvents::restored, and
    /// installs the message handler. Must be called before the transport starts.
    Result<Done, StorageError> open();
    void start();
    void stop();

    /// Appends records if this instance leads in `term` and drops them otherwise: what was decided
    /// in an earlier term may contradict what another leader has recorded since. Only
    /// JournalEvents::committed reports that they were committed. A record that can't be stored is
    /// dropped as well; the instance then gives up the leadership, so that the owner never waits
    /// for a dropped record within a term.
    void propose(std::uint64_t term, std::string payload);
    /// Stores a snapshot of the owner's state as of `index` and drops the log up to it.
    void saveSnapshot(std::uint64_t index, std::string state);
    /// Adds an instance from the settings.
    void addPeer(const std::string &name);
    /// Adds an instance that another part of the process has heard of.
    void addPeerHint(const std::string &name);
    /// Passes this instance's vote on before the process stops, see Raft::depart(). The result is
    /// set once the instance is not needed any more, or has no successor; otherwise never.
    std::future<RaftDeparture> depart();
    /// The lease as the journal knows it now. May be called on any thread.
    LeaderLease lease() const;

private:
    void run();
    void iterate();
    void fail(const std::string &message);
    void onMessage(const std::string &body, const PeerTransport::Reply &reply);
    void send(std::vector<RaftMessage> messages);
    void flush();
    bool sync(const RaftOutput &output);
    bool checkSaved(const Result<Done, StorageError> &result, const char *what);
    void publishStatus(SteadyTimeMs now);
    void announceNewPeers();
    void reportDeparture();
    /// Logs that this instance is outside the group, repeatedly while that lasts, and its end.
    void logAdmission(SteadyTimeMs now);

    const JournalOptions m_options;
    LogStorage &m_storage;
    PeerTransport &m_transport;
    DecisionLog &m_log;
    const JournalEvents m_events;

    TaskQueue m_queue;
    std::thread m_thread;
    std::atomic<bool> m_stopped{false};
    bool m_failed = false;
    std::unique_ptr<Raft> m_raft;
    /// Replies to requests that Raft has not answered yet.
    std::map<std::pair<VoterId, std::uint64_t>, PeerTransport::Reply> m_pendingReplies;
    JournalStatus m_status;
    mutable std::mutex m_leaseMutex;
    LeaderLease m_lease;
    std::size_t m_bytesSinceSnapshot = 0;
    bool m_snapshotRequested = false;
    std::shared_ptr<std::promise<RaftDeparture>> m_departed;
    /// Since when this instance has been outside the group; none if it follows a leader or votes.
    std::optional<SteadyTimeMs> m_outsideSince;
    SteadyTimeMs m_nextAdmissionLog = 0;
};

} // namespace dandelionloom

#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Consensus/Raft.h"
#include "Ports/DecisionLog.h"
#include "Ports/LogStorage.h"
#include "Ports/MetricSink.h"
#include "Ports/PeerTransport.h"
#include "Ports/ReplicatedLog.h"
#include "Runtime/AppliedState.h"
#include "Runtime/FeedClient.h"
#include "Runtime/FeedSource.h"
#include "Runtime/PendingCall.h"
#include "Runtime/ProgressTable.h"
#include "Runtime/ReplicaMessages.h"
#include "Runtime/ReplicaOptions.h"
#include "Runtime/TaskQueue.h"

namespace dandelionloom {

/// The replicated log of one entry instance: a voter if it has a storage, else a follower. One
/// thread owns the consensus state, the storage and the application of commands.
class Replica : public ReplicatedLog
{
public:
    /// Called once, on the replica's thread, when the process must stop. The replica answers
    /// nothing after it.
    using FatalHandler = std::function<void(const std::string &message)>;

    /// `storage` is null for an instance without a data folder. All references must outlive the
    /// replica, and the transport must not call handlers or replies after stop() of its own.
    Replica(ReplicaOptions options, LogStorage *storage, PeerTransport &transport,
            StateStore &store, DecisionLog &log, MetricSink &metrics, FatalHandler fatal);
    ~Replica() override;

    /// Reads the storage and sets the message handlers. Call before the transport starts.
    Result<Done, StorageError> open();
    void start();
    /// Ends the thread. Calls that wait end with an error.
    void stop();

    Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds timeout) override;
    Result<std::uint64_t, LogError> confirmRead(Milliseconds timeout) override;
    LogStatus status() const override;
    Result<std::vector<ReplicaProgress>, LogError> progress(Milliseconds timeout) override;
    const StateStore &state() const override { return m_store; }

private:
    using ProposeDone = std::function<void(ProposeAnswer)>;
    /// A command that waits to be applied at this leader.
    struct WaitingCommand
    {
        std::uint64_t term = 0;
        SteadyTimeMs deadline = 0;
        ProposeDone done;
    };
    /// A call that continues once `index` is applied here.
    struct AppliedWaiter
    {
        std::uint64_t index = 0;
        SteadyTimeMs deadline = 0;
        std::function<void()> done;
    };
    struct DelayedTask
    {
        SteadyTimeMs at = 0;
        TaskQueue::Task task;
    };
    struct ProposeCall;
    struct ReadCall;
    using ProgressCall = PendingCall<std::vector<ReplicaProgress>>;
    using ReadDone = std::function<void(std::optional<std::uint64_t>)>;

    // Thread.
    void run();
    void iterate();
    void fail(const std::string &message);
    void publishStatus(SteadyTimeMs now);
    void runDelayed(SteadyTimeMs now);
    void post(TaskQueue::Task task);
    void postDelayed(std::int64_t delayMs, TaskQueue::Task task);

    // Consensus messages.
    void setHandlers();
    void onRaftRequest(const std::string &from, const std::string &body,
                       const PeerTransport::Reply &reply);
    void send(std::vector<RaftMessage> messages);
    void sendAnswer(RaftMessage message);
    void sendRequest(const RaftMessage &message);

    // Log and state.
    void flush();
    bool sync(const RaftOutput &output);
    bool isSaved(const Result<Done, StorageError> &result, const std::string &what);
    void release(RaftReleased released);
    void applyEntry(const LogEntry &entry);
    void failUnsynced();
    void compactLog();
    void leaderDuties(SteadyTimeMs now);
    std::int64_t nextAtMs();

    // Calls.
    void appendCommand(const std::string &encoded, SteadyTimeMs deadline, ProposeDone done);
    void startPropose(const std::shared_ptr<ProposeCall> &call);
    void forwardPropose(const std::shared_ptr<ProposeCall> &call, const std::string &leader);
    void finishPropose(const std::shared_ptr<ProposeCall> &call, const ProposeAnswer &answer);
    void retryPropose(const std::shared_ptr<ProposeCall> &call);
    void startRead(const std::shared_ptr<ReadCall> &call);
    void startProgress(const std::shared_ptr<ProgressCall> &call, SteadyTimeMs deadline);
    void whenApplied(std::uint64_t index, SteadyTimeMs deadline, std::function<void()> done);
    void runAppliedWaiters();
    void dropLateWaiters(SteadyTimeMs now);
    ReplicaProgress ownReport() const;
    std::string leaderReports();
    void noteReports(const std::string &packed, SteadyTimeMs now);
    std::vector<ReplicaProgress> reportsToSend(SteadyTimeMs now);
    std::vector<ReplicaProgress> leaderProgress(SteadyTimeMs now) const;

    bool isLeader() const;
    std::string leaderName() const;

    const ReplicaOptions m_options;
    LogStorage *const m_storage;
    PeerTransport &m_transport;
    StateStore &m_store;
    DecisionLog &m_log;
    MetricSink &m_metrics;
    const FatalHandler m_fatal;

    TaskQueue m_queue;
    std::thread m_thread;
    std::atomic<bool> m_stopped{false};
    bool m_failed = false;

    std::unique_ptr<Raft> m_raft;
    AppliedState m_applied;
    FeedSource m_feedSource;
    std::unique_ptr<FeedClient> m_feedClient;
    ProgressTable m_progress;
    SteadyTimeMs m_startedAt = 0;
    SteadyTimeMs m_nextGauges = 0;
    SteadyTimeMs m_nextReports = 0;
    SteadyTimeMs m_nextOwnReport = 0;
    SteadyTimeMs m_nextLeaderReports = 0;

    std::map<std::pair<std::string, std::uint64_t>, PeerTransport::Reply> m_replies;
    std::multimap<std::uint64_t, WaitingCommand> m_waiting;
    std::list<AppliedWaiter> m_appliedWaiters;
    std::list<DelayedTask> m_delayed;
    std::vector<ReadDone> m_newReads;
    std::map<std::uint64_t, std::vector<ReadDone>> m_runningReads;
    std::int64_t m_lastAtMs = 0;
    std::size_t m_bytesSinceSnapshot = 0;
    std::uint64_t m_snapshotIndex = 0;
    SteadyTimeMs m_nextSnapshotTry = 0;
    SteadyTimeMs m_nextExpire = 0;
    std::uint64_t m_leaderTerm = 0;
    std::string m_lastLeader;
    LogRole m_lastRole = LogRole::Follower;

    mutable std::mutex m_statusMutex;
    LogStatus m_status;
    std::optional<SteadyTimeMs> m_contactAt;
};

} // namespace dandelionloom

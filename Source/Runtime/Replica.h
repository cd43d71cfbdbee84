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

/// The replicated log of one entry instance. With a storage it takes part in consensus; without one
/// it is a follower that receives committed entries from another replica. One thread owns the
/// consensus state, the storage and the application of commands.
class Replica : public ReplicatedLog
{
public:
    /// Called once, on the replica's thread, when the process must stop. The replica answers no
    /// calls afterwards.
    using FatalHandler = std::function<void(const std::string &message)>;

    /// `storage` is null for an instance without a data folder. All references must outlive the
    /// replica. After the transport's own stop() it must not call handlers or replies any more.
    Replica(ReplicaOptions options, LogStorage *storage, PeerTransport &transport,
            StateStore &store, DecisionLog &log, MetricSink &metrics, FatalHandler fatal);
    ~Replica() override;

    /// Recovers the log from the storage and installs the message handlers. Must be called before
    /// the transport starts.
    Result<Done, StorageError> open();
    void start();
    /// Stops the thread. Pending calls fail.
    void stop();

    Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds timeout) override;
    Result<std::uint64_t, LogError> confirmRead(Milliseconds timeout) override;
    LogStatus status() const override;
    Result<std::vector<ReplicaProgress>, LogError> progress(Milliseconds timeout) override;
    const StateStore &state() const override { return m_store; }

private:
    using ProposeCallback = std::function<void(ProposeAnswer)>;
    /// A command that this leader has appended but not applied yet.
    struct PendingCommand
    {
        std::uint64_t term = 0;
        SteadyTimeMs deadline = 0;
        ProposeCallback callback;
    };
    /// A callback that runs once `index` is applied on this instance.
    struct AppliedWaiter
    {
        std::uint64_t index = 0;
        SteadyTimeMs deadline = 0;
        std::function<void()> callback;
    };
    struct DelayedTask
    {
        SteadyTimeMs at = 0;
        TaskQueue::Task task;
    };
    struct ProposeCall;
    struct ReadCall;
    using ProgressCall = PendingCall<std::vector<ReplicaProgress>>;
    using ReadCallback = std::function<void(std::optional<std::uint64_t>)>;

    // Thread.
    void run();
    void iterate();
    void fail(const std::string &message);
    void publishStatus(SteadyTimeMs now);
    void runDueTasks(SteadyTimeMs now);
    void post(TaskQueue::Task task);
    void postDelayed(std::int64_t delayMs, TaskQueue::Task task);

    // Messages between replicas.
    void setHandlers();
    void onRaftRequest(const std::string &from, const std::string &body,
                       const PeerTransport::Reply &reply);
    void send(std::vector<RaftMessage> messages);
    void sendAnswer(RaftMessage message);
    void sendRequest(const RaftMessage &message);

    // Log and state.
    void flush();
    bool sync(const RaftOutput &output);
    bool checkSaved(const Result<Done, StorageError> &result, const std::string &what);
    void release(RaftSyncedOutput released);
    void applyEntry(const LogEntry &entry);
    void failUnsyncedCommands();
    void compactLog();
    /// Work that is due while this instance is the leader. Does nothing on other instances.
    void runLeaderTasks(SteadyTimeMs now);
    /// Time of the next command. Never lower than that of an earlier command.
    std::int64_t nextCommandTimeMs();

    // Calls.
    void appendCommand(const std::string &encoded, SteadyTimeMs deadline, ProposeCallback callback);
    void startPropose(const std::shared_ptr<ProposeCall> &call);
    void forwardPropose(const std::shared_ptr<ProposeCall> &call, const std::string &leader);
    void finishPropose(const std::shared_ptr<ProposeCall> &call, const ProposeAnswer &answer);
    void retryPropose(const std::shared_ptr<ProposeCall> &call);
    void startRead(const std::shared_ptr<ReadCall> &call);
    void startProgress(const std::shared_ptr<ProgressCall> &call, SteadyTimeMs deadline);
    void whenApplied(std::uint64_t index, SteadyTimeMs deadline, std::function<void()> callback);
    void runAppliedWaiters();
    void expireWaiters(SteadyTimeMs now);
    ReplicaProgress ownReport() const;
    /// Encoded reports to attach to Append messages; empty if none are due.
    std::string leaderReports();
    void recordReports(const std::string &packed, SteadyTimeMs now);
    /// This instance's report and, if due, the reports of the followers that it feeds.
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
    SteadyTimeMs m_nextForwardedReports = 0;
    SteadyTimeMs m_nextOwnReport = 0;
    SteadyTimeMs m_nextLeaderReports = 0;

    std::map<std::pair<std::string, std::uint64_t>, PeerTransport::Reply> m_pendingReplies;
    std::multimap<std::uint64_t, PendingCommand> m_pendingCommands;
    std::list<AppliedWaiter> m_appliedWaiters;
    std::list<DelayedTask> m_delayedTasks;
    std::vector<ReadCallback> m_queuedReads;
    std::map<std::uint64_t, std::vector<ReadCallback>> m_unconfirmedReads;
    std::int64_t m_lastCommandTimeMs = 0;
    std::size_t m_bytesSinceSnapshot = 0;
    std::uint64_t m_snapshotIndex = 0;
    SteadyTimeMs m_nextSnapshotAttempt = 0;
    SteadyTimeMs m_nextExpire = 0;
    /// Last term in which this instance was the leader.
    std::uint64_t m_leaderTerm = 0;
    std::string m_lastLeader;
    LogRole m_lastRole = LogRole::Follower;

    mutable std::mutex m_statusMutex;
    LogStatus m_status;
    std::optional<SteadyTimeMs> m_contactAt;
};

} // namespace dandelionloom

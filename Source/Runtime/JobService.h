#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Adapters/Logging/JsonLineLog.h"
#include "Adapters/Peers/EventLoop.h"
#include "Ports/InstanceProvider.h"
#include "Ports/MetricSink.h"
#include "Ports/WorkerCalls.h"
#include "Runtime/JobCalls.h"
#include "Runtime/ReplicatedJournal.h"
#include "Scheduling/Dispatcher.h"
#include "Scheduling/MaintenancePlanner.h"
#include "Scheduling/PoolBalancer.h"
#include "Scheduling/ServiceLoads.h"
#include "Scheduling/ShareMeter.h"
#include "Scheduling/SubmissionForecast.h"
#include "Scheduling/SubmissionReview.h"
#include "Scheduling/TeamDirectory.h"

namespace dandelionloom {

struct JobServiceOptions
{
    /// Name of this instance among its peers, also sent as the lease holder in instance orders.
    std::string name;
    /// Minimum time between orders of two different leaders for the same instance.
    std::int64_t minOrderIntervalMs = 4000;
    DispatchOptions dispatch;
    MaintenanceOptions maintenance;
    PoolBalancerOptions balance;
    ShareOptions shares;
    SubmissionOptions submissions;
};

/// State machine of a control instance on top of the journal. Applies committed changes and, while
/// this instance is the leader, answers calls, runs the dispatcher and sends its orders. Not
/// thread-safe: used on the event loop's thread only.
class JobService
{
public:
    JobService(EventLoop &loop, JobServiceOptions options, JsonLineLog &log, MetricSink &metrics,
               WorkerCalls &workers, InstanceProvider &instances);
    ~JobService();
    JobService(const JobService &) = delete;
    JobService &operator=(const JobService &) = delete;

    /// Must be called before any other function. The journal must outlive the service.
    void setJournal(ReplicatedJournal &journal) { m_journal = &journal; }
    void start();

    // Journal events. The caller posts them to the event loop's thread.
    void onCommitted(const std::vector<LogEntry> &entries);
    void onRestored(std::uint64_t index, const std::string &state);
    void onStatus(const JournalStatus &status);
    void onSnapshotRequested();

    /// Answers a call. `reply` is invoked exactly once, possibly after this function returns.
    void handle(const JobCall &call, JobReplyCallback reply);
    LocateAnswer locate() const;
    /// True while this instance is the leader, has applied all changes of earlier terms, and holds
    /// a valid lease.
    bool leads() const;
    const std::string &leader() const { return m_status.leader; }
    const SchedulerState &book() const { return m_schedulerState; }
    /// True if the announcement of a worker adds nothing to the state applied here, so that any
    /// control instance may acknowledge it.
    bool isRecorded(const WorkerRecord &announced) const;

private:
    /// A reply that is sent once the change that it depends on is applied, or with the outcome
    /// Unknown if leadership is lost before.
    struct PendingReply
    {
        JobCallAnswer answer;
        JobReplyCallback reply;
    };

    /// Active if the job is unknown or `job` is empty.
    JobPhase phaseOf(const std::string &job) const;
    void apply(const JobChange &change);
    void sendPendingReplies(const JobChange &change);
    void sendPendingReplies(const std::string &key);
    void becomeLeader();
    void stepDown();
    void propose(std::vector<JobChange> changes);
    /// Passes the collected changes to the journal, as one entry.
    void proposeChanges(SteadyTimeMs now);
    void scheduleFlush();
    void flush();
    void step();
    /// Runs a step if one is due. A step must not wait until all answers that have arrived are
    /// handled, which takes over a second under overload while workers stand idle.
    void onWorkerAnswered();
    void scheduleIdleStep();
    void scheduleList();
    void listInstances();
    /// Lists the instances again after an order was confirmed, to learn whether the worker of the
    /// ordered instance has ended.
    void listAfterOrder();
    void carryOut(DispatchOrders orders);
    /// Valid while the present leader lease lasts.
    OrderAuthority orderAuthority() const;
    void carryOut(const MaintenanceOrders &orders);
    void carryOut(const BalanceOrders &orders);
    /// Proposes a record of the order and calls `send` once it is applied; see
    /// m_uncommittedOrders.
    void sendAfterCommit(const std::string &instance, const std::string &worker,
                         std::function<void(bool)> send);
    void logDecisions(const std::vector<DispatchDecision> &dispatchDecisions);
    void exportGauges(SteadyTimeMs now);
    void reportLag();

    /// Must be called whenever the configuration applied here may have changed.
    void rebuildTeams();
    /// Restores the shares from the jobs that were accepted within the last window.
    void rebuildShares();
    /// Null if the configuration in force has no such team.
    const TeamConfig *team(const std::string &name) const;
    /// Team of the caller, see KeyDecision::team. If the key is not valid for the queue, replies so
    /// and returns none.
    std::optional<std::string> findTeamOrReply(const QueueConfig &queue, const JobCall &call,
                                               const JobReplyCallback &reply);
    /// Team of a job that is recorded or proposed; empty for none.
    std::string teamOfJob(const std::string &job) const;
    /// Accepts the job or refuses it, as it would end too late or its team is beyond its share.
    SubmissionDecision decide(const JobRecord &job, const TeamConfig *owner,
                              const std::string &requestId, SteadyTimeMs now);
    /// Compares the first start of a job with its predicted one.
    void checkPrediction(const RunAssigned &assigned);
    /// False if the job is of another team than the caller's.
    bool findsJob(const std::string &caller, const std::string &job, const JobCall &call);
    /// Answers the repetition of a submission whose job was accepted and whose queue was removed
    /// since. False for any other call.
    bool acknowledgeKnownJob(const JobCall &call, const JobReplyCallback &reply);
    void submit(const JobCall &call, const JobReplyCallback &reply);
    void status(const JobCall &call, const JobReplyCallback &reply);
    void cancel(const JobCall &call, const JobReplyCallback &reply);
    void readConfiguration(const JobReplyCallback &reply);
    void changeConfiguration(const JobCall &call, const JobReplyCallback &reply);
    void announceWorker(const JobCall &call, const JobReplyCallback &reply);
    void deregisterWorker(const JobCall &call, const JobReplyCallback &reply);
    void startWave(const JobCall &call, const JobReplyCallback &reply);
    void waveState(const JobCall &call, const JobReplyCallback &reply);
    /// Sends `answer` once a change with this key is applied.
    void replyWhenApplied(const std::string &key, JobCallAnswer answer,
                          const JobReplyCallback &reply);

    EventLoop &m_loop;
    const JobServiceOptions m_options;
    JsonLineLog &m_log;
    MetricSink &m_metrics;
    WorkerCalls &m_workers;
    InstanceProvider &m_instances;
    ReplicatedJournal *m_journal = nullptr;
    std::shared_ptr<JobService *> m_alive;

    SchedulerState m_schedulerState;
    SilentWorkerLeases m_silentWorkerLeases;
    Dispatcher m_dispatcher;
    InstanceOrderLog m_orderLog;
    MaintenancePlanner m_maintenance;
    PoolBalancer m_balancer;
    JournalStatus m_status;
    std::uint64_t m_appliedIndex = 0;
    /// Term of the last applied entry.
    std::uint64_t m_appliedTerm = 0;
    bool m_leading = false;
    /// Changes that the next flush proposes as one journal entry.
    std::vector<JobChange> m_unproposedChanges;
    bool m_flushScheduled = false;
    SteadyTimeMs m_nextStep = 0;
    SteadyTimeMs m_nextStepAmongAnswers = 0;
    bool m_inStep = false;
    /// Time that the last flush waited for the event loop.
    std::int64_t m_lagMs = 0;
    /// Longest such time since the last export of the gauges.
    std::int64_t m_longestLagMs = 0;
    SteadyTimeMs m_nextProposal = 0;
    bool m_stepScheduled = false;
    SteadyTimeMs m_nextMaintenance = 0;
    SteadyTimeMs m_nextGauges = 0;
    bool m_listInFlight = false;
    std::multimap<std::string, PendingReply> m_pendingReplies;
    /// Teams of the jobs that are proposed and not yet applied, by job.
    std::map<std::string, std::string> m_teamsOfProposedJobs;
    /// Teams of the configuration applied here, see rebuildTeams().
    TeamDirectory m_teams;
    ShareMeter m_shares;
    ServiceLoads m_loads;
    /// Predicted first start of each job that was accepted in this term and has not started.
    std::unordered_map<JobId, SteadyTimeMs> m_predictedStarts;
    /// Callbacks, by instance, that send an order once its record is committed. The argument is
    /// false if the lease was lost in the meantime and the order must not be sent.
    std::map<std::string, std::function<void(bool)>> m_uncommittedOrders;
};

} // namespace dandelionloom

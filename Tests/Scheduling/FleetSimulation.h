#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Scheduling/Dispatcher.h"
#include "Scheduling/MaintenancePlanner.h"
#include "Scheduling/PoolBalancer.h"
#include "Scheduling/SchedulerState.h"

namespace dandelionloom::test {

/// A simulated worker that implements the worker protocol on a simulated clock.
struct FakeWorker
{
    struct Run
    {
        std::uint32_t run = 0;
        SteadyTimeMs startedAt = 0;
        /// 0 for a long-running task.
        SteadyTimeMs endsAt = 0;
        std::int64_t durationMs = 0;
        bool fails = false;
        bool hangs = false;
    };
    struct PendingRenewal
    {
        std::uint64_t cursor = 0;
        SteadyTimeMs answerBy = 0;
        std::uint64_t term = 0;
        /// The worker has seen a higher fencing token.
        bool fenced = false;
        bool lost = false;
        /// Incarnation that the renewal was sent to.
        std::int64_t startTimeMs = 0;
    };

    WorkerRecord record;
    std::uint64_t fence = 0;
    SteadyTimeMs bootedAt = 0;
    SteadyTimeMs leaseUntil = 0;
    std::map<TaskKey, Run> running;
    std::vector<EndedRun> ended;
    std::uint64_t lastEnd = 0;
    std::map<TaskKey, std::uint32_t> highestRun;
    std::vector<PendingRenewal> pendingRenewals;
    bool up = true;
    /// The worker keeps running, but no call reaches it.
    bool partitioned = false;
    bool failsAllRuns = false;
    bool hangsAllRuns = false;
    /// The worker carries out starts, but the answers are lost.
    bool dropsAnswers = false;
    /// If above 0, the next start gets no answer and is carried out after this time.
    std::int64_t lateStartMs = 0;
    /// The worker refuses all starts as unhealthy.
    bool refusesStarts = false;
};

/// Simulates a leader's scheduler state, dispatcher and planners with workers and an instance
/// provider, on a simulated clock. Changes are committed after a delay. Each start is checked
/// against the guarantees of the scheduler; a violation throws an exception that names the seed.
class FleetSimulation
{
public:
    explicit FleetSimulation(std::uint64_t seed);

    SteadyTimeMs now = 1000000;
    std::int64_t commitMs = 20;
    DispatchOptions dispatchOptions;
    bool balancerEnabled = false;
    PoolBalancerOptions balancerOptions;
    /// Fraction of the start orders and renewals that are carried out but get no answer.
    double answerLossRate = 0;
    /// If above 0, the provider answers no maintenance order and carries each out after this time.
    std::int64_t maintenanceDelayMs = 0;
    /// Time that the provider takes to answer a move that it has carried out.
    std::int64_t moveAnswerMs = 0;
    /// False while the provider does not list its instances.
    bool listsInstances = true;
    /// Time between a maintenance order and the commit of its record in the journal.
    std::int64_t orderCommitMs = 0;
    /// Workers that the advice service allows for queues that need advice.
    std::set<std::string> permittedWorkers;
    /// Difference of the leader's time of day to the simulated clock.
    std::int64_t wallOffsetMs = 0;
    /// Interval of the scheduler steps.
    std::int64_t stepMs = 5;
    /// Interval of the planners' steps.
    std::int64_t planMs = 5;
    /// Run time of a task; 680 ms by default.
    std::function<std::int64_t(const TaskKey &)> durationOf;
    /// Returns true for runs that end as failed.
    std::function<bool(const TaskKey &, const std::string &worker)> fails;

    void configure(const std::vector<QueueConfig> &queues, const std::vector<std::string> &services,
                   const std::string &standby = {});
    std::string addWorker(const std::string &service, std::int64_t milli = 16000);
    void start();
    /// Another instance becomes leader, with the changes committed so far.
    void changeLeader();
    /// Replaces the teams of the configuration. Each start is checked against their quotas.
    void setTeams(const std::vector<TeamConfig> &teams);
    void submit(const std::string &id, const std::string &queue, std::vector<StepSpec> steps,
                const std::string &team = {}, bool beyondShare = false);
    void cancel(const std::string &id);
    void startWave(const std::vector<std::string> &instances, std::uint32_t maxAtOnce);
    void run(std::int64_t milliseconds);
    void runUntil(const std::string &what, std::int64_t limit,
                  const std::function<bool()> &condition);

    JobPhase phaseOf(const std::string &id) const { return state.job(id)->phase; }
    std::size_t runningCount(const std::string &job) const;
    /// Resources of the tasks that workers run for the team, whether recorded or not.
    TaskResources runningOf(const std::string &team) const;
    void crash(const std::string &worker);
    /// Starts another worker on the instance. Returns its id.
    std::string replaceWorker(const std::string &instance);
    /// Restarts a worker under its id. Late starts for its earlier incarnation reach the next one.
    void restart(const std::string &worker);
    /// The same without an announcement.
    void restartUnannounced(const std::string &worker);
    /// Announces a worker that need not be one of `workers`.
    void announceRecord(const WorkerRecord &worker);
    [[noreturn]] void reportViolation(const std::string &what) const;

    SchedulerState state;
    InstanceOrderLog orderLog{4000};
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<MaintenancePlanner> maintenance;
    std::unique_ptr<PoolBalancer> balancer;
    std::map<std::string, FakeWorker> workers;
    std::map<std::string, ListedInstance> instances;
    /// Return time of each moved or maintained instance, and its pool.
    std::map<std::string, std::pair<SteadyTimeMs, std::string>> returning;
    std::uint32_t starts = 0;
    std::uint32_t moves = 0;
    std::vector<std::string> maintainedInstances;
    /// Number of maintenance orders that reached the provider, and the worker of the last one.
    std::size_t ordersReceived = 0;
    std::string lastOrderedWorker;
    std::map<std::string, SteadyTimeMs> acceptedAt;
    std::map<std::string, SteadyTimeMs> completedAt;
    std::uint64_t term = 0;
    /// Decisions to let a job wait.
    std::vector<DispatchDecision> waits;
    /// Reports of long-running tasks that have waited for long.
    std::vector<DispatchDecision> longRunningWaits;
    /// Workers found to have restarted by their answers.
    std::vector<DispatchDecision> restarts;
    /// Workers that were given up.
    std::vector<DispatchDecision> losses;
    /// Decisions to reserve quota for a step.
    std::vector<DispatchDecision> reservations;
    /// Digest of all placements with their times, in order.
    std::uint64_t placementDigest = 0xcbf29ce484222325;
    /// Time for which starts may still follow a replaced quota: changes and orders on their way.
    std::int64_t quotaSettleMs = 500;
    /// Processor time used by the dispatcher and the planners.
    double schedulerSeconds = 0;

private:
    struct Commit
    {
        SteadyTimeMs at = 0;
        JobChange change;
    };

    /// Unfinished tasks and the state of the workers, for failure messages.
    std::string unfinishedTasks() const;
    void tick();
    void propose(JobChange change);
    void commitDueChanges();
    void execute(const DispatchOrders &orders);
    std::optional<CallFault> startRun(const StartOrder &order, std::uint64_t orderTerm);
    void sendRenewal(const RenewOrder &order);
    /// True if the worker leaves the start unanswered and carries it out later.
    bool delayStart(const StartOrder &order);
    void carryOutLateStarts();
    void advise(const AdviceOrder &order);
    std::optional<CallFault> stopRun(const StopOrder &order);
    void checkStart(const StartOrder &order) const;
    void checkQuota(const StartOrder &order) const;
    void recordDecisions(const std::vector<DispatchDecision> &decisions);
    void advanceWorker(FakeWorker &worker);
    void endRun(FakeWorker &worker, const TaskKey &task, RunOutcome runOutcome);
    void answerRenewals();
    /// Answers the renewal, or reports that it has failed. False while the worker holds it.
    bool answerRenewal(const std::string &id, FakeWorker &worker,
                       const FakeWorker::PendingRenewal &renewal);
    /// True if calls to the address reach another worker, which refuses those for this one.
    bool isHeldByOther(const std::string &address, const std::string &worker) const;
    bool isAnswerLost();
    void execute(const MaintenanceOrders &orders);
    void beginMaintenance(const MaintenanceOrder &order);
    void takeDown(const std::string &instance);
    void execute(const BalanceOrders &orders);
    void returnInstances();
    /// Runs `call` and adds its processor time to schedulerSeconds.
    void measureProcessorTime(const std::function<void()> &call);
    std::string instanceOf(const std::string &worker) const;
    void announce(const std::string &worker);

    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::deque<Commit> m_commits;
    SilentWorkerLeases m_silentWorkerLeases;
    struct LostAnswer
    {
        SteadyTimeMs at = 0;
        std::string worker;
        TaskKey task;
        std::uint32_t run = 0;
    };
    /// Starts whose answer is lost, until the call times out.
    std::deque<LostAnswer> m_unansweredStarts;
    struct LateStart
    {
        SteadyTimeMs at = 0;
        StartOrder order;
        std::uint64_t term = 0;
    };
    /// Replaced quotas by team, with the time of their replacement.
    std::vector<std::pair<SteadyTimeMs, std::map<std::string, TaskResources>>> m_replacedQuotas;
    std::vector<LateStart> m_lateStarts;
    struct DelayedOrder
    {
        SteadyTimeMs at = 0;
        std::uint64_t term = 0;
        MaintenanceOrder order;
    };
    std::vector<DelayedOrder> m_pendingOrders;
    std::vector<std::pair<SteadyTimeMs, MoveOrder>> m_unansweredMoves;
    struct DelayedTakeDown
    {
        SteadyTimeMs at = 0;
        std::string instance;
        std::uint64_t term = 0;
    };
    /// Instances that the provider takes out of service later, unless a later leader has given an
    /// order for them by then.
    std::vector<DelayedTakeDown> m_delayedTakeDowns;
    /// Term of the last order for each instance.
    std::map<std::string, std::uint64_t> m_orderTerms;
    /// Instances that the provider has taken out of service for the wave; it confirms repeated
    /// orders for them.
    std::set<std::string> m_takenDown;
    std::uint32_t m_lastWorker = 0;
    SteadyTimeMs m_nextList = 0;
    SteadyTimeMs m_nextStep = 0;
    SteadyTimeMs m_nextPlan = 0;
};

StepSpec shortStep(std::uint32_t count, std::int64_t milli = 1000);
StepSpec longRunningStep(std::uint32_t count, std::uint32_t maxUnavailable);
QueueConfig queueOf(const std::string &name, const std::string &service,
                    std::uint32_t maxAttempts = 3);

} // namespace dandelionloom::test

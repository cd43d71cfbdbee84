#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Model/Result.h"
#include "Scheduling/AnnouncementOrder.h"
#include "Scheduling/DemandTracker.h"
#include "Scheduling/DispatchTypes.h"
#include "Scheduling/DisruptionBudgets.h"
#include "Scheduling/LongRunningWaits.h"
#include "Scheduling/QuotaReservations.h"
#include "Scheduling/RunDurations.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/SilentWorkerLeases.h"
#include "Scheduling/TeamQuota.h"
#include "Scheduling/TeamWaits.h"
#include "Scheduling/UnassignedRuns.h"
#include "Scheduling/WaitingSteps.h"
#include "Scheduling/WorkerRestart.h"
#include "Scheduling/WorkerView.h"

namespace dandelionloom {

/// Sent by a worker with each announcement.
struct WorkerAnnouncement
{
    WorkerRecord worker;
    /// Increases with each announcement of one incarnation; a lower number marks a delayed
    /// announcement.
    std::uint64_t sequence = 0;
    /// The worker's steady clock, on which leases are measured; -1 if not announced.
    std::int64_t clockMs = -1;
};

/// Numbers of waiting steps by what they wait for.
struct WaitCounts
{
    std::uint32_t quota = 0;
    std::uint32_t advice = 0;
    /// No worker with enough free capacity.
    std::uint32_t capacity = 0;
    /// Left for a later pass.
    std::uint32_t notSearched = 0;
};

/// Workers with tasks that have left at least two renewals in a row unanswered.
struct SilentWorkers
{
    std::uint32_t count = 0;
    /// Time since the first unanswered renewal, in milliseconds; 0 if there are none.
    std::int64_t longestMs = 0;
};

/// Places tasks on workers and maintains the workers' leases, for the leader. A state machine
/// without I/O, clock or threads: it takes events and the current time, and returns orders with the
/// reasons for them. In a new term everything beyond SchedulerState is rebuilt from the answers of
/// the workers.
class Dispatcher
{
public:
    Dispatcher(const SchedulerState &state, DispatchOptions options);

    /// Starts a term as leader: each assigned run may be in any state from sent to ended.
    /// `leaseEnds` tells when the leases of silent workers end. Those of all others count as
    /// extended until now.
    void beginTerm(SteadyTimeMs now, SilentWorkerLeases::LeaseEnds leaseEnds = {});
    void endTerm();
    bool leads() const { return m_leads; }

    /// Must be called after SchedulerState::apply() with the same change.
    void applied(const JobChange &change, SteadyTimeMs now);
    /// Returns the changes to propose for an announcement; empty if nothing has changed, and for a
    /// restart under a recorded id, which a later step() proposes once the worker has confirmed it.
    std::vector<JobChange> announced(const WorkerAnnouncement &announcement, SteadyTimeMs now);
    /// True if the worker is said to have restarted under its id, and that is not recorded yet.
    bool isRestartPending(const std::string &worker) const { return m_restarts.contains(worker); }
    /// Begins the removal of a worker and returns true; false if the deregistration concerns no
    /// recorded incarnation. It names none, and a control instance that was suspended may pass it
    /// on when the next one is already in use. The worker is removed by a later step(), when all
    /// its runs have ended: until it gets an answer it goes on with them.
    bool deregistered(const std::string &worker);
    /// Called when the renewal sent to the incarnation of the worker with this start time is
    /// answered or has failed.
    void renewed(const std::string &worker, std::int64_t startTimeMs,
                 const Result<RenewAnswer, CallFault> &answer, SteadyTimeMs now);
    void startAnswered(const std::string &worker, const TaskKey &task, std::uint32_t run,
                       std::optional<CallFault> fault, SteadyTimeMs now);
    void stopAnswered(const StopOrder &order, std::optional<CallFault> fault, SteadyTimeMs now);
    /// Called when a pace order failed: the pace of the run is unknown and is ordered again.
    void paceFailed(const PaceOrder &order);
    void adviceAnswered(const AdviceOrder &order,
                        const std::optional<std::map<std::string, std::string>> &tickets,
                        SteadyTimeMs now);

    DispatchOrders step(SteadyTimeMs now, WallTimeMs wallNow);

    // Used by the planners of maintenance and pool moves.
    void setCordoned(const std::string &worker, bool cordoned);
    /// Set when the shutdown of the worker has been ordered; its tasks count as unavailable from
    /// then on.
    void setLeaving(const std::string &worker, bool leaving);
    /// Sets the workers whose instances are still due for maintenance; long-running tasks placed
    /// there would have to move once more.
    void setMaintenanceDue(std::set<std::string> workers);
    /// True if the worker has answered in this term and its last answer is recent.
    bool hasRecentAnswer(const std::string &worker, SteadyTimeMs now) const;
    /// Number of runs on the worker that end by themselves.
    std::size_t shortRunsOn(const std::string &worker) const;
    /// Names a task whose step would exceed its disruption budget (maxUnavailable) if the worker
    /// were taken out of service, with the numbers; empty if no budget would be exceeded.
    std::string disruptionBudgetViolation(const std::string &worker, SteadyTimeMs now) const
    {
        return m_disruptionBudgets.violation(worker, now);
    }
    /// True if a long-running task that has waited for long could run on the worker, if this gets
    /// tasks.
    bool isAwaited(const std::string &worker, SteadyTimeMs now) const;
    /// Stops one long-running task on the worker that the disruption budget allows to be
    /// unavailable, so that it starts on another worker. For workers that hold more tasks of a step
    /// than its budget permits. False if no task can be evicted now.
    bool evictOneTask(const std::string &worker, SteadyTimeMs now);
    /// True if a worker has confirmed a task of the job, in this term, or has reported the end of
    /// one.
    bool hasStarted(const JobRecord &job) const;
    /// Number of active jobs of the queue of which no task has started, as of at most
    /// pendingCountMs ago.
    std::size_t pendingJobs(const std::string &queue, SteadyTimeMs now);
    /// Thousandths of a core that the long-running tasks on a worker take, as in ServiceDemand.
    std::int64_t longRunningMilli(const WorkerRecord &worker, const WorkerView &view) const
    {
        return m_demand.dominantMilli(worker.service, view.longRunningNeed);
    }
    /// Demand of each service that has jobs, by service name.
    std::map<std::string, ServiceDemand> demands(SteadyTimeMs now);
    const WorkerView *view(const std::string &worker) const;
    /// True if the job is active and waitingSteps() will contain it from the next pass on only.
    bool isNew(const JobId &job) const
    {
        return m_changedJobs.contains(job) && m_activeJobs.contains(job)
                && !m_waiting.contains(job);
    }
    /// As of the last placement pass.
    const WaitingSteps &waitingSteps() const { return m_waiting; }
    const RunDurations &durations() const { return m_durations; }
    /// Resources that the team's tasks take: from the proposal of a run to the record of its end,
    /// and until it has certainly ended.
    TaskResources useOf(const std::string &team) const;
    /// Quotas of the configuration in force, by team; without teams that have none.
    const std::map<std::string, TaskResources> &quotas() const { return m_quotas; }
    /// What the waiting steps waited for in the last placement pass.
    const WaitCounts &waitCounts() const { return m_waitCounts; }
    /// Long-running tasks that had no worker after the last placement pass.
    const LongRunningWaits &longRunningWaits() const { return m_longRunningWaits; }
    SilentWorkers silentWorkers(SteadyTimeMs now) const;
    /// Age of the renewal that has waited longest for its answer, in milliseconds; 0 if none waits.
    std::int64_t oldestRenewalMs(SteadyTimeMs now) const;

private:
    struct Tickets
    {
        bool asked = false;
        SteadyTimeMs validUntil = 0;
        SteadyTimeMs askAgainAt = 0;
        std::map<std::string, std::string> byWorker;
        /// Workers that were named and may not run the step. They are named again only when no
        /// other worker is left.
        std::set<std::string> denied;
    };
    /// A schedulable worker, looked up once per placement pass.
    struct Candidate
    {
        const WorkerRecord *worker = nullptr;
        const WorkerView *view = nullptr;
    };
    using Candidates = std::vector<Candidate>;
    /// Requirements of a task that no worker met.
    struct UnmetNeed
    {
        TaskResources need;
        std::string requiredLabel;
    };
    /// Steps with the negative time for which they have waited, by service.
    using NeglectedSteps = std::map<std::string, std::vector<std::pair<std::int64_t, StepKey>>>;
    /// Needs of tasks that their team's quota does not allow, by team.
    using HeldNeeds = std::map<std::string, std::vector<TaskResources>>;
    /// A step that is placed at a better position than its own.
    struct AdvancedStep
    {
        StepPosition placedAt;
        StepPosition position;
    };
    /// State of a placement pass over the steps of one service.
    struct PlacementPass
    {
        /// Workers that may get further tasks in this pass.
        Candidates candidates;
        SteadyTimeMs now = 0;
        WallTimeMs wallNow = 0;
        DispatchOrders &orders;
        /// Shared by the services: the use of a team only grows within a pass.
        HeldNeeds &heldNeeds;
        /// Steps with such requirements are skipped: free capacity only shrinks within a pass.
        std::vector<UnmetNeed> unmetNeeds;
        /// Steps that were searched workers for before their turn.
        std::set<StepKey> searched;
        /// Steps that wait for advice or for which no worker was found.
        std::uint32_t failedSearches = 0;
        /// Tasks for which no worker could be held.
        std::uint32_t failedHolds = 0;
    };

    // Runs and leases. The cost of a change must depend only on what it affects: a deployment of
    // 350 workers has about 2,000 changes a second.
    /// Rebuilds the runs of a worker from SchedulerState, for a new incarnation or a new term.
    void syncRuns(const std::string &worker);
    void addRun(const std::string &worker, const TaskKey &task);
    void removeRun(const TaskKey &task);
    /// Null if the worker has no run of the task.
    const RunView *findRun(const std::string &worker, const TaskKey &task) const;
    void reserve(WorkerView &view, const TaskKey &task);
    void release(WorkerView &view, const TaskKey &task);
    void onAccepted(const JobAccepted &accepted, SteadyTimeMs now);
    void onAssigned(const RunAssigned &assigned);
    void onEnded(const RunEnded &ended, SteadyTimeMs now);
    /// Queues all workers with runs of an ended job for the next pass of stop orders.
    void queueStopsOfEndedJob(const JobId &job);
    void queueStartsAndStops(const std::string &worker);
    void removeWorker(const std::string &worker);
    /// Forgets what is known of a worker, but for the planners' marks: an order for its instance
    /// may still be carried out, whichever incarnation runs there.
    void resetWorker(const std::string &worker);
    // Workers that start again under their id.
    /// Generation of the orders to the worker, see fencingToken().
    std::uint64_t generationOf(const std::string &worker) const;
    bool isServiceConfigured(const std::string &service) const;
    /// True if the recorded incarnation has ended and the next one is not recorded yet.
    bool isRestartConfirmed(const std::string &worker) const;
    void onRestartAnnounced(const WorkerAnnouncement &announcement, SteadyTimeMs now);
    /// Called with the record of a worker of which a later incarnation has answered.
    void confirmRestart(const WorkerRecord &worker, std::int64_t startTimeMs, SteadyTimeMs now);
    void emitRestartChecks(SteadyTimeMs now, DispatchOrders &orders);
    void onRestartChecked(const WorkerRecord &worker, const Result<RenewAnswer, CallFault> &answer,
                          SteadyTimeMs now);
    /// Called when an incarnation has been recorded, after its view was made.
    void onIncarnationRecorded(const WorkerRecord &worker, SteadyTimeMs now);
    void onStartConfirmed(const TaskKey &task, RunView &run, SteadyTimeMs now);
    void onRunningRow(const std::string &worker, WorkerView &view, const RunningRun &row,
                      SteadyTimeMs now);
    void onEndedRow(const std::string &worker, WorkerView &view, const EndedRun &row);
    void onMissingRun(const std::string &worker, WorkerView &view, const TaskKey &task,
                      RunView &run);
    void onStartRefused(const std::string &worker, const TaskKey &task, RunView &run);
    void proposeEnd(const TaskKey &task, std::uint32_t run, RunOutcome runOutcome,
                    std::string checkpoint);
    void emitRenewals(SteadyTimeMs now, DispatchOrders &orders);
    void emitStarts(SteadyTimeMs now, DispatchOrders &orders);
    void emitStops(SteadyTimeMs now, DispatchOrders &orders);
    /// True if the team of an assigned task uses more than its quota, and not for this task alone.
    bool exceedsQuota(const JobRecord &job, const TaskKey &task) const;
    /// Returns true while a run remains to be sent.
    bool emitStartsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                      DispatchOrders &orders);
    /// Returns true while a run on the worker remains to be stopped.
    bool emitStopsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                     DispatchOrders &orders);
    /// Evaluates the readings of the last answers: stops stalled runs and paces best-effort tasks.
    void reviewAnswers(SteadyTimeMs now, DispatchOrders &orders);
    void stopStalledRuns(const std::string &id, WorkerView &view, SteadyTimeMs now);
    void emitPacesOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                     DispatchOrders &orders);
    void endRunsWithExpiredLeases(SteadyTimeMs now);
    void removeDeregisteredWorkers();
    void purgeOldJobs(SteadyTimeMs now, WallTimeMs wallNow);
    std::int64_t extendLease(WorkerView &view, SteadyTimeMs now);
    /// False from the proposal that the worker is silent until it is recorded that it answers.
    bool mayExtendLease(const std::string &worker, const WorkerView &view) const
    {
        return !view.silenceProposed && !m_state.isSilent(worker);
    }
    void onRenewalFailed(const WorkerRecord &worker, WorkerView &view, SteadyTimeMs now);
    /// Proposes a record that the worker is silent, unless it is recorded or has no runs.
    void recordSilence(const WorkerRecord &worker, WorkerView &view, SteadyTimeMs now);
    /// Proposes a record that the worker answers, if it counts as silent.
    void recordAnswer(const WorkerRecord &worker, WorkerView &view);
    /// Time from which on the worker holds no lease of this leader or an earlier one, but for the
    /// margin of late timers.
    SteadyTimeMs leaseEnd(const std::string &worker, const WorkerView &view) const;
    /// Longest lease that the journal allows leaders to request.
    std::int64_t recordedLeaseLimitMs() const;
    /// Proposes the length of the leases of this version as their limit, as soon as no longer ones
    /// of earlier leaders can be valid.
    void recordLeaseLimit(SteadyTimeMs now);

    // Placement.
    void placePendingSteps(SteadyTimeMs now, WallTimeMs wallNow, DispatchOrders &orders);
    /// The workers of a service that may get tasks now.
    Candidates candidatesOf(const std::string &service, SteadyTimeMs now);
    /// Brings m_waiting up to date with the changed jobs and the time.
    void updateWaitingSteps(SteadyTimeMs now, WallTimeMs wallNow);
    std::vector<WaitingStep> waitingStepsOf(const JobRecord &job, WallTimeMs wallNow);
    /// Long-running steps of each service with a task that has waited for long, the longest wait
    /// first.
    NeglectedSteps neglectedSteps(SteadyTimeMs now) const;
    /// Places them before all others: best-effort ones have their turn behind the short steps,
    /// which in a full pool take all capacity that gets free.
    void placeNeglectedSteps(const std::vector<std::pair<std::int64_t, StepKey>> &steps,
                             PlacementPass &pass);
    void placeSteps(const std::string &service, const ServiceSteps &steps, PlacementPass &pass);
    /// Chooses the jobs of starved teams that are placed ahead of those of other teams.
    void reviewTeamWaits(SteadyTimeMs now, DispatchOrders &orders);
    /// Steps of the service's advanced jobs, with the positions at which they are placed.
    std::vector<AdvancedStep> advancedSteps(const std::string &service);
    /// Places the advanced steps that come before the position, and removes them from the list.
    void placeAdvancedSteps(std::vector<AdvancedStep> &steps, const StepPosition &before,
                            PlacementPass &pass);
    /// Records why the waiting tasks of a long-running step got no worker; nothing for other steps.
    void recordObstacle(const StepKey &key, PlacementObstacle obstacle, SteadyTimeMs now);
    /// The same for the steps of a service that has no worker for tasks.
    void recordMissingWorkers(const ServiceSteps &steps, SteadyTimeMs now);
    /// Records since when the tasks of a job's long-running steps wait.
    void recordLongRunningSteps(const JobRecord &job, SteadyTimeMs now);
    /// Adds the workers for long-running tasks that have waited for long.
    void addLongRunningDemand(std::map<std::string, ServiceDemand> &demands,
                              SteadyTimeMs now) const;
    /// Logs the long-running tasks that have waited for long.
    void reportLongRunningWaits(SteadyTimeMs now);
    /// Returns false if the quota holds the step, and with it the rest of its lane for this pass.
    bool placeStep(const StepPosition &position, const StepLane &lane, PlacementPass &pass);
    /// Places the tasks of a step of which the quota allows the first. Returns false if it holds
    /// the rest.
    bool placeTasks(const StepPosition &position, const StepLane &lane, PlacementPass &pass);
    // Quotas of teams.
    /// Null for a team without a quota.
    const TaskResources *quotaOf(const std::string &team) const;
    /// True if the quota of the lane's team allows the tasks of the lane that start together.
    bool isAllowedByQuota(const StepLane &lane, PlacementPass &pass) const;
    /// True if a step at this rank of the lane has to wait for a reservation.
    bool isReservedForOther(const StepLane &lane, const StepRank &rank) const;
    static void reportQuotaWait(const StepKey &key, std::uint32_t index, PlacementPass &pass);
    /// Records that the quota holds the lane from the position on, at the task of this index.
    void holdLane(const StepLane &lane, const StepPosition &position, std::uint32_t index,
                  PlacementPass &pass);
    /// True if a recorded worker of the service could hold a task of the step, were it idle.
    bool fitsSomeWorker(const std::string &service, const StepSpec &step) const;
    /// Ends the reservation of a lane after a worker was searched for one of its steps.
    void recordSearch(const StepLane &lane, bool isPlaced, SteadyTimeMs now);
    /// Ends reservations whose steps don't wait any more, could not start or have waited too long.
    void reviewReservations(SteadyTimeMs now);
    /// True if the worker can hold a long-running task as soon as its short tasks have ended.
    bool couldHold(const WorkerRecord &worker, const WorkerView &view, const TaskKey &task) const;
    /// Keeps workers free of other tasks for the rest of the pass, until there is room on them for
    /// the tasks of a long-running step, of which the one with the index `first` fits on no worker:
    /// one worker for this task, and one for each behind it that has waited for long.
    void holdWorkersFor(const WaitingStep &waiting, std::uint32_t first, const Tickets *tickets,
                        PlacementPass &pass);
    /// Does so for one task. False if no worker could hold the task.
    bool holdWorkerFor(const TaskKey &task, const Tickets *tickets, PlacementPass &pass);
    /// True if a task that requires no more has found no worker in this pass.
    static bool isKnownUnmet(const PlacementPass &pass, const StepSpec &step,
                             const TaskResources &need);
    /// True while a task of the step waits rather than exceed the disruption budget on a worker.
    bool isSpreadKept(const JobRecord &job, const TaskKey &task, SteadyTimeMs now) const;
    std::optional<std::string> chooseWorker(const JobRecord &job, const TaskKey &task,
                                            const Candidates &candidates, const Tickets *tickets,
                                            SteadyTimeMs now) const;
    bool placeGang(const JobRecord &job, const WaitingStep &waiting, const Tickets *tickets,
                   PlacementPass &pass);
    void assign(const TaskKey &task, std::uint32_t run, const std::string &worker, SteadyTimeMs now,
                DispatchOrders &orders);
    bool isSchedulable(const WorkerRecord &worker, const WorkerView &view, SteadyTimeMs now) const;
    const Tickets *ticketsFor(const WaitingStep &waiting, PlacementPass &pass);
    TaskResources needOf(const TaskKey &task) const;
    bool isLongRunning(const TaskKey &task) const;
    /// True if a worker has listed a run of the task as done, so that it needs no other run, and
    /// this end is not recorded yet.
    bool isListedAsDone(const TaskKey &task) const;
    bool isBestEffort(const TaskKey &task) const;
    /// Number of runs of the task's step that the worker has or gets, also those that it still has
    /// to stop.
    std::uint32_t runsOfStepOn(const std::string &worker, const WorkerView &view,
                               const TaskKey &task) const;
    bool hasLatencyTarget(const WorkerView &view) const;
    void recordEnd(const RunEnded &ended, const std::string &worker, SteadyTimeMs now);

    struct TeamNeed
    {
        std::string team;
        TaskResources need;
    };
    /// End of a run that a worker has listed.
    struct ListedEnd
    {
        std::string worker;
        std::uint64_t number = 0;
        RunOutcome runOutcome = RunOutcome::Done;
    };

    /// Counts a run that may go on although it is not assigned any more.
    void countUnassignedRun(const std::string &worker, const TaskKey &task, std::uint32_t run,
                            SteadyTimeMs now);

    const SchedulerState &m_state;
    const DispatchOptions m_options;
    bool m_leads = false;
    SteadyTimeMs m_termStartedAt = 0;
    /// When the leases end of the workers that were silent at the start of the term.
    SilentWorkerLeases::LeaseEnds m_earlierLeaseEnds;
    /// Limit of the leases of earlier leaders.
    std::int64_t m_earlierLeaseMs = 0;
    bool m_leaseLimitProposed = false;
    bool m_placementDirty = true;
    SteadyTimeMs m_nextPlacement = 0;
    SteadyTimeMs m_nextPurge = 0;
    /// Jobs that have ended, with the time of this term since which they are known to.
    std::unordered_map<JobId, SteadyTimeMs> m_endedSince;
    SteadyTimeMs m_nextLeaseCheck = 0;
    std::map<std::string, WorkerView> m_workers;
    /// The recorded workers by service; rebuilt when empty. Most placement passes change none.
    std::map<std::string, Candidates> m_workersOfService;
    std::map<std::string, AnnouncementOrder> m_announcements;
    std::map<std::string, WorkerRestart> m_restarts;
    /// Generations of the workers that have restarted under their id in this term.
    std::map<std::string, std::uint64_t> m_generations;
    /// Assignments that are proposed and not yet applied.
    std::map<TaskKey, TeamNeed> m_proposed;
    TeamUse m_proposedUse;
    UnassignedRuns m_unassignedRuns;
    std::map<std::string, TaskResources> m_quotas;
    std::map<std::string, std::int64_t> m_weights;
    TeamWaits m_teamWaits;
    WaitCounts m_waitCounts;
    LongRunningWaits m_longRunningWaits;
    QuotaReservations m_reservations;
    /// Numbers of the ends that are proposed and not yet applied, by worker.
    std::map<std::string, std::set<std::uint64_t>> m_pendingEnds;
    /// Listed ends that are proposed and not yet applied, by run.
    std::map<RunKey, ListedEnd> m_listedEnds;
    std::set<RunKey> m_proposedEnds;
    /// Worker of each assigned run in WorkerView::runs.
    std::map<TaskKey, std::string> m_workerOfTask;
    /// Workers with runs to start, and workers with runs to stop.
    std::set<std::string> m_workersWithStarts;
    std::set<std::string> m_workersWithStops;
    /// Workers with WorkerView::deregistered.
    std::set<std::string> m_deregistered;
    /// Workers whose last answer is still to be checked for stalled runs and exceeded latency
    /// targets.
    std::set<std::string> m_workersToReview;
    std::set<std::string> m_maintenanceDue;
    DisruptionBudgets m_disruptionBudgets;
    std::vector<JobChange> m_changes;
    /// Stops of runs that a worker lists although they are not assigned to it.
    std::vector<StopOrder> m_orphanStops;
    std::vector<DispatchDecision> m_decisions;
    /// Last step of each service that was searched a worker for out of turn.
    std::map<std::string, StepPosition> m_lastSearched;
    std::map<StepKey, Tickets> m_tickets;
    /// Worker on which each task failed last.
    std::map<TaskKey, std::string> m_failedOn;
    std::map<TaskKey, SteadyTimeMs> m_startedAt;
    RunDurations m_durations;
    DemandTracker m_demand;
    /// Set until the first step of a term, which knows the time of day.
    bool m_turnsUnknown = false;
    std::set<JobId> m_activeJobs;
    /// Times at which active jobs with long-running tasks were accepted in this term.
    std::map<JobId, SteadyTimeMs> m_acceptedAt;
    /// Active jobs with a task that a worker has confirmed in this term.
    std::set<JobId> m_startedJobs;
    /// Numbers of pending jobs by queue, and the time of the count; 0 if there is none.
    std::map<std::string, std::size_t> m_pendingCounts;
    SteadyTimeMs m_pendingCountedAt = 0;
    /// Jobs whose waiting steps may have changed since the last placement pass.
    std::set<JobId> m_changedJobs;
    WaitingSteps m_waiting;
    /// Jobs with an occurrence that is not due yet, by the time at which the next one is.
    std::set<std::pair<WallTimeMs, JobId>> m_jobsByDueTime;
    /// Time of day of the last step, and its difference to the steady clock.
    WallTimeMs m_lastWallTime = 0;
    std::int64_t m_wallOffsetMs = 0;
};

} // namespace dandelionloom

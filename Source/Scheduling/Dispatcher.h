#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Model/Result.h"
#include "Scheduling/DispatchTypes.h"
#include "Scheduling/JobBook.h"
#include "Scheduling/StepRanking.h"
#include "Scheduling/WorkerView.h"

namespace dandelionloom {

/// What a worker announces of itself, at every announcement.
struct WorkerAnnouncement
{
    WorkerRecord worker;
    /// Grows with each announcement of one life; a lower one is late.
    std::uint64_t sequence = 0;
    /// The worker's steady clock, on which leases are measured; -1 if it does not say.
    std::int64_t clockMs = -1;
};

/// What the accepted jobs of one service ask for, lasting tasks and tasks that fill left out.
struct ServiceDemand
{
    /// Core-milliseconds of work that has not ended.
    double waitingCoreMs = 0;
    /// Thousandths of a core of all tasks that run or could start now. More room than this is of
    /// no use, however long the work that depends on them.
    std::int64_t runnableMilli = 0;
    /// Thousandths of a core that the jobs accepted lately keep busy if more follow at their rate.
    std::int64_t arrivingMilli = 0;
    /// Workers that the widest step of lasting tasks needs to be spread as it asks.
    std::uint32_t lastingSpread = 0;
};

/// Decides for the leader which task runs where, and keeps workers' leases. A step function without
/// I/O, clock or threads: events and the time go in, orders and their reasons come out. All it
/// knows beyond the JobBook it learns again from the workers in a new term.
class Dispatcher
{
public:
    Dispatcher(const JobBook &book, DispatchRules rules);

    /// Starts a term: every assigned run may be anywhere between sent and ended.
    void lead(SteadyTimeMs now);
    void resign();
    bool leads() const { return m_leads; }

    /// Call after JobBook::apply() with the same change.
    void applied(const JobChange &change, SteadyTimeMs now);
    /// The changes to propose for an announcement; empty if it tells nothing new.
    std::vector<JobChange> announced(const WorkerAnnouncement &announcement, SteadyTimeMs now);
    void renewed(const std::string &worker, const Result<RenewAnswer, CallFault> &answer,
                 SteadyTimeMs now);
    void startAnswered(const std::string &worker, const TaskKey &task, std::uint32_t run,
                       std::optional<CallFault> fault, SteadyTimeMs now);
    /// The pace of the run is unknown; it is ordered again.
    void paceFailed(const PaceOrder &order);
    void adviceAnswered(const AdviceOrder &order,
                        const std::optional<std::map<std::string, std::string>> &tickets,
                        SteadyTimeMs now);

    DispatchOrders step(SteadyTimeMs now, WallTimeMs wallNow);

    // Questions of the planners of maintenance and moves.
    void setCordoned(const std::string &worker, bool cordoned);
    /// The end of the worker was ordered; what runs there counts as away from now on.
    void setLeaving(const std::string &worker, bool leaving);
    /// Workers whose instances have their maintenance before them; lasting tasks that go there are
    /// taken away once more.
    void setMaintenanceDue(std::set<std::string> workers);
    /// True if the worker was heard in this term and its answers are recent.
    bool isFresh(const std::string &worker, SteadyTimeMs now) const;
    /// Runs on the worker that end by themselves soon.
    std::size_t shortRunsOn(const std::string &worker) const;
    /// A task that forbids that the worker goes, because its step would lose more lasting tasks
    /// than it allows, and what of it is away already; empty if the worker may go.
    std::string takeAwayFault(const std::string &worker, SteadyTimeMs now) const;
    /// Stops one lasting task that may be away, so that it starts on another worker. For workers
    /// that hold more of a step than may be taken away at once. False if there is none now.
    bool evacuateOne(const std::string &worker, SteadyTimeMs now);
    /// Jobs without times whose tasks wait, and no task has started.
    std::size_t pendingJobs(const std::string &queue) const;
    /// Demand of all services with jobs, by service.
    std::map<std::string, ServiceDemand> demands(SteadyTimeMs now);
    const WorkerView *view(const std::string &worker) const;

private:
    struct StepKey
    {
        std::string job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        bool operator<(const StepKey &other) const
        {
            return std::tie(job, occurrence, step)
                    < std::tie(other.job, other.occurrence, other.step);
        }
    };
    struct Tickets
    {
        bool asked = false;
        SteadyTimeMs validUntil = 0;
        SteadyTimeMs askAgainAt = 0;
        std::map<std::string, std::string> byWorker;
    };
    /// A worker that takes tasks, looked up once a pass.
    struct Candidate
    {
        const WorkerRecord *worker = nullptr;
        const WorkerView *view = nullptr;
    };
    using Candidates = std::vector<Candidate>;
    struct Waiting
    {
        StepKey key;
        StepRank rank;
        std::vector<std::uint32_t> indices;
    };

    /// Lasting tasks of the task's step that are not at work on another worker, and those here.
    std::pair<std::uint32_t, std::uint32_t>
    awayAndHere(const TaskKey &task, const std::string &worker, SteadyTimeMs now) const;

    // Runs and leases. Each change costs what it touches, as a deployment of 350 workers has about
    // 2,000 a second.
    /// Rebuilds what is known of a worker from the book, after a new life or a new term.
    void syncRuns(const std::string &worker);
    void addRun(const std::string &worker, const TaskKey &task);
    void dropRun(const TaskKey &task);
    /// Null if the worker has no run of the task.
    const RunView *runOn(const std::string &worker, const TaskKey &task) const;
    void reserve(WorkerView &view, const TaskKey &task);
    void release(WorkerView &view, const TaskKey &task);
    void onAccepted(const JobAccepted &accepted, SteadyTimeMs now);
    void onAssigned(const RunAssigned &assigned);
    void onEnded(const RunEnded &ended, SteadyTimeMs now);
    /// The next step looks for runs to stop on all workers of a job that has ended.
    void reviewEndedJob(const std::string &job);
    void reviewWorker(const std::string &worker);
    void forgetWorker(const std::string &worker);
    void onRunningRow(const std::string &worker, WorkerView &view, const RunningRun &row,
                      SteadyTimeMs now);
    void onEndedRow(const std::string &worker, WorkerView &view, const EndedRun &row);
    void onMissingRun(const std::string &worker, WorkerView &view, const TaskKey &task,
                      RunView &run);
    void proposeEnd(const TaskKey &task, std::uint32_t run, RunEnd how, std::string checkpoint);
    void emitRenewals(SteadyTimeMs now, DispatchOrders &orders);
    void emitStarts(SteadyTimeMs now, DispatchOrders &orders);
    void emitStops(SteadyTimeMs now, DispatchOrders &orders);
    /// True while a run waits to be sent.
    bool emitStartsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                      DispatchOrders &orders);
    /// True while a run there must end.
    bool emitStopsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                     DispatchOrders &orders);
    /// What the readings of the last answers call for: stalled runs stop, tasks that fill are
    /// paced.
    void reviewAnswers(SteadyTimeMs now, DispatchOrders &orders);
    void stopStalledRuns(const std::string &id, WorkerView &view, SteadyTimeMs now);
    void emitPacesOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                     DispatchOrders &orders);
    void loseLapsedRuns(SteadyTimeMs now);
    void forgetOldJobs(WallTimeMs wallNow);
    std::int64_t extendLease(WorkerView &view, SteadyTimeMs now);

    // Placement.
    void placeWaiting(SteadyTimeMs now, WallTimeMs wallNow, DispatchOrders &orders);
    /// True if the job has tasks that wait, or will have some without a further change.
    bool collectWaiting(const JobRecord &job, WallTimeMs wallNow,
                        std::map<std::string, std::vector<Waiting>> &byService) const;
    void placeStep(const Waiting &waiting, const Candidates &candidates, SteadyTimeMs now,
                   WallTimeMs wallNow, DispatchOrders &orders);
    std::optional<std::string> chooseWorker(const JobRecord &job, const TaskKey &task,
                                            const Candidates &candidates, const Tickets *tickets,
                                            WallTimeMs wallNow) const;
    bool placeGang(const JobRecord &job, const Waiting &waiting, const Candidates &candidates,
                   SteadyTimeMs now, WallTimeMs wallNow, DispatchOrders &orders);
    void assign(const TaskKey &task, std::uint32_t run, const std::string &worker, SteadyTimeMs now,
                DispatchOrders &orders);
    bool takesWork(const WorkerRecord &worker, const WorkerView &view, SteadyTimeMs now) const;
    const Tickets *ticketsFor(const Waiting &waiting, const Candidates &candidates,
                              SteadyTimeMs now, DispatchOrders &orders);
    std::vector<std::int64_t> expectedStepMs(const JobRecord &job) const;
    std::string serviceOf(const JobRecord &job) const;
    TaskResources needOf(const TaskKey &task) const;
    bool isLasting(const TaskKey &task) const;
    static std::uint32_t runsOfStepOn(const WorkerView &view, const TaskKey &task);
    bool servesUsers(const WorkerView &view) const;
    void noteEnd(const RunEnded &ended, const std::string &worker, SteadyTimeMs now);

    const JobBook &m_book;
    const DispatchRules m_rules;
    bool m_leads = false;
    SteadyTimeMs m_leadAt = 0;
    bool m_placementDirty = true;
    SteadyTimeMs m_nextPlacement = 0;
    WallTimeMs m_nextForget = 0;
    std::map<std::string, WorkerView> m_workers;
    std::map<std::string, std::uint64_t> m_sequences;
    /// Tasks with a proposed assignment, and its worker.
    std::map<TaskKey, std::string> m_proposed;
    using RunKey = std::pair<TaskKey, std::uint32_t>;
    /// Numbers of the ends that were proposed and are not applied, by worker.
    std::map<std::string, std::set<std::uint64_t>> m_endsUnderWay;
    /// Worker and number of these ends, by run.
    std::map<RunKey, std::pair<std::string, std::uint64_t>> m_endSources;
    std::set<RunKey> m_proposedEnds;
    /// Worker of each run that is assigned, as far as WorkerView::runs has it.
    std::map<TaskKey, std::string> m_placeOf;
    /// Workers with runs to send, and with runs to stop.
    std::set<std::string> m_startWorkers;
    std::set<std::string> m_stopWorkers;
    /// Workers whose last answer was not looked at for stalled and pressed tasks.
    std::set<std::string> m_answeredWorkers;
    std::set<std::string> m_maintenanceDue;
    std::vector<JobChange> m_changes;
    std::vector<StopOrder> m_strayStops;
    std::vector<DispatchNote> m_notes;
    std::map<StepKey, Tickets> m_tickets;
    /// Worker on which a task failed last.
    std::map<TaskKey, std::string> m_failedOn;
    std::map<TaskKey, SteadyTimeMs> m_startedAt;
    /// Mean run time of a queue's tasks in milliseconds, and the runs it rests on.
    struct Duration
    {
        double meanMs = 0;
        std::uint32_t runs = 0;
    };
    std::map<std::string, Duration> m_durations;
    struct Arrival
    {
        SteadyTimeMs at = 0;
        double coreMs = 0;
    };
    /// Jobs accepted within DispatchRules::arrivalWindowMs, by service.
    std::map<std::string, std::deque<Arrival>> m_arrivals;
    std::set<std::string> m_activeJobs;
    /// Those among them that may have waiting tasks.
    std::set<std::string> m_waitingJobs;
};

} // namespace dandelionloom

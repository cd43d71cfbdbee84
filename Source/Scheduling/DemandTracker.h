#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Scheduling/RunDurations.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/TeamQuota.h"
#include "Scheduling/TurnForecast.h"

namespace dandelionloom {

/// Demand of the accepted jobs of one service that can still meet their objective, without
/// long-running and best-effort tasks, jobs beyond their team's share and runnable tasks that the
/// team's quota holds back. A task whose share of a worker's memory exceeds its share of
/// the processor counts with the former, in the same unit.
struct ServiceDemand
{
    /// Core-milliseconds of unfinished work.
    double backlogCoreMs = 0;
    /// Thousandths of a core required by all tasks that run or could start now. More capacity than
    /// this is of no use, however long the work that depends on these tasks.
    std::int64_t runnableMilli = 0;
    /// Thousandths of a core that recent arrivals keep busy if jobs continue to arrive at that
    /// rate.
    std::int64_t arrivingMilli = 0;
    /// Thousandths of a core for the work that the service's next turn is expected to bring.
    std::int64_t foreseenMilli = 0;
    /// The service may have a turn that has not been seen yet.
    bool turnUnknown = false;
    /// Workers required by the long-running step with the widest spread.
    std::uint32_t longRunningSpread = 0;
    /// Further workers required by long-running tasks that have waited for a worker for long.
    std::uint32_t longRunningMissing = 0;
};

/// Tasks of a long-running step that wait for a worker.
struct WaitingTasks
{
    /// Resources that each of them reserves.
    TaskResources need;
    std::uint32_t count = 0;
    /// Maximum number of tasks of the step per worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
};

struct DemandOptions
{
    /// Window in which the arrival rate of jobs is measured, and the fewest arrivals in it that
    /// count as a rate: outside its peaks a queue receives less than one job in this time.
    std::int64_t arrivalWindowMs = 400;
    std::size_t minArrivalsForRate = 4;
    /// Time of a term within which services that have had no turn are expected to have one.
    std::int64_t turnLearningMs = 60000;
};

/// Measures what the services' jobs require now and are expected to require next. Owned by the
/// leader's Dispatcher and rebuilt in each term from SchedulerState.
class DemandTracker
{
public:
    DemandTracker(const SchedulerState &state, const RunDurations &durations,
                  DemandOptions options);

    void beginTerm(SteadyTimeMs now);
    /// Rebuilds the history of turns from the jobs that SchedulerState retains.
    void rebuildTurns(SteadyTimeMs now, WallTimeMs wallNow);
    void onJobAccepted(const JobRecord &job, SteadyTimeMs now);
    void onWorkerJoined(const WorkerRecord &worker);

    /// Thousandths of a core that the resources take of a worker of the service, by the resource of
    /// which they need the largest part.
    std::int64_t dominantMilli(const std::string &service, const TaskResources &need) const;
    /// Number of idle workers of the service that hold the tasks; 0 if none can hold one of them.
    std::uint32_t workersFor(const std::string &service,
                             const std::vector<WaitingTasks> &waiting) const;
    /// Demand of each service that has jobs, by service name.
    std::map<std::string, ServiceDemand> demands(const std::set<JobId> &activeJobs,
                                                 SteadyTimeMs now, WallTimeMs wallNow);

private:
    struct Arrival
    {
        SteadyTimeMs at = 0;
        double coreMs = 0;
    };

    /// Core-milliseconds of the job's tasks that end by themselves; 0 for a job that repeats.
    double expectedCoreMs(const JobRecord &job) const;
    void addArrivingDemand(std::map<std::string, ServiceDemand> &demands, SteadyTimeMs now);
    void addForeseenDemand(std::map<std::string, ServiceDemand> &demands, SteadyTimeMs now) const;
    /// What teams with a quota use, with the pending tasks that are counted so far.
    struct CountedUse
    {
        TaskResources quota;
        TaskResources use;
    };
    void addJobDemand(const JobRecord &job, ServiceDemand &demand, WallTimeMs wallNow,
                      std::map<std::string, CountedUse> &counted) const;
    /// True if the job asks for no instances: it lies beyond its team's share, or the team's quota
    /// is taken by earlier jobs for longer than the arrival window. Must be called in the order of
    /// acceptance.
    bool isHeldBack(const JobRecord &job, SteadyTimeMs acceptedAt);

    const SchedulerState &m_state;
    const RunDurations &m_durations;
    const DemandOptions m_options;
    SteadyTimeMs m_termStartedAt = 0;
    /// Jobs accepted within DemandOptions::arrivalWindowMs, by service.
    std::map<std::string, std::deque<Arrival>> m_arrivals;
    /// Capacity of a worker of each service.
    std::map<std::string, TaskResources> m_workerCapacity;
    TurnHistory m_turns;
    /// Time until which the accepted jobs of a team take its quota, by team.
    std::map<std::string, double> m_quotaTakenUntil;
};

} // namespace dandelionloom

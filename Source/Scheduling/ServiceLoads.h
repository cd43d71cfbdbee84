#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Ports/InstanceProvider.h"
#include "Scheduling/Dispatcher.h"
#include "Scheduling/StepRanking.h"
#include "Scheduling/SubmissionForecast.h"

namespace dandelionloom {

struct ServiceLoadOptions
{
    /// Age at which the loads are summed up again. Each time visits all waiting steps, and jobs are
    /// submitted some hundred times a second.
    std::int64_t maxAgeMs = 100;
};

/// Time in milliseconds for which work takes the whole of its team's quota, by resource; 0 for a
/// resource without a limit.
struct QuotaTime
{
    double processorMs = 0;
    double memoryMs = 0;
    double acceleratorMs = 0;

    double longestMs() const { return std::max({processorMs, memoryMs, acceleratorMs}); }
};

/// Unfinished work of the waiting jobs of a service, in placement order.
struct WaitingWork
{
    /// A waiting job within its team's share that is of use.
    struct Entry
    {
        StepRank rank;
        /// Core-milliseconds of the job, and of all jobs up to it.
        double coreMs = 0;
        double coreMsUpTo = 0;
        /// Last time at which the job can start and still meet its objective.
        WallTimeMs onTimeUntil = 0;
    };
    std::vector<Entry> entries;
    /// Time of the entries' work by team, for teams with a quota.
    std::map<std::string, QuotaTime> quotaTimes;

    /// Adds a job behind the others.
    void add(const StepRank &rank, double coreMs, WallTimeMs onTimeUntil);
    /// Adds a job behind those of the same rank.
    void insert(const StepRank &rank, double coreMs, WallTimeMs onTimeUntil);
    /// Core-milliseconds of the jobs that are placed before a new job of the rank. Jobs of the same
    /// rank count: many jobs of a queue require the same work.
    double coreMsBefore(const StepRank &rank) const;
    double totalCoreMs() const { return entries.empty() ? 0 : entries.back().coreMsUpTo; }
    /// Wait until a new job of the rank starts, with a capacity in thousandths of a core. Jobs
    /// ahead that turn late before they can start are overtaken. None if the new job itself can't
    /// start by `onTimeUntil`.
    std::optional<double> onTimeWaitMs(const StepRank &rank, WallTimeMs onTimeUntil,
                                       std::int64_t capacityMilli, WallTimeMs now) const;
};

QuotaTime operator+(const QuotaTime &left, const QuotaTime &right);

/// Time of the work of tasks that each require `need`, by its core-milliseconds. A task that is
/// larger than the quota runs alone, with all that it requires. Tasks that require no processor
/// time have no work, and take no time.
QuotaTime quotaTime(double coreMs, const TaskResources &need, const TaskResources &maxRunning);

/// Core-milliseconds of a job's work that the quota of its team lets run within `horizonMs`.
/// `earlier` is the time of the team's jobs before it in placement order, `own` that of the job.
/// The rest takes no capacity from jobs of other teams in that time. What the team runs besides is
/// not deducted, so that this is an upper bound.
double coreMsWithinQuota(double coreMs, const QuotaTime &earlier, const QuotaTime &own,
                         std::int64_t horizonMs);

/// The same for a job behind all others of its team. Adds its time to those of the work.
double takeWithinQuota(WaitingWork &work, const std::string &team, double coreMs,
                       const TaskResources &need, const TaskResources &maxRunning,
                       std::int64_t horizonMs);

/// Sums up the waiting steps of a service. Work beyond its team's share and work that is too late
/// to be of use is left out, as it is placed after all jobs within their share, and so is what its
/// team's quota holds back until then.
WaitingWork waitingWorkOf(const SchedulerState &state, const WaitingSteps &waiting,
                          const ServiceSteps &steps, WallTimeMs now);

/// Facts of a job that is about to be accepted.
struct SubmittedJob
{
    JobId id;
    std::string team;
    /// Resources of a task of its first step, by which its use of the team's quota is estimated.
    TaskResources need;
    double coreMs = 0;
    std::int64_t pathMs = 0;
    WallTimeMs submittedAt = 0;
    /// Last time at which it can start and still meet its objective.
    WallTimeMs onTimeUntil = 0;
    WallTimeMs usefulUntil = 0;
    StepRank rank;
};

/// The facts of a job by the expected run times of its steps.
SubmittedJob submittedJob(const JobRecord &job, const std::vector<std::int64_t> &stepMs,
                          WallTimeMs now);

/// What waits for each service and what can serve it, as the leader knows it.
class ServiceLoads
{
public:
    ServiceLoads(const SchedulerState &state, const Dispatcher &dispatcher,
                 ServiceLoadOptions options = {});

    void beginTerm();
    /// Takes over a list of the provider. Instances without a worker are known from it only.
    void listed(std::vector<ListedInstance> instances);
    /// Load of the service for a job, which lies within its team's share or beyond it. None until
    /// the instances were listed in this term: instances that could move into the pool would be
    /// missing.
    std::optional<ServiceLoad> loadOf(const std::string &service, const SubmittedJob &job,
                                      bool withinShare, SteadyTimeMs now);
    /// Adds an accepted job to the loads of the following ones, until the sums contain it.
    void accepted(const std::string &service, const SubmittedJob &job, SteadyTimeMs now);
    std::int64_t ageMs(SteadyTimeMs now) const { return now - m_sumsAt; }

private:
    struct AcceptedJob
    {
        std::string service;
        SubmittedJob job;
        SteadyTimeMs acceptedAt = 0;
    };
    void sumUp(SteadyTimeMs now, WallTimeMs wallNow);
    /// Adds the accepted jobs that the waiting steps don't contain yet, and forgets the others.
    void addAcceptedJobs(SteadyTimeMs now);
    void insert(const AcceptedJob &accepted);
    void sumUpWorkers();
    void sumUpInstances();

    const SchedulerState &m_state;
    const Dispatcher &m_dispatcher;
    const ServiceLoadOptions m_options;
    std::optional<std::vector<ListedInstance>> m_instances;
    /// Time of the sums below; 0 without any.
    SteadyTimeMs m_sumsAt = 0;
    std::map<std::string, WaitingWork> m_waiting;
    /// Accepted jobs that may still be missing in the waiting steps.
    std::map<JobId, AcceptedJob> m_accepted;
    /// Thousandths of a core for tasks that end by themselves.
    std::map<std::string, std::int64_t> m_capacityMilli;
    /// Unused thousandths of a core of instances that can change their pool, by the service of
    /// their worker; under the empty name those without one.
    std::map<std::string, std::int64_t> m_unusedMilli;
    std::int64_t m_totalUnusedMilli = 0;
};

} // namespace dandelionloom

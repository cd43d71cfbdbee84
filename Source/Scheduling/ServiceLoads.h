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

/// Unfinished work of the waiting jobs of a service, in placement order.
struct WaitingWork
{
    /// Rank of each waiting job within its team's share that is of use, and the core-milliseconds
    /// of all jobs up to it.
    std::vector<std::pair<StepRank, double>> coreMsUpTo;

    /// Core-milliseconds of the jobs that are placed before a new job of the rank. Jobs of the same
    /// rank count: many jobs of a queue require the same work.
    double coreMsBefore(const StepRank &rank) const;
    double totalCoreMs() const { return coreMsUpTo.empty() ? 0 : coreMsUpTo.back().second; }
};

/// Sums up the waiting steps of a service. Work beyond its team's share and work that is too late
/// to be of use is left out, as it is placed after all jobs within their share.
WaitingWork waitingWorkOf(const SchedulerState &state, const WaitingSteps &waiting,
                          const WaitingSteps::Order &steps);

/// Time in milliseconds for which work takes the whole of its team's quota, by resource; 0 for a
/// resource without a limit.
struct QuotaTime
{
    double processorMs = 0;
    double memoryMs = 0;
    double acceleratorMs = 0;

    double longestMs() const { return std::max({processorMs, memoryMs, acceleratorMs}); }
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

/// Facts of a job that is about to be accepted.
struct SubmittedJob
{
    double coreMs = 0;
    std::int64_t pathMs = 0;
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
    /// Load of the service for a job of the rank, or for a job beyond its team's share. None until
    /// the instances were listed in this term: instances that could move into the pool would be
    /// missing.
    std::optional<ServiceLoad> loadOf(const std::string &service, const StepRank &rank,
                                      bool withinShare, SteadyTimeMs now);
    std::int64_t ageMs(SteadyTimeMs now) const { return now - m_sumsAt; }

private:
    void sumUp();
    void sumUpWorkers();
    void sumUpInstances();

    const SchedulerState &m_state;
    const Dispatcher &m_dispatcher;
    const ServiceLoadOptions m_options;
    std::optional<std::vector<ListedInstance>> m_instances;
    /// Time of the sums below; 0 without any.
    SteadyTimeMs m_sumsAt = 0;
    std::map<std::string, WaitingWork> m_waiting;
    /// Thousandths of a core for tasks that end by themselves.
    std::map<std::string, std::int64_t> m_capacityMilli;
    /// Unused thousandths of a core of instances that can change their pool, by the service of
    /// their worker; under the empty name those without one.
    std::map<std::string, std::int64_t> m_unusedMilli;
    std::int64_t m_totalUnusedMilli = 0;
};

} // namespace dandelionloom

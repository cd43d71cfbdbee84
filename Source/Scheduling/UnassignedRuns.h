#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "Scheduling/DispatchTypes.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/TeamQuota.h"
#include "Scheduling/WorkerView.h"

namespace dandelionloom {

/// A task and the number of its run.
using RunKey = std::pair<TaskKey, std::uint32_t>;

/// Runs that a worker may have although they are not assigned to it any more. They count against
/// the quotas of their teams and the limits of the worker until they have certainly ended. Owned by
/// the leader's Dispatcher, whose worker views it reads.
class UnassignedRuns
{
public:
    UnassignedRuns(const SchedulerState &state, const std::map<std::string, WorkerView> &workers,
                   const DispatchOptions &options);

    void clear();
    /// Called when a run ceases to be assigned, and each time that the worker lists it.
    void count(const std::string &worker, const RunKey &run, SteadyTimeMs now);

    // Each of these returns true if a run was forgotten, so that its team and the
    // worker may start more tasks.
    /// Called when the worker has left or restarted.
    bool forgetWorker(const std::string &worker);
    /// Forgets the runs that the worker lists as ended, and those that it does not list although
    /// the renewal was sent after they were counted.
    bool forgetUnlisted(const std::string &worker, const RenewAnswer &list,
                        SteadyTimeMs renewSentAt);
    /// Forgets the runs whose leases have certainly expired.
    bool forgetExpired(SteadyTimeMs now);

    /// Resources that the team's counted runs take.
    const TaskResources &useOf(const std::string &team) const { return m_use.of(team); }
    /// Resources that the counted runs reserve on the worker.
    TaskResources useOn(const std::string &worker) const;
    /// Number of counted runs on the worker of the same step as the task.
    std::uint32_t countOfStep(const std::string &worker, const TaskKey &task) const;

private:
    struct Run
    {
        std::string team;
        TaskResources need;
        /// What the run reserves on its worker.
        TaskResources reserved;
        SteadyTimeMs countedAt = 0;
    };
    using Runs = std::map<RunKey, Run>;

    bool forget(const std::string &worker,
                const std::function<bool(const RunKey &, const Run &)> &hasEnded);

    const SchedulerState &m_state;
    const std::map<std::string, WorkerView> &m_workers;
    const DispatchOptions m_options;
    std::map<std::string, Runs> m_runs;
    TeamUse m_use;
};

} // namespace dandelionloom

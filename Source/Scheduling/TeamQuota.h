#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Resources of several equal tasks.
TaskResources operator*(std::int64_t count, const TaskResources &need);

/// True if the team may start a task beside what it has running. A task that is larger than the
/// quota starts alone, as it could never start otherwise.
bool isWithinQuota(const TaskResources &running, const TaskResources &need,
                   const TaskResources &maxRunning);

/// The same for tasks that only start together. Alone, they may exceed the quota by one task, like
/// a single task does; a larger gang never starts.
bool isGangWithinQuota(const TaskResources &running, std::uint32_t count, const TaskResources &need,
                       const TaskResources &maxRunning);

/// Number of equal tasks, at most `count`, that the team may start beside what it has running.
std::uint32_t tasksWithinQuota(const TaskResources &running, std::uint32_t count,
                               const TaskResources &need, const TaskResources &maxRunning);

/// Tasks that start together and wait for the quota of their team.
struct QuotaWait
{
    /// Resources of one task.
    TaskResources need;
    std::uint32_t count = 1;
    /// Time for which the quota has held them, in milliseconds.
    std::int64_t heldMs = 0;
};

/// True if the quota that gets free is kept for the tasks: other tasks of the team have passed them
/// for longer than `maxPassedMs`, and they fit once all tasks of the team have ended but for the
/// lasting ones, which don't end by themselves. Never true if `maxPassedMs` is not above 0.
bool reservesQuota(const QuotaWait &wait, const TaskResources &lasting,
                   const TaskResources &maxRunning, std::int64_t maxPassedMs);

/// True if a task with this need would take quota that the waiting tasks need.
bool delaysQuotaWait(const TaskResources &need, const QuotaWait &wait,
                     const TaskResources &maxRunning);

/// Quotas of the teams that have one, by team.
std::map<std::string, TaskResources> quotasOf(const FleetConfiguration &configuration);

/// Weights of the teams that have one, by team.
std::map<std::string, std::int64_t> weightsOf(const FleetConfiguration &configuration);

/// Resources that tasks take of their teams' quotas, from the assignment of a run to the record of
/// its end. Tasks without a team are not counted.
class TeamUse
{
public:
    void add(const std::string &team, const TaskResources &need);
    void remove(const std::string &team, const TaskResources &need);
    const TaskResources &of(const std::string &team) const;
    void clear() { m_use.clear(); }

private:
    std::map<std::string, TaskResources> m_use;
};

} // namespace dandelionloom

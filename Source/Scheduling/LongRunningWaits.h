#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Time.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Why a task got no worker in a placement pass.
enum class PlacementObstacle {
    /// Not searched a worker for yet.
    NotSearched,
    /// The service has no worker that may get tasks.
    NoWorker,
    Quota,
    Advice,
    /// A task that needs no more found no worker in the same pass.
    SmallerNeedUnmet,
    /// Each worker with enough free capacity holds as many tasks of the step as its disruption
    /// budget allows, and the wait for another one goes on.
    Spread,
    Capacity
};
inline constexpr EnumNames<PlacementObstacle, 7> placementObstacleNames{
        {"not-searched", "no-worker", "quota", "advice", "smaller-need-unmet", "spread",
         "capacity"}};

/// Long-running tasks that wait for a worker, with the time since when and the last obstacle. Owned
/// by the leader's Dispatcher.
class LongRunningWaits
{
public:
    struct Wait
    {
        TaskKey task;
        PlacementObstacle obstacle = PlacementObstacle::Capacity;
        std::int64_t waitedMs = 0;
    };

    void clear() { m_waits.clear(); }
    /// Records that the task got no worker.
    void record(const TaskKey &task, PlacementObstacle obstacle, SteadyTimeMs now);
    /// Forgets the tasks for which `waits` returns false.
    void keepOnly(const std::function<bool(const TaskKey &)> &waits);
    /// Returns the tasks that have waited for a report interval since their first record or since
    /// they were returned last.
    std::vector<Wait> takeReports(SteadyTimeMs now);
    /// 0 for a task that doesn't wait.
    std::int64_t waitedMs(const TaskKey &task, SteadyTimeMs now) const;
    /// Tasks that have waited for at least the given time.
    std::vector<Wait> longerThan(std::int64_t milliseconds, SteadyTimeMs now) const;
    std::size_t size() const { return m_waits.size(); }
    /// Wait of the task that waits longest, in milliseconds; 0 if none waits.
    std::int64_t longestMs(SteadyTimeMs now) const;

private:
    struct Entry
    {
        SteadyTimeMs since = 0;
        SteadyTimeMs reportedAt = 0;
        PlacementObstacle obstacle = PlacementObstacle::Capacity;
    };

    std::map<TaskKey, Entry> m_waits;
};

} // namespace dandelionloom

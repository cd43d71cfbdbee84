#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "Scheduling/SchedulerState.h"

namespace dandelionloom {

/// Inputs of the ranking of a step.
struct StepAttributes
{
    std::int64_t priority = 0;
    bool longRunning = false;
    bool bestEffort = false;
    WallTimeMs dueAtMs = 0;
    /// Length of the job's critical path, and of its part from this step on.
    std::int64_t jobPathMs = 0;
    std::int64_t remainingPathMs = 0;
    /// Core-milliseconds of all unfinished tasks of the occurrence.
    double remainingWork = 0;
    double stretch = 1;
    std::int64_t targetLatencyMs = 0;
};

/// Smaller ranks are placed first.
struct StepRank
{
    int group = 0;
    std::int64_t priority = 0;
    double urgency = 0;

    bool operator<(const StepRank &other) const
    {
        return std::tie(group, priority, urgency)
                < std::tie(other.group, other.priority, other.urgency);
    }
};

/// Ranks a step that waits for capacity. In peaks whose demand is several times the capacity of a
/// pool, long-running tasks come first, as they are few and earn for as long as they run. Then come
/// jobs that can still meet their objective, so that a backlog does not make every job late; then
/// late jobs, and best-effort tasks last.
StepRank rankStep(const StepAttributes &attributes, WallTimeMs nowMs);

/// Time by which the job should complete.
WallTimeMs objectiveDeadline(const StepAttributes &attributes);

/// Length of the critical path by the expected run times of the steps: of the part from step
/// `first` on, or of the whole job if `first` is 0.
std::int64_t criticalPathMs(const JobSpec &spec, const std::vector<std::int64_t> &stepMs,
                            std::uint32_t first);

} // namespace dandelionloom

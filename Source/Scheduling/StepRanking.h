#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "Model/EnumNames.h"
#include "Scheduling/SchedulerState.h"

namespace dandelionloom {

/// Inputs of the ranking of a step.
struct StepAttributes
{
    std::int64_t priority = 0;
    bool longRunning = false;
    bool bestEffort = false;
    /// The team had submitted more than its share when the job was accepted.
    bool beyondShare = false;
    WallTimeMs dueAtMs = 0;
    /// Length of the job's critical path, and of its part from this step on.
    std::int64_t jobPathMs = 0;
    std::int64_t remainingPathMs = 0;
    /// Core-milliseconds of all unfinished tasks of the occurrence.
    double remainingWork = 0;
    double stretch = 1;
    std::int64_t targetLatencyMs = 0;
};

/// A job that takes this many times its objective is of no more use to its caller.
inline constexpr double maxUsefulLateness = 3;

/// Groups of waiting steps, in placement order.
enum class StepGroup {
    LongRunning,
    /// The job can still meet its objective.
    OnTime,
    /// Too late for the objective, but not for its caller.
    Late,
    /// Beyond the share of the job's team, and not overdue.
    BeyondShare,
    BestEffort,
    /// Too late to be of use. The job was accepted and is finished with the capacity that is left.
    Overdue
};
inline constexpr EnumNames<StepGroup, 6> stepGroupNames{
        {"long-running", "on-time", "late", "beyond-share", "best-effort", "overdue"}};

/// True for steps within their team's share whose job is still of use.
inline bool isOfUse(StepGroup group)
{
    return group == StepGroup::OnTime || group == StepGroup::Late;
}

/// Smaller ranks are placed first.
struct StepRank
{
    StepGroup group = StepGroup::LongRunning;
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
/// late jobs, jobs beyond the share of their team, and best-effort tasks; and last jobs whose
/// result comes too late to be of use, which would otherwise take the capacity of those that are
/// still late.
StepRank rankStep(const StepAttributes &attributes, WallTimeMs nowMs);

/// First time after `nowMs` at which rankStep() returns another rank; none if it never does.
std::optional<WallTimeMs> nextRankChange(const StepAttributes &attributes, WallTimeMs nowMs);

/// Time by which the job should complete.
WallTimeMs objectiveDeadline(const StepAttributes &attributes);

/// Last time at which the rest of the job can begin and still meet the objective.
WallTimeMs latestOnTimeStart(const StepAttributes &attributes);

/// Time by which its completion is still of use.
WallTimeMs usefulDeadline(const StepAttributes &attributes);

/// Length of the critical path by the expected run times of the steps: of the part from step
/// `first` on, or of the whole job if `first` is 0.
std::int64_t criticalPathMs(const JobSpec &spec, const std::vector<std::int64_t> &stepMs,
                            std::uint32_t first);

} // namespace dandelionloom

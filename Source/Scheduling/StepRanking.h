#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "Scheduling/JobBook.h"

namespace dandelionloom {

/// What the order of waiting steps depends on.
struct StepFacts
{
    std::int64_t priority = 0;
    bool lasting = false;
    bool fills = false;
    WallTimeMs dueAtMs = 0;
    /// Longest chain of work from the job's beginning, and from this step on.
    std::int64_t chainMs = 0;
    std::int64_t remainingChainMs = 0;
    /// Core-milliseconds of all tasks that have not ended.
    double remainingWork = 0;
    double stretch = 1;
    std::int64_t targetLatencyMs = 0;
    bool started = false;
};

/// Smaller is placed first.
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

/// Order of the steps that wait for room. Answers the peaks in which a queue asks several times its
/// pool: lasting tasks come first, as they are few and earn all day; then jobs that can still meet
/// their objective, so that a backlog does not make every job late; then the late ones.
StepRank rankStep(const StepFacts &facts, WallTimeMs nowMs);

/// When the objective of the job ends.
WallTimeMs objectiveAt(const StepFacts &facts);

/// Longest chain of the steps' estimates, from `first` on, or over all without one.
std::int64_t longestChainMs(const JobSpec &spec, const std::vector<std::int64_t> &stepMs,
                            std::uint32_t first);

} // namespace dandelionloom

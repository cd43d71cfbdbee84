#include "Scheduling/StepRanking.h"

#include <algorithm>

namespace dandelionloom {

namespace {

// Groups of StepRank, in placement order.
constexpr int longRunningGroup = 0;
constexpr int onTimeGroup = 1;
constexpr int lateGroup = 2;
constexpr int bestEffortGroup = 3;

} // namespace

WallTimeMs objectiveDeadline(const StepAttributes &attributes)
{
    return attributes.dueAtMs
            + static_cast<std::int64_t>(attributes.stretch
                                        * static_cast<double>(attributes.jobPathMs))
            + attributes.targetLatencyMs;
}

StepRank rankStep(const StepAttributes &attributes, WallTimeMs nowMs)
{
    if (attributes.bestEffort) {
        return {bestEffortGroup, attributes.priority, static_cast<double>(attributes.dueAtMs)};
    }
    if (attributes.longRunning) {
        return {longRunningGroup, attributes.priority, static_cast<double>(attributes.dueAtMs)};
    }
    const WallTimeMs latestStart = objectiveDeadline(attributes) - attributes.remainingPathMs;
    if (latestStart >= nowMs) {
        return {onTimeGroup, attributes.priority, attributes.remainingWork};
    }
    return {lateGroup, attributes.priority, attributes.remainingWork};
}

std::int64_t criticalPathMs(const JobSpec &spec, const std::vector<std::int64_t> &stepMs,
                            std::uint32_t first)
{
    // Steps depend on earlier ones only, so a single pass in order finds the critical path.
    std::vector<std::int64_t> endMs(spec.steps.size(), -1);
    std::int64_t longest = 0;
    for (std::uint32_t step = first; step < spec.steps.size(); ++step) {
        std::int64_t begin = 0;
        bool reachable = step == first || first == 0;
        for (const std::uint32_t needed : spec.steps[step].dependsOn) {
            if (needed < step && endMs[needed] >= 0) {
                begin = std::max(begin, endMs[needed]);
                reachable = true;
            }
        }
        if (reachable) {
            endMs[step] = begin + stepMs[step];
            longest = std::max(longest, endMs[step]);
        }
    }
    return longest;
}

} // namespace dandelionloom

#include "Scheduling/StepRanking.h"

#include <algorithm>

namespace dandelionloom {

WallTimeMs objectiveDeadline(const StepAttributes &attributes)
{
    return attributes.dueAtMs
            + static_cast<std::int64_t>(attributes.stretch
                                        * static_cast<double>(attributes.jobPathMs))
            + attributes.targetLatencyMs;
}

WallTimeMs latestOnTimeStart(const StepAttributes &attributes)
{
    return objectiveDeadline(attributes) - attributes.remainingPathMs;
}

WallTimeMs usefulDeadline(const StepAttributes &attributes)
{
    const auto objectiveMs =
            static_cast<double>(objectiveDeadline(attributes) - attributes.dueAtMs);
    return attributes.dueAtMs + static_cast<std::int64_t>(maxUsefulLateness * objectiveMs);
}

StepRank rankStep(const StepAttributes &attributes, WallTimeMs nowMs)
{
    if (attributes.bestEffort) {
        return {StepGroup::BestEffort, attributes.priority,
                static_cast<double>(attributes.dueAtMs)};
    }
    if (attributes.longRunning) {
        return {StepGroup::LongRunning, attributes.priority,
                static_cast<double>(attributes.dueAtMs)};
    }
    const WallTimeMs endsAt = nowMs + attributes.remainingPathMs;
    const StepGroup group = endsAt > usefulDeadline(attributes) ? StepGroup::Overdue
            : attributes.beyondShare                            ? StepGroup::BeyondShare
            : endsAt <= objectiveDeadline(attributes)           ? StepGroup::OnTime
                                                                : StepGroup::Late;
    return {group, attributes.priority, attributes.remainingWork};
}

std::optional<WallTimeMs> nextRankChange(const StepAttributes &attributes, WallTimeMs nowMs)
{
    switch (rankStep(attributes, nowMs).group) {
    case StepGroup::OnTime:
        return latestOnTimeStart(attributes) + 1;
    case StepGroup::Late:
    case StepGroup::BeyondShare:
        return usefulDeadline(attributes) - attributes.remainingPathMs + 1;
    case StepGroup::LongRunning:
    case StepGroup::BestEffort:
    case StepGroup::Overdue:
        break;
    }
    return std::nullopt;
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

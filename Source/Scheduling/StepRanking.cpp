#include "Scheduling/StepRanking.h"

#include <algorithm>

namespace dandelionloom {

namespace {

// Groups of StepRank in the order in which they are placed.
constexpr int lastingGroup = 0;
constexpr int onTimeGroup = 1;
constexpr int lateGroup = 2;
constexpr int fillingGroup = 3;

} // namespace

WallTimeMs objectiveAt(const StepFacts &facts)
{
    return facts.dueAtMs
            + static_cast<std::int64_t>(facts.stretch * static_cast<double>(facts.chainMs))
            + facts.targetLatencyMs;
}

StepRank rankStep(const StepFacts &facts, WallTimeMs nowMs)
{
    if (facts.fills) {
        return {fillingGroup, facts.priority, static_cast<double>(facts.dueAtMs)};
    }
    if (facts.lasting) {
        return {lastingGroup, facts.priority, static_cast<double>(facts.dueAtMs)};
    }
    const WallTimeMs latestStart = objectiveAt(facts) - facts.remainingChainMs;
    if (latestStart >= nowMs) {
        return {onTimeGroup, facts.priority, facts.remainingWork};
    }
    return {lateGroup, facts.priority, facts.remainingWork};
}

std::int64_t longestChainMs(const JobSpec &spec, const std::vector<std::int64_t> &stepMs,
                            std::uint32_t first)
{
    // Steps depend on earlier ones only, so one pass in order finds the longest path.
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

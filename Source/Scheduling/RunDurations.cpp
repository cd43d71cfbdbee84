#include "Scheduling/RunDurations.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// Completed runs of a queue from which its mean run time replaces the declared estimates.
constexpr std::uint32_t minRunsForMean = 8;

/// Minimum weight of the newest run in the moving average of a queue's run times; the last few
/// dozen runs determine the average.
constexpr double minRunWeight = 0.05;

} // namespace

void RunDurations::record(const std::string &queue, std::int64_t tookMs)
{
    Duration &duration = m_durations[queue];
    const double weight = std::max(minRunWeight, 1.0 / static_cast<double>(duration.runs + 1));
    duration.meanMs += (static_cast<double>(tookMs) - duration.meanMs) * weight;
    ++duration.runs;
}

std::vector<std::int64_t> RunDurations::expectedStepMs(const JobSpec &job) const
{
    const auto known = m_durations.find(job.queue);
    const bool useMean = known != m_durations.end() && known->second.runs >= minRunsForMean;
    std::vector<std::int64_t> expected;
    expected.reserve(job.steps.size());
    for (const StepSpec &step : job.steps) {
        expected.push_back(useMean ? static_cast<std::int64_t>(known->second.meanMs)
                                   : step.estimateMs);
    }
    return expected;
}

} // namespace dandelionloom

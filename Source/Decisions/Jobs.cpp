#include "Decisions/Jobs.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// Sums of estimates differ by rounding; a job must not be refused for that.
constexpr double processorsTolerance = 1e-6;
constexpr double bytesTolerance = 1;

} // namespace

bool fits(const Resources &need, const Resources &available)
{
    return need.processors <= available.processors + processorsTolerance
            && need.memoryBytes <= available.memoryBytes + bytesTolerance
            && need.accelerators <= available.accelerators;
}

Resources operator+(const Resources &left, const Resources &right)
{
    return {left.processors + right.processors, left.memoryBytes + right.memoryBytes,
            left.accelerators + right.accelerators};
}

Resources operator-(const Resources &left, const Resources &right)
{
    const std::uint32_t accelerators =
            left.accelerators > right.accelerators ? left.accelerators - right.accelerators : 0;
    return {left.processors - right.processors, left.memoryBytes - right.memoryBytes, accelerators};
}

UsageEstimate estimateUsage(const JobFacts &job, const std::map<std::string, KindProfile> &profiles,
                            const UsageEstimateLimits &limits, SteadyTimeMs nowMs)
{
    UsageEstimate estimate{job.declared, UsageSource::Declared};
    const auto profile = profiles.find(job.kind);
    if (profile != profiles.end() && profile->second.runs >= limits.minProfileRuns) {
        estimate.use.processors = profile->second.use.processors;
        estimate.use.memoryBytes = profile->second.use.memoryBytes;
        estimate.source = UsageSource::KindReports;
    }
    if (!job.usage) {
        return estimate;
    }
    const bool warmedUp = job.state == JobState::Waiting
            || job.usage->takenAtMs - job.startedAtMs >= limits.warmUpMs;
    if (!warmedUp) {
        return estimate;
    }
    // A waiting job with reports was checkpointed: it needs again what it used last.
    const std::int64_t extrapolatedMs = job.state == JobState::Waiting
            ? 0
            : std::max<std::int64_t>(0, nowMs - job.usage->takenAtMs) + limits.projectionMs;
    const double growth = std::max(0.0, job.usage->memoryGrowthPerSecond);
    estimate.use.processors = job.usage->processors;
    estimate.use.memoryBytes =
            job.usage->memoryBytes + growth * static_cast<double>(extrapolatedMs) / 1000.0;
    estimate.source = UsageSource::OwnReports;
    return estimate;
}

bool isStraggler(const JobFacts &job, const std::map<std::string, KindProfile> &profiles,
                 const UsageEstimateLimits &limits, double factor, SteadyTimeMs nowMs)
{
    const auto profile = profiles.find(job.kind);
    if (profile == profiles.end() || profile->second.runs < limits.minProfileRuns
        || profile->second.medianRunMs <= 0) {
        return false;
    }
    const std::int64_t runningMs = job.state == JobState::Waiting ? 0 : nowMs - job.startedAtMs;
    return static_cast<double>(job.runBeforeCheckpointMs + runningMs)
            > factor * static_cast<double>(profile->second.medianRunMs);
}

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Lists.h"
#include "Model/Time.h"

namespace dandelionloom {

struct Resources
{
    double processors = 0;
    double memoryBytes = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

/// True if `need` fits into `available` in every dimension.
bool fits(const Resources &need, const Resources &available);
Resources operator+(const Resources &left, const Resources &right);
Resources operator-(const Resources &left, const Resources &right);

enum class JobState { Waiting, Running, Checkpointing, Stopping };
inline constexpr EnumNames<JobState, 4> jobStateNames{
        {"waiting", "running", "checkpointing", "stopping"}};

/// Resource usage of a running job as last reported by the platform at `takenAtMs`.
struct JobUsage
{
    double processors = 0;
    double memoryBytes = 0;
    /// Growth between the last two reports; may be negative.
    double memoryGrowthPerSecond = 0;
    SteadyTimeMs takenAtMs = 0;
};

struct JobFacts
{
    std::string id;
    std::string plan;
    std::string pool;
    /// Jobs of one kind (for example one program of one customer) share a usage profile.
    std::string kind;
    Urgency urgency = Urgency::Normal;
    Resources declared;
    JobState state = JobState::Waiting;
    bool cancelled = false;
    bool checkpointable = false;
    /// Worker of a job that is not waiting.
    std::string worker;
    SteadyTimeMs submittedAtMs = 0;
    SteadyTimeMs startedAtMs = 0;
    /// Run time up to the last checkpoint.
    std::int64_t runBeforeCheckpointMs = 0;
    std::optional<JobUsage> usage;
    /// Share of its processors that a running job may use.
    double throttle = 1;
    /// Workers on which the job failed.
    std::vector<std::string> failedOn;
    /// The lease of an earlier task of the job may still be valid on a worker, see mayRestart().
    bool leaseMayBeValid = false;
};

struct WorkerFacts
{
    std::string id;
    std::string pool;
    std::string rack;
    Resources capacity;
    std::uint32_t slots = 8;
    /// False for workers that are draining, failed or otherwise take no new work.
    bool inService = true;
    /// When the worker was quarantined; empty if it isn't.
    std::optional<SteadyTimeMs> quarantinedAtMs;
};

/// Outcome of one task start. A task that fails soon after its start counts as a failed start.
struct StartRecord
{
    std::string job;
    std::string worker;
    bool succeeded = false;
    SteadyTimeMs atMs = 0;
};

/// Resource usage and run time observed for all finished and running jobs of a kind.
struct KindProfile
{
    std::uint32_t runs = 0;
    /// 90th percentile of the peak usage.
    Resources use;
    std::int64_t medianRunMs = 0;
};

struct UsageEstimateLimits
{
    /// Runs of a kind from which its observed usage replaces the declaration.
    std::uint32_t minProfileRuns = 3;
    /// A job's own reports are used once it has run this long; before, it may still be loading.
    std::int64_t warmUpMs = 10000;
    /// Memory growth is projected over the age of the report plus this time until the next pass
    /// acts.
    std::int64_t projectionMs = 5000;
};

enum class UsageSource { OwnReports, KindReports, Declared };
inline constexpr EnumNames<UsageSource, 3> usageSourceNames{
        {"own-reports", "kind-reports", "declared"}};

struct UsageEstimate
{
    Resources use;
    UsageSource source = UsageSource::Declared;
};

/// The expected current usage of a job. Accelerators are whole devices and count as declared.
UsageEstimate estimateUsage(const JobFacts &job, const std::map<std::string, KindProfile> &profiles,
                            const UsageEstimateLimits &limits, SteadyTimeMs nowMs);

/// True if a job has run `factor` times longer than the median of its kind.
bool isStraggler(const JobFacts &job, const std::map<std::string, KindProfile> &profiles,
                 const UsageEstimateLimits &limits, double factor, SteadyTimeMs nowMs);

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Decisions/Jobs.h"
#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

struct WorkerHealthLimits
{
    /// Older starts are ignored.
    std::int64_t windowMs = 600000;
    /// Different jobs that must fail on a worker, with no success, before it is quarantined.
    std::uint32_t failedJobs = 3;
    /// Different workers, each of which runs other jobs successfully, on which a job must fail
    /// before it counts as a failing job.
    std::uint32_t failedWorkers = 3;
    /// Maximum share of a pool's workers that may be in quarantine at once, but at least one
    /// worker.
    double quarantineShare = 0.1;
    /// After this time a quarantined worker receives work again, and only newer starts count
    /// against it.
    std::int64_t quarantineMs = 1800000;
};

enum class WorkerReason {
    /// Every start on the worker failed, of several jobs that are not failing jobs.
    FailsEverything,
    /// As FailsEverything, but the maximum share of the pool is in quarantine already.
    QuarantineFull,
    /// The quarantine has ended; the worker receives work again.
    QuarantineEnded
};
inline constexpr EnumNames<WorkerReason, 3> workerReasonNames{
        {"fails-everything", "quarantine-full", "quarantine-ended"}};

struct WorkerVerdict
{
    std::string worker;
    WorkerReason reason = WorkerReason::FailsEverything;
    std::uint32_t failedJobs = 0;
};

struct WorkerHealthReport
{
    /// Workers whose state changes in this pass, or that are not quarantined for lack of quarantine
    /// share.
    std::vector<WorkerVerdict> workers;
    /// All workers in quarantine after this pass.
    std::set<std::string> quarantined;
    /// Jobs that fail on every worker.
    std::set<std::string> failingJobs;
};

/// Distinguishes workers on which every job fails from jobs that fail on every worker. Jobs are
/// evaluated first, by their starts on workers that run other jobs; the failures of failing jobs
/// don't count against workers.
WorkerHealthReport evaluateStarts(const std::vector<StartRecord> &starts,
                                  const std::vector<WorkerFacts> &workers,
                                  const WorkerHealthLimits &limits, SteadyTimeMs nowMs);

} // namespace dandelionloom

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
    /// Starts older than this don't count.
    std::int64_t windowMs = 600000;
    /// Different jobs that must fail on a worker, none succeeding, before it is blamed.
    std::uint32_t failedJobs = 3;
    /// Different workers, each of which runs other jobs, on which a job must fail before it is
    /// blamed.
    std::uint32_t failedWorkers = 3;
    /// Share of a pool's workers that may be in quarantine at once, but at least one worker.
    double quarantineShare = 0.1;
    /// After this time a quarantined worker gets work again, and is judged by new starts only.
    std::int64_t quarantineMs = 1800000;
};

enum class WorkerReason {
    /// Every start failed, of several jobs that don't fail everywhere.
    FailsEverything,
    /// As before, but the bounded share of the pool is in quarantine already.
    QuarantineFull,
    /// The quarantine has ended; the worker is tried again.
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

struct HealthVerdicts
{
    /// Changes of this pass.
    std::vector<WorkerVerdict> workers;
    /// All workers in quarantine after this pass.
    std::set<std::string> quarantined;
    /// Jobs that fail wherever they are started.
    std::set<std::string> failingJobs;
};

/// Tells workers that fail everything from jobs that fail everywhere. Jobs are judged first, by
/// starts on workers that run other jobs; the failures of such jobs don't count against workers.
HealthVerdicts judgeStarts(const std::vector<StartRecord> &starts,
                           const std::vector<WorkerFacts> &workers,
                           const WorkerHealthLimits &limits, SteadyTimeMs nowMs);

} // namespace dandelionloom

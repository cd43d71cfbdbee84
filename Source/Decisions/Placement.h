#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Decisions/Jobs.h"
#include "Decisions/WorkerHealth.h"
#include "Model/EnumNames.h"
#include "Model/Lists.h"
#include "Model/Time.h"

namespace dandelionloom {

struct PlacementLimits
{
    UsageEstimateLimits use;
    WorkerHealthLimits health;
    /// Share of a worker's processors and memory that is kept free for jobs that grow between two
    /// usage reports.
    double headroom = 0.1;
    /// Utilization of a worker above which its jobs are throttled or checkpointed, and below which
    /// throttles are lifted.
    double highWatermark = 0.9;
    double lowWatermark = 0.7;
    /// Smallest share of its processors that a job is throttled to.
    double minThrottle = 0.1;
    /// A job is a straggler once it has run this many times the median run time of its kind.
    double stragglerFactor = 5;
    /// Share of a pool's processors that stragglers may hold.
    double stragglerShare = 0.2;
    /// Workers examined for one job in the order of the tightest fit, and as many again from the
    /// emptiest.
    std::uint32_t maxCandidates = 32;
};

enum class JobAction {
    /// Start a waiting job on `worker`.
    Start,
    /// Tell the submitter that the job will not run, and why.
    Refuse,
    /// Remove a cancelled job that waits; it has not run.
    Drop,
    /// Stop a running job.
    Stop,
    /// Checkpoint and stop a running job, which then waits again.
    Checkpoint,
    /// Let a running job use `throttle` of its processors from now on.
    Throttle,
    /// Leave a waiting job waiting.
    Wait
};
inline constexpr EnumNames<JobAction, 7> jobActionNames{
        {"start", "refuse", "drop", "stop", "checkpoint", "throttle", "wait"}};

enum class JobReason {
    // Start
    PlacedByOwnUse,
    PlacedByKindUse,
    PlacedByDeclaration,
    // Refuse
    NoWorkerLargeEnough,
    NoPool,
    AllowanceTooSmall,
    FailsEverywhere,
    // Drop and Stop
    Cancelled,
    // Checkpoint and Throttle
    MakesRoomForUrgent,
    OutgrewMemory,
    OutgrewProcessors,
    StragglerShare,
    PressureEnded,
    // Wait
    NoRoom,
    AllowanceSpent,
    LeaseMayBeValid,
    WaitsForCheckpoint,
    StragglersHoldShare
};
inline constexpr EnumNames<JobReason, 18> jobReasonNames{
        {"placed-by-own-use", "placed-by-kind-use", "placed-by-declaration",
         "no-worker-large-enough", "no-pool", "allowance-too-small", "fails-everywhere",
         "cancelled", "makes-room-for-urgent", "outgrew-memory", "outgrew-processors",
         "straggler-share", "pressure-ended", "no-room", "allowance-spent", "lease-may-be-valid",
         "waits-for-checkpoint", "stragglers-hold-share"}};

struct JobDecision
{
    std::string job;
    JobAction action = JobAction::Wait;
    JobReason reason = JobReason::NoRoom;
    std::string worker;
    /// Expected usage, for Start and Wait.
    Resources expected;
    /// For Throttle: share of its processors that the job may use.
    double throttle = 1;
    /// For Checkpoint: the urgent job that needs the capacity.
    std::string forJob;
};

struct PlacementFacts
{
    std::vector<JobFacts> jobs;
    std::vector<WorkerFacts> workers;
    std::map<std::string, KindProfile> profiles;
    std::vector<StartRecord> starts;
    /// By plan id. A plan without an allowance may use no accelerators.
    std::map<std::string, Allowance> allowances;
};

struct PlacementPlan
{
    /// One decision for each waiting job, and one for each running job that changes.
    std::vector<JobDecision> decisions;
    WorkerHealthReport health;
};

/// Makes one round of decisions for all jobs: cancellations, running jobs that exceed their
/// expected usage or run time, and then the waiting jobs, refused or placed, urgent first. Capacity
/// of a stopped or checkpointed job is used only after the platform has confirmed its end. Takes
/// O(n log n) in the number of jobs, workers and starts.
PlacementPlan placeJobs(const PlacementFacts &facts, const PlacementLimits &limits,
                        SteadyTimeMs nowMs);

} // namespace dandelionloom

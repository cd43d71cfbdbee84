#include "Decisions/RunningJobs.h"

#include <algorithm>

namespace dandelionloom::detail {

namespace {

JobDecision decide(const PlacedJob &placed, JobAction action, JobReason reason)
{
    JobDecision decision;
    decision.job = placed.job->id;
    decision.action = action;
    decision.reason = reason;
    decision.worker = placed.job->worker;
    decision.throttle = placed.job->throttle;
    return decision;
}

JobDecision throttleTo(const PlacedJob &placed, JobReason reason, double share)
{
    JobDecision decision = decide(placed, JobAction::Throttle, reason);
    decision.throttle = share;
    return decision;
}

/// The usage that a job was placed by: that of its kind, once known, else the declaration. A
/// declaration that is far too high must not excuse the job.
Resources expectedUsage(const JobFacts &job, const PlacementFacts &facts,
                        const PlacementLimits &limits)
{
    Resources expected = job.declared;
    const auto profile = facts.profiles.find(job.kind);
    if (profile != facts.profiles.end() && profile->second.runs >= limits.use.minProfileRuns) {
        expected.processors = profile->second.use.processors;
        expected.memoryBytes = profile->second.use.memoryBytes;
    }
    return expected;
}

struct Overuse
{
    PlacedJob *placed = nullptr;
    double overuse = 0;
    double expected = 0;
};

/// Running jobs of a worker that exceed their expected usage, in descending order of the excess.
std::vector<Overuse> jobsByOveruse(WorkerAllocation &allocation, const PlacementFacts &facts,
                                   const PlacementLimits &limits, double Resources::*dimension)
{
    std::vector<Overuse> result;
    for (PlacedJob &placed : allocation.jobs) {
        const bool isRunning = placed.job->state == JobState::Running && !placed.decided;
        if (!isRunning || placed.estimate.source != UsageSource::OwnReports) {
            continue;
        }
        const double expected = expectedUsage(*placed.job, facts, limits).*dimension;
        const double overuse = placed.estimate.use.*dimension - expected;
        if (overuse > 0) {
            result.push_back({&placed, overuse, expected});
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Overuse &left, const Overuse &right) {
        return left.overuse > right.overuse;
    });
    return result;
}

void limitMemory(WorkerCapacityIndex &capacityIndex, std::size_t position,
                 const PlacementFacts &facts, const PlacementLimits &limits,
                 std::vector<JobDecision> &decisions)
{
    WorkerAllocation &allocation = capacityIndex.allocations()[position];
    const double allowed = allocation.worker->capacity.memoryBytes * limits.highWatermark;
    double used = allocation.used.memoryBytes - allocation.ending.memoryBytes;
    if (used <= allowed) {
        return;
    }
    for (const Overuse &item : jobsByOveruse(allocation, facts, limits, &Resources::memoryBytes)) {
        if (used <= allowed) {
            return;
        }
        PlacedJob &placed = *item.placed;
        if (placed.job->checkpointable) {
            used -= placed.estimate.use.memoryBytes;
            capacityIndex.end(position, placed);
            decisions.push_back(decide(placed, JobAction::Checkpoint, JobReason::OutgrewMemory));
        } else if (placed.job->throttle > limits.minThrottle) {
            placed.decided = true;
            decisions.push_back(throttleTo(placed, JobReason::OutgrewMemory, limits.minThrottle));
        }
    }
}

/// Lifts throttles whose cause is gone. Stragglers stay throttled, and so do all jobs while memory
/// is scarce, since a throttle also slows the growth of memory.
void liftThrottles(WorkerAllocation &allocation, const PlacementFacts &facts,
                   const PlacementLimits &limits, std::vector<JobDecision> &decisions,
                   SteadyTimeMs nowMs)
{
    const Resources &capacity = allocation.worker->capacity;
    double used = allocation.used.processors - allocation.ending.processors;
    if (allocation.used.memoryBytes > capacity.memoryBytes * limits.lowWatermark) {
        return;
    }
    for (PlacedJob &placed : allocation.jobs) {
        const JobFacts &job = *placed.job;
        if (job.state != JobState::Running || job.throttle >= 1 || placed.decided
            || isStraggler(job, facts.profiles, limits.use, limits.stragglerFactor, nowMs)) {
            continue;
        }
        // Without the throttle its usage may rise by this much; throttles are lifted only while the
        // sum fits.
        const double throttledUsage = placed.estimate.use.processors * (1 / job.throttle - 1);
        if (used + throttledUsage > capacity.processors * limits.highWatermark) {
            continue;
        }
        used += throttledUsage;
        placed.decided = true;
        decisions.push_back(throttleTo(placed, JobReason::PressureEnded, 1));
    }
}

void limitProcessors(WorkerAllocation &allocation, const PlacementFacts &facts,
                     const PlacementLimits &limits, std::vector<JobDecision> &decisions,
                     SteadyTimeMs nowMs)
{
    const double capacity = allocation.worker->capacity.processors;
    double used = allocation.used.processors - allocation.ending.processors;
    if (used < capacity * limits.lowWatermark) {
        liftThrottles(allocation, facts, limits, decisions, nowMs);
        return;
    }
    if (used <= capacity * limits.highWatermark) {
        return;
    }
    for (const Overuse &item : jobsByOveruse(allocation, facts, limits, &Resources::processors)) {
        if (used <= capacity * limits.highWatermark) {
            return;
        }
        PlacedJob &placed = *item.placed;
        const double share = placed.job->throttle * item.expected / placed.estimate.use.processors;
        placed.decided = true;
        used -= item.overuse;
        decisions.push_back(throttleTo(placed, JobReason::OutgrewProcessors,
                                       std::max(limits.minThrottle, share)));
    }
}

struct Straggler
{
    std::size_t position = 0;
    PlacedJob *placed = nullptr;
};

} // namespace

void stopCancelled(WorkerCapacityIndex &capacityIndex, std::vector<JobDecision> &decisions)
{
    for (std::size_t position = 0; position < capacityIndex.allocations().size(); ++position) {
        for (PlacedJob &placed : capacityIndex.allocations()[position].jobs) {
            if (placed.job->cancelled && placed.job->state == JobState::Running) {
                capacityIndex.end(position, placed);
                decisions.push_back(decide(placed, JobAction::Stop, JobReason::Cancelled));
            }
        }
    }
}

void limitOveruse(WorkerCapacityIndex &capacityIndex, const PlacementFacts &facts,
                  const PlacementLimits &limits, std::vector<JobDecision> &decisions,
                  SteadyTimeMs nowMs)
{
    for (std::size_t position = 0; position < capacityIndex.allocations().size(); ++position) {
        limitMemory(capacityIndex, position, facts, limits, decisions);
        limitProcessors(capacityIndex.allocations()[position], facts, limits, decisions, nowMs);
    }
}

std::map<std::string, double> limitStragglers(WorkerCapacityIndex &capacityIndex,
                                              const PlacementFacts &facts,
                                              const PlacementLimits &limits,
                                              std::vector<JobDecision> &decisions,
                                              SteadyTimeMs nowMs)
{
    std::map<std::string, double> heldProcessors;
    std::map<std::string, std::vector<Straggler>> stragglers;
    for (std::size_t position = 0; position < capacityIndex.allocations().size(); ++position) {
        WorkerAllocation &allocation = capacityIndex.allocations()[position];
        for (PlacedJob &placed : allocation.jobs) {
            const bool isLimitable = placed.job->state == JobState::Running && !placed.decided;
            if (isLimitable
                && isStraggler(*placed.job, facts.profiles, limits.use, limits.stragglerFactor,
                               nowMs)) {
                heldProcessors[allocation.worker->pool] += placed.estimate.use.processors;
                stragglers[allocation.worker->pool].push_back({position, &placed});
            }
        }
    }
    for (auto &[pool, inPool] : stragglers) {
        const double allowed = capacityIndex.poolProcessors(pool) * limits.stragglerShare;
        std::stable_sort(inPool.begin(), inPool.end(),
                         [](const Straggler &left, const Straggler &right) {
                             return left.placed->job->startedAtMs > right.placed->job->startedAtMs;
                         });
        for (const Straggler &straggler : inPool) {
            if (heldProcessors[pool] <= allowed) {
                break;
            }
            PlacedJob &placed = *straggler.placed;
            const double use = placed.estimate.use.processors;
            if (placed.job->checkpointable) {
                heldProcessors[pool] -= use;
                capacityIndex.end(straggler.position, placed);
                decisions.push_back(
                        decide(placed, JobAction::Checkpoint, JobReason::StragglerShare));
            } else if (placed.job->throttle > limits.minThrottle) {
                heldProcessors[pool] -= use * (1 - limits.minThrottle / placed.job->throttle);
                placed.decided = true;
                decisions.push_back(
                        throttleTo(placed, JobReason::StragglerShare, limits.minThrottle));
            }
        }
    }
    return heldProcessors;
}

} // namespace dandelionloom::detail

#include "Decisions/Placement.h"

#include <algorithm>
#include <tuple>

#include "Decisions/RunningJobs.h"
#include "Decisions/WorkerCapacityIndex.h"

namespace dandelionloom {

namespace {

using detail::PlacedJob;
using detail::WorkerAllocation;
using detail::WorkerCapacityIndex;

struct PlacementRound
{
    const PlacementFacts &facts;
    const PlacementLimits &limits;
    SteadyTimeMs nowMs;
    PlacementPlan &plan;
    WorkerCapacityIndex &capacityIndex;
    /// Processors held by stragglers in each pool, and accelerators in use by each plan.
    std::map<std::string, double> stragglerProcessors;
    std::map<std::string, std::uint32_t> acceleratorsInUse;

    void decide(const JobFacts &job, JobAction action, JobReason reason, const Resources &expected,
                const std::string &worker = {})
    {
        plan.decisions.push_back({job.id, action, reason, worker, expected, 1, {}});
    }
    std::uint32_t allowedAccelerators(const JobFacts &job) const;
    void place(const JobFacts &job);
    bool mustWait(const JobFacts &job, const Resources &need);
    void startOrWait(const JobFacts &job, const Resources &need, UsageSource source);
    void reclaimCapacity(const JobFacts &job, const Resources &need);
    void preemptFor(const JobFacts &job, const Resources &need, std::size_t position);
};

std::uint32_t PlacementRound::allowedAccelerators(const JobFacts &job) const
{
    const auto allowance = facts.allowances.find(job.plan);
    return allowance == facts.allowances.end() ? 0 : allowance->second.accelerators;
}

/// True if the job has to wait regardless of free capacity; the decision is then recorded.
bool PlacementRound::mustWait(const JobFacts &job, const Resources &need)
{
    if (job.leaseMayBeValid) {
        decide(job, JobAction::Wait, JobReason::LeaseMayBeValid, need);
        return true;
    }
    if (need.accelerators > 0
        && acceleratorsInUse[job.plan] + need.accelerators > allowedAccelerators(job)) {
        decide(job, JobAction::Wait, JobReason::AllowanceSpent, need);
        return true;
    }
    if (isStraggler(job, facts.profiles, limits.use, limits.stragglerFactor, nowMs)
        && stragglerProcessors[job.pool] + need.processors
                > capacityIndex.poolProcessors(job.pool) * limits.stragglerShare) {
        decide(job, JobAction::Wait, JobReason::StragglersHoldShare, need);
        return true;
    }
    return false;
}

void PlacementRound::preemptFor(const JobFacts &job, const Resources &need, std::size_t position)
{
    WorkerAllocation &allocation = capacityIndex.allocations()[position];
    std::vector<PlacedJob *> victims;
    for (PlacedJob &placed : allocation.jobs) {
        if (placed.job->state == JobState::Running && placed.job->checkpointable
            && placed.job->urgency != Urgency::Urgent && !placed.decided) {
            victims.push_back(&placed);
        }
    }
    // Batch work is preempted first and, among equals, the latest started, since it loses the
    // least.
    std::stable_sort(victims.begin(), victims.end(),
                     [](const PlacedJob *left, const PlacedJob *right) {
                         return std::tuple(right->job->urgency, right->job->startedAtMs)
                                 < std::tuple(left->job->urgency, left->job->startedAtMs);
                     });
    for (PlacedJob *victim : victims) {
        const Resources free =
                allocation.allocatable(limits.headroom) - allocation.used + allocation.ending;
        const std::uint32_t slotsUsed =
                allocation.slotsUsed - std::min(allocation.slotsUsed, allocation.slotsEnding);
        if (slotsUsed < allocation.worker->slots && fits(need, free)) {
            break;
        }
        capacityIndex.end(position, *victim);
        JobDecision decision;
        decision.job = victim->job->id;
        decision.action = JobAction::Checkpoint;
        decision.reason = JobReason::MakesRoomForUrgent;
        decision.worker = allocation.worker->id;
        decision.forJob = job.id;
        plan.decisions.push_back(std::move(decision));
    }
}

void PlacementRound::reclaimCapacity(const JobFacts &job, const Resources &need)
{
    // Capacity of jobs that are already ending is tried first, so that one urgent job causes one
    // checkpoint and not one in each round until the checkpointed job has ended.
    auto position = capacityIndex.findEnding(job, need);
    if (!position) {
        position = capacityIndex.findReclaimable(job, need);
        if (!position) {
            decide(job, JobAction::Wait, JobReason::NoRoom, need);
            return;
        }
        preemptFor(job, need, *position);
    }
    capacityIndex.allocate(*position, need);
    decide(job, JobAction::Wait, JobReason::WaitsForCheckpoint, need,
           capacityIndex.allocations()[*position].worker->id);
}

void PlacementRound::startOrWait(const JobFacts &job, const Resources &need, UsageSource source)
{
    const auto position = capacityIndex.findAvailable(job, need);
    if (!position) {
        if (job.urgency == Urgency::Urgent) {
            reclaimCapacity(job, need);
        } else {
            decide(job, JobAction::Wait, JobReason::NoRoom, need);
        }
        return;
    }
    capacityIndex.allocate(*position, need);
    acceleratorsInUse[job.plan] += need.accelerators;
    if (isStraggler(job, facts.profiles, limits.use, limits.stragglerFactor, nowMs)) {
        stragglerProcessors[job.pool] += need.processors;
    }
    JobReason reason = JobReason::PlacedByDeclaration;
    if (source == UsageSource::OwnReports) {
        reason = JobReason::PlacedByOwnUse;
    } else if (source == UsageSource::KindReports) {
        reason = JobReason::PlacedByKindUse;
    }
    decide(job, JobAction::Start, reason, need, capacityIndex.allocations()[*position].worker->id);
}

void PlacementRound::place(const JobFacts &job)
{
    const UsageEstimate estimate = estimateUsage(job, facts.profiles, limits.use, nowMs);
    if (job.cancelled) {
        decide(job, JobAction::Drop, JobReason::Cancelled, {});
        return;
    }
    if (plan.health.failingJobs.contains(job.id)) {
        decide(job, JobAction::Refuse, JobReason::FailsEverywhere, estimate.use);
        return;
    }
    if (!capacityIndex.hasPool(job.pool)) {
        decide(job, JobAction::Refuse, JobReason::NoPool, estimate.use);
        return;
    }
    if (job.declared.accelerators > allowedAccelerators(job)) {
        decide(job, JobAction::Refuse, JobReason::AllowanceTooSmall, estimate.use);
        return;
    }
    // Declarations are far off in both directions, so a job is refused only if both its declaration
    // and its observed usage exceed every worker. Otherwise it gets at most a whole worker.
    const Resources smallest{std::min(job.declared.processors, estimate.use.processors),
                             std::min(job.declared.memoryBytes, estimate.use.memoryBytes),
                             job.declared.accelerators};
    const auto largest = capacityIndex.largestWorkerFor(job.pool, smallest);
    if (!largest) {
        decide(job, JobAction::Refuse, JobReason::NoWorkerLargeEnough, smallest);
        return;
    }
    const Resources need{std::min(estimate.use.processors, largest->processors),
                         std::min(estimate.use.memoryBytes, largest->memoryBytes),
                         estimate.use.accelerators};
    if (!mustWait(job, need)) {
        startOrWait(job, need, estimate.source);
    }
}

} // namespace

PlacementPlan placeJobs(const PlacementFacts &facts, const PlacementLimits &limits,
                        SteadyTimeMs nowMs)
{
    PlacementPlan plan;
    plan.health = evaluateStarts(facts.starts, facts.workers, limits.health, nowMs);
    WorkerCapacityIndex capacityIndex(facts, plan.health.quarantined, limits, nowMs);
    PlacementRound round{facts, limits, nowMs, plan, capacityIndex, {}, {}};
    detail::stopCancelled(capacityIndex, plan.decisions);
    detail::limitOveruse(capacityIndex, facts, limits, plan.decisions, nowMs);
    round.stragglerProcessors =
            detail::limitStragglers(capacityIndex, facts, limits, plan.decisions, nowMs);
    std::vector<const JobFacts *> waiting;
    for (const JobFacts &job : facts.jobs) {
        if (job.state == JobState::Waiting) {
            waiting.push_back(&job);
        } else {
            round.acceleratorsInUse[job.plan] += job.declared.accelerators;
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const JobFacts *left, const JobFacts *right) {
                         return std::tuple(left->urgency, left->submittedAtMs)
                                 < std::tuple(right->urgency, right->submittedAtMs);
                     });
    for (const JobFacts *job : waiting) {
        round.place(*job);
    }
    return plan;
}

} // namespace dandelionloom

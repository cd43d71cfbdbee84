#include "Decisions/Placement.h"

#include <algorithm>
#include <tuple>

#include "Decisions/RunningJobs.h"
#include "Decisions/WorkerRooms.h"

namespace dandelionloom {

namespace {

using detail::PlacedJob;
using detail::WorkerRoom;
using detail::WorkerRooms;

struct Round
{
    const PlacementFacts &facts;
    const PlacementLimits &limits;
    SteadyTimeMs nowMs;
    PlacementPlan &plan;
    WorkerRooms &rooms;
    /// Processors that stragglers hold by pool, and accelerators in use by plan.
    std::map<std::string, double> stragglerProcessors;
    std::map<std::string, std::uint32_t> acceleratorsInUse;

    void decide(const JobFacts &job, JobAction action, JobReason reason, const Resources &expected,
                const std::string &worker = {})
    {
        plan.decisions.push_back({job.id, action, reason, worker, expected, 1, {}});
    }
    std::uint32_t allowedAccelerators(const JobFacts &job) const;
    void place(const JobFacts &job);
    bool holdBack(const JobFacts &job, const Resources &need);
    void startOrWait(const JobFacts &job, const Resources &need, UseSource source);
    void makeRoom(const JobFacts &job, const Resources &need);
    void checkpointFor(const JobFacts &job, const Resources &need, std::size_t position);
};

std::uint32_t Round::allowedAccelerators(const JobFacts &job) const
{
    const auto allowance = facts.allowances.find(job.plan);
    return allowance == facts.allowances.end() ? 0 : allowance->second.accelerators;
}

/// True if the job must wait although there may be room for it.
bool Round::holdBack(const JobFacts &job, const Resources &need)
{
    if (job.leaseOpen) {
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
                > rooms.poolProcessors(job.pool) * limits.stragglerShare) {
        decide(job, JobAction::Wait, JobReason::StragglersHoldShare, need);
        return true;
    }
    return false;
}

void Round::checkpointFor(const JobFacts &job, const Resources &need, std::size_t position)
{
    WorkerRoom &room = rooms.rooms()[position];
    std::vector<PlacedJob *> victims;
    for (PlacedJob &placed : room.jobs) {
        if (placed.job->state == JobState::Running && placed.job->checkpointable
            && placed.job->urgency != Urgency::Urgent && !placed.decided) {
            victims.push_back(&placed);
        }
    }
    // Batch work yields first, and among equals what started last, since it loses the least.
    std::stable_sort(victims.begin(), victims.end(),
                     [](const PlacedJob *left, const PlacedJob *right) {
                         return std::tuple(right->job->urgency, right->job->startedAtMs)
                                 < std::tuple(left->job->urgency, left->job->startedAtMs);
                     });
    for (PlacedJob *victim : victims) {
        const Resources free = room.usable(limits.headroom) - room.used + room.ending;
        const std::uint32_t slotsUsed = room.slotsUsed - std::min(room.slotsUsed, room.slotsEnding);
        if (slotsUsed < room.worker->slots && fits(need, free)) {
            break;
        }
        rooms.end(position, *victim);
        JobDecision decision;
        decision.job = victim->job->id;
        decision.action = JobAction::Checkpoint;
        decision.reason = JobReason::MakesRoomForUrgent;
        decision.worker = room.worker->id;
        decision.forJob = job.id;
        plan.decisions.push_back(std::move(decision));
    }
}

void Round::makeRoom(const JobFacts &job, const Resources &need)
{
    // Room that is ending already serves first, so that one urgent job causes one checkpoint and
    // not one in each round until it has ended.
    auto position = rooms.findEnding(job, need);
    if (!position) {
        position = rooms.findReclaimable(job, need);
        if (!position) {
            decide(job, JobAction::Wait, JobReason::NoRoom, need);
            return;
        }
        checkpointFor(job, need, *position);
    }
    rooms.take(*position, need);
    decide(job, JobAction::Wait, JobReason::WaitsForCheckpoint, need,
           rooms.rooms()[*position].worker->id);
}

void Round::startOrWait(const JobFacts &job, const Resources &need, UseSource source)
{
    const auto position = rooms.findRoom(job, need);
    if (!position) {
        if (job.urgency == Urgency::Urgent) {
            makeRoom(job, need);
        } else {
            decide(job, JobAction::Wait, JobReason::NoRoom, need);
        }
        return;
    }
    rooms.take(*position, need);
    acceleratorsInUse[job.plan] += need.accelerators;
    if (isStraggler(job, facts.profiles, limits.use, limits.stragglerFactor, nowMs)) {
        stragglerProcessors[job.pool] += need.processors;
    }
    JobReason reason = JobReason::PlacedByDeclaration;
    if (source == UseSource::OwnReports) {
        reason = JobReason::PlacedByOwnUse;
    } else if (source == UseSource::KindReports) {
        reason = JobReason::PlacedByKindUse;
    }
    decide(job, JobAction::Start, reason, need, rooms.rooms()[*position].worker->id);
}

void Round::place(const JobFacts &job)
{
    const UseEstimate estimate = estimateUse(job, facts.profiles, limits.use, nowMs);
    if (job.cancelled) {
        decide(job, JobAction::Drop, JobReason::Cancelled, {});
        return;
    }
    if (plan.health.failingJobs.contains(job.id)) {
        decide(job, JobAction::Refuse, JobReason::FailsEverywhere, estimate.use);
        return;
    }
    if (!rooms.hasPool(job.pool)) {
        decide(job, JobAction::Refuse, JobReason::NoPool, estimate.use);
        return;
    }
    if (job.declared.accelerators > allowedAccelerators(job)) {
        decide(job, JobAction::Refuse, JobReason::AllowanceTooSmall, estimate.use);
        return;
    }
    // Declarations are far off both ways, so a job is refused only if both the declaration and the
    // observation exceed every worker. Otherwise it gets at most a whole worker.
    const Resources smallest{std::min(job.declared.processors, estimate.use.processors),
                             std::min(job.declared.memoryBytes, estimate.use.memoryBytes),
                             job.declared.accelerators};
    const auto largest = rooms.largestFor(job.pool, smallest);
    if (!largest) {
        decide(job, JobAction::Refuse, JobReason::NoWorkerLargeEnough, smallest);
        return;
    }
    const Resources need{std::min(estimate.use.processors, largest->processors),
                         std::min(estimate.use.memoryBytes, largest->memoryBytes),
                         estimate.use.accelerators};
    if (!holdBack(job, need)) {
        startOrWait(job, need, estimate.source);
    }
}

} // namespace

PlacementPlan placeJobs(const PlacementFacts &facts, const PlacementLimits &limits,
                        SteadyTimeMs nowMs)
{
    PlacementPlan plan;
    plan.health = judgeStarts(facts.starts, facts.workers, limits.health, nowMs);
    WorkerRooms rooms(facts, plan.health.quarantined, limits, nowMs);
    Round round{facts, limits, nowMs, plan, rooms, {}, {}};
    detail::stopCancelled(rooms, plan.decisions);
    detail::limitOutgrown(rooms, facts, limits, plan.decisions, nowMs);
    round.stragglerProcessors =
            detail::limitStragglers(rooms, facts, limits, plan.decisions, nowMs);
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

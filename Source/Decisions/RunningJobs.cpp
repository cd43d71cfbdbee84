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

/// What the job was expected to use when it was placed: the lower of declaration and kind, since a
/// declaration that is far too high must not excuse it.
Resources expectedUse(const JobFacts &job, const PlacementFacts &facts,
                      const PlacementLimits &limits)
{
    Resources expected = job.declared;
    const auto profile = facts.profiles.find(job.kind);
    if (profile != facts.profiles.end() && profile->second.runs >= limits.use.trustedRuns) {
        expected.processors = profile->second.use.processors;
        expected.memoryBytes = profile->second.use.memoryBytes;
    }
    return expected;
}

struct Excess
{
    PlacedJob *placed = nullptr;
    double excess = 0;
    double expected = 0;
};

/// Running jobs of a worker that exceed what was expected of them, the largest excess first.
std::vector<Excess> excesses(WorkerRoom &room, const PlacementFacts &facts,
                             const PlacementLimits &limits, double Resources::*dimension)
{
    std::vector<Excess> result;
    for (PlacedJob &placed : room.jobs) {
        const bool acts = placed.job->state == JobState::Running && !placed.decided;
        if (!acts || placed.estimate.source != UseSource::OwnReports) {
            continue;
        }
        const double expected = expectedUse(*placed.job, facts, limits).*dimension;
        const double excess = placed.estimate.use.*dimension - expected;
        if (excess > 0) {
            result.push_back({&placed, excess, expected});
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Excess &left, const Excess &right) {
        return left.excess > right.excess;
    });
    return result;
}

void limitMemory(WorkerRooms &rooms, std::size_t position, const PlacementFacts &facts,
                 const PlacementLimits &limits, std::vector<JobDecision> &decisions)
{
    WorkerRoom &room = rooms.rooms()[position];
    const double allowed = room.worker->capacity.memoryBytes * limits.pressure;
    double used = room.used.memoryBytes - room.ending.memoryBytes;
    if (used <= allowed) {
        return;
    }
    for (const Excess &item : excesses(room, facts, limits, &Resources::memoryBytes)) {
        if (used <= allowed) {
            return;
        }
        PlacedJob &placed = *item.placed;
        if (placed.job->checkpointable) {
            used -= placed.estimate.use.memoryBytes;
            rooms.end(position, placed);
            decisions.push_back(decide(placed, JobAction::Checkpoint, JobReason::OutgrewMemory));
        } else if (placed.job->throttle > limits.smallestThrottle) {
            placed.decided = true;
            decisions.push_back(
                    throttleTo(placed, JobReason::OutgrewMemory, limits.smallestThrottle));
        }
    }
}

/// Ends throttles whose cause is gone. Stragglers stay throttled, and so do all jobs while memory
/// is short, since a throttle also slows the growth of memory.
void endThrottles(WorkerRoom &room, const PlacementFacts &facts, const PlacementLimits &limits,
                  std::vector<JobDecision> &decisions, SteadyTimeMs nowMs)
{
    const Resources &capacity = room.worker->capacity;
    double used = room.used.processors - room.ending.processors;
    if (room.used.memoryBytes > capacity.memoryBytes * limits.relief) {
        return;
    }
    for (PlacedJob &placed : room.jobs) {
        const JobFacts &job = *placed.job;
        if (job.state != JobState::Running || job.throttle >= 1 || placed.decided
            || isStraggler(job, facts.profiles, limits.use, limits.stragglerFactor, nowMs)) {
            continue;
        }
        // Its use may rise by what the throttle held back; only as many are let go as fit.
        const double heldBack = placed.estimate.use.processors * (1 / job.throttle - 1);
        if (used + heldBack > capacity.processors * limits.pressure) {
            continue;
        }
        used += heldBack;
        placed.decided = true;
        decisions.push_back(throttleTo(placed, JobReason::PressureEnded, 1));
    }
}

void limitProcessors(WorkerRoom &room, const PlacementFacts &facts, const PlacementLimits &limits,
                     std::vector<JobDecision> &decisions, SteadyTimeMs nowMs)
{
    const double capacity = room.worker->capacity.processors;
    double used = room.used.processors - room.ending.processors;
    if (used < capacity * limits.relief) {
        endThrottles(room, facts, limits, decisions, nowMs);
        return;
    }
    if (used <= capacity * limits.pressure) {
        return;
    }
    for (const Excess &item : excesses(room, facts, limits, &Resources::processors)) {
        if (used <= capacity * limits.pressure) {
            return;
        }
        PlacedJob &placed = *item.placed;
        const double share = placed.job->throttle * item.expected / placed.estimate.use.processors;
        placed.decided = true;
        used -= item.excess;
        decisions.push_back(throttleTo(placed, JobReason::OutgrewProcessors,
                                       std::max(limits.smallestThrottle, share)));
    }
}

struct Straggler
{
    std::size_t position = 0;
    PlacedJob *placed = nullptr;
};

} // namespace

void stopCancelled(WorkerRooms &rooms, std::vector<JobDecision> &decisions)
{
    for (std::size_t position = 0; position < rooms.rooms().size(); ++position) {
        for (PlacedJob &placed : rooms.rooms()[position].jobs) {
            if (placed.job->cancelled && placed.job->state == JobState::Running) {
                rooms.end(position, placed);
                decisions.push_back(decide(placed, JobAction::Stop, JobReason::Cancelled));
            }
        }
    }
}

void limitOutgrown(WorkerRooms &rooms, const PlacementFacts &facts, const PlacementLimits &limits,
                   std::vector<JobDecision> &decisions, SteadyTimeMs nowMs)
{
    for (std::size_t position = 0; position < rooms.rooms().size(); ++position) {
        limitMemory(rooms, position, facts, limits, decisions);
        limitProcessors(rooms.rooms()[position], facts, limits, decisions, nowMs);
    }
}

std::map<std::string, double> limitStragglers(WorkerRooms &rooms, const PlacementFacts &facts,
                                              const PlacementLimits &limits,
                                              std::vector<JobDecision> &decisions,
                                              SteadyTimeMs nowMs)
{
    std::map<std::string, double> held;
    std::map<std::string, std::vector<Straggler>> stragglers;
    for (std::size_t position = 0; position < rooms.rooms().size(); ++position) {
        WorkerRoom &room = rooms.rooms()[position];
        for (PlacedJob &placed : room.jobs) {
            const bool runs = placed.job->state == JobState::Running && !placed.decided;
            if (runs
                && isStraggler(*placed.job, facts.profiles, limits.use, limits.stragglerFactor,
                               nowMs)) {
                held[room.worker->pool] += placed.estimate.use.processors;
                stragglers[room.worker->pool].push_back({position, &placed});
            }
        }
    }
    for (auto &[pool, found] : stragglers) {
        const double allowed = rooms.poolProcessors(pool) * limits.stragglerShare;
        std::stable_sort(found.begin(), found.end(),
                         [](const Straggler &left, const Straggler &right) {
                             return left.placed->job->startedAtMs > right.placed->job->startedAtMs;
                         });
        for (const Straggler &straggler : found) {
            if (held[pool] <= allowed) {
                break;
            }
            PlacedJob &placed = *straggler.placed;
            const double use = placed.estimate.use.processors;
            if (placed.job->checkpointable) {
                held[pool] -= use;
                rooms.end(straggler.position, placed);
                decisions.push_back(
                        decide(placed, JobAction::Checkpoint, JobReason::StragglerShare));
            } else if (placed.job->throttle > limits.smallestThrottle) {
                held[pool] -= use * (1 - limits.smallestThrottle / placed.job->throttle);
                placed.decided = true;
                decisions.push_back(
                        throttleTo(placed, JobReason::StragglerShare, limits.smallestThrottle));
            }
        }
    }
    return held;
}

} // namespace dandelionloom::detail

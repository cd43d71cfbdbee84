#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Scheduling/FleetSimulation.h"

namespace dandelionloom::test {

/// Load of a queue: jobs a second at its peak, the share of jobs with a second step, and the
/// number, run time and size of the tasks of a step.
struct QueueLoad
{
    double peakPerSecond = 0;
    double secondStepShare = 0;
    std::uint32_t tasks = 8;
    std::int64_t taskMs = 0;
    std::int64_t taskMilli = 0;
};

/// Queues whose demand peaks in turn, each with a pool of its own, and a pool of spare instances.
struct TurnLoad
{
    std::vector<QueueLoad> queues;
    int instancesPerPool = 0;
    int spareInstances = 0;
    /// Jobs of 24 long-running tasks per pool.
    int longRunningJobs = 0;
    /// Time from one turn to the next, and the part of it in which the queue has its peak.
    std::int64_t turnMs = 9000;
    std::int64_t peakMs = 6000;
    /// Turns of all queues together.
    int turns = 5;
    /// Load outside the peak, as a fraction of the peak load.
    double offPeakShare = 0.0125;
    /// A wave that begins with the first turn: its instances, and how many may be away at once.
    int waveInstances = 0;
    std::uint32_t waveAtOnce = 0;
    /// Time before the first turn.
    std::int64_t idleMs = 10000;
    /// Run times vary around the mean of their queue, and one task in thirty takes seven times as
    /// long.
    bool durationsVary = true;
    /// Interval of the planners' steps.
    std::int64_t planMs = 100;
    /// False for pools that follow the demand only once it is seen.
    bool foresight = true;
    /// Value of a completed job against the price of a second of an instance in a pool and of a
    /// move, as in the largest deployment.
    double instanceSecondPrice = 0;
    double movePrice = 0;
};

struct TurnLoadResult
{
    int jobs = 0;
    /// Jobs that completed within their objective, and within three times of it.
    int onTime = 0;
    int late = 0;
    /// The same counts for each queue.
    std::vector<int> jobsOfQueue;
    std::vector<int> onTimeOfQueue;
    double schedulerCores = 0;
    /// Seconds of instances in pools that are paid for, and moves between pools.
    double poolSeconds = 0;
    std::uint32_t moves = 0;
    /// Share of the jobs' worth that was earned, less prices. Queues are worth the same.
    double worth = 0;
    /// As in FleetSimulation.
    std::uint64_t placementDigest = 0;
};

/// Plays the load with the scheduler and the balancer.
TurnLoadResult replayTurnLoad(const TurnLoad &load, std::uint64_t seed);

/// The grown deployments: 350 workers, and demand of 1.2 times the capacity of a pool at its peak,
/// about 60 jobs and 860 tasks a second in total.
TurnLoad grownLoad();

/// The smallest deployments: 49 workers, and demand of 1.5 times the capacity of a pool at its
/// peak.
TurnLoad smallLoad();

/// An eighth of the largest deployment, with 137 workers: demand at a peak of 1.6 times the
/// capacity of a pool.
TurnLoad largeTwinLoad();

} // namespace dandelionloom::test

#include "Deployment.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "Decisions/Placement.h"

namespace dandelionloom::measure {

namespace {

constexpr std::uint32_t workerCount = 50;
constexpr std::uint32_t jobCount = 1200;

/// Draws jobs whose declared sizes are wrong by a factor of up to eight in either direction.
/// `hasProfiles` says whether earlier runs have recorded the true sizes.
PlacementFacts drawFacts(const Deployment &deployment, Random &random, bool hasProfiles)
{
    const bool hasLargeInstances = deployment.name == "saddlepoint";
    const Resources capacity = hasLargeInstances ? Resources{64, 256e9, 0} : Resources{16, 32e9, 0};
    PlacementFacts facts;
    for (std::uint32_t index = 0; index < workerCount; ++index) {
        WorkerFacts worker;
        worker.id = "worker-" + std::to_string(index);
        worker.pool = "risk";
        worker.rack = "rack-" + std::to_string(index / workersPerRack);
        worker.capacity = capacity;
        facts.workers.push_back(std::move(worker));
    }
    for (std::uint32_t index = 0; index < jobCount; ++index) {
        const double fraction = 0.02 + 0.16 * uniform(random);
        const double errorFactor = std::pow(8.0, 2 * uniform(random) - 1);
        JobFacts job;
        job.id = "job-" + std::to_string(index);
        job.pool = "risk";
        job.kind = job.id;
        job.submittedAtMs = index;
        job.declared = {capacity.processors * fraction * errorFactor,
                        capacity.memoryBytes * fraction * errorFactor, 0};
        const Resources used{capacity.processors * fraction, capacity.memoryBytes * fraction, 0};
        facts.profiles[job.kind] = {hasProfiles ? 10U : 0U, used, 60000};
        facts.jobs.push_back(std::move(job));
    }
    return facts;
}

struct Outcome
{
    double started = 0;
    double refused = 0;
    double overloadedWorkers = 0;
};

Outcome placeAndCount(const PlacementFacts &facts)
{
    Outcome outcome;
    std::map<std::string, double> used;
    std::map<std::string, const JobFacts *> jobsById;
    for (const JobFacts &job : facts.jobs) {
        jobsById[job.id] = &job;
    }
    for (const JobDecision &decision : placeJobs(facts, {}, 100000).decisions) {
        outcome.refused += decision.action == JobAction::Refuse ? 1 : 0;
        if (decision.action == JobAction::Start) {
            outcome.started += 1;
            used[decision.worker] +=
                    facts.profiles.at(jobsById.at(decision.job)->kind).use.memoryBytes;
        }
    }
    for (const WorkerFacts &worker : facts.workers) {
        outcome.overloadedWorkers += used[worker.id] > worker.capacity.memoryBytes ? 1 : 0;
    }
    return outcome;
}

} // namespace

void measurePlacement(const Deployment &deployment, std::uint64_t seed)
{
    Random baselineRandom(seed);
    const Outcome baseline = placeAndCount(drawFacts(deployment, baselineRandom, false));
    Random candidateRandom(seed);
    const Outcome candidate = placeAndCount(drawFacts(deployment, candidateRandom, true));
    printRow("jobs started of 1200", "declared sizes", baseline.started, candidate.started);
    printRow("jobs refused of 1200", "declared sizes", baseline.refused, candidate.refused);
    printRow("workers out of memory of 50", "declared sizes", baseline.overloadedWorkers,
             candidate.overloadedWorkers);
}

} // namespace dandelionloom::measure

#include "Deployment.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "Decisions/Placement.h"

namespace dandelionloom::measure {

namespace {

constexpr std::uint32_t workers = 50;
constexpr std::uint32_t jobs = 1200;

/// Jobs whose declarations are off by up to eight times in both directions.
PlacementFacts drawFacts(const Deployment &deployment, Random &random, bool observed)
{
    const bool large = deployment.name == "saddlepoint";
    const Resources capacity = large ? Resources{64, 256e9, 0} : Resources{16, 32e9, 0};
    PlacementFacts facts;
    for (std::uint32_t index = 0; index < workers; ++index) {
        WorkerFacts worker;
        worker.id = "worker-" + std::to_string(index);
        worker.pool = "risk";
        worker.rack = "rack-" + std::to_string(index / workersPerRack);
        worker.capacity = capacity;
        facts.workers.push_back(std::move(worker));
    }
    for (std::uint32_t index = 0; index < jobs; ++index) {
        const double share = 0.02 + 0.16 * uniform(random);
        const double error = std::pow(8.0, 2 * uniform(random) - 1);
        JobFacts job;
        job.id = "job-" + std::to_string(index);
        job.pool = "risk";
        job.kind = job.id;
        job.submittedAtMs = index;
        job.declared = {capacity.processors * share * error, capacity.memoryBytes * share * error,
                        0};
        const Resources used{capacity.processors * share, capacity.memoryBytes * share, 0};
        facts.profiles[job.kind] = {observed ? 10U : 0U, used, 60000};
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

Outcome placeOnce(const PlacementFacts &facts)
{
    Outcome outcome;
    std::map<std::string, double> used;
    std::map<std::string, const JobFacts *> byName;
    for (const JobFacts &job : facts.jobs) {
        byName[job.id] = &job;
    }
    for (const JobDecision &decision : placeJobs(facts, {}, 100000).decisions) {
        outcome.refused += decision.action == JobAction::Refuse ? 1 : 0;
        if (decision.action == JobAction::Start) {
            outcome.started += 1;
            used[decision.worker] +=
                    facts.profiles.at(byName.at(decision.job)->kind).use.memoryBytes;
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
    Random first(seed);
    const Outcome baseline = placeOnce(drawFacts(deployment, first, false));
    Random second(seed);
    const Outcome ours = placeOnce(drawFacts(deployment, second, true));
    printRow("jobs started of 1200", "declared sizes", baseline.started, ours.started);
    printRow("jobs refused of 1200", "declared sizes", baseline.refused, ours.refused);
    printRow("workers out of memory of 50", "declared sizes", baseline.overloadedWorkers,
             ours.overloadedWorkers);
}

} // namespace dandelionloom::measure

#include "Deployment.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <iostream>

#include "Decisions/Moves.h"
#include "Decisions/Placement.h"
#include "Decisions/Waves.h"

namespace dandelionloom::measure {

namespace {

constexpr std::uint32_t pools = 64;
constexpr std::uint32_t sizes[] = {1000, 4000, 8000, 22000};
constexpr double goalSeconds = 1;

/// Processor seconds of the fastest of three runs: the machine may run other work.
double processorSeconds(const std::function<void()> &body)
{
    double fastest = 1e9;
    for (int repeat = 0; repeat < 3; ++repeat) {
        const std::clock_t start = std::clock();
        body();
        const std::clock_t end = std::clock();
        fastest = std::min(fastest, static_cast<double>(end - start) / CLOCKS_PER_SEC);
    }
    return fastest;
}

struct LargeFleet
{
    Fleet fleet;
    Lists lists;
    CapacityPlan capacity;
};

LargeFleet buildLarge(std::uint32_t instances, const Deployment &deployment)
{
    LargeFleet large;
    const std::uint32_t perPool = instances / pools;
    for (std::uint32_t index = 0; index < pools; ++index) {
        const std::string name = "pool-" + std::to_string(100 + index);
        Plan plan;
        plan.id = name + "-plan";
        plan.service = name;
        plan.minHealthyInstances = perPool / 2;
        plan.maxUnavailableInstances = std::max(1U, perPool / 10);
        large.lists.plans[plan.id] = plan;
        large.capacity.pools[name].pool = name;
        large.capacity.pools[name].instances = perPool;
    }
    large.fleet = buildFleet(large.capacity, deployment);
    Wave wave;
    wave.id = "wave";
    for (const auto &[id, record] : large.fleet.instances) {
        wave.targets.push_back(id);
    }
    large.fleet.waves.emplace(wave.id, std::move(wave));
    // Every pool lacks an instance or has one too many.
    for (auto &[name, pool] : large.capacity.pools) {
        pool.instances += name.back() % 2 == 0 ? 1 : -1;
    }
    return large;
}

PlacementFacts drawJobs(std::uint32_t workers, Random &random)
{
    PlacementFacts facts;
    for (std::uint32_t index = 0; index < workers; ++index) {
        WorkerFacts worker;
        worker.id = "worker-" + std::to_string(index);
        worker.pool = "pool-" + std::to_string(index % pools);
        worker.rack = "rack-" + std::to_string(index / workersPerRack);
        worker.capacity = {16, 32e9, 0};
        facts.workers.push_back(std::move(worker));
    }
    for (std::uint32_t index = 0; index < 4 * workers; ++index) {
        JobFacts job;
        job.id = "job-" + std::to_string(index);
        job.pool = "pool-" + std::to_string(index % pools);
        job.kind = "kind-" + std::to_string(index % 100);
        job.declared = {1 + 7 * uniform(random), 8e9 * uniform(random), 0};
        job.checkpointable = index % 3 == 0;
        if (index % 2 == 0) {
            job.state = JobState::Running;
            job.worker = facts.workers[index % workers].id;
            job.usage = JobUsage{1 + uniform(random), 4e9 * uniform(random), 0, 100000};
        } else if (index % 16 == 1) {
            job.urgency = Urgency::Urgent;
        }
        facts.jobs.push_back(std::move(job));
    }
    return facts;
}

void printSlope(const std::string &name, double smallest, double largest)
{
    const double growth = std::log(largest / smallest) / std::log(22.0);
    const double allowed = std::log(22.0 * std::log(22000.0) / std::log(1000.0)) / std::log(22.0);
    printRow(name + " slope, 1k to 22k", "n log n", allowed, growth);
}

} // namespace

void measurePlanningTime(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    double fleetFirst = 0;
    double fleetLast = 0;
    double jobsFirst = 0;
    double jobsLast = 0;
    for (const std::uint32_t size : sizes) {
        const LargeFleet large = buildLarge(size, deployment);
        fleetLast = processorSeconds([&] {
            const WavePlan waves = planWaves(large.fleet, large.lists, {}, {}, 1000);
            CapacityFacts facts = capacityFacts(large.fleet, FailureDomain::Rack);
            planCapacity(facts, large.lists, deployment.weights, {});
            planMoves(large.fleet, large.capacity, waves.ledger, excludedFromMoves(waves, {}), {},
                      {0, 0, 64}, 1000);
        });
        const PlacementFacts jobs = drawJobs(size, random);
        jobsLast = processorSeconds([&] { placeJobs(jobs, {}, 110000); });
        const std::string suffix = std::to_string(size) + " instances, s";
        printRow("fleet pass " + suffix, "goal", goalSeconds, fleetLast);
        printRow("job round " + suffix, "goal", goalSeconds, jobsLast);
        if (size == sizes[0]) {
            fleetFirst = fleetLast;
            jobsFirst = jobsLast;
        }
    }
    printSlope("fleet pass", fleetFirst, fleetLast);
    printSlope("job round", jobsFirst, jobsLast);
}

} // namespace dandelionloom::measure

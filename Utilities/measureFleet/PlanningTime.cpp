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

constexpr std::uint32_t poolAvailability = 64;
constexpr std::uint32_t fleetSizes[] = {1000, 4000, 8000, 22000};
constexpr double targetSeconds = 1;

/// Returns the processor seconds of the fastest of three runs, as other load on the machine slows
/// runs down.
double processorSeconds(const std::function<void()> &call)
{
    double minSeconds = 1e9;
    for (int repeat = 0; repeat < 3; ++repeat) {
        const std::clock_t start = std::clock();
        call();
        const std::clock_t end = std::clock();
        minSeconds = std::min(minSeconds, static_cast<double>(end - start) / CLOCKS_PER_SEC);
    }
    return minSeconds;
}

struct LargeFleet
{
    Fleet fleet;
    Lists lists;
    CapacityPlan capacity;
};

LargeFleet buildLargeFleet(std::uint32_t instances, const Deployment &deployment)
{
    LargeFleet large;
    const std::uint32_t perPool = instances / poolAvailability;
    for (std::uint32_t index = 0; index < poolAvailability; ++index) {
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
    // Each pool is one instance short or has one in excess, so that moves are planned.
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
        worker.pool = "pool-" + std::to_string(index % poolAvailability);
        worker.rack = "rack-" + std::to_string(index / workersPerRack);
        worker.capacity = {16, 32e9, 0};
        facts.workers.push_back(std::move(worker));
    }
    for (std::uint32_t index = 0; index < 4 * workers; ++index) {
        JobFacts job;
        job.id = "job-" + std::to_string(index);
        job.pool = "pool-" + std::to_string(index % poolAvailability);
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

void printSlope(const std::string &name, double smallFleetSeconds, double largeFleetSeconds)
{
    const double exponent = std::log(largeFleetSeconds / smallFleetSeconds) / std::log(22.0);
    const double nLogNExponent =
            std::log(22.0 * std::log(22000.0) / std::log(1000.0)) / std::log(22.0);
    printRow(name + " slope, 1k to 22k", "n log n", nLogNExponent, exponent);
}

} // namespace

void measurePlanningTime(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    double firstFleetSeconds = 0;
    double fleetSeconds = 0;
    double firstJobSeconds = 0;
    double jobSeconds = 0;
    for (const std::uint32_t size : fleetSizes) {
        const LargeFleet large = buildLargeFleet(size, deployment);
        fleetSeconds = processorSeconds([&] {
            const WavePlan waves = planWaves(large.fleet, large.lists, {}, {}, 1000);
            CapacityFacts facts = capacityFacts(large.fleet, FailureDomain::Rack);
            planCapacity(facts, large.lists, deployment.weights, {});
            planMoves(large.fleet, large.capacity, waves.ledger, excludedFromMoves(waves, {}), {},
                      {0, 0, 64}, 1000);
        });
        const PlacementFacts jobs = drawJobs(size, random);
        jobSeconds = processorSeconds([&] { placeJobs(jobs, {}, 110000); });
        const std::string suffix = std::to_string(size) + " instances, s";
        printRow("fleet pass " + suffix, "goal", targetSeconds, fleetSeconds);
        printRow("job round " + suffix, "goal", targetSeconds, jobSeconds);
        if (size == fleetSizes[0]) {
            firstFleetSeconds = fleetSeconds;
            firstJobSeconds = jobSeconds;
        }
    }
    printSlope("fleet pass", firstFleetSeconds, fleetSeconds);
    printSlope("job round", firstJobSeconds, jobSeconds);
}

} // namespace dandelionloom::measure

#include "Deployment.h"

#include <iostream>

namespace dandelionloom::measure {

namespace {

constexpr std::int64_t observationMs = 4 * 3600 * 1000;

/// Returns the number of instances beyond those that the mean demand requires.
double idleInstances(const CapacityPlan &plan, const CapacityFacts &facts,
                     const CapacityLimits &limits)
{
    double idleCount = plan.buffer;
    for (const auto &[name, pool] : plan.pools) {
        double slots = 0;
        for (const DemandWindow &window : facts.demand.at(name)) {
            slots += window.meanSlots;
        }
        slots /= static_cast<double>(facts.demand.at(name).size());
        idleCount += pool.instances - slots / (limits.slotsPerInstance * limits.targetUtilization);
    }
    return idleCount;
}

} // namespace

void measureBuffer(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    const Lists lists = drawLists(random);
    const CapacityLimits limits;
    CapacityFacts facts;
    facts.fleetInstances = 100000;
    facts.domains = deployment.fleetInstances / workersPerRack;
    facts.largestDomain = workersPerRack;
    facts.demand = drawDemand(random, observationMs);
    const CapacityPlan plan = planCapacity(facts, lists, deployment.weights, limits);
    for (const auto &[name, pool] : plan.pools) {
        std::cout << "# pool " << name << ": " << pool.instances << " instances, minimum "
                  << pool.minHealthy << ", domain " << pool.domainShare << ", wave "
                  << pool.waveShare << ", demand " << pool.demandInstances << ", "
                  << capacityReasonNames.name(pool.reason) << "\n";
    }
    std::cout << "# buffer: " << plan.buffer << ", " << bufferReasonNames.name(plan.bufferReason)
              << "; shortest useful peak: " << shortestUsefulPeakMs(limits) / 1000 << " s\n";
    const double candidate = idleInstances(plan, facts, limits);
    printRow("idle instances", "own peak",
             idleInstances(planPerPoolPeak(facts, lists, limits), facts, limits), candidate);
    printRow("idle instances", "own spare",
             idleInstances(planPerPoolSpare(facts, lists, limits), facts, limits), candidate);
}

} // namespace dandelionloom::measure

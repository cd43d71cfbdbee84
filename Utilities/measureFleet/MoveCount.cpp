#include "Deployment.h"

#include <iostream>

#include "Decisions/Moves.h"
#include "State/FleetRules.h"

namespace dandelionloom::measure {

namespace {

constexpr std::int64_t passMs = 10000;
constexpr std::int64_t lengthMs = 4 * 3600 * 1000;
constexpr std::int64_t repairMs = 1800000;
/// Instances that fail alone, and racks that are lost, in the whole run.
constexpr std::uint32_t singleFailures = 4;
constexpr std::uint32_t rackFailures = 2;

using Demand = std::map<std::string, std::vector<DemandWindow>>;

/// The windows of the `spanMs` before `nowMs`.
Demand recentDemand(const Demand &demand, std::int64_t nowMs, std::int64_t spanMs)
{
    Demand recent;
    for (const auto &[service, windows] : demand) {
        const auto end = windows.begin() + nowMs / windows.front().lengthMs;
        recent[service].assign(end - spanMs / windows.front().lengthMs, end);
    }
    return recent;
}

struct Failure
{
    std::int64_t atMs = 0;
    std::size_t instance = 0;
    bool wholeRack = false;
};

std::vector<Failure> drawFailures(Random &random, std::size_t instances, std::int64_t fromMs)
{
    std::vector<Failure> failures;
    for (std::uint32_t index = 0; index < singleFailures + rackFailures; ++index) {
        const auto span = static_cast<std::uint64_t>((lengthMs - fromMs) / passMs);
        const auto pass = static_cast<std::int64_t>(random() % span);
        failures.push_back({fromMs + pass * passMs, random() % instances, index < rackFailures});
    }
    return failures;
}

void applyFailures(Fleet &fleet, const std::vector<Failure> &failures, std::int64_t nowMs)
{
    for (const Failure &failure : failures) {
        if (failure.atMs != nowMs) {
            continue;
        }
        auto chosen = fleet.instances.begin();
        std::advance(chosen, failure.instance);
        for (auto &[id, record] : fleet.instances) {
            const bool hit =
                    failure.wholeRack ? record.rack == chosen->second.rack : id == chosen->first;
            if (hit) {
                setInstancePhase(fleet, {id, record.epoch, InstancePhase::Failed}, nowMs);
            }
        }
    }
}

void advance(Fleet &fleet, const CapacityLimits &limits, std::int64_t nowMs)
{
    for (const auto &[id, record] : fleet.instances) {
        const std::int64_t inPhaseMs = nowMs - record.phaseSinceMs;
        const auto enter = [&, &name = id, &current = record](InstancePhase phase) {
            setInstancePhase(fleet, {name, current.epoch, phase}, nowMs);
        };
        if (record.phase == InstancePhase::Failed && inPhaseMs >= repairMs) {
            enter(InstancePhase::Proving);
        } else if (record.phase == InstancePhase::Proving && inPhaseMs >= provingMs) {
            enter(InstancePhase::InService);
        } else if (record.phase == InstancePhase::Draining) {
            const std::int64_t stepMs =
                    limits.moveMs + (record.pool == sparePool ? 0 : limits.drainMs);
            if (inPhaseMs >= stepMs) {
                const std::string target = record.movingTo;
                enter(InstancePhase::Drained);
                moveInstance(fleet, {id, record.epoch, target}, nowMs);
            }
        }
    }
}

struct MoveRun
{
    std::uint32_t moves = 0;
    /// Instance seconds below a plan's minimum, summed over the pools.
    double belowMinimumSeconds = 0;
};

MoveRun run(Fleet fleet, const Lists &lists, const Demand &demand,
            const std::vector<Failure> &failures, const Deployment &deployment,
            const MoveLimits &moveLimits, std::int64_t observedMs, std::int64_t fromMs)
{
    const CapacityLimits limits;
    MoveRun result;
    MoveHistory history;
    CapacityLimits planLimits = limits;
    // A planner that follows the demand takes each observation as sustained.
    if (moveLimits.hysteresisMs == 0) {
        planLimits.drainMs = 0;
        planLimits.moveMs = observedMs;
    }
    for (std::int64_t nowMs = fromMs; nowMs < lengthMs; nowMs += passMs) {
        applyFailures(fleet, failures, nowMs);
        advance(fleet, limits, nowMs);
        CapacityFacts facts = capacityFacts(fleet, FailureDomain::Rack);
        facts.demand = recentDemand(demand, nowMs, observedMs);
        const CapacityPlan capacity = planCapacity(facts, lists, deployment.weights, planLimits);
        const WavePlan waves = planWaves(fleet, lists, {}, {}, nowMs);
        const MovePlan plan =
                planMoves(fleet, capacity, waves.ledger, {}, history, moveLimits, nowMs);
        history = plan.history;
        for (const PlannedMove &move : plan.moves) {
            const auto outcome = grantDrain(
                    fleet, lists, {move.instance, move.expectedEpoch, moveGrantHolder, move.to, 0},
                    nowMs);
            result.moves += outcome.status == CommandStatus::Applied ? 1 : 0;
        }
        for (const auto &[name, pool] : buildLedger(fleet, lists, {}, {}).pools) {
            if (pool.available() < pool.minHealthy) {
                result.belowMinimumSeconds +=
                        (pool.minHealthy - pool.available()) * (passMs / 1000.0);
            }
        }
    }
    return result;
}

} // namespace

void measureMoves(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    const Lists lists = drawLists(random);
    const Demand demand = drawDemand(random, lengthMs);
    constexpr std::int64_t observedMs = 1800000;
    const CapacityLimits limits;
    CapacityFacts facts;
    facts.fleetInstances = 100000;
    facts.domains = deployment.fleetInstances / workersPerRack;
    facts.largestDomain = workersPerRack;
    facts.demand = recentDemand(demand, observedMs, observedMs);
    const CapacityPlan first = planCapacity(facts, lists, deployment.weights, limits);
    const Fleet fleet = buildFleet(first, deployment);
    const auto failures = drawFailures(random, fleet.instances.size(), observedMs);
    const MoveRun ours = run(fleet, lists, demand, failures, deployment,
                             moveLimits(deployment.weights, limits), observedMs, observedMs);
    const MoveRun baseline =
            run(fleet, lists, demand, failures, deployment, {0, 0, 1000}, passMs, observedMs);
    printRow("moves in 3.5 h", "follow the demand", baseline.moves, ours.moves);
    printRow("instance seconds below minimum", "follow the demand", baseline.belowMinimumSeconds,
             ours.belowMinimumSeconds);
}

} // namespace dandelionloom::measure

#include "Deployment.h"

#include <iostream>

#include "Decisions/Moves.h"
#include "State/FleetRules.h"

namespace dandelionloom::measure {

namespace {

constexpr std::int64_t planningIntervalMs = 10000;
constexpr std::int64_t simulatedMs = 4 * 3600 * 1000;
constexpr std::int64_t repairMs = 1800000;
/// Failures of single instances and of whole racks during the simulation.
constexpr std::uint32_t singleFailures = 4;
constexpr std::uint32_t rackFailures = 2;

using DemandByService = std::map<std::string, std::vector<DemandWindow>>;

/// Returns the demand windows of the last `spanMs` before `nowMs`.
DemandByService recentDemand(const DemandByService &demand, std::int64_t nowMs, std::int64_t spanMs)
{
    DemandByService recent;
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
    bool isRackFailure = false;
};

std::vector<Failure> drawFailures(Random &random, std::size_t instances, std::int64_t fromMs)
{
    std::vector<Failure> failures;
    for (std::uint32_t index = 0; index < singleFailures + rackFailures; ++index) {
        const auto span = static_cast<std::uint64_t>((simulatedMs - fromMs) / planningIntervalMs);
        const auto pass = static_cast<std::int64_t>(random() % span);
        failures.push_back(
                {fromMs + pass * planningIntervalMs, random() % instances, index < rackFailures});
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
            const bool isAffected = failure.isRackFailure ? record.rack == chosen->second.rack
                                                          : id == chosen->first;
            if (isAffected) {
                setInstancePhase(fleet, {id, record.epoch, InstancePhase::Failed}, nowMs);
            }
        }
    }
}

void advancePhases(Fleet &fleet, const CapacityLimits &limits, std::int64_t nowMs)
{
    for (const auto &[id, record] : fleet.instances) {
        const std::int64_t timeInPhaseMs = nowMs - record.phaseSinceMs;
        const auto setPhase = [&, &name = id, &current = record](InstancePhase phase) {
            setInstancePhase(fleet, {name, current.epoch, phase}, nowMs);
        };
        if (record.phase == InstancePhase::Failed && timeInPhaseMs >= repairMs) {
            setPhase(InstancePhase::Proving);
        } else if (record.phase == InstancePhase::Proving && timeInPhaseMs >= provingMs) {
            setPhase(InstancePhase::InService);
        } else if (record.phase == InstancePhase::Draining) {
            const std::int64_t drainingMs =
                    limits.moveMs + (record.pool == sparePool ? 0 : limits.drainMs);
            if (timeInPhaseMs >= drainingMs) {
                const std::string target = record.movingTo;
                setPhase(InstancePhase::Drained);
                moveInstance(fleet, {id, record.epoch, target}, nowMs);
            }
        }
    }
}

struct MoveResult
{
    std::uint32_t moves = 0;
    /// Instance seconds below the minimum of a pool's plans, summed over the pools.
    double belowMinimumSeconds = 0;
};

MoveResult simulate(Fleet fleet, const Lists &lists, const DemandByService &demand,
                    const std::vector<Failure> &failures, const Deployment &deployment,
                    const MoveLimits &moveLimits, std::int64_t observationMs, std::int64_t fromMs)
{
    const CapacityLimits limits;
    MoveResult result;
    MoveHistory history;
    CapacityLimits planLimits = limits;
    // The baseline has no hysteresis: it treats each observation as sustained demand.
    if (moveLimits.hysteresisMs == 0) {
        planLimits.drainMs = 0;
        planLimits.moveMs = observationMs;
    }
    for (std::int64_t nowMs = fromMs; nowMs < simulatedMs; nowMs += planningIntervalMs) {
        applyFailures(fleet, failures, nowMs);
        advancePhases(fleet, limits, nowMs);
        CapacityFacts facts = capacityFacts(fleet, FailureDomain::Rack);
        facts.demand = recentDemand(demand, nowMs, observationMs);
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
                        (pool.minHealthy - pool.available()) * (planningIntervalMs / 1000.0);
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
    const DemandByService demand = drawDemand(random, simulatedMs);
    constexpr std::int64_t observationMs = 1800000;
    const CapacityLimits limits;
    CapacityFacts facts;
    facts.fleetInstances = 100000;
    facts.domains = deployment.fleetInstances / workersPerRack;
    facts.largestDomain = workersPerRack;
    facts.demand = recentDemand(demand, observationMs, observationMs);
    const CapacityPlan first = planCapacity(facts, lists, deployment.weights, limits);
    const Fleet fleet = buildFleet(first, deployment);
    const auto failures = drawFailures(random, fleet.instances.size(), observationMs);
    const MoveResult candidate =
            simulate(fleet, lists, demand, failures, deployment,
                     moveLimits(deployment.weights, limits), observationMs, observationMs);
    const MoveResult baseline = simulate(fleet, lists, demand, failures, deployment, {0, 0, 1000},
                                         planningIntervalMs, observationMs);
    printRow("moves in 3.5 h", "follow the demand", baseline.moves, candidate.moves);
    printRow("instance seconds below minimum", "follow the demand", baseline.belowMinimumSeconds,
             candidate.belowMinimumSeconds);
}

} // namespace dandelionloom::measure

#include "Deployment.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <stdexcept>

#include "Decisions/Moves.h"
#include "Decisions/WaveSurge.h"
#include "Decisions/Waves.h"
#include "State/FleetRules.h"

namespace dandelionloom::measure {

namespace {

constexpr std::int64_t planningIntervalMs = 1000;
constexpr std::int64_t observationMs = 4 * 3600 * 1000;
/// Time after which a failed rack returns.
constexpr std::int64_t rackRepairMs = 1200000;

/// Drain and reboot times of the instances. They are drawn once, so that all runs use the same.
struct MaintenanceTimes
{
    std::map<std::string, std::int64_t> drainMs;
    std::map<std::string, std::int64_t> rebootMs;

    std::int64_t cycleMs(const std::string &id) const
    {
        return drainMs.at(id) + rebootMs.at(id) + provingMs;
    }
};

MaintenanceTimes drawMaintenanceTimes(const Fleet &fleet, const Deployment &deployment,
                                      Random &random)
{
    MaintenanceTimes times;
    for (const auto &[id, record] : fleet.instances) {
        // Short requests end within 40 s; one instance in 30 has a long request of several minutes.
        const bool hasLongRequest = uniform(random) < 1.0 / 30;
        const double drain = hasLongRequest ? 60 + 240 * uniform(random) : 5 + 35 * uniform(random);
        times.drainMs[id] =
                record.pool == sparePool ? 1000 : static_cast<std::int64_t>(drain * 1000);
        times.rebootMs[id] = static_cast<std::int64_t>(static_cast<double>(deployment.rebootMs)
                                                       * (0.9 + 0.2 * uniform(random)));
    }
    return times;
}

struct Outcome
{
    double seconds = 0;
    std::uint32_t budgetViolations = 0;
    std::uint32_t releases = 0;
    std::uint32_t moves = 0;
};

/// Simulates a wave over the whole fleet with the decisions of the control instances.
class WaveSimulation
{
public:
    WaveSimulation(Fleet fleet, const Lists &lists, const MaintenanceTimes &times,
                   CapacityPlan capacity, const Deployment &deployment)
        : m_fleet(std::move(fleet)), m_lists(lists), m_times(times),
          m_capacity(std::move(capacity)), m_moveLimits(moveLimits(deployment.weights, {}))
    {
        StartWave start;
        start.wave = "wave";
        for (const auto &[id, record] : m_fleet.instances) {
            start.targets.push_back(id);
        }
        startWave(m_fleet, start, 0);
    }

    Outcome run(std::int64_t rackFailureAtMs)
    {
        for (m_nowMs = 0; m_fleet.waves.at("wave").state == WaveState::Running;
             m_nowMs += planningIntervalMs) {
            if (m_nowMs > 48LL * 3600 * 1000) {
                const WavePlan plan = planWaves(m_fleet, m_lists, {}, {}, m_nowMs);
                throw std::runtime_error("the wave did not finish within 48 h: "
                                         + (plan.waits.empty()
                                                    ? std::string("no target waits")
                                                    : describeWait(plan.waits.front(), plan)));
            }
            if (rackFailureAtMs > 0 && m_nowMs == rackFailureAtMs) {
                failRack();
            }
            if (rackFailureAtMs > 0 && m_nowMs == rackFailureAtMs + rackRepairMs) {
                repairRack();
            }
            advancePhases();
            planWave();
        }
        m_outcome.seconds = static_cast<double>(m_nowMs) / 1000;
        return m_outcome;
    }

private:
    void setPhase(const std::string &id, InstancePhase phase)
    {
        setInstancePhase(m_fleet, {id, m_fleet.instances.at(id).epoch, phase}, m_nowMs);
    }

    void failRack()
    {
        m_failedRack = m_fleet.instances.begin()->second.rack;
        for (const auto &[id, record] : m_fleet.instances) {
            if (record.rack == m_failedRack) {
                setPhase(id, InstancePhase::Failed);
            }
        }
    }

    void repairRack()
    {
        for (const auto &[id, record] : m_fleet.instances) {
            if (record.phase == InstancePhase::Failed) {
                setPhase(id, InstancePhase::Proving);
            }
        }
    }

    void advancePhases()
    {
        for (const auto &[id, record] : m_fleet.instances) {
            const std::int64_t timeInPhaseMs = m_nowMs - record.phaseSinceMs;
            if (!record.movingTo.empty()) {
                if (timeInPhaseMs >= CapacityLimits{}.moveMs) {
                    const std::string target = record.movingTo;
                    setPhase(id, InstancePhase::Drained);
                    moveInstance(m_fleet, {id, record.epoch, target}, m_nowMs);
                }
            } else if (record.phase == InstancePhase::Draining
                       && timeInPhaseMs >= m_times.drainMs.at(id)) {
                setPhase(id, InstancePhase::Drained);
                setPhase(id, InstancePhase::Rebooting);
            } else if (record.phase == InstancePhase::Rebooting
                       && timeInPhaseMs >= m_times.rebootMs.at(id)) {
                setPhase(id, InstancePhase::Proving);
            } else if (record.phase == InstancePhase::Proving && timeInPhaseMs >= provingMs) {
                setPhase(id, InstancePhase::InService);
            }
        }
    }

    void planWave()
    {
        WaveObservations observations;
        for (const auto &[id, record] : m_fleet.instances) {
            if (record.phase == InstancePhase::Draining) {
                observations.waitingFor[id] = WaitingFor::RunningWork;
            }
        }
        const WavePlan waves = planWaves(m_fleet, m_lists, observations, {}, m_nowMs);
        for (const WaveRelease &release : waves.releases) {
            releaseDrain(m_fleet, {release.instance, release.expectedEpoch}, m_nowMs);
            ++m_outcome.releases;
        }
        for (const WaveGrant &grant : waves.grants) {
            const auto outcome =
                    grantDrain(m_fleet, m_lists,
                               {grant.instance, grant.expectedEpoch, grant.wave, {}, 0}, m_nowMs);
            m_outcome.budgetViolations += outcome.status == CommandStatus::Applied ? 0 : 1;
        }
        planSurgeMoves(waves, observations);
    }

    void planSurgeMoves(const WavePlan &waves, const WaveObservations &observations)
    {
        const CapacityPlan withSurge =
                addWaveSurge(m_capacity, m_fleet, waves.ledger, workersPerRack);
        const MovePlan moves =
                planMoves(m_fleet, withSurge, waves.ledger, excludedFromMoves(waves, observations),
                          m_history, m_moveLimits, m_nowMs);
        m_history = moves.history;
        for (const PlannedMove &move : moves.moves) {
            const auto outcome = grantDrain(
                    m_fleet, m_lists,
                    {move.instance, move.expectedEpoch, moveGrantHolder, move.to, 0}, m_nowMs);
            m_outcome.moves += outcome.status == CommandStatus::Applied ? 1 : 0;
        }
    }

    Fleet m_fleet;
    const Lists &m_lists;
    const MaintenanceTimes &m_times;
    const CapacityPlan m_capacity;
    const MoveLimits m_moveLimits;
    MoveHistory m_history;
    std::int64_t m_nowMs = 0;
    std::string m_failedRack;
    Outcome m_outcome;
};

/// Returns a lower bound of the roll-out time: no pool can finish faster than its budget allows,
/// and no wave faster than its slowest instance.
double minRollOutSeconds(const Fleet &fleet, const Lists &lists, const MaintenanceTimes &times)
{
    std::map<std::string, std::int64_t> cycleMsByPool;
    std::int64_t lowerBound = 0;
    for (const auto &[id, record] : fleet.instances) {
        cycleMsByPool[record.pool] += times.cycleMs(id);
        lowerBound = std::max(lowerBound, times.cycleMs(id));
    }
    const BudgetLedger ledger = buildLedger(fleet, lists, {}, {});
    for (const auto &[pool, totalCycleMs] : cycleMsByPool) {
        const PoolLedger &budget = ledger.pools.at(pool);
        const std::uint32_t maxConcurrent =
                std::min(budget.maxUnavailable, budget.members - budget.minHealthy);
        lowerBound = std::max(lowerBound, totalCycleMs / std::max(1U, maxConcurrent));
    }
    return static_cast<double>(lowerBound) / 1000;
}

} // namespace

void measureRollOut(const Deployment &deployment, std::uint64_t seed)
{
    Random random(seed);
    const Lists lists = drawLists(random);
    CapacityFacts facts;
    facts.fleetInstances = 100000;
    facts.domains = deployment.fleetInstances / workersPerRack;
    facts.largestDomain = workersPerRack;
    facts.demand = drawDemand(random, observationMs);
    const CapacityPlan capacity = planCapacity(facts, lists, deployment.weights, {});
    const Fleet fleet = buildFleet(capacity, deployment);
    const MaintenanceTimes times = drawMaintenanceTimes(fleet, deployment, random);
    double sequentialSeconds = 0;
    for (const auto &[id, record] : fleet.instances) {
        sequentialSeconds += static_cast<double>(times.cycleMs(id)) / 1000;
    }
    const double lowerBound = minRollOutSeconds(fleet, lists, times);
    const Outcome undisturbed = WaveSimulation(fleet, lists, times, capacity, deployment).run(0);
    printRow("roll-out, s", "one at a time", sequentialSeconds, undisturbed.seconds);
    printRow("roll-out, s", "bound", lowerBound, undisturbed.seconds);
    const Outcome withRackFailure =
            WaveSimulation(fleet, lists, times, capacity, deployment).run(200000);
    printRow("roll-out with a rack lost for 20 min, s", "calm", undisturbed.seconds,
             withRackFailure.seconds);
    std::cout << "# " << fleet.instances.size() << " instances; grants beyond a budget: "
              << undisturbed.budgetViolations + withRackFailure.budgetViolations
              << "; drains given back: " << undisturbed.releases << " calm, "
              << withRackFailure.releases << " with the rack lost; moves: " << undisturbed.moves
              << " calm, " << withRackFailure.moves << " with the rack lost\n";
}

} // namespace dandelionloom::measure

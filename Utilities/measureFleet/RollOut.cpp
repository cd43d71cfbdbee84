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

constexpr std::int64_t passMs = 1000;
constexpr std::int64_t observedMs = 4 * 3600 * 1000;
/// A lost rack returns after this time.
constexpr std::int64_t rackRepairMs = 1200000;

/// How long each instance takes in each step; drawn once, so that all runs share it.
struct StepTimes
{
    std::map<std::string, std::int64_t> drainMs;
    std::map<std::string, std::int64_t> rebootMs;

    std::int64_t cycleMs(const std::string &id) const
    {
        return drainMs.at(id) + rebootMs.at(id) + provingMs;
    }
};

StepTimes drawTimes(const Fleet &fleet, const Deployment &deployment, Random &random)
{
    StepTimes times;
    for (const auto &[id, record] : fleet.instances) {
        // Short work ends within 40 s; one instance in 30 holds a straggler of minutes.
        const bool straggler = uniform(random) < 1.0 / 30;
        const double drain = straggler ? 60 + 240 * uniform(random) : 5 + 35 * uniform(random);
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
    std::uint32_t budgetBreaks = 0;
    std::uint32_t releases = 0;
    std::uint32_t moves = 0;
};

class WaveRun
{
public:
    WaveRun(Fleet fleet, const Lists &lists, const StepTimes &times, CapacityPlan capacity,
            const Deployment &deployment)
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

    Outcome run(std::int64_t rackLossAtMs)
    {
        for (m_nowMs = 0; m_fleet.waves.at("wave").state == WaveState::Running; m_nowMs += passMs) {
            if (m_nowMs > 48LL * 3600 * 1000) {
                const WavePlan plan = planWaves(m_fleet, m_lists, {}, {}, m_nowMs);
                throw std::runtime_error("the wave did not finish within 48 h: "
                                         + (plan.waits.empty()
                                                    ? std::string("no target waits")
                                                    : describeWait(plan.waits.front(), plan)));
            }
            if (rackLossAtMs > 0 && m_nowMs == rackLossAtMs) {
                loseRack();
            }
            if (rackLossAtMs > 0 && m_nowMs == rackLossAtMs + rackRepairMs) {
                repairRack();
            }
            advance();
            plan();
        }
        m_outcome.seconds = static_cast<double>(m_nowMs) / 1000;
        return m_outcome;
    }

private:
    void enter(const std::string &id, InstancePhase phase)
    {
        setInstancePhase(m_fleet, {id, m_fleet.instances.at(id).epoch, phase}, m_nowMs);
    }

    void loseRack()
    {
        m_lostRack = m_fleet.instances.begin()->second.rack;
        for (const auto &[id, record] : m_fleet.instances) {
            if (record.rack == m_lostRack) {
                enter(id, InstancePhase::Failed);
            }
        }
    }

    void repairRack()
    {
        for (const auto &[id, record] : m_fleet.instances) {
            if (record.phase == InstancePhase::Failed) {
                enter(id, InstancePhase::Proving);
            }
        }
    }

    void advance()
    {
        for (const auto &[id, record] : m_fleet.instances) {
            const std::int64_t inPhaseMs = m_nowMs - record.phaseSinceMs;
            if (!record.movingTo.empty()) {
                if (inPhaseMs >= CapacityLimits{}.moveMs) {
                    const std::string target = record.movingTo;
                    enter(id, InstancePhase::Drained);
                    moveInstance(m_fleet, {id, record.epoch, target}, m_nowMs);
                }
            } else if (record.phase == InstancePhase::Draining
                       && inPhaseMs >= m_times.drainMs.at(id)) {
                enter(id, InstancePhase::Drained);
                enter(id, InstancePhase::Rebooting);
            } else if (record.phase == InstancePhase::Rebooting
                       && inPhaseMs >= m_times.rebootMs.at(id)) {
                enter(id, InstancePhase::Proving);
            } else if (record.phase == InstancePhase::Proving && inPhaseMs >= provingMs) {
                enter(id, InstancePhase::InService);
            }
        }
    }

    void plan()
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
            m_outcome.budgetBreaks += outcome.status == CommandStatus::Applied ? 0 : 1;
        }
        planLoans(waves, observations);
    }

    void planLoans(const WavePlan &waves, const WaveObservations &observations)
    {
        const CapacityPlan lent = addWaveSurge(m_capacity, m_fleet, waves.ledger, workersPerRack);
        const MovePlan moves =
                planMoves(m_fleet, lent, waves.ledger, excludedFromMoves(waves, observations),
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
    const StepTimes &m_times;
    const CapacityPlan m_capacity;
    const MoveLimits m_moveLimits;
    MoveHistory m_history;
    std::int64_t m_nowMs = 0;
    std::string m_lostRack;
    Outcome m_outcome;
};

/// Shortest time in which each pool's targets can pass its budget, and the longest single one.
double boundSeconds(const Fleet &fleet, const Lists &lists, const StepTimes &times)
{
    std::map<std::string, std::int64_t> work;
    std::int64_t bound = 0;
    for (const auto &[id, record] : fleet.instances) {
        work[record.pool] += times.cycleMs(id);
        bound = std::max(bound, times.cycleMs(id));
    }
    const BudgetLedger ledger = buildLedger(fleet, lists, {}, {});
    for (const auto &[pool, workMs] : work) {
        const PoolLedger &budget = ledger.pools.at(pool);
        const std::uint32_t atOnce =
                std::min(budget.maxUnavailable, budget.members - budget.minHealthy);
        bound = std::max(bound, workMs / std::max(1U, atOnce));
    }
    return static_cast<double>(bound) / 1000;
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
    facts.demand = drawDemand(random, observedMs);
    const CapacityPlan capacity = planCapacity(facts, lists, deployment.weights, {});
    const Fleet fleet = buildFleet(capacity, deployment);
    const StepTimes times = drawTimes(fleet, deployment, random);
    double oneAtATime = 0;
    for (const auto &[id, record] : fleet.instances) {
        oneAtATime += static_cast<double>(times.cycleMs(id)) / 1000;
    }
    const double bound = boundSeconds(fleet, lists, times);
    const Outcome calm = WaveRun(fleet, lists, times, capacity, deployment).run(0);
    printRow("roll-out, s", "one at a time", oneAtATime, calm.seconds);
    printRow("roll-out, s", "bound", bound, calm.seconds);
    const Outcome loss = WaveRun(fleet, lists, times, capacity, deployment).run(200000);
    printRow("roll-out with a rack lost for 20 min, s", "calm", calm.seconds, loss.seconds);
    std::cout << "# " << fleet.instances.size()
              << " instances; grants beyond a budget: " << calm.budgetBreaks + loss.budgetBreaks
              << "; drains given back: " << calm.releases << " calm, " << loss.releases
              << " with the rack lost; moves: " << calm.moves << " calm, " << loss.moves
              << " with the rack lost\n";
}

} // namespace dandelionloom::measure

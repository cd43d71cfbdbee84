#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include "Scheduling/FleetWorld.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr int pools = 4;
constexpr int instancesPerPool = 9;

struct Replay
{
    int jobs = 0;
    int inTime = 0;
    std::uint32_t moves = 0;
};

std::string poolName(int pool)
{
    return "pool" + std::to_string(pool);
}

/// Four queues in turn ask for 1.4 times what their pool holds, for four seconds each, and for a
/// twentieth in between. `lostAnswers` is the share of calls to workers that get no answer.
Replay replayTurns(std::uint64_t seed, bool balances, double lostAnswers = 0,
                   const DispatchRules &rules = {})
{
    FleetWorld world(seed);
    world.rules = rules;
    world.balances = balances;
    world.lostAnswers = lostAnswers;
    std::vector<QueueConfig> queues;
    std::vector<std::string> services;
    for (int pool = 0; pool < pools; ++pool) {
        queues.push_back(queueOf("q" + std::to_string(pool), poolName(pool)));
        services.push_back(poolName(pool));
    }
    services.emplace_back("spare");
    world.configure(queues, services, "spare");
    for (int pool = 0; pool < pools; ++pool) {
        for (int instance = 0; instance < instancesPerPool; ++instance) {
            world.addWorker(poolName(pool));
        }
    }
    for (int instance = 0; instance < instancesPerPool - 1; ++instance) {
        world.addWorker("spare");
    }
    world.start();
    world.run(2000);
    std::mt19937_64 random(seed);
    constexpr std::int64_t turnMs = 4000;
    // Six tasks of 0.7 s on one core: 4.2 core-seconds a job, against 144 cores of a pool.
    constexpr double peakPerSecond = 48;
    constexpr double calmPerSecond = 2.4;
    int jobs = 0;
    std::uniform_real_distribution<double> draw(0, 1);
    const SteadyTimeMs begin = world.now;
    while (world.now - begin < 2 * pools * turnMs) {
        const auto turn = static_cast<int>((world.now - begin) / turnMs % pools);
        for (int pool = 0; pool < pools; ++pool) {
            const double perSecond = pool == turn ? peakPerSecond : calmPerSecond;
            if (draw(random) < perSecond / 100) {
                world.submit("j" + std::to_string(jobs++), "q" + std::to_string(pool),
                             {shortStep(6)});
            }
        }
        world.run(10);
    }
    world.run(15000);
    Replay replay{jobs, 0, world.moves};
    for (const auto &[id, acceptedAt] : world.acceptedAt) {
        const auto completed = world.completedAt.find(id);
        // Stretch 1.6 of a chain of 680 ms, and 600 ms more.
        if (completed != world.completedAt.end() && completed->second - acceptedAt <= 1688) {
            ++replay.inTime;
        }
    }
    return replay;
}

std::vector<std::string> workersWithTasks(const FleetWorld &world)
{
    std::vector<std::string> holders;
    for (const auto &[id, worker] : world.workers) {
        if (!worker.running.empty()) {
            holders.push_back(id);
        }
    }
    return holders;
}

} // namespace

class PlannersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannersTest);
    CPPUNIT_TEST(transfers);
    CPPUNIT_TEST(peaksByTurns);
    CPPUNIT_TEST(peaksWithLostAnswers);
    CPPUNIT_TEST(pace);
    CPPUNIT_TEST(maintenanceWave);
    CPPUNIT_TEST(maintenanceBudget);
    CPPUNIT_TEST(lastingTasksMoveOnce);
    CPPUNIT_TEST(crowdedWorker);
    CPPUNIT_TEST(startingTask);
    CPPUNIT_TEST(repeatedOrder);
    CPPUNIT_TEST(earlierLeadersOrder);
    CPPUNIT_TEST(slowRecord);
    CPPUNIT_TEST(orderCarriedOutBefore);
    CPPUNIT_TEST(standbyMaintenance);
    CPPUNIT_TEST(spreadOfLastingTasks);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a pool that takes instances it has no task for, and against parking too soon.
    void transfers()
    {
        const PoolDemandRules rules;
        PoolFacts busy;
        busy.pool = "busy";
        busy.instances = 4;
        busy.instanceMilli = 16000;
        busy.waitingCoreMs = 500000;
        busy.runnableMilli = 16000;
        PoolFacts idle = busy;
        idle.pool = "idle";
        idle.instances = 8;
        idle.empty = 6;
        idle.waitingCoreMs = 0;
        idle.runnableMilli = 0;
        PoolFacts spare;
        spare.pool = "spare";
        spare.standby = true;
        spare.instances = 5;
        section("long chains with few tasks that can run ask for few instances",
                [&] { CPPUNIT_ASSERT(wantedInstances(busy, rules) <= 4U); });
        section("what can run is served from idle pools first, then from standby", [&] {
            busy.runnableMilli = 1000000;
            const auto planned = planTransfers({busy, idle, spare}, rules, 100);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), planned.size());
            CPPUNIT_ASSERT(planned[0] == (PoolTransfer{"idle", "busy", 6}));
            CPPUNIT_ASSERT(planned[1] == (PoolTransfer{"spare", "busy", 5}));
        });
        section("surplus is parked only once it has lasted", [&] {
            CPPUNIT_ASSERT(planTransfers({idle, spare}, rules, rules.parkAfterMs - 1).empty());
            const auto planned = planTransfers({idle, spare}, rules, rules.parkAfterMs);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), planned.size());
            CPPUNIT_ASSERT(planned[0] == (PoolTransfer{"idle", "spare", 6}));
        });
        section("jobs that arrive at a peak's rate are served before they wait", [&] {
            PoolFacts rising = busy;
            rising.waitingCoreMs = 1000;
            rising.runnableMilli = 2000;
            rising.arrivingMilli = 160000;
            CPPUNIT_ASSERT(wantedInstances(rising, rules) >= 10U);
        });
        section("a pool keeps what its lasting tasks are spread over", [&] {
            idle.lastingSpread = 5;
            CPPUNIT_ASSERT_EQUAL(5U, wantedInstances(idle, rules));
        });
    }

    /// Replays the load that binds the deployments: demand that rises in one pool after the other
    /// above what it holds. The baseline is the same fleet without moves.
    void peaksByTurns()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Replay fixed = replayTurns(seed, false);
            const Replay balanced = replayTurns(seed, true);
            std::cout << " seed " << seed << ": " << fixed.inTime << " of " << fixed.jobs
                      << " in time without moves, " << balanced.inTime << " with " << balanced.moves
                      << " moves";
            // The prices of Chamdakam: a job in time earns 0.45 more than a late one, a move costs
            // 0.088 and its start and call 0.03.
            const double gain = (balanced.inTime - fixed.inTime) * 0.45;
            CPPUNIT_ASSERT(gain > balanced.moves * 0.118);
        }
    }

    /// Replays the same peaks while workers leave one call in eighteen unanswered. Guards against
    /// workers that are set aside for a single lost answer, and against ends that stay hidden
    /// behind a lost renewal (chamdakam-loom trouble-3: a third of the short jobs was in time).
    void peaksWithLostAnswers()
    {
        // Each loss delays a task by the timeout of a call. A job of six tasks with one such task
        // misses its objective when the pool is full, so a sixth of them may be lost.
        constexpr double keptShare = 5.0 / 6;
        // The baseline waits longer for answers, and sets a worker aside at the first lost one.
        DispatchRules patient;
        patient.calls = {700, 700};
        patient.busyRenewWaitMs = patient.renewWaitMs;
        patient.suspectOrders = 1;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Replay whole = replayTurns(seed, true);
            const Replay lossy = replayTurns(seed, true, 0.055);
            const Replay baseline = replayTurns(seed, true, 0.055, patient);
            std::cout << " seed " << seed << ": " << whole.inTime << " of " << whole.jobs
                      << " in time, " << lossy.inTime << " with lost answers, " << baseline.inTime
                      << " by the baseline";
            CPPUNIT_ASSERT(lossy.inTime > whole.inTime * keptShare);
        }
    }

    /// Guards against waves that take many instances at once though they have time, and against
    /// waves that come to their end with instances left.
    void pace()
    {
        const MaintenanceRules rules;
        MaintenanceWave wave{1, {}, 25000, 11, 1000, {}};
        for (int index = 0; index < 26; ++index) {
            wave.instances.push_back("m" + std::to_string(index));
        }
        CPPUNIT_ASSERT(maintenancePace(wave, rules, 1000) < 11);
        CPPUNIT_ASSERT(maintenancePace(wave, rules, 1000) >= 26 * 4 / 25);
        CPPUNIT_ASSERT_EQUAL(11U, maintenancePace(wave, rules, 1000 + 15000));
        section("a clock that jumps neither stops the wave nor exceeds its limit", [&] {
            CPPUNIT_ASSERT(maintenancePace(wave, rules, -500000) >= 1);
            CPPUNIT_ASSERT_EQUAL(11U, maintenancePace(wave, rules, 5000000));
        });
    }

    /// Guards against two orders for one instance, and against more instances away than allowed.
    void maintenanceWave()
    {
        FleetWorld world(20);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        std::vector<std::string> targets;
        for (int index = 1; index <= 6; ++index) {
            world.addWorker("pricing");
            targets.push_back("m" + std::to_string(index));
        }
        world.start();
        world.run(100);
        world.startWave(targets, 2);
        for (int round = 0; round < 4000 && world.maintained.size() < 6; ++round) {
            world.run(5);
            const auto away = std::count_if(
                    world.instances.begin(), world.instances.end(), [](const auto &item) {
                        return item.second.state == InstanceState::Maintenance;
                    });
            CPPUNIT_ASSERT(away <= 2);
        }
        world.run(4000);
        const std::set<std::string> distinct(world.maintained.begin(), world.maintained.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), distinct.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), world.maintained.size());
        CPPUNIT_ASSERT(world.book.waves().at(1).isCompleted());
    }

    /// Guards against maintenance that takes away more lasting tasks of a step than it allows.
    void maintenanceBudget()
    {
        FleetWorld world(21);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        std::vector<std::string> targets;
        for (int index = 1; index <= 7; ++index) {
            world.addWorker("pricing");
            targets.push_back("m" + std::to_string(index));
        }
        world.start();
        world.run(100);
        world.submit("a", "quotes", {lastingStep(5, 1)});
        world.run(1500);
        world.startWave(targets, 7);
        world.runUntil("the wave", 25000, [&] {
            CPPUNIT_ASSERT(world.runningCount("a") >= 4);
            return world.book.waves().contains(1) && world.book.waves().at(1).isCompleted();
        });
    }

    /// Guards against a wave that is late because lasting tasks go from one instance that is due to
    /// the next one (saddlepoint-tt-grown scale-1: 8 of 182 instances late).
    void lastingTasksMoveOnce()
    {
        FleetWorld world(29);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 30; ++index) {
            world.addWorker("pricing");
        }
        world.start();
        world.run(100);
        StepSpec step = lastingStep(12, 1);
        step.maxPerWorker = 1;
        world.submit("a", "quotes", {step});
        world.run(1500);
        const std::uint32_t startsBefore = world.starts;
        // All but eight of the idle instances are due.
        std::vector<std::string> targets;
        std::size_t idle = 0;
        for (const auto &[id, instance] : world.instances) {
            const bool busy = !world.workers.at(instance.worker).running.empty();
            if (busy || ++idle <= 10) {
                targets.push_back(id);
            }
        }
        world.startWave(targets, static_cast<std::uint32_t>(targets.size()));
        world.runUntil("the wave", 25000, [&] {
            CPPUNIT_ASSERT(world.runningCount("a") >= 11);
            return world.book.waves().contains(1) && world.book.waves().at(1).isCompleted();
        });
        world.run(1000);
        std::cout << " " << world.starts - startsBefore << " starts for 12 tasks";
        CPPUNIT_ASSERT_EQUAL(12U, world.starts - startsBefore);
    }

    /// Guards against maintenance that trusts an old reading: a task that has just started may be
    /// at work when the order arrives (chamdakam-loom-grown quiet-1, AVAIL).
    void startingTask()
    {
        FleetWorld world(25);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        world.addWorker("pricing");
        world.addWorker("pricing");
        world.start();
        world.run(100);
        world.submit("a", "quotes", {lastingStep(2, 1)});
        world.runUntil("both starts", 1000, [&] { return world.runningCount("a") == 2; });
        for (const auto &[id, worker] : world.workers) {
            CPPUNIT_ASSERT(!world.dispatcher->takeAwayFault(id, world.now).empty());
        }
        world.run(2500);
        for (const auto &[id, worker] : world.workers) {
            CPPUNIT_ASSERT_EQUAL(std::string(), world.dispatcher->takeAwayFault(id, world.now));
        }
    }

    /// Guards against an order that is repeated after a lost answer though another task of the step
    /// has gone away meanwhile.
    void repeatedOrder()
    {
        FleetWorld world(24);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 5; ++index) {
            world.addWorker("pricing");
        }
        world.start();
        world.run(100);
        world.submit("a", "quotes", {lastingStep(4, 1)});
        world.run(1500);
        const std::vector<std::string> holders = workersWithTasks(world);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), holders.size());
        world.dispatcher->setLeaving(holders[0], true);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.dispatcher->takeAwayFault(holders[0], world.now));
        world.crash(holders[1]);
        world.run(4000);
        CPPUNIT_ASSERT(!world.dispatcher->takeAwayFault(holders[0], world.now).empty());
    }

    /// Guards against a new leader that takes a task away while the provider still carries out an
    /// order of the leader before it, which counts against the same step (chamdakam-loom scale-1,
    /// AVAIL).
    void earlierLeadersOrder()
    {
        FleetWorld world(26);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 6; ++index) {
            world.addWorker("pricing");
        }
        world.start();
        world.run(100);
        world.submit("a", "quotes", {lastingStep(4, 1)});
        world.run(1500);
        world.maintenanceDelayMs = 2500;
        world.startWave({"m1", "m2", "m3", "m4"}, 4);
        const std::size_t ordersBefore = world.ordersGiven;
        world.runUntil("an order for a worker with a task", 8000, [&] {
            const auto worker = world.workers.find(world.lastOrderedWorker);
            return world.ordersGiven > ordersBefore && worker != world.workers.end()
                    && !worker->second.running.empty();
        });
        world.changeLeader();
        const SteadyTimeMs end = world.now + 4000;
        while (world.now < end) {
            world.run(5);
            CPPUNIT_ASSERT(world.runningCount("a") >= 3);
        }
    }

    /// Guards against a second run of a task whose worker is held for gone because the provider
    /// confirms an order that it had carried out for an earlier leader (chamdakam-loom scale-1,
    /// seed 777177528407, TWICE).
    void orderCarriedOutBefore()
    {
        FleetWorld world(30);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        world.addWorker("pricing");
        world.start();
        world.run(1000);
        world.maintenanceDelayMs = 50;
        world.startWave({"m1"}, 1);
        world.runUntil("the order", 3000, [&] { return world.ordersGiven == 1; });
        world.changeLeader();
        world.run(2500);
        world.submit("a", "quotes", {lastingStep(2, 2)});
        world.runUntil("the tasks", 2000, [&] { return world.runningCount("a") == 2; });
        const std::uint32_t starts = world.starts;
        world.runUntil("the wave", 10000, [&] { return world.book.waves().at(1).isCompleted(); });
        world.run(3000);
        for (const auto &[id, worker] : world.workers) {
            CPPUNIT_ASSERT(world.book.worker(id) != nullptr);
        }
        CPPUNIT_ASSERT_EQUAL(starts, world.starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.runningCount("a"));
    }

    /// Guards against an order that is sent once its record is confirmed though a task of the step
    /// went away while the journal had no quorum.
    void slowRecord()
    {
        FleetWorld world(27);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 5; ++index) {
            world.addWorker("pricing");
        }
        world.start();
        world.run(100);
        world.submit("a", "quotes", {lastingStep(4, 1)});
        world.run(1500);
        const std::vector<std::string> holders = workersWithTasks(world);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), holders.size());
        world.orderCommitMs = 4000;
        world.startWave({"m" + holders[0].substr(1)}, 1);
        world.run(1000);
        world.crash(holders[1]);
        world.run(4500);
        CPPUNIT_ASSERT(world.workers.contains(holders[0]));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.workers.at(holders[0]).running.size());
    }

    /// Guards against maintenance that never comes to a worker with more of a step than it allows
    /// to be away (chamdakam-loom quiet-1, five tasks on one worker).
    void crowdedWorker()
    {
        FleetWorld world(23);
        world.configure({queueOf("quotes", "pricing")}, {"pricing"});
        world.addWorker("pricing");
        world.start();
        world.run(100);
        world.submit("a", "quotes", {lastingStep(4, 1)});
        world.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), world.workers.at("w1").running.size());
        for (int index = 0; index < 4; ++index) {
            world.addWorker("pricing");
        }
        world.run(2000);
        world.startWave({"m1"}, 1);
        world.runUntil("the wave", 20000, [&] {
            CPPUNIT_ASSERT(world.runningCount("a") >= 3);
            return world.book.waves().contains(1) && world.book.waves().at(1).isCompleted();
        });
    }

    /// Guards against a pool that parks instances which the tasks of a step need because only one
    /// of them may run on a worker, though two may be away at once (chamdakam-loom-grown quiet-1:
    /// 12 of 25 tasks waited all day).
    void spreadOfLastingTasks()
    {
        FleetWorld world(28);
        world.balances = true;
        world.configure({queueOf("quotes", "pricing")}, {"pricing", "spare"}, "spare");
        for (int index = 0; index < 12; ++index) {
            world.addWorker("pricing");
        }
        world.start();
        world.run(10000);
        StepSpec step = lastingStep(10, 2);
        step.maxPerWorker = 1;
        world.submit("a", "quotes", {step});
        world.runUntil("all tasks", 6000, [&] { return world.runningCount("a") == 10; });
    }

    /// Guards against a wave that waits for a worker of an instance that is off.
    void standbyMaintenance()
    {
        FleetWorld world(22);
        world.configure({queueOf("quotes", "pricing")}, {"pricing", "spare"}, "spare");
        world.addWorker("pricing");
        world.addWorker("spare");
        world.addWorker("spare");
        world.start();
        world.run(600);
        world.startWave({"m2", "m3"}, 1);
        world.runUntil("the wave", 8000, [&] {
            return world.book.waves().contains(1) && world.book.waves().at(1).isCompleted();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannersTest);

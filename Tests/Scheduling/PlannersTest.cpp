#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include "Scheduling/FleetSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr int pools = 4;
constexpr int instancesPerPool = 9;

struct Replay
{
    int jobs = 0;
    int onTime = 0;
    std::uint32_t moves = 0;
};

std::string poolName(int pool)
{
    return "pool" + std::to_string(pool);
}

/// Replays four queues whose demand peaks in turn at 1.4 times the capacity of their pool, for four
/// seconds each, with a twentieth of it outside the peak. `answerLossRate` is the fraction of calls
/// to workers that get no answer.
Replay replayAlternatingPeaks(std::uint64_t seed, bool balancerEnabled, double answerLossRate = 0,
                              const DispatchOptions &dispatchOptions = {})
{
    FleetSimulation fleet(seed);
    fleet.dispatchOptions = dispatchOptions;
    fleet.balancerEnabled = balancerEnabled;
    fleet.answerLossRate = answerLossRate;
    std::vector<QueueConfig> queues;
    std::vector<std::string> services;
    for (int pool = 0; pool < pools; ++pool) {
        queues.push_back(queueOf("q" + std::to_string(pool), poolName(pool)));
        services.push_back(poolName(pool));
    }
    services.emplace_back("spare");
    fleet.configure(queues, services, "spare");
    for (int pool = 0; pool < pools; ++pool) {
        for (int instance = 0; instance < instancesPerPool; ++instance) {
            fleet.addWorker(poolName(pool));
        }
    }
    for (int instance = 0; instance < instancesPerPool - 1; ++instance) {
        fleet.addWorker("spare");
    }
    fleet.start();
    fleet.run(2000);
    std::mt19937_64 random(seed);
    constexpr std::int64_t peakMs = 4000;
    // Six tasks of 0.7 s on one core are 4.2 core-seconds a job; a pool has 144 cores.
    constexpr double peakPerSecond = 48;
    constexpr double offPeakPerSecond = 2.4;
    int jobs = 0;
    std::uniform_real_distribution<double> draw(0, 1);
    const SteadyTimeMs begin = fleet.now;
    while (fleet.now - begin < 2 * pools * peakMs) {
        const auto peakPool = static_cast<int>((fleet.now - begin) / peakMs % pools);
        for (int pool = 0; pool < pools; ++pool) {
            const double perSecond = pool == peakPool ? peakPerSecond : offPeakPerSecond;
            if (draw(random) < perSecond / 100) {
                fleet.submit("j" + std::to_string(jobs++), "q" + std::to_string(pool),
                             {shortStep(6)});
            }
        }
        fleet.run(10);
    }
    fleet.run(15000);
    Replay replay{jobs, 0, fleet.moves};
    for (const auto &[id, acceptedAt] : fleet.acceptedAt) {
        const auto completed = fleet.completedAt.find(id);
        // The objective: stretch 1.6 times a critical path of 680 ms, plus 600 ms.
        if (completed != fleet.completedAt.end() && completed->second - acceptedAt <= 1688) {
            ++replay.onTime;
        }
    }
    return replay;
}

/// Submits jobs of six tasks on two cores to a queue for some time. Returns their number.
int submitPeak(FleetSimulation &fleet, const std::string &queue, int jobsPerSecond,
               std::int64_t durationMs)
{
    const SteadyTimeMs end = fleet.now + durationMs;
    int jobs = 0;
    while (fleet.now < end) {
        for (int job = 0; job < jobsPerSecond / 5; ++job) {
            fleet.submit(queue + std::to_string(jobs++), queue, {shortStep(6, 2000)});
        }
        fleet.run(200);
    }
    return jobs;
}

/// Number of jobs whose id begins with `prefix` that completed within their objective.
int jobsInTime(const FleetSimulation &fleet, const std::string &prefix)
{
    return static_cast<int>(std::count_if(
            fleet.completedAt.begin(), fleet.completedAt.end(), [&](const auto &completed) {
                return completed.first.starts_with(prefix)
                        && completed.second - fleet.acceptedAt.at(completed.first) <= 1688;
            }));
}

std::vector<std::string> workersWithTasks(const FleetSimulation &fleet)
{
    std::vector<std::string> occupiedWorkers;
    for (const auto &[id, worker] : fleet.workers) {
        if (!worker.running.empty()) {
            occupiedWorkers.push_back(id);
        }
    }
    return occupiedWorkers;
}

} // namespace

class PlannersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannersTest);
    CPPUNIT_TEST(transfers);
    CPPUNIT_TEST(alternatingPeaks);
    CPPUNIT_TEST(alternatingPeaksWithLostAnswers);
    CPPUNIT_TEST(peakAfterBacklog);
    CPPUNIT_TEST(drainedInstances);
    CPPUNIT_TEST(waveConcurrency);
    CPPUNIT_TEST(maintenanceWave);
    CPPUNIT_TEST(maintenanceBudget);
    CPPUNIT_TEST(longRunningTasksMoveOnce);
    CPPUNIT_TEST(workerOverDisruptionBudget);
    CPPUNIT_TEST(recentlyStartedTask);
    CPPUNIT_TEST(retriedOrder);
    CPPUNIT_TEST(workerWithoutAnswer);
    CPPUNIT_TEST(unansweredOrder);
    CPPUNIT_TEST(replacedWorker);
    CPPUNIT_TEST(moveOfReplacedWorker);
    CPPUNIT_TEST(outdatedListing);
    CPPUNIT_TEST(earlierLeaderOrder);
    CPPUNIT_TEST(delayedOrderRecord);
    CPPUNIT_TEST(limitAfterFailover);
    CPPUNIT_TEST(lateOrderOfEarlierLeader);
    CPPUNIT_TEST(orderExecutedBefore);
    CPPUNIT_TEST(standbyMaintenance);
    CPPUNIT_TEST(longRunningTaskSpread);
    CPPUNIT_TEST(overdueWithoutListing);
    CPPUNIT_TEST(drainOfMissedInstance);
    CPPUNIT_TEST(successorWithTheSameId);
    CPPUNIT_TEST(restartBeforeOrderIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against pools that take more instances than their tasks can use, and against moving a
    /// surplus to the standby pool too early.
    void transfers()
    {
        const PoolDemandOptions options;
        PoolStatus busy;
        busy.pool = "busy";
        busy.instances = 4;
        busy.instanceMilli = 16000;
        busy.backlogCoreMs = 500000;
        busy.runnableMilli = 16000;
        PoolStatus idle = busy;
        idle.pool = "idle";
        idle.instances = 8;
        idle.empty = 6;
        idle.backlogCoreMs = 0;
        idle.runnableMilli = 0;
        PoolStatus spare;
        spare.pool = "spare";
        spare.standby = true;
        spare.instances = 5;
        section("long critical paths with few tasks that can run require few instances",
                [&] { CPPUNIT_ASSERT(requiredInstances(busy, options) <= 4U); });
        section("tasks that can run are served from idle pools first, then from standby", [&] {
            busy.runnableMilli = 1000000;
            const auto planned = planTransfers({busy, idle, spare}, options, 100);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), planned.size());
            CPPUNIT_ASSERT(planned[0] == (PoolTransfer{"idle", "busy", 6}));
            CPPUNIT_ASSERT(planned[1] == (PoolTransfer{"spare", "busy", 5}));
        });
        section("a surplus moves to the standby pool only after the required time", [&] {
            CPPUNIT_ASSERT(
                    planTransfers({idle, spare}, options, options.standbyAfterMs - 1).empty());
            const auto planned = planTransfers({idle, spare}, options, options.standbyAfterMs);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), planned.size());
            CPPUNIT_ASSERT(planned[0] == (PoolTransfer{"idle", "spare", 6}));
        });
        section("jobs that arrive at a peak rate get instances before they wait", [&] {
            PoolStatus rising = busy;
            rising.backlogCoreMs = 1000;
            rising.runnableMilli = 2000;
            rising.arrivingMilli = 160000;
            CPPUNIT_ASSERT(requiredInstances(rising, options) >= 10U);
        });
        section("a pool keeps the instances that its long-running tasks spread over", [&] {
            idle.longRunningSpread = 5;
            CPPUNIT_ASSERT_EQUAL(5U, requiredInstances(idle, options));
        });
    }

    /// Replays the decisive load of the deployments: demand that peaks in one pool after another
    /// and exceeds its capacity. The baseline is the same fleet without moves.
    void alternatingPeaks()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Replay fixed = replayAlternatingPeaks(seed, false);
            const Replay balanced = replayAlternatingPeaks(seed, true);
            std::cout << " seed " << seed << ": " << fixed.onTime << " of " << fixed.jobs
                      << " in time without moves, " << balanced.onTime << " with " << balanced.moves
                      << " moves";
            // Prices of Chamdakam: a job on time earns 0.45 more than a late one, a move costs
            // 0.088, and its start and call cost 0.03.
            const double gain = (balanced.onTime - fixed.onTime) * 0.45;
            CPPUNIT_ASSERT(gain > balanced.moves * 0.118);
        }
    }

    /// Replays the same peaks while workers leave one call in eighteen unanswered. Guards against
    /// avoiding a worker after a single lost answer, and against ends of runs that stay unknown
    /// after a lost renewal (chamdakam-loom trouble-3: a third of the short jobs was on time).
    void alternatingPeaksWithLostAnswers()
    {
        // Each lost answer delays a task by the call timeout. When the pool is full, a job of six
        // tasks misses its objective if one of them is delayed, so up to a sixth of the jobs may be
        // late.
        constexpr double minKeptShare = 5.0 / 6;
        // The baseline has longer call timeouts and avoids a worker after one lost answer.
        DispatchOptions baselineOptions;
        baselineOptions.calls = {700, 700};
        baselineOptions.shortTaskRenewalWaitMs = baselineOptions.renewalWaitMs;
        baselineOptions.maxUnansweredOrders = 1;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Replay lossless = replayAlternatingPeaks(seed, true);
            const Replay lossy = replayAlternatingPeaks(seed, true, 0.055);
            const Replay baseline = replayAlternatingPeaks(seed, true, 0.055, baselineOptions);
            std::cout << " seed " << seed << ": " << lossless.onTime << " of " << lossless.jobs
                      << " in time, " << lossy.onTime << " with lost answers, " << baseline.onTime
                      << " by the baseline";
            CPPUNIT_ASSERT(lossy.onTime > lossless.onTime * minKeptShare);
        }
    }

    /// Guards against a pool whose instances work off the late backlog of another pool when its own
    /// peak begins (chamdakam-loom-large scale-1: tempo-book kept 37 to 65 of some 640 jobs in time
    /// after the peak of bundle-quote).
    void peakAfterBacklog()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            FleetSimulation fleet(seed);
            fleet.balancerEnabled = true;
            fleet.configure({queueOf("first", "a"), queueOf("second", "b")}, {"a", "b"});
            for (int instance = 0; instance < 10; ++instance) {
                fleet.addWorker("a");
                fleet.addWorker("b");
            }
            fleet.start();
            fleet.run(2000);
            // 8.2 core-seconds a job: twice the capacity of both pools, then three quarters of one.
            const int firstJobs = submitPeak(fleet, "first", 80, 4000);
            const int secondJobs = submitPeak(fleet, "second", 15, 4000);
            fleet.run(3000);
            const int inTime = jobsInTime(fleet, "second");
            std::cout << " seed " << seed << ": " << inTime << " of " << secondJobs
                      << " in time after " << jobsInTime(fleet, "first") << " of " << firstJobs;
            // Draining and moving instances takes half of the peak.
            CPPUNIT_ASSERT(inTime * 2 >= secondJobs);
        }
    }

    /// Guards against instances that can't move because late work keeps them busy, and against
    /// instances that stay without work when they are no longer asked for.
    void drainedInstances()
    {
        FleetSimulation fleet(31);
        fleet.balancerEnabled = true;
        fleet.durationOf = [](const TaskKey &task) { return 400 + 100 * task.index; };
        fleet.configure({queueOf("first", "a"), queueOf("second", "b")}, {"a", "b"});
        for (int instance = 0; instance < 4; ++instance) {
            fleet.addWorker("a");
        }
        fleet.addWorker("b");
        fleet.start();
        fleet.run(500);
        for (int job = 0; job < 60; ++job) {
            fleet.submit("first" + std::to_string(job), "first", {shortStep(8, 2000)});
        }
        fleet.run(6000);
        const auto cordoned = [&fleet] {
            return std::count_if(fleet.workers.begin(), fleet.workers.end(), [&](const auto &item) {
                const WorkerView *view = fleet.dispatcher->view(item.first);
                return view != nullptr && view->cordoned;
            });
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), std::ptrdiff_t(cordoned()));
        for (int job = 0; job < 6; ++job) {
            fleet.submit("second" + std::to_string(job), "second", {shortStep(8, 2000)});
        }
        section("busy instances get no new tasks until they are empty, and then move", [&] {
            fleet.run(200);
            CPPUNIT_ASSERT(cordoned() > 0);
            fleet.runUntil("a move", 3000, [&] { return fleet.moves > 0; });
        });
        section("those that are no longer asked for get tasks again", [&] {
            for (int job = 0; job < 6; ++job) {
                fleet.cancel("second" + std::to_string(job));
            }
            fleet.run(5000);
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), std::ptrdiff_t(cordoned()));
            CPPUNIT_ASSERT(!workersWithTasks(fleet).empty());
        });
    }

    /// Guards against waves that make more instances unavailable than their duration requires, and
    /// against waves that do not complete in time.
    void waveConcurrency()
    {
        const MaintenanceOptions options;
        MaintenanceWave wave{1, {}, 25000, 11, 1000, {}};
        for (int index = 0; index < 26; ++index) {
            wave.instances.push_back("m" + std::to_string(index));
        }
        CPPUNIT_ASSERT(maintenanceConcurrency(wave, options, 1000) < 11);
        CPPUNIT_ASSERT(maintenanceConcurrency(wave, options, 1000) >= 26 * 4 / 25);
        CPPUNIT_ASSERT_EQUAL(11U, maintenanceConcurrency(wave, options, 1000 + 15000));
        section("a clock jump neither stops a wave nor exceeds its limit", [&] {
            CPPUNIT_ASSERT(maintenanceConcurrency(wave, options, -500000) >= 1);
            CPPUNIT_ASSERT_EQUAL(11U, maintenanceConcurrency(wave, options, 5000000));
        });
    }

    /// Guards against two orders for one instance, and against more unavailable instances than
    /// allowed.
    void maintenanceWave()
    {
        FleetSimulation fleet(20);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        std::vector<std::string> targets;
        for (int index = 1; index <= 6; ++index) {
            fleet.addWorker("pricing");
            targets.push_back("m" + std::to_string(index));
        }
        fleet.start();
        fleet.run(100);
        fleet.startWave(targets, 2);
        for (int round = 0; round < 4000 && fleet.maintainedInstances.size() < 6; ++round) {
            fleet.run(5);
            const auto unavailable = std::count_if(
                    fleet.instances.begin(), fleet.instances.end(), [](const auto &item) {
                        return item.second.state == InstanceState::Maintenance;
                    });
            CPPUNIT_ASSERT(unavailable <= 2);
        }
        fleet.run(4000);
        const std::set<std::string> distinct(fleet.maintainedInstances.begin(),
                                             fleet.maintainedInstances.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), distinct.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.maintainedInstances.size());
        CPPUNIT_ASSERT(fleet.state.waves().at(1).isCompleted());
    }

    /// Guards against maintenance that exceeds the disruption budget of a step.
    void maintenanceBudget()
    {
        FleetSimulation fleet(21);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        std::vector<std::string> targets;
        for (int index = 1; index <= 7; ++index) {
            fleet.addWorker("pricing");
            targets.push_back("m" + std::to_string(index));
        }
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(5, 1)});
        fleet.run(1500);
        fleet.startWave(targets, 7);
        fleet.runUntil("the wave", 25000, [&] {
            CPPUNIT_ASSERT(fleet.runningCount("a") >= 4);
            return fleet.state.waves().contains(1) && fleet.state.waves().at(1).isCompleted();
        });
    }

    /// Guards against late waves because long-running tasks move from one instance that is due for
    /// maintenance to another (saddlepoint-tt-grown scale-1: 8 of 182 instances late).
    void longRunningTasksMoveOnce()
    {
        FleetSimulation fleet(29);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 30; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(100);
        StepSpec step = longRunningStep(12, 1);
        step.maxPerWorker = 1;
        fleet.submit("a", "quotes", {step});
        fleet.run(1500);
        const std::uint32_t startsBefore = fleet.starts;
        // All instances with tasks and ten of the idle ones are due, which leaves eight idle.
        std::vector<std::string> targets;
        std::size_t idle = 0;
        for (const auto &[id, instance] : fleet.instances) {
            const bool busy = !fleet.workers.at(instance.worker).running.empty();
            if (busy || ++idle <= 10) {
                targets.push_back(id);
            }
        }
        fleet.startWave(targets, static_cast<std::uint32_t>(targets.size()));
        fleet.runUntil("the wave", 25000, [&] {
            CPPUNIT_ASSERT(fleet.runningCount("a") >= 11);
            return fleet.state.waves().contains(1) && fleet.state.waves().at(1).isCompleted();
        });
        fleet.run(1000);
        std::cout << " " << fleet.starts - startsBefore << " starts for 12 tasks";
        CPPUNIT_ASSERT_EQUAL(12U, fleet.starts - startsBefore);
    }

    /// Guards against maintenance based on an old reading: a recently started task may already be
    /// available when the order arrives (chamdakam-loom-grown quiet-1, AVAIL).
    void recentlyStartedTask()
    {
        FleetSimulation fleet(25);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(2, 1)});
        fleet.runUntil("both starts", 1000, [&] { return fleet.runningCount("a") == 2; });
        for (const auto &[id, worker] : fleet.workers) {
            CPPUNIT_ASSERT(!fleet.dispatcher->disruptionBudgetViolation(id, fleet.now).empty());
        }
        fleet.run(2500);
        for (const auto &[id, worker] : fleet.workers) {
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 fleet.dispatcher->disruptionBudgetViolation(id, fleet.now));
        }
    }

    /// Guards against repeating an unanswered order after another task of the step has become
    /// unavailable.
    void retriedOrder()
    {
        FleetSimulation fleet(24);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 5; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(4, 1)});
        fleet.run(1500);
        const std::vector<std::string> occupiedWorkers = workersWithTasks(fleet);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), occupiedWorkers.size());
        fleet.dispatcher->setLeaving(occupiedWorkers[0], true);
        CPPUNIT_ASSERT_EQUAL(
                std::string(),
                fleet.dispatcher->disruptionBudgetViolation(occupiedWorkers[0], fleet.now));
        fleet.crash(occupiedWorkers[1]);
        fleet.run(4000);
        CPPUNIT_ASSERT(!fleet.dispatcher->disruptionBudgetViolation(occupiedWorkers[0], fleet.now)
                                .empty());
    }

    /// Guards against maintenance that ends a task while another one of its step is gone: an order
    /// of an earlier leader had shut down its worker, whose last answer was still recent
    /// (chamdakam-loom-grown scale-2: AVAIL).
    void workerWithoutAnswer()
    {
        FleetSimulation fleet(24);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 5; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(4, 1)});
        fleet.run(1500);
        const std::vector<std::string> occupiedWorkers = workersWithTasks(fleet);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), occupiedWorkers.size());
        CPPUNIT_ASSERT_EQUAL(
                std::string(),
                fleet.dispatcher->disruptionBudgetViolation(occupiedWorkers[1], fleet.now));
        fleet.crash(occupiedWorkers[0]);
        fleet.runUntil("an unanswered renewal", 2000, [&] {
            return fleet.dispatcher->view(occupiedWorkers[0])->renewFailures > 0;
        });
        CPPUNIT_ASSERT(fleet.dispatcher->hasRecentAnswer(occupiedWorkers[0], fleet.now));
        CPPUNIT_ASSERT(!fleet.dispatcher->disruptionBudgetViolation(occupiedWorkers[1], fleet.now)
                                .empty());
    }

    /// Guards against tasks that count as available although an unanswered order may be ending
    /// them, because a repetition of the order was not sent or refused (chamdakam-loom-large
    /// scale-2: AVAIL).
    void unansweredOrder()
    {
        for (const InstanceFault fault :
             {InstanceFault::NotSent, InstanceFault::Throttled, InstanceFault::Busy}) {
            FleetSimulation fleet(32);
            fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
            for (int index = 0; index < 3; ++index) {
                fleet.addWorker("pricing");
            }
            fleet.start();
            fleet.run(100);
            fleet.submit("a", "quotes", {longRunningStep(2, 1)});
            fleet.run(1500);
            const std::vector<std::string> occupiedWorkers = workersWithTasks(fleet);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), occupiedWorkers.size());
            const std::string &worker = occupiedWorkers[0];
            const std::string instance = "m" + worker.substr(1);
            fleet.maintenanceDelayMs = 60000;
            fleet.startWave({instance}, 1);
            fleet.runUntil("an order", 5000, [&] { return fleet.ordersReceived == 1; });
            const auto isLeaving = [&] { return fleet.dispatcher->view(worker)->leaving; };
            CPPUNIT_ASSERT(isLeaving());
            fleet.maintenance->answered({instance, 1, worker}, fault, fleet.now);
            section("its tasks count as unavailable, and no other worker may be taken down", [&] {
                CPPUNIT_ASSERT(isLeaving());
                CPPUNIT_ASSERT(
                        !fleet.dispatcher->disruptionBudgetViolation(occupiedWorkers[1], fleet.now)
                                 .empty());
            });
            section("the order is repeated", [&] {
                fleet.runUntil("the next order", 5000, [&] { return fleet.ordersReceived > 1; });
            });
        }
    }

    /// Guards against maintenance of an instance whose worker has ended since it was chosen, and
    /// whose next worker has tasks (chamdakam-loom-large scale-2: AVAIL).
    void replacedWorker()
    {
        FleetSimulation fleet(33);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        StepSpec lasting = longRunningStep(2, 1);
        lasting.maxPerWorker = 1;
        fleet.submit("a", "quotes", {lasting});
        fleet.run(1500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), workersWithTasks(fleet).size());
        // The other task is unavailable, so that the instance must wait.
        fleet.dispatcher->setLeaving("w2", true);
        fleet.startWave({"m1"}, 1);
        fleet.run(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.ordersReceived);
        fleet.crash("w1");
        const std::string successor = fleet.replaceWorker("m1");
        section("the order comes while the next worker of the instance has no tasks", [&] {
            bool hasTasks = false;
            const SteadyTimeMs limit = fleet.now + 15000;
            while (fleet.ordersReceived == 0) {
                CPPUNIT_ASSERT(fleet.now < limit);
                hasTasks = !fleet.workers.at(successor).running.empty();
                fleet.run(5);
            }
            CPPUNIT_ASSERT(!hasTasks);
        });
    }

    /// Guards against the repetition of a move that ends tasks of the instance's next worker.
    void moveOfReplacedWorker()
    {
        FleetSimulation fleet(34);
        fleet.balancerEnabled = true;
        fleet.configure({queueOf("first", "a"), queueOf("second", "b")}, {"a", "b"});
        fleet.addWorker("a");
        fleet.addWorker("a");
        fleet.addWorker("b");
        fleet.start();
        fleet.run(1000);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.moves);
        const MoveOrder order{"m1", "b", "w1"};
        CPPUNIT_ASSERT(fleet.balancer->mayMove(order, fleet.now));
        section("not while the worker has tasks", [&] {
            fleet.submit("a", "first", {shortStep(32)});
            fleet.run(300);
            CPPUNIT_ASSERT(!fleet.balancer->mayMove(order, fleet.now));
        });
        section("not once a listing shows another worker", [&] {
            fleet.crash("w1");
            fleet.replaceWorker("m1");
            fleet.run(1000);
            CPPUNIT_ASSERT(!fleet.balancer->mayMove(order, fleet.now));
        });
        section("a move that was carried out may be repeated", [&] {
            fleet.instances.at("m1").pool = "b";
            fleet.run(1000);
            CPPUNIT_ASSERT(!fleet.dispatcher->view("w1")->reserved.empty()
                           || fleet.balancer->mayMove(order, fleet.now));
        });
    }

    /// Guards against orders that rest on an old listing of the instances: one that it shows in the
    /// standby pool may have moved since, and its worker have tasks (chamdakam-loom-large scale-2:
    /// AVAIL).
    void outdatedListing()
    {
        FleetSimulation fleet(35);
        fleet.configure({queueOf("first", "a"), queueOf("second", "b")}, {"a", "b", "spare"},
                        "spare");
        fleet.addWorker("a");
        fleet.addWorker("b");
        fleet.addWorker("spare");
        fleet.start();
        fleet.run(1000);
        fleet.balancerEnabled = true;
        const auto submit = [&](const std::string &id, const std::string &queue) {
            fleet.submit(id, queue, {shortStep(40, 2000)});
        };
        fleet.listsInstances = false;
        submit("first", "first");
        fleet.runUntil("a move from the standby pool", 2000, [&] { return fleet.moves == 1; });
        fleet.run(2000);
        CPPUNIT_ASSERT(fleet.workers.contains("w4"));
        fleet.submit("lasting", "first", {longRunningStep(40, 0)});
        fleet.run(maxListAgeMs);
        const std::uint32_t moves = fleet.moves;
        // Beyond the time after which an instance that has not appeared is given up.
        for (int job = 0; job < 20; ++job) {
            submit("second" + std::to_string(job), "second");
            fleet.run(500);
        }
        CPPUNIT_ASSERT_EQUAL(moves, fleet.moves);
        section("a fresh listing shows where the instance is", [&] {
            fleet.listsInstances = true;
            submit("last", "second");
            fleet.run(2000);
            CPPUNIT_ASSERT(fleet.workers.contains("w4"));
            CPPUNIT_ASSERT(!fleet.workers.at("w4").running.empty());
        });
    }

    /// Guards against a new leader that makes a task unavailable while the provider still carries
    /// out an order of the previous leader, which counts against the same disruption budget
    /// (chamdakam-loom scale-1, AVAIL).
    void earlierLeaderOrder()
    {
        FleetSimulation fleet(26);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 6; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(4, 1)});
        fleet.run(1500);
        fleet.maintenanceDelayMs = 2500;
        fleet.startWave({"m1", "m2", "m3", "m4"}, 4);
        const std::size_t ordersBefore = fleet.ordersReceived;
        fleet.runUntil("an order for a worker with a task", 8000, [&] {
            const auto worker = fleet.workers.find(fleet.lastOrderedWorker);
            return fleet.ordersReceived > ordersBefore && worker != fleet.workers.end()
                    && !worker->second.running.empty();
        });
        fleet.changeLeader();
        const SteadyTimeMs end = fleet.now + 4000;
        while (fleet.now < end) {
            fleet.run(5);
            CPPUNIT_ASSERT(fleet.runningCount("a") >= 3);
        }
    }

    /// Guards against more instances in maintenance than the wave allows, because a new leader does
    /// not count an unanswered order of an earlier one.
    void limitAfterFailover()
    {
        FleetSimulation fleet(33);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 4; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(1000);
        fleet.maintenanceDelayMs = 1500;
        fleet.startWave({"m1", "m2", "m3", "m4"}, 1);
        fleet.runUntil("the order", 3000, [&] { return fleet.ordersReceived == 1; });
        fleet.changeLeader();
        const SteadyTimeMs end = fleet.now + 8000;
        while (fleet.now < end) {
            fleet.run(5);
            CPPUNIT_ASSERT(std::count_if(fleet.instances.begin(), fleet.instances.end(),
                                         [](const auto &item) {
                                             return item.second.state == InstanceState::Maintenance;
                                         })
                           <= 1);
        }
        CPPUNIT_ASSERT(!fleet.maintainedInstances.empty());
    }

    /// Guards against more instances in maintenance than the wave allows, because an order of an
    /// earlier leader is carried out after the pause between two leaders' orders (review/10:
    /// LIMIT).
    void lateOrderOfEarlierLeader()
    {
        for (const std::int64_t delayMs : {4500, 6000, 9000, 12000}) {
            FleetSimulation fleet(34);
            fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
            for (int index = 0; index < 4; ++index) {
                fleet.addWorker("pricing");
            }
            fleet.start();
            fleet.run(1000);
            fleet.maintenanceDelayMs = delayMs;
            fleet.startWave({"m1", "m2", "m3", "m4"}, 1);
            fleet.runUntil("the order", 3000, [&] { return fleet.ordersReceived == 1; });
            fleet.maintenanceDelayMs = 0;
            fleet.changeLeader();
            const SteadyTimeMs end = fleet.now + 20000;
            while (fleet.now < end) {
                fleet.run(5);
                CPPUNIT_ASSERT(std::count_if(fleet.instances.begin(), fleet.instances.end(),
                                             [](const auto &item) {
                                                 return item.second.state
                                                         == InstanceState::Maintenance;
                                             })
                               <= 1);
            }
            CPPUNIT_ASSERT(fleet.state.waves().at(1).isCompleted());
        }
    }

    /// Guards against a second run of a task whose worker counts as ended because the provider
    /// confirms an order that it carried out for an earlier leader (chamdakam-loom scale-1, seed
    /// 777177528407, TWICE).
    void orderExecutedBefore()
    {
        FleetSimulation fleet(30);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(1000);
        fleet.maintenanceDelayMs = 50;
        fleet.startWave({"m1"}, 1);
        fleet.runUntil("the order", 3000, [&] { return fleet.ordersReceived == 1; });
        fleet.changeLeader();
        fleet.run(2500);
        fleet.submit("a", "quotes", {longRunningStep(2, 2)});
        fleet.runUntil("the tasks", 2000, [&] { return fleet.runningCount("a") == 2; });
        const std::uint32_t starts = fleet.starts;
        fleet.runUntil("the wave", 10000, [&] { return fleet.state.waves().at(1).isCompleted(); });
        fleet.run(3000);
        for (const auto &[id, worker] : fleet.workers) {
            CPPUNIT_ASSERT(fleet.state.worker(id) != nullptr);
        }
        CPPUNIT_ASSERT_EQUAL(starts, fleet.starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.runningCount("a"));
    }

    /// Guards against sending an order after its record is committed if a task of the step became
    /// unavailable while the journal had no quorum.
    void delayedOrderRecord()
    {
        FleetSimulation fleet(27);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int index = 0; index < 5; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(4, 1)});
        fleet.run(1500);
        const std::vector<std::string> occupiedWorkers = workersWithTasks(fleet);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), occupiedWorkers.size());
        fleet.orderCommitMs = 4000;
        fleet.startWave({"m" + occupiedWorkers[0].substr(1)}, 1);
        fleet.run(1000);
        fleet.crash(occupiedWorkers[1]);
        fleet.run(4500);
        CPPUNIT_ASSERT(fleet.workers.contains(occupiedWorkers[0]));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.workers.at(occupiedWorkers[0]).running.size());
    }

    /// Guards against maintenance that never begins on a worker that holds more tasks of a step
    /// than its disruption budget (chamdakam-loom quiet-1, five tasks on one worker).
    void workerOverDisruptionBudget()
    {
        FleetSimulation fleet(23);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(4, 1)});
        fleet.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), fleet.workers.at("w1").running.size());
        for (int index = 0; index < 4; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.run(2000);
        fleet.startWave({"m1"}, 1);
        fleet.runUntil("the wave", 20000, [&] {
            CPPUNIT_ASSERT(fleet.runningCount("a") >= 3);
            return fleet.state.waves().contains(1) && fleet.state.waves().at(1).isCompleted();
        });
    }

    /// Guards against moving instances to the standby pool that a step needs because only one of
    /// its tasks may run on a worker, though two may be unavailable at once (chamdakam-loom-grown
    /// quiet-1: 12 of 25 tasks waited all day).
    void longRunningTaskSpread()
    {
        FleetSimulation fleet(28);
        fleet.balancerEnabled = true;
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing", "spare"}, "spare");
        for (int index = 0; index < 12; ++index) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(10000);
        StepSpec step = longRunningStep(10, 2);
        step.maxPerWorker = 1;
        fleet.submit("a", "quotes", {step});
        fleet.runUntil("all tasks", 6000, [&] { return fleet.runningCount("a") == 10; });
    }

    /// Guards against waves that wait for the worker of an instance that is switched off.
    void standbyMaintenance()
    {
        FleetSimulation fleet(22);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing", "spare"}, "spare");
        fleet.addWorker("pricing");
        fleet.addWorker("spare");
        fleet.addWorker("spare");
        fleet.start();
        fleet.run(600);
        fleet.startWave({"m2", "m3"}, 1);
        fleet.runUntil("the wave", 8000, [&] {
            return fleet.state.waves().contains(1) && fleet.state.waves().at(1).isCompleted();
        });
    }

    /// Guards against a worker that stays cordoned because its maintenance, which the provider had
    /// carried out before, is given up as overdue without a listing since.
    void overdueWithoutListing()
    {
        FleetSimulation fleet(37);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        fleet.startWave({"m1"}, 1);
        fleet.maintenanceDelayMs = 60000;
        fleet.runUntil("the order", 2000, [&] { return fleet.ordersReceived == 1; });
        fleet.listsInstances = false;
        fleet.maintenance->answered({"m1", 1, "w1"}, std::nullopt, fleet.now);
        const MaintenanceOptions options;
        fleet.run(options.returnLimitMs + 500);
        CPPUNIT_ASSERT(!fleet.dispatcher->view("w1")->cordoned);
        CPPUNIT_ASSERT(!fleet.dispatcher->view("w1")->leaving);
        fleet.submit("a", "quotes", {longRunningStep(1, 0)});
        fleet.runUntil("the task", 1000, [&] { return fleet.runningCount("a") == 1; });
    }

    /// Guards against a worker that stays cordoned because its instance, which was being drained,
    /// was missing in some listings and counts as gone.
    void drainOfMissedInstance()
    {
        FleetSimulation fleet(38);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(2, 1)});
        fleet.run(1500);
        // The other task is unavailable, so that the instance must wait.
        fleet.dispatcher->setLeaving("w2", true);
        fleet.startWave({"m1"}, 1);
        fleet.run(1000);
        CPPUNIT_ASSERT(fleet.dispatcher->view("w1")->cordoned);
        const ListedInstance missed = fleet.instances.at("m1");
        fleet.instances.erase("m1");
        fleet.run(2500);
        fleet.instances["m1"] = missed;
        fleet.run(1000);
        CPPUNIT_ASSERT(fleet.state.waves().at(1).isCompleted());
        CPPUNIT_ASSERT(!fleet.dispatcher->view("w1")->cordoned);
    }

    /// Guards against tasks that are started on a worker that has restarted under its id, while an
    /// unanswered order may still end them.
    void restartBeforeOrderIsAnswered()
    {
        FleetSimulation fleet(41);
        fleet.balancerEnabled = true;
        fleet.moveAnswerMs = 60000;
        fleet.configure({queueOf("first", "a"), queueOf("second", "b")}, {"a", "b"});
        for (int worker = 0; worker < 3; ++worker) {
            fleet.addWorker("a");
        }
        fleet.addWorker("b");
        fleet.start();
        fleet.run(1000);
        for (int job = 0; job < 10; ++job) {
            fleet.submit("second" + std::to_string(job), "second", {shortStep(8, 2000)});
        }
        fleet.runUntil("a move", 5000, [&] { return fleet.moves > 0; });
        const std::string worker = fleet.instances.at(fleet.returning.begin()->first).worker;
        WorkerRecord next = *fleet.state.worker(worker);
        section("an announced restart keeps the cordon", [&] {
            ++next.startTimeMs;
            fleet.state.apply(WorkerJoined{next});
            fleet.dispatcher->applied(WorkerJoined{next}, fleet.now);
            CPPUNIT_ASSERT(fleet.dispatcher->view(worker)->cordoned);
            CPPUNIT_ASSERT(fleet.dispatcher->view(worker)->leaving);
        });
        section("one that a renewal has shown before is cordoned by the next step", [&] {
            const WorkerLeft left{next.id, next.startTimeMs};
            fleet.state.apply(left);
            fleet.dispatcher->applied(left, fleet.now);
            ++next.startTimeMs;
            fleet.state.apply(WorkerJoined{next});
            fleet.dispatcher->applied(WorkerJoined{next}, fleet.now);
            fleet.run(fleet.planMs + fleet.stepMs);
            CPPUNIT_ASSERT(fleet.dispatcher->view(worker)->cordoned);
            CPPUNIT_ASSERT(fleet.dispatcher->view(worker)->leaving);
        });
        section("so is one with an order of an earlier leader", [] {
            FleetSimulation other(42);
            other.configure({queueOf("quotes", "pricing")}, {"pricing"});
            other.addWorker("pricing");
            other.addWorker("pricing");
            other.start();
            other.run(1000);
            other.maintenanceDelayMs = 60000;
            other.startWave({"m1"}, 1);
            other.runUntil("the order", 3000, [&] { return other.ordersReceived == 1; });
            other.changeLeader();
            other.run(600);
            CPPUNIT_ASSERT(other.dispatcher->view("w1")->cordoned);
            WorkerRecord restarted = *other.state.worker("w1");
            const WorkerLeft left{restarted.id, restarted.startTimeMs};
            other.state.apply(left);
            other.dispatcher->applied(left, other.now);
            ++restarted.startTimeMs;
            other.state.apply(WorkerJoined{restarted});
            other.dispatcher->applied(WorkerJoined{restarted}, other.now);
            other.run(other.planMs + other.stepMs);
            CPPUNIT_ASSERT(other.dispatcher->view("w1")->cordoned);
            CPPUNIT_ASSERT(other.dispatcher->view("w1")->leaving);
        });
    }

    /// Guards against a worker that is removed for good because an order has ended its earlier
    /// incarnation: an incarnation that has left is not recorded again.
    void successorWithTheSameId()
    {
        const auto apply = [](FleetSimulation &fleet, const JobChange &change) {
            fleet.state.apply(change);
            fleet.dispatcher->applied(change, fleet.now);
        };
        section("it has joined before a listing shows the maintenance", [&] {
            FleetSimulation fleet(39);
            fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
            fleet.addWorker("pricing");
            fleet.start();
            fleet.run(100);
            fleet.startWave({"m1"}, 1);
            fleet.runUntil("the order", 2000, [&] { return !fleet.maintainedInstances.empty(); });
            WorkerRecord next = *fleet.state.worker("w1");
            apply(fleet, WorkerLeft{next.id, next.startTimeMs});
            ++next.startTimeMs;
            apply(fleet, WorkerJoined{next});
            fleet.run(1000);
            CPPUNIT_ASSERT(fleet.state.worker("w1") != nullptr);
        });
        section("it has joined before the order of a move is answered", [&] {
            FleetSimulation fleet(40);
            fleet.balancerEnabled = true;
            fleet.moveAnswerMs = 1000;
            fleet.configure({queueOf("first", "a"), queueOf("second", "b")}, {"a", "b"});
            for (int worker = 0; worker < 3; ++worker) {
                fleet.addWorker("a");
            }
            fleet.addWorker("b");
            fleet.start();
            fleet.run(1000);
            for (int job = 0; job < 10; ++job) {
                fleet.submit("second" + std::to_string(job), "second", {shortStep(8, 2000)});
            }
            fleet.runUntil("a move", 5000, [&] { return fleet.moves > 0; });
            const std::string moved = fleet.returning.begin()->first;
            const std::string worker = fleet.instances.at(moved).worker;
            WorkerRecord next = *fleet.state.worker(worker);
            ++next.startTimeMs;
            apply(fleet, WorkerJoined{next});
            fleet.run(1400);
            CPPUNIT_ASSERT(fleet.state.worker(worker) != nullptr);
            CPPUNIT_ASSERT(!fleet.dispatcher->view(worker)->cordoned);
            CPPUNIT_ASSERT(!fleet.dispatcher->view(worker)->leaving);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannersTest);

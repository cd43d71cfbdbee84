#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "Scheduling/FleetSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Time without a run after which a long-running task counts as neglected.
constexpr std::int64_t neglectedMs = 3000;

StepSpec longRunningStepOf(std::uint32_t count, std::int64_t memoryMb)
{
    StepSpec step = longRunningStep(count, 0);
    step.need.memoryMb = memoryMb;
    return step;
}

/// A pool of three workers, each with a long-running task that leaves 12,768 MB, and a standby pool
/// of three instances.
void setUpFragmentedPool(FleetSimulation &fleet)
{
    fleet.configure({queueOf("quotes", "pricing")}, {"pricing", "spare"}, "spare");
    for (int worker = 0; worker < 3; ++worker) {
        fleet.addWorker("pricing");
        fleet.addWorker("spare");
    }
    fleet.start();
    fleet.run(1000);
    // The pool counts as empty before its workers have answered.
    fleet.balancerEnabled = true;
    fleet.submit("present", "quotes", {longRunningStepOf(3, 20000)});
    fleet.run(1000);
}

/// A pool whose memory stays full of short tasks of a fourth of a worker's memory.
void setUpFullPool(FleetSimulation &fleet, int workers)
{
    fleet.durationOf = [](const TaskKey &task) { return 500 + 70 * (task.index % 8); };
    fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
    for (int worker = 0; worker < workers; ++worker) {
        fleet.addWorker("pricing");
    }
    fleet.start();
    fleet.run(100);
    StepSpec small = shortStep(8, 500);
    small.need.memoryMb = 8000;
    for (int job = 0; job < 100 * workers; ++job) {
        fleet.submit("small" + std::to_string(job), "quotes", {small});
    }
    fleet.run(5000);
}

} // namespace

class LongRunningTasksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningTasksTest);
    CPPUNIT_TEST(fragmentedPool);
    CPPUNIT_TEST(hungWorker);
    CPPUNIT_TEST(pausedTask);
    CPPUNIT_TEST(timeOfDaySetBack);
    CPPUNIT_TEST(severalTasksInFullPool);
    CPPUNIT_TEST(bestEffortTaskInFullPool);
    CPPUNIT_TEST(drainedWorkersWithRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a long-running task that waits for as long as the pool has free capacity only
    /// in pieces, while idle instances could move into it (LOST: "is to last and doesn't run").
    void fragmentedPool()
    {
        section("an instance moves into the pool before the task counts as neglected", [] {
            FleetSimulation fleet(41);
            setUpFragmentedPool(fleet);
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.runningCount("present"));
            CPPUNIT_ASSERT_EQUAL(0U, fleet.moves);
            fleet.submit("a", "quotes", {longRunningStepOf(1, 15000)});
            fleet.runUntil("the long-running task", neglectedMs,
                           [&] { return fleet.runningCount("a") == 1; });
            section("and only one", [&] {
                fleet.run(5000);
                CPPUNIT_ASSERT_EQUAL(1U, fleet.moves);
            });
        });
        section("as many move as several tasks need together", [] {
            FleetSimulation fleet(42);
            setUpFragmentedPool(fleet);
            fleet.submit("a", "quotes", {longRunningStepOf(3, 15000)});
            fleet.runUntil("the long-running tasks", neglectedMs,
                           [&] { return fleet.runningCount("a") == 3; });
            fleet.run(5000);
            CPPUNIT_ASSERT_EQUAL(2U, fleet.moves);
        });
        section("none moves for a task that it could not hold", [] {
            FleetSimulation fleet(43);
            setUpFragmentedPool(fleet);
            fleet.submit("a", "quotes", {longRunningStepOf(1, 40000)});
            StepSpec labelled = longRunningStepOf(1, 15000);
            labelled.requiredLabel = "other";
            fleet.submit("b", "quotes", {labelled});
            fleet.run(8000);
            CPPUNIT_ASSERT_EQUAL(0U, fleet.moves);
        });
        section("none moves for a task that finds room within a second", [] {
            FleetSimulation fleet(44);
            setUpFragmentedPool(fleet);
            StepSpec filler = shortStep(3);
            filler.bestEffort = true;
            filler.need.memoryMb = 12700;
            fleet.submit("short", "quotes", {filler});
            fleet.run(100);
            fleet.submit("a", "quotes", {longRunningStepOf(1, 12000)});
            fleet.runUntil("the long-running task", 1000,
                           [&] { return fleet.runningCount("a") == 1; });
            fleet.run(3000);
            CPPUNIT_ASSERT_EQUAL(0U, fleet.moves);
        });
    }

    /// Guards against a long-running task that starts on a hung worker and stays there at 0
    /// percent.
    void hungWorker()
    {
        FleetSimulation fleet(45);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        fleet.addWorker("pricing");
        fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        for (const auto &[id, worker] : fleet.workers) {
            fleet.workers.at(id).hangsAllRuns = id == "w1";
        }
        fleet.submit("a", "quotes", {longRunningStep(4, 0)});
        const auto runsAt = [&fleet](const std::string &worker) {
            return fleet.workers.at(worker).running.size();
        };
        section("its tasks move to a worker that is not", [&] {
            fleet.run(100);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), runsAt("w1"));
            fleet.runUntil("the move", 6000, [&] { return runsAt("w2") == 4; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), runsAt("w1"));
        });
        section("tasks that are available stay, whether they make progress or not", [&] {
            fleet.run(10000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), runsAt("w2"));
            CPPUNIT_ASSERT_EQUAL(8U, fleet.starts);
        });
    }

    /// Guards against the stop of a task that makes no progress because it is paused.
    void pausedTask()
    {
        FleetSimulation fleet(46);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        const std::string worker = fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        // Above the share of the target at which best-effort tasks are paused.
        StepSpec serving = longRunningStep(1, 0);
        serving.targetMs = 10;
        fleet.submit("serving", "quotes", {serving});
        fleet.run(2000);
        fleet.workers.at(worker).hangsAllRuns = true;
        StepSpec filler = longRunningStep(1, 0);
        filler.bestEffort = true;
        fleet.submit("filler", "quotes", {filler});
        fleet.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("filler"));
        CPPUNIT_ASSERT_EQUAL(2U, fleet.starts);
    }

    /// Guards against a long-running task that waits for a worker of its own for as long as the
    /// time of day was set back after the acceptance of its job.
    void timeOfDaySetBack()
    {
        const auto setUp = [](FleetSimulation &fleet) {
            fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
            fleet.addWorker("pricing");
            fleet.start();
            fleet.run(3000);
            fleet.submit("a", "quotes", {longRunningStep(2, 1)});
            fleet.run(500);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
        };
        const auto bothRun = [](FleetSimulation &fleet) {
            return [&fleet] { return fleet.runningCount("a") == 2; };
        };
        section("the second task waits for another worker, with a limit", [&] {
            FleetSimulation fleet(47);
            setUp(fleet);
            fleet.run(1400);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
            fleet.runUntil("the second task", 500, bothRun(fleet));
        });
        section("the limit is the same if the time of day is set", [&] {
            for (const std::int64_t offsetMs : {-60000, 60000}) {
                FleetSimulation fleet(48);
                setUp(fleet);
                fleet.wallOffsetMs = offsetMs;
                fleet.run(1400);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
                fleet.runUntil("the second task", 500, bothRun(fleet));
            }
        });
        section("a new leader whose time of day is earlier begins the wait anew once", [&] {
            FleetSimulation fleet(49);
            setUp(fleet);
            fleet.changeLeader();
            fleet.wallOffsetMs = -60000;
            fleet.runUntil("the second task", 2500, bothRun(fleet));
        });
    }

    /// Guards against long-running tasks that get ready for one after the other in a full pool,
    /// because all behind the first one hold no worker.
    void severalTasksInFullPool()
    {
        constexpr std::uint32_t tasks = 16;
        section("tasks of several jobs", [] {
            FleetSimulation fleet(50);
            setUpFullPool(fleet, 20);
            for (std::uint32_t job = 0; job < tasks; ++job) {
                fleet.submit("a" + std::to_string(job), "quotes", {longRunningStepOf(1, 24000)});
            }
            fleet.runUntil("the long-running tasks", neglectedMs, [&] {
                std::size_t running = 0;
                for (std::uint32_t job = 0; job < tasks; ++job) {
                    running += fleet.runningCount("a" + std::to_string(job));
                }
                return running == tasks;
            });
        });
        section("tasks of one job", [] {
            FleetSimulation fleet(51);
            setUpFullPool(fleet, 20);
            fleet.submit("a", "quotes", {longRunningStepOf(tasks, 24000)});
            fleet.runUntil("the long-running tasks", neglectedMs,
                           [&] { return fleet.runningCount("a") == tasks; });
        });
        section("a task that no worker could hold holds none", [] {
            FleetSimulation fleet(52);
            setUpFullPool(fleet, 2);
            fleet.submit("a", "quotes", {longRunningStepOf(tasks, 40000)});
            fleet.run(3000);
            const std::size_t before = fleet.completedAt.size();
            fleet.run(5000);
            // Eight tasks at a time of 745 ms on average.
            CPPUNIT_ASSERT(fleet.completedAt.size() - before >= 5);
        });
    }

    /// Guards against a best-effort long-running task whose turn never comes in a pool whose memory
    /// is full.
    void bestEffortTaskInFullPool()
    {
        StepSpec filler = longRunningStepOf(2, 24000);
        filler.bestEffort = true;
        section("it gets a worker before it counts as neglected", [&] {
            FleetSimulation fleet(53);
            fleet.durationOf = [](const TaskKey &task) { return 500 + 70 * (task.index % 8); };
            fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
            for (int worker = 0; worker < 4; ++worker) {
                fleet.addWorker("pricing");
            }
            fleet.start();
            fleet.run(100);
            StepSpec small = shortStep(8, 500);
            small.need.memoryMb = 8000;
            // Slightly more than the pool can do, so that jobs in time wait at any moment.
            auto arrive = [&, job = 0](int rounds) mutable {
                for (int round = 0; round < rounds; ++round) {
                    fleet.submit("small" + std::to_string(job++), "quotes", {small});
                    fleet.run(300);
                }
            };
            arrive(20);
            fleet.submit("a", "quotes", {filler});
            arrive(10);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.runningCount("a"));
        });
        section("the short tasks of the other workers go on meanwhile", [&] {
            FleetSimulation fleet(54);
            setUpFullPool(fleet, 4);
            fleet.submit("a", "quotes", {filler});
            fleet.run(100);
            const std::size_t before = fleet.completedAt.size();
            fleet.run(neglectedMs);
            // Two of four workers can hold 16 tasks of 745 ms on average.
            CPPUNIT_ASSERT(fleet.completedAt.size() - before >= 4);
        });
    }

    /// Guards against a long-running task that waits for workers that are drained for maintenance,
    /// which waits for the task, as it exhausts the disruption budget.
    void drainedWorkersWithRoom()
    {
        FleetSimulation fleet(55);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        for (int worker = 0; worker < 3; ++worker) {
            fleet.addWorker("pricing");
        }
        fleet.start();
        fleet.run(100);
        fleet.submit("a", "quotes", {longRunningStep(3, 1)});
        fleet.run(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.runningCount("a"));
        fleet.crash("w3");
        fleet.run(3000);
        fleet.startWave({"m1", "m2"}, 2);
        section("the task runs on one of them soon after its worker was given up", [&] {
            fleet.runUntil("the loss", 7000, [&] {
                return fleet.state.task({std::string("a"), 0, 0, 2})->phase == TaskPhase::Pending;
            });
            fleet.runUntil("the task", neglectedMs, [&] { return fleet.runningCount("a") == 3; });
        });
        section("and the wave goes on", [&] {
            fleet.runUntil("the wave", 20000, [&] {
                CPPUNIT_ASSERT(fleet.runningCount("a") >= 2);
                return fleet.state.waves().at(1).isCompleted();
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTasksTest);

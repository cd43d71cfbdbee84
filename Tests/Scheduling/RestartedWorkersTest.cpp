#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>

#include "Scheduling/FleetSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

void setUpFleet(FleetSimulation &fleet, int workers)
{
    fleet.configure({queueOf("quotes", "pricing")}, {"pricing", "stock"});
    for (int index = 0; index < workers; ++index) {
        fleet.addWorker("pricing");
    }
    fleet.start();
    // Until then the leases of earlier leaders may last longer than those of this one.
    fleet.run(8000);
}

bool isCompleted(const FleetSimulation &fleet, const std::string &job)
{
    return fleet.state.job(job) != nullptr && fleet.phaseOf(job) == JobPhase::Completed;
}

/// Submits a job of one task whose first start is carried out `lateMs` after it was sent. Returns
/// the worker that gets it.
std::string submitWithLateStart(FleetSimulation &fleet, StepSpec step, std::int64_t lateMs)
{
    for (auto &[id, worker] : fleet.workers) {
        worker.lateStartMs = lateMs;
    }
    fleet.submit("a", "quotes", {std::move(step)});
    std::string first;
    fleet.runUntil("the start order", 1000, [&] {
        for (auto &[id, worker] : fleet.workers) {
            if (worker.lateStartMs == 0) {
                first = id;
            }
        }
        return !first.empty();
    });
    for (auto &[id, worker] : fleet.workers) {
        worker.lateStartMs = 0;
    }
    return first;
}

} // namespace

/// Workers that start again under the id that they had, and orders for their earlier incarnation
/// that reach the next one. FleetSimulation throws if a task runs twice or again after it is done.
class RestartedWorkersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestartedWorkersTest);
    CPPUNIT_TEST(fencingTokens);
    CPPUNIT_TEST(lateStartOnNextIncarnation);
    CPPUNIT_TEST(startBeforeFirstCheck);
    CPPUNIT_TEST(lateStartAfterSecondRestart);
    CPPUNIT_TEST(lostBeforeFirstCheck);
    CPPUNIT_TEST(lostAfterFirstCheck);
    CPPUNIT_TEST(lossAfterUnansweredStart);
    CPPUNIT_TEST(wrongAnnouncement);
    CPPUNIT_TEST(drainingRestart);
    CPPUNIT_TEST(restartsAndLateStarts);
    CPPUNIT_TEST(restartsAndPartitions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a token of a later leader that is lower than one of an earlier leader, and
    /// against a generation that reaches into the term.
    void fencingTokens()
    {
        CPPUNIT_ASSERT(fencingToken(3, 0) < fencingToken(3, 1));
        CPPUNIT_ASSERT(fencingToken(3, 65535) < fencingToken(4, 0));
        CPPUNIT_ASSERT_EQUAL(fencingToken(3, 65535), fencingToken(3, 1 << 20));
    }

    /// Guards against a second run of a task whose start was sent to a worker before its restart
    /// was known, and is carried out after it (recut on saddlepoint-tt: TWICE).
    void lateStartOnNextIncarnation()
    {
        for (std::int64_t lateMs = 100; lateMs <= 3000; lateMs += 100) {
            for (const bool announced : {true, false}) {
                FleetSimulation fleet(60);
                fleet.durationOf = [](const TaskKey &) { return 2500; };
                setUpFleet(fleet, 3);
                const std::string first = submitWithLateStart(fleet, shortStep(1), lateMs);
                fleet.run(50);
                if (announced) {
                    fleet.restart(first);
                } else {
                    fleet.restartUnannounced(first);
                }
                fleet.runUntil("the job", 12000, [&] { return isCompleted(fleet, "a"); });
                // A start that arrives after the task is done must not be carried out either.
                fleet.run(lateMs);
            }
        }
    }

    /// Guards against a second run of a task that the next incarnation has begun before the leader
    /// has called it: its earlier orders carry the same fencing token.
    void startBeforeFirstCheck()
    {
        FleetSimulation fleet(61);
        fleet.durationOf = [](const TaskKey &) { return 2500; };
        setUpFleet(fleet, 3);
        const std::string first = submitWithLateStart(fleet, shortStep(1), 60);
        fleet.restartUnannounced(first);
        fleet.workers.at(first).partitioned = true;
        fleet.run(55);
        fleet.workers.at(first).partitioned = false;
        fleet.runUntil("the late start", 200,
                       [&] { return !fleet.workers.at(first).running.empty(); });
        section("the run is stopped, and the task runs elsewhere after that", [&] {
            fleet.runUntil("the stop", 2000,
                           [&] { return fleet.workers.at(first).running.empty(); });
            fleet.runUntil("the job", 8000, [&] { return isCompleted(fleet, "a"); });
        });
    }

    /// Guards against an order for the first incarnation that reaches the third.
    void lateStartAfterSecondRestart()
    {
        FleetSimulation fleet(62);
        fleet.durationOf = [](const TaskKey &) { return 4000; };
        setUpFleet(fleet, 3);
        const std::string first = submitWithLateStart(fleet, shortStep(1), 2000);
        for (const std::int64_t wait : {100, 700}) {
            fleet.run(wait);
            fleet.restart(first);
        }
        fleet.runUntil("the job", 12000, [&] { return isCompleted(fleet, "a"); });
        fleet.run(2000);
    }

    /// Guards against a task that starts elsewhere although the next incarnation has begun it, with
    /// a longer lease than the earlier one had, and was cut off before the leader has called it.
    void lostBeforeFirstCheck()
    {
        for (const bool lasting : {false, true}) {
            FleetSimulation fleet(63);
            fleet.durationOf = [](const TaskKey &) { return 20000; };
            setUpFleet(fleet, 3);
            const std::string first = submitWithLateStart(
                    fleet, lasting ? longRunningStep(1, 1) : shortStep(1), 1500);
            fleet.restartUnannounced(first);
            FakeWorker &worker = fleet.workers.at(first);
            worker.partitioned = true;
            fleet.run(1485);
            worker.partitioned = false;
            fleet.runUntil("the late start", 30, [&] { return !worker.running.empty(); });
            worker.partitioned = true;
            fleet.runUntil("the end of its lease", 8000, [&] { return worker.running.empty(); });
            fleet.runUntil("the next run", 3000, [&] { return fleet.runningCount("a") == 1; });
        }
    }

    /// Guards against a task that starts elsewhere while it runs on a restarted worker that was cut
    /// off: a start for the earlier incarnation has given the next one the longest lease, computed
    /// for the earlier clock.
    void lostAfterFirstCheck()
    {
        for (std::int64_t untilLostMs = 100; untilLostMs <= 2500; untilLostMs += 100) {
            FleetSimulation fleet(64);
            fleet.durationOf = [](const TaskKey &) { return 20000; };
            setUpFleet(fleet, 2);
            const std::string first = submitWithLateStart(fleet, shortStep(1), 60);
            fleet.restartUnannounced(first);
            fleet.run(100);
            fleet.announceRecord(fleet.workers.at(first).record);
            fleet.runUntil("the record", 1000, [&] {
                return fleet.state.worker(first)->startTimeMs
                        == fleet.workers.at(first).record.startTimeMs;
            });
            fleet.submit("b", "quotes", {shortStep(24)});
            fleet.run(untilLostMs);
            CPPUNIT_ASSERT(!fleet.workers.at(first).running.empty());
            fleet.workers.at(first).partitioned = true;
            fleet.addWorker("pricing");
            fleet.run(10000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(24), fleet.runningCount("b"));
        }
    }

    /// Guards against a long-running task that waits for a lost worker until it counts as
    /// neglected, because the answer to its start was lost.
    void lossAfterUnansweredStart()
    {
        section("a start that the worker has listed is waited for as one that was answered", [] {
            FleetSimulation fleet(67);
            // The worker lists the run before the start order times out.
            fleet.dispatchOptions.renewalWaitMs = 100;
            setUpFleet(fleet, 3);
            const std::string first = submitWithLateStart(fleet, longRunningStep(1, 1), 10);
            fleet.run(2000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
            fleet.crash(first);
            fleet.runUntil("the next run", 6000, [&] { return fleet.runningCount("a") == 1; });
        });
        section("other starts are waited for less than 9 s, also where leases are longer", [] {
            FleetSimulation fleet(68);
            fleet.dispatchOptions.maxLeaseMs = 10000;
            setUpFleet(fleet, 3);
            const std::string first = submitWithLateStart(fleet, longRunningStep(1, 1), 20000);
            fleet.crash(first);
            fleet.runUntil("the next run", 9000, [&] { return fleet.runningCount("a") == 1; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.losses.size());
        });
    }

    /// Guards against the end of a worker's runs because an announcement of another writer says
    /// that it has started again.
    void wrongAnnouncement()
    {
        for (const char *address : {"", "10.9.9.9:8080"}) {
            FleetSimulation fleet(65);
            fleet.durationOf = [](const TaskKey &) { return 6000; };
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(8), longRunningStep(2, 1)});
            fleet.runUntil("the starts", 1000, [&] { return fleet.starts == 10; });
            WorkerRecord wrong = fleet.workers.at("w1").record;
            wrong.startTimeMs += 3600000;
            wrong.address = *address == '\0' ? wrong.address : address;
            wrong.service = "stock";
            for (int time = 0; time < 4; ++time) {
                fleet.announceRecord(wrong);
                fleet.run(1500);
            }
            CPPUNIT_ASSERT_EQUAL(10U, fleet.starts);
            CPPUNIT_ASSERT_EQUAL(fleet.workers.at("w1").record.startTimeMs,
                                 fleet.state.worker("w1")->startTimeMs);
            section("nobody is asked for long", [&] {
                fleet.run(3000);
                CPPUNIT_ASSERT(!fleet.dispatcher->isRestartPending("w1"));
            });
            section("a restart that follows is recorded", [&] {
                fleet.restart("w1");
                fleet.runUntil("the record", 3000, [&] {
                    return fleet.state.worker("w1")->startTimeMs
                            == fleet.workers.at("w1").record.startTimeMs;
                });
            });
        }
    }

    /// Guards against tasks on a worker whose first announcement after its restart says that it
    /// leaves.
    void drainingRestart()
    {
        FleetSimulation fleet(66);
        setUpFleet(fleet, 2);
        fleet.workers.at("w1").record.draining = true;
        fleet.restart("w1");
        CPPUNIT_ASSERT(fleet.dispatcher->isRestartPending("w1"));
        fleet.runUntil("the record", 1000, [&] { return fleet.state.worker("w1")->draining; });
        CPPUNIT_ASSERT(!fleet.dispatcher->isRestartPending("w1"));
    }

    /// Guards against tasks that run twice or never when restarts, late starts, lost answers and
    /// changes of the leader overlap.
    void restartsAndLateStarts()
    {
        for (std::uint64_t seed = 100; seed < 150; ++seed) {
            overlapFaults(seed, [](FakeWorker &worker, std::int64_t amount) {
                worker.lateStartMs = 50 + amount;
            });
        }
    }

    /// The same with partitions in place of late starts. A run that has ended as done behind a
    /// partition counts only if its lease has not expired before it is listed, so that a late start
    /// of the next run may follow it.
    void restartsAndPartitions()
    {
        for (std::uint64_t seed = 200; seed < 250; ++seed) {
            overlapFaults(seed, [](FakeWorker &worker, std::int64_t) {
                worker.partitioned = !worker.partitioned;
            });
        }
    }

private:
    /// Runs jobs while workers restart, answers get lost, the leader changes and `fault` happens to
    /// workers, in an order given by the seed.
    static void overlapFaults(std::uint64_t seed,
                              const std::function<void(FakeWorker &, std::int64_t)> &fault)
    {
        constexpr int rounds = 25;
        std::mt19937_64 random(seed);
        const auto upTo = [&random](std::int64_t most) {
            return std::uniform_int_distribution<std::int64_t>(0, most)(random);
        };
        FleetSimulation fleet(seed);
        fleet.durationOf = [](const TaskKey &task) { return 500 + 700 * (task.index % 5); };
        setUpFleet(fleet, 5);
        fleet.submit("lasting", "quotes", {longRunningStep(4, 1)});
        for (int round = 0; round < rounds; ++round) {
            fleet.submit("short" + std::to_string(round), "quotes", {shortStep(10)});
            fleet.commitMs = 5 + upTo(150);
            const std::string id = "w" + std::to_string(1 + upTo(4));
            switch (upTo(4)) {
            case 0:
                fault(fleet.workers.at(id), upTo(400));
                break;
            case 1:
                fleet.workers.at(id).dropsAnswers = !fleet.workers.at(id).dropsAnswers;
                break;
            case 2:
                fleet.changeLeader();
                break;
            default:
                fleet.restart(id);
                break;
            }
            fleet.run(upTo(1200));
        }
        for (auto &[id, worker] : fleet.workers) {
            worker.partitioned = false;
            worker.dropsAnswers = false;
        }
        for (int round = 0; round < rounds; ++round) {
            fleet.runUntil("a short job", 20000,
                           [&] { return isCompleted(fleet, "short" + std::to_string(round)); });
        }
        fleet.runUntil("the long-running tasks", 8000,
                       [&] { return fleet.runningCount("lasting") == 4; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedWorkersTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "Scheduling/FleetSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

void setUpFleet(FleetSimulation &fleet, int workers, std::uint32_t maxAttempts = 3)
{
    fleet.configure({queueOf("quotes", "pricing", maxAttempts)}, {"pricing"});
    for (int index = 0; index < workers; ++index) {
        fleet.addWorker("pricing");
    }
    fleet.start();
    fleet.run(100);
}

bool isCompleted(const FleetSimulation &fleet, const std::string &job)
{
    return fleet.state.job(job) != nullptr && fleet.phaseOf(job) == JobPhase::Completed;
}

} // namespace

class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(jobCompletion);
    CPPUNIT_TEST(leaderFailover);
    CPPUNIT_TEST(lostWorkers);
    CPPUNIT_TEST(completionDuringPartition);
    CPPUNIT_TEST(lostStartAnswers);
    CPPUNIT_TEST(cancelledBeforeStart);
    CPPUNIT_TEST(leavingWorkers);
    CPPUNIT_TEST(lateDeregistration);
    CPPUNIT_TEST(deregistrationWithRuns);
    CPPUNIT_TEST(restartWhileDraining);
    CPPUNIT_TEST(startsOnDrainingWorkers);
    CPPUNIT_TEST(advice);
    CPPUNIT_TEST(pendingCount);
    CPPUNIT_TEST(failuresAndCancellations);
    CPPUNIT_TEST(placementLimits);
    CPPUNIT_TEST(blockedSteps);
    CPPUNIT_TEST(overdueBacklog);
    CPPUNIT_TEST(queueOnAnotherService);
    CPPUNIT_TEST(largeLongRunningTask);
    CPPUNIT_TEST(hungWorker);
    CPPUNIT_TEST(retentionOfEndedJobs);
    CPPUNIT_TEST(randomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against steps that start before their dependencies complete, and against jobs that
    /// never complete.
    void jobCompletion()
    {
        section("a job of two dependent steps completes", [] {
            FleetSimulation fleet(1);
            setUpFleet(fleet, 3);
            StepSpec second = shortStep(4);
            second.dependsOn = {0};
            fleet.submit("a", "quotes", {shortStep(6), second});
            fleet.runUntil("the job", 3000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(10U, fleet.starts);
        });
        section("a job submitted twice is one job", [] {
            FleetSimulation fleet(2);
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(3)});
            fleet.submit("a", "quotes", {shortStep(3)});
            fleet.runUntil("the job", 3000, [&] { return isCompleted(fleet, "a"); });
            fleet.run(2000);
            CPPUNIT_ASSERT_EQUAL(3U, fleet.starts);
        });
        section("tasks that do not fit wait until there is room", [] {
            FleetSimulation fleet(3);
            setUpFleet(fleet, 1);
            fleet.submit("a", "quotes", {shortStep(20, 4000)});
            fleet.runUntil("the job", 6000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(20U, fleet.starts);
        });
    }

    /// Guards against tasks that run twice or are lost when another instance becomes leader.
    void leaderFailover()
    {
        section("running tasks go on and none is started again", [] {
            FleetSimulation fleet(4);
            fleet.durationOf = [](const TaskKey &) { return 3000; };
            setUpFleet(fleet, 3);
            fleet.submit("a", "quotes", {shortStep(8)});
            fleet.run(500);
            fleet.changeLeader();
            fleet.runUntil("the job", 6000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(8U, fleet.starts);
        });
        section("the new leader records ends that the old leader did not record", [] {
            FleetSimulation fleet(5);
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(4)});
            fleet.run(730);
            fleet.changeLeader();
            fleet.runUntil("the job", 3000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(4U, fleet.starts);
        });
    }

    /// Guards against a worker that is used again after it has announced that it leaves, because an
    /// earlier announcement arrives late at a new leader, which knows no sequence numbers.
    void leavingWorkers()
    {
        FleetSimulation fleet(18);
        setUpFleet(fleet, 2);
        const WorkerRecord before = fleet.state.workers().at("w1");
        WorkerRecord leaving = before;
        leaving.draining = true;
        const auto announce = [&](const WorkerRecord &worker, std::uint64_t sequence) {
            for (const JobChange &change :
                 fleet.dispatcher->announced({worker, sequence, -1}, fleet.now)) {
                fleet.state.apply(change);
                fleet.dispatcher->applied(change, fleet.now);
            }
        };
        announce(leaving, static_cast<std::uint64_t>(fleet.now) + 1);
        CPPUNIT_ASSERT(fleet.state.worker("w1")->draining);
        fleet.changeLeader();
        announce(before, 1);
        CPPUNIT_ASSERT(fleet.state.worker("w1")->draining);
        section("nor by a change that an earlier leader has proposed", [&] {
            fleet.state.apply(WorkerJoined{before});
            CPPUNIT_ASSERT(fleet.state.worker("w1")->draining);
        });
        section("a worker that has left does not come back in the same incarnation", [&] {
            fleet.state.apply(WorkerLeft{"w1", before.startTimeMs});
            fleet.changeLeader();
            announce(before, 2);
            CPPUNIT_ASSERT(fleet.state.worker("w1") == nullptr);
        });
        section("its next incarnation is used", [&] {
            WorkerRecord restarted = before;
            ++restarted.startTimeMs;
            announce(restarted, 1);
            CPPUNIT_ASSERT(!fleet.state.worker("w1")->draining);
        });
    }

    /// Guards against a deregistration that was held up in a suspended control instance and removes
    /// the worker's next incarnation (review/4: TWICE).
    void lateDeregistration()
    {
        FleetSimulation fleet(19);
        setUpFleet(fleet, 2);
        section("a worker that drains is removed", [&] {
            WorkerRecord leaving = fleet.state.workers().at("w1");
            leaving.draining = true;
            fleet.state.apply(WorkerJoined{leaving});
            CPPUNIT_ASSERT(fleet.dispatcher->deregistered("w1"));
            fleet.run(100);
            CPPUNIT_ASSERT(fleet.state.worker("w1") == nullptr);
            CPPUNIT_ASSERT(fleet.state.hasLeft("w1", leaving.startTimeMs));
        });
        section("its next incarnation, which doesn't drain, stays", [&] {
            fleet.crash("w1");
            fleet.restart("w1");
            fleet.run(200);
            CPPUNIT_ASSERT(!fleet.dispatcher->deregistered("w1"));
            fleet.run(200);
            CPPUNIT_ASSERT(fleet.state.worker("w1") != nullptr);
        });
        section("nothing changes for an unknown worker",
                [&] { CPPUNIT_ASSERT(!fleet.dispatcher->deregistered("w9")); });
    }

    /// Guards against a second run of a task whose worker has deregistered and goes on, because it
    /// got no answer (found by the soak, seed 10).
    void deregistrationWithRuns()
    {
        section("its runs are stopped before their tasks start elsewhere", [] {
            FleetSimulation fleet(29);
            fleet.durationOf = [](const TaskKey &) { return 30000; };
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(2), longRunningStep(2, 0)});
            fleet.run(500);
            for (const char *worker : {"w1", "w2"}) {
                WorkerRecord leaving = fleet.state.workers().at(worker);
                leaving.draining = true;
                fleet.state.apply(WorkerJoined{leaving});
                CPPUNIT_ASSERT(fleet.dispatcher->deregistered(worker));
            }
            fleet.addWorker("pricing");
            // FleetSimulation throws if a task starts while its first run goes on.
            fleet.runUntil("the tasks on the last worker", 3000,
                           [&] { return fleet.workers.at("w3").running.size() == 4; });
            CPPUNIT_ASSERT(fleet.state.worker("w1") == nullptr);
        });
        section("a worker that has ended is removed when its lease has expired", [] {
            FleetSimulation fleet(34);
            fleet.durationOf = [](const TaskKey &) { return 3000; };
            setUpFleet(fleet, 1);
            fleet.submit("a", "quotes", {shortStep(2)});
            fleet.run(500);
            WorkerRecord leaving = fleet.state.workers().at("w1");
            leaving.draining = true;
            fleet.state.apply(WorkerJoined{leaving});
            fleet.crash("w1");
            CPPUNIT_ASSERT(fleet.dispatcher->deregistered("w1"));
            fleet.addWorker("pricing");
            fleet.runUntil("the job", 14000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT(fleet.state.worker("w1") == nullptr);
        });
    }

    /// Guards against an incarnation that counts as draining for good because the one before it was
    /// and its first renewal comes before its first announcement.
    void restartWhileDraining()
    {
        FleetSimulation fleet(25);
        setUpFleet(fleet, 2);
        WorkerRecord leaving = fleet.state.workers().at("w1");
        leaving.draining = true;
        fleet.state.apply(WorkerJoined{leaving});
        RenewAnswer answer;
        answer.startTimeMs = leaving.startTimeMs + 1;
        fleet.workers.at("w1").record.startTimeMs = answer.startTimeMs;
        fleet.dispatcher->renewed("w1", leaving.startTimeMs, answer, fleet.now);
        fleet.runUntil("the end of the first incarnation", 100,
                       [&] { return fleet.state.worker("w1") == nullptr; });
        WorkerRecord restarted = leaving;
        restarted.startTimeMs = answer.startTimeMs;
        restarted.draining = false;
        for (const JobChange &change : fleet.dispatcher->announced({restarted, 1, -1}, fleet.now)) {
            fleet.state.apply(change);
        }
        CPPUNIT_ASSERT_EQUAL(answer.startTimeMs, fleet.state.worker("w1")->startTimeMs);
        CPPUNIT_ASSERT(!fleet.state.worker("w1")->draining);
    }

    /// Guards against a job on a queue with advice that never starts because only the same 30
    /// workers are asked about, and against starts of its gangs on workers that may not run them.
    void advice()
    {
        for (const bool gang : {false, true}) {
            FleetSimulation fleet(28);
            QueueConfig queue = queueOf("quotes", "pricing");
            queue.needsAdvice = true;
            queue.adviceValidMs = 3000;
            fleet.configure({queue}, {"pricing"});
            for (int index = 0; index < 34; ++index) {
                fleet.addWorker("pricing");
            }
            fleet.start();
            fleet.run(100);
            // By name, these two rank last among equally loaded workers.
            fleet.permittedWorkers = {"w8", "w9"};
            StepSpec step = shortStep(2);
            step.gang = gang;
            fleet.submit("a", "quotes", {step});
            fleet.runUntil("the job", 4000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(2U, fleet.starts);
        }
    }

    /// Guards against jobs that count as started although no task of theirs has begun.
    void pendingCount()
    {
        FleetSimulation fleet(27);
        setUpFleet(fleet, 1);
        fleet.workers.at("w1").partitioned = true;
        for (int job = 0; job < 3; ++job) {
            fleet.submit("j" + std::to_string(job), "quotes", {shortStep(1)});
        }
        fleet.run(500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.dispatcher->pendingJobs("quotes", fleet.now));
        fleet.run(12000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.dispatcher->pendingJobs("quotes", fleet.now));
        section("until a task has begun", [&] {
            fleet.workers.at("w1").partitioned = false;
            fleet.runUntil("the starts", 3000, [&] { return fleet.starts == 3; });
            fleet.run(400);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 fleet.dispatcher->pendingJobs("quotes", fleet.now));
        });
    }

    /// Guards against a start on a worker whose draining was recorded after the task was assigned
    /// to it.
    void startsOnDrainingWorkers()
    {
        FleetSimulation fleet(26);
        setUpFleet(fleet, 2);
        fleet.commitMs = 100;
        fleet.submit("a", "quotes", {shortStep(1)});
        fleet.runUntil("the assignment", 1000,
                       [&] { return fleet.dispatcher->view("w1")->reserved.size() == 1; });
        WorkerRecord leaving = fleet.state.workers().at("w1");
        leaving.draining = true;
        fleet.state.apply(WorkerJoined{leaving});
        fleet.runUntil("the job", 3000, [&] { return isCompleted(fleet, "a"); });
        CPPUNIT_ASSERT(fleet.workers.at("w1").highestRun.empty());
    }

    /// Guards against a second run of a task while the first may still hold its lease.
    void lostWorkers()
    {
        section("tasks of a crashed worker wait until its lease expires and run elsewhere", [] {
            FleetSimulation fleet(6);
            fleet.durationOf = [](const TaskKey &) { return 2000; };
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(8)});
            fleet.run(300);
            fleet.crash("w1");
            fleet.runUntil("the job", 16000, [&] { return isCompleted(fleet, "a"); });
        });
        section("a partitioned worker keeps running until its lease expires", [] {
            FleetSimulation fleet(7);
            fleet.durationOf = [](const TaskKey &) { return 30000; };
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(8)});
            fleet.run(300);
            fleet.workers.at("w1").partitioned = true;
            // FleetSimulation throws if a task starts elsewhere while its first run goes on.
            fleet.run(12000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), fleet.runningCount("a"));
        });
        section("a worker that reconnects while its loss is recorded gets no start of a lost run",
                [] {
                    // The loss of the first run and the assignment of the second are committed
                    // while the first would start (chamdakam-loom trouble-3, seed 620090730925).
                    FleetSimulation fleet(17);
                    fleet.durationOf = [](const TaskKey &) { return 5000; };
                    setUpFleet(fleet, 2);
                    fleet.submit("a", "quotes", {shortStep(8)});
                    // The assignment has been proposed, and the start is not sent yet.
                    fleet.run(30);
                    fleet.workers.at("w1").partitioned = true;
                    fleet.commitMs = 400;
                    fleet.runUntil("the loss", 12000,
                                   [&] { return fleet.dispatcher->view("w1")->leasesExpired; });
                    fleet.workers.at("w1").partitioned = false;
                    fleet.runUntil("the job", 20000, [&] { return isCompleted(fleet, "a"); });
                });
        section("tasks of a worker restarted under its id are reassigned immediately", [] {
            FleetSimulation fleet(8);
            fleet.durationOf = [](const TaskKey &) { return 1000; };
            setUpFleet(fleet, 2);
            fleet.submit("a", "quotes", {shortStep(8)});
            fleet.run(300);
            fleet.crash("w1");
            fleet.run(50);
            fleet.restart("w1");
            fleet.runUntil("the job", 3500, [&] { return isCompleted(fleet, "a"); });
        });
    }

    /// Guards against a second run of a task that completed behind a partition after its worker had
    /// been recorded as lost (chamdakam-loom scale-1, 49dd018c163a9cdd.0.0.1).
    void completionDuringPartition()
    {
        for (const bool assignedAgain : {false, true}) {
            SchedulerState state;
            state.apply(WorkerJoined{{"w1", 1, "pricing", "10.0.0.1:1", "z", "", {}, {}, false}});
            state.apply(WorkerJoined{{"w2", 1, "pricing", "10.0.0.2:1", "z", "", {}, {}, false}});
            JobSpec spec;
            spec.id = "a";
            spec.steps = {shortStep(1)};
            state.apply(JobAccepted{spec, queueOf("quotes", "pricing"), 1});
            const TaskKey task{"a", 0, 0, 0};
            state.apply(RunAssigned{task, 1, "w1"});
            state.apply(RunEnded{task, 1, RunOutcome::WorkerLost, {}, 2});
            if (assignedAgain) {
                state.apply(RunAssigned{task, 2, "w2"});
            }
            state.apply(RunEnded{task, 1, RunOutcome::Done, {}, 3});
            CPPUNIT_ASSERT(state.job("a")->phase == JobPhase::Completed);
            CPPUNIT_ASSERT(state.tasksOf("w2").empty());
            CPPUNIT_ASSERT(state.job("a")->isPurgeable());
        }
    }

    /// Guards against ended jobs that are forgotten early, and then reported as unknown, because
    /// the clock of the next leader is ahead (LOST), and against records that are kept for good.
    void retentionOfEndedJobs()
    {
        const std::int64_t retentionMs = DispatchOptions{}.retentionMs;
        for (const std::int64_t offsetMs : {120000, 0, -3600000}) {
            section("of a leader whose clock differs by " + std::to_string(offsetMs) + " ms", [&] {
                FleetSimulation fleet(49);
                setUpFleet(fleet, 1);
                fleet.submit("a", "quotes", {longRunningStep(1, 1)});
                fleet.run(500);
                fleet.cancel("a");
                fleet.run(1000);
                CPPUNIT_ASSERT(fleet.state.job("a")->isPurgeable());
                fleet.wallOffsetMs = offsetMs;
                fleet.changeLeader();
                fleet.run(retentionMs - 2000);
                CPPUNIT_ASSERT(fleet.state.job("a") != nullptr);
                fleet.run(10000);
                CPPUNIT_ASSERT(fleet.state.job("a") == nullptr);
            });
        }
        section("of leaders that change more often", [&] {
            FleetSimulation fleet(50);
            setUpFleet(fleet, 1);
            fleet.submit("a", "quotes", {longRunningStep(1, 1)});
            fleet.run(500);
            fleet.cancel("a");
            for (int change = 0; change < 5 && fleet.state.job("a") != nullptr; ++change) {
                fleet.run(retentionMs - 10000);
                fleet.changeLeader();
            }
            CPPUNIT_ASSERT(fleet.state.job("a") == nullptr);
        });
    }

    /// Guards against a second run of a task on another worker because the answer to its first
    /// start was lost.
    void lostStartAnswers()
    {
        section("the worker lists the runs", [] {
            FleetSimulation fleet(9);
            setUpFleet(fleet, 3);
            for (auto &[id, worker] : fleet.workers) {
                worker.dropsAnswers = true;
            }
            fleet.submit("a", "quotes", {shortStep(9)});
            fleet.runUntil("the job", 5000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(9U, fleet.starts);
        });
        // Guards against a second run because the repeated start is refused (review/3: TWICE).
        section("the start is carried out after its repetition was refused", [] {
            FleetSimulation fleet(21);
            fleet.durationOf = [](const TaskKey &) { return 4000; };
            setUpFleet(fleet, 2);
            fleet.workers.at("w1").lateStartMs = 2000;
            fleet.workers.at("w1").refusesStarts = true;
            fleet.submit("a", "quotes", {shortStep(1)});
            fleet.run(1000);
            fleet.workers.at("w1").refusesStarts = false;
            fleet.runUntil("the job", 9000, [&] { return isCompleted(fleet, "a"); });
        });
        section("the start was carried out at once and its repetition is refused", [] {
            FleetSimulation fleet(22);
            fleet.durationOf = [](const TaskKey &) { return 4000; };
            setUpFleet(fleet, 2);
            fleet.workers.at("w1").lateStartMs = 5;
            fleet.submit("a", "quotes", {shortStep(1)});
            fleet.runUntil("the start", 1000, [&] { return fleet.runningCount("a") == 1; });
            fleet.workers.at("w1").refusesStarts = true;
            fleet.run(1000);
            fleet.workers.at("w1").refusesStarts = false;
            fleet.runUntil("the job", 9000, [&] { return isCompleted(fleet, "a"); });
        });
    }

    /// Guards against a task that keeps its place on a worker for good because its start was lost
    /// and its job was cancelled (review/5: LOST).
    void cancelledBeforeStart()
    {
        FleetSimulation fleet(23);
        fleet.durationOf = [](const TaskKey &) { return 1000; };
        setUpFleet(fleet, 1);
        fleet.workers.at("w1").partitioned = true;
        fleet.submit("a", "quotes", {shortStep(1, 16000)});
        fleet.runUntil("the unanswered start", 1000, [&] {
            const WorkerView *view = fleet.dispatcher->view("w1");
            return !view->runs.empty() && view->runs.begin()->second.startUnanswered;
        });
        fleet.cancel("a");
        fleet.run(1000);
        fleet.workers.at("w1").partitioned = false;
        fleet.submit("b", "quotes", {shortStep(1, 16000)});
        fleet.runUntil("the next job", 4000, [&] { return isCompleted(fleet, "b"); });
        CPPUNIT_ASSERT_EQUAL(1U, fleet.starts);
    }

    /// Guards against unlimited retries, and against tasks that outlive their job.
    void failuresAndCancellations()
    {
        section("a job fails once a task has failed as often as its queue allows", [] {
            FleetSimulation fleet(10);
            setUpFleet(fleet, 3, 2);
            fleet.fails = [](const TaskKey &task, const std::string &) { return task.index == 0; };
            fleet.submit("a", "quotes", {shortStep(3)});
            fleet.runUntil("the failure", 5000, [&] {
                return fleet.state.job("a") && fleet.phaseOf("a") == JobPhase::Failed;
            });
            fleet.run(2000);
            CPPUNIT_ASSERT_EQUAL(4U, fleet.starts);
        });
        section("a worker that fails all runs does not use up the attempts of a job", [] {
            FleetSimulation fleet(11);
            setUpFleet(fleet, 4, 2);
            fleet.workers.at("w2").failsAllRuns = true;
            for (int job = 0; job < 12; ++job) {
                fleet.submit("j" + std::to_string(job), "quotes", {shortStep(4)});
                fleet.run(300);
            }
            fleet.run(6000);
            for (int job = 0; job < 12; ++job) {
                CPPUNIT_ASSERT(isCompleted(fleet, "j" + std::to_string(job)));
            }
        });
        section("a cancelled job's tasks are stopped", [] {
            FleetSimulation fleet(12);
            fleet.durationOf = [](const TaskKey &) { return 60000; };
            setUpFleet(fleet, 3);
            fleet.submit("a", "quotes", {shortStep(6), longRunningStep(3, 1)});
            fleet.run(500);
            CPPUNIT_ASSERT_EQUAL(std::size_t(9), fleet.runningCount("a"));
            fleet.cancel("a");
            fleet.runUntil("the stops", 1000, [&] { return fleet.runningCount("a") == 0; });
            CPPUNIT_ASSERT(fleet.phaseOf("a") == JobPhase::Cancelled);
        });
    }

    /// Guards against placements that violate the constraints of a job.
    void placementLimits()
    {
        section("at most maxPerWorker tasks of a step run on one worker", [] {
            FleetSimulation fleet(13);
            setUpFleet(fleet, 3);
            StepSpec step = shortStep(9, 500);
            step.maxPerWorker = 1;
            fleet.submit("a", "quotes", {step});
            fleet.runUntil("the job", 6000, [&] { return isCompleted(fleet, "a"); });
        });
        section("a required label is observed", [] {
            FleetSimulation fleet(14);
            setUpFleet(fleet, 2);
            WorkerRecord special = fleet.workers.at("w2").record;
            special.labels = {"fast"};
            fleet.workers.at("w2").record = special;
            fleet.state.apply(WorkerJoined{special});
            StepSpec step = shortStep(4);
            step.requiredLabel = "fast";
            fleet.submit("a", "quotes", {step});
            fleet.run(300);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), fleet.workers.at("w2").running.size());
        });
        section("long-running tasks spread so that each worker can be maintained", [] {
            FleetSimulation fleet(15);
            setUpFleet(fleet, 6);
            fleet.submit("a", "quotes", {longRunningStep(5, 1)});
            fleet.run(1000);
            for (const auto &[id, worker] : fleet.workers) {
                CPPUNIT_ASSERT(worker.running.size() <= 1);
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     fleet.dispatcher->disruptionBudgetViolation(id, fleet.now));
            }
        });
    }

    /// Guards against steps that can't be placed and hide all steps behind them (review/2: LOST).
    void blockedSteps()
    {
        for (const std::uint32_t maxPerWorker : {0U, 1U}) {
            FleetSimulation fleet(24);
            setUpFleet(fleet, 3);
            WorkerRecord special = fleet.workers.at("w3").record;
            special.labels = {"fast"};
            fleet.workers.at("w3").record = special;
            fleet.state.apply(WorkerJoined{special});
            StepSpec lasting = longRunningStep(1, 0);
            lasting.requiredLabel = "fast";
            lasting.maxPerWorker = maxPerWorker;
            for (int job = 0; job < 60; ++job) {
                fleet.submit("lasting" + std::to_string(job), "quotes", {lasting});
            }
            fleet.run(500);
            fleet.crash("w3");
            fleet.run(8000);
            for (int job = 0; job < 40; ++job) {
                fleet.submit("j" + std::to_string(job), "quotes", {shortStep(1, 500)});
            }
            fleet.runUntil("the jobs that can run", 3000,
                           [&] { return fleet.completedAt.size() == 40; });
        }
    }

    /// Guards against a backlog that is of no more use to its callers and counts as demand, for
    /// which the balancer then empties other pools (chamdakam-loom-large scale-1: SHORT).
    void overdueBacklog()
    {
        FleetSimulation fleet(25);
        setUpFleet(fleet, 1);
        constexpr int jobs = 30;
        for (int job = 0; job < jobs; ++job) {
            fleet.submit("old" + std::to_string(job), "quotes", {shortStep(16)});
        }
        fleet.run(200);
        CPPUNIT_ASSERT(fleet.dispatcher->demands(fleet.now)["pricing"].runnableMilli > 32 * 1000);
        fleet.run(6000);
        section("what can't be in time any more is no demand", [&] {
            CPPUNIT_ASSERT(!isCompleted(fleet, "old" + std::to_string(jobs - 1)));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                                 fleet.dispatcher->demands(fleet.now)["pricing"].runnableMilli);
        });
        section("a job that comes now is placed before it, and is in time", [&] {
            fleet.submit("new", "quotes", {shortStep(16)});
            fleet.runUntil("the new job", 1688, [&] { return isCompleted(fleet, "new"); });
        });
        section("what was accepted is finished all the same", [&] {
            fleet.runUntil("all jobs", 30000, [&] { return fleet.completedAt.size() == jobs + 1; });
        });
    }

    /// Guards against a long-running task that never finds room in a full pool, because smaller
    /// tasks take what gets free (chamdakam-loom-large scale-2: LOST).
    void largeLongRunningTask()
    {
        FleetSimulation fleet(27);
        fleet.durationOf = [](const TaskKey &task) { return 500 + 70 * (task.index % 8); };
        setUpFleet(fleet, 2);
        StepSpec small = shortStep(8, 500);
        small.need.memoryMb = 8000;
        for (int job = 0; job < 200; ++job) {
            fleet.submit("small" + std::to_string(job), "quotes", {small});
        }
        fleet.run(5000);
        StepSpec large = longRunningStep(1, 0);
        large.need.memoryMb = 24000;
        fleet.submit("large", "quotes", {large});
        fleet.runUntil("the long-running task", 3000,
                       [&] { return fleet.runningCount("large") == 1; });
        CPPUNIT_ASSERT(fleet.completedAt.size() < 200);
    }

    /// Guards against waiting steps that stay with the service that their queue had before.
    void queueOnAnotherService()
    {
        FleetSimulation fleet(26);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing", "stock"});
        fleet.addWorker("stock");
        fleet.start();
        fleet.submit("a", "quotes", {shortStep(3)});
        fleet.run(2000);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.starts);
        FleetConfiguration changed = fleet.state.configuration();
        ++changed.version;
        changed.queues = {queueOf("quotes", "stock")};
        fleet.state.apply(ConfigurationAccepted{changed});
        fleet.dispatcher->applied(ConfigurationAccepted{changed}, fleet.now);
        fleet.runUntil("the job", 2000, [&] { return isCompleted(fleet, "a"); });
    }

    /// Guards against tasks that stay forever on a hung worker whose health check passes.
    void hungWorker()
    {
        FleetSimulation fleet(16);
        setUpFleet(fleet, 2);
        fleet.workers.at("w1").hangsAllRuns = true;
        fleet.submit("a", "quotes", {shortStep(8, 3000)});
        fleet.runUntil("the job", 14000, [&] { return isCompleted(fleet, "a"); });
    }

    /// Guards against duplicate runs, lost tasks and early starts under random faults: leader
    /// changes, crashes, restarts, partitions and lost answers. FleetSimulation checks each start.
    void randomFaults()
    {
        for (std::uint64_t seed = 100; seed < 140; ++seed) {
            FleetSimulation fleet(seed);
            std::mt19937_64 random(seed);
            const auto below = [&random](std::uint64_t limit) { return random() % limit; };
            fleet.durationOf = [&](const TaskKey &task) {
                return 200 + static_cast<std::int64_t>((task.index * 397 + task.step * 31) % 2500);
            };
            setUpFleet(fleet, 5);
            for (int job = 0; job < 14; ++job) {
                StepSpec second = shortStep(1 + static_cast<std::uint32_t>(below(5)));
                second.dependsOn = {0};
                fleet.submit("j" + std::to_string(job), "quotes",
                             {shortStep(1 + static_cast<std::uint32_t>(below(6))), second});
                fleet.run(static_cast<std::int64_t>(below(700)));
                const std::string workerId = "w" + std::to_string(1 + below(5));
                FakeWorker &worker = fleet.workers.at(workerId);
                switch (below(6)) {
                case 0:
                    fleet.changeLeader();
                    break;
                case 1:
                    if (worker.up) {
                        fleet.crash(workerId);
                    } else {
                        fleet.restart(workerId);
                    }
                    break;
                case 2:
                    worker.partitioned = !worker.partitioned;
                    break;
                case 3:
                    worker.dropsAnswers = !worker.dropsAnswers;
                    break;
                default:
                    break;
                }
            }
            for (auto &[id, worker] : fleet.workers) {
                worker.partitioned = false;
                worker.dropsAnswers = false;
                if (!worker.up) {
                    fleet.restart(id);
                }
            }
            fleet.runUntil("all jobs", 30000, [&] {
                for (int job = 0; job < 14; ++job) {
                    if (!isCompleted(fleet, "j" + std::to_string(job))) {
                        return false;
                    }
                }
                return true;
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

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
    fleet.run(100);
}

/// Longest time from the last lease of a worker that is lost, or from the change of the leader that
/// granted it, until its long-running tasks run elsewhere. The users count a task as neglected from
/// 6 s after its last run.
constexpr std::int64_t replacementMs = 6000;

bool isCompleted(const FleetSimulation &fleet, const std::string &job)
{
    return fleet.state.job(job) != nullptr && fleet.phaseOf(job) == JobPhase::Completed;
}

/// Announces a worker, records what follows and returns it.
std::vector<JobChange> announce(FleetSimulation &fleet, const WorkerRecord &worker,
                                std::uint64_t sequence)
{
    const auto changes = fleet.dispatcher->announced({worker, sequence, -1}, fleet.now);
    for (const JobChange &change : changes) {
        fleet.state.apply(change);
        fleet.dispatcher->applied(change, fleet.now);
    }
    return changes;
}

} // namespace

/// Runs that are recorded as lost although their workers go on, and what these list later.
class LostRunsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostRunsTest);
    CPPUNIT_TEST(endListedDuringLoss);
    CPPUNIT_TEST(endListedBeforeNextStart);
    CPPUNIT_TEST(restartWithOtherService);
    CPPUNIT_TEST(orderBeforeRestartIsRecorded);
    CPPUNIT_TEST(restartWithEarlierClock);
    CPPUNIT_TEST(lossAcrossLeaderChanges);
    CPPUNIT_TEST(lossTogetherWithLeader);
    CPPUNIT_TEST(reachableAtEndOfLease);
    CPPUNIT_TEST(answerThatIsNotRecorded);
    CPPUNIT_TEST(reachableBeforeEndOfLease);
    CPPUNIT_TEST(lossThatBreaksTheSpread);
    CPPUNIT_TEST(partitionsAndLeaderChanges);
    CPPUNIT_TEST(answerToEarlierIncarnation);
    CPPUNIT_TEST(renewalWhileRestartIsRecorded);
    CPPUNIT_TEST(limitWhileRunIsStopped);
    CPPUNIT_TEST(announcementOfAddressInUse);
    CPPUNIT_TEST(announcementOfAnotherWriter);
    CPPUNIT_TEST(lateAnnouncements);
    CPPUNIT_TEST(addressOfNextWorker);
    CPPUNIT_TEST(checkpointOfGang);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a task that starts again because its end was listed while the loss of the run
    /// was being recorded, and was acknowledged without being recorded.
    void endListedDuringLoss()
    {
        FleetSimulation fleet(41);
        fleet.durationOf = [](const TaskKey &) { return 1500; };
        setUpFleet(fleet, 2);
        fleet.submit("a", "quotes", {shortStep(8)});
        fleet.runUntil("the starts", 1000, [&] { return fleet.starts == 8; });
        fleet.run(300);
        fleet.workers.at("w1").partitioned = true;
        fleet.commitMs = 400;
        fleet.runUntil("the loss", 12000,
                       [&] { return fleet.dispatcher->view("w1")->leasesExpired; });
        fleet.workers.at("w1").partitioned = false;
        fleet.runUntil("the job", 4000, [&] { return isCompleted(fleet, "a"); });
        CPPUNIT_ASSERT_EQUAL(8U, fleet.starts);
    }

    /// Guards against the start of a run that was assigned before an earlier run of the task was
    /// listed as done, while that end is being recorded.
    void endListedBeforeNextStart()
    {
        FleetSimulation fleet(42);
        fleet.durationOf = [](const TaskKey &) { return 1000; };
        setUpFleet(fleet, 2);
        fleet.submit("a", "quotes", {shortStep(1)});
        fleet.runUntil("the start", 1000, [&] { return fleet.starts == 1; });
        const bool isOnFirst = !fleet.workers.at("w1").running.empty();
        const std::string first = isOnFirst ? "w1" : "w2";
        const std::string second = isOnFirst ? "w2" : "w1";
        fleet.run(300);
        fleet.workers.at(first).partitioned = true;
        fleet.runUntil("the second run", 12000,
                       [&] { return !fleet.dispatcher->view(second)->reserved.empty(); });
        fleet.workers.at(second).partitioned = true;
        fleet.run(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.dispatcher->view(second)->runs.size());
        section("the first worker lists the end of its run", [&] {
            fleet.commitMs = 2000;
            fleet.workers.at(first).partitioned = false;
            fleet.runUntil("its answer", 2000,
                           [&] { return fleet.dispatcher->view(first)->renewFailures == 0; });
        });
        section("before the end is recorded, the second worker can be reached", [&] {
            fleet.workers.at(second).partitioned = false;
            fleet.runUntil("the job", 4000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(1U, fleet.starts);
        });
    }

    /// Guards against starts on a worker that has restarted under its id with another service and
    /// whose renewal is answered before its announcement arrives.
    void restartWithOtherService()
    {
        FleetSimulation fleet(43);
        setUpFleet(fleet, 1);
        fleet.workers.at("w1").record.startTimeMs += 1;
        fleet.workers.at("w1").record.service = "stock";
        fleet.run(3000);
        fleet.submit("a", "quotes", {shortStep(1)});
        fleet.run(3000);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.starts);
        CPPUNIT_ASSERT(fleet.state.worker("w1") == nullptr);
        section("its announcement adds it", [&] {
            for (const JobChange &change :
                 fleet.dispatcher->announced({fleet.workers.at("w1").record, 1, -1}, fleet.now)) {
                fleet.state.apply(change);
                fleet.dispatcher->applied(change, fleet.now);
            }
            CPPUNIT_ASSERT_EQUAL(std::string("stock"), fleet.state.worker("w1")->service);
        });
    }

    /// Guards against starts on a worker that has restarted under its id, while the restart is
    /// being recorded.
    void orderBeforeRestartIsRecorded()
    {
        FleetSimulation fleet(44);
        setUpFleet(fleet, 1);
        fleet.commitMs = 2000;
        fleet.submit("a", "quotes", {shortStep(1)});
        fleet.runUntil("the proposed assignment", 3000,
                       [&] { return !fleet.dispatcher->view("w1")->reserved.empty(); });
        fleet.workers.at("w1").record.startTimeMs += 1;
        fleet.runUntil("the answer of the new incarnation", 1900,
                       [&] { return !fleet.restarts.empty(); });
        fleet.runUntil("the assignment", 2000, [&] {
            return fleet.state.task({std::string("a"), 0, 0, 0})->phase == TaskPhase::Assigned;
        });
        fleet.run(100);
        CPPUNIT_ASSERT(fleet.state.worker("w1") != nullptr);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.starts);
    }

    /// Guards against a long-running task that stays assigned to a worker which has restarted under
    /// its id with its clock set back: nothing ended its run (chamdakam-loom-grown: LOST).
    void restartWithEarlierClock()
    {
        FleetSimulation fleet(45);
        setUpFleet(fleet, 2);
        fleet.submit("a", "quotes", {longRunningStep(1, 1)});
        fleet.runUntil("the start", 1000, [&] { return fleet.runningCount("a") == 1; });
        const std::string first = fleet.workers.at("w1").running.empty() ? "w2" : "w1";
        FakeWorker &worker = fleet.workers.at(first);
        worker.record.startTimeMs -= 1;
        worker.running.clear();
        fleet.runUntil("the next run", 9000, [&] { return fleet.runningCount("a") == 1; });
    }

    /// Guards against a long-running task that stays without a run because each new leader waits
    /// anew for the leases of a worker that was lost before (chamdakam-loom-grown: LOST).
    void lossAcrossLeaderChanges()
    {
        FleetSimulation fleet(46);
        setUpFleet(fleet, 3);
        fleet.submit("a", "quotes", {longRunningStep(1, 1)});
        fleet.runUntil("the start", 1000, [&] { return fleet.runningCount("a") == 1; });
        fleet.run(1000);
        fleet.crash(fleet.state.task({std::string("a"), 0, 0, 0})->worker);
        const SteadyTimeMs lostAt = fleet.now;
        for (const std::int64_t wait : {2000, 1500, 1500}) {
            fleet.run(wait);
            fleet.changeLeader();
        }
        fleet.runUntil("the next run", lostAt + replacementMs - fleet.now,
                       [&] { return fleet.runningCount("a") == 1; });
    }

    /// Guards against a new leader that waits for longer leases than any leader has granted.
    void lossTogetherWithLeader()
    {
        FleetSimulation fleet(47);
        setUpFleet(fleet, 3);
        fleet.submit("a", "quotes", {longRunningStep(1, 1)});
        fleet.run(8000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
        fleet.crash(fleet.state.task({std::string("a"), 0, 0, 0})->worker);
        fleet.changeLeader();
        fleet.runUntil("the next run", replacementMs, [&] { return fleet.runningCount("a") == 1; });
    }

    /// Guards against tasks that start again, after they are done, because their worker was given
    /// up without being asked once more when its lease had ended (sweep of chamdakam-loom: TWICE).
    void reachableAtEndOfLease()
    {
        for (std::int64_t marginMs = 300; marginMs <= 1000; marginMs += 25) {
            FleetSimulation fleet(48);
            fleet.dispatchOptions.calls.renewalMarginMs = marginMs;
            fleet.durationOf = [](const TaskKey &) { return 1500; };
            setUpFleet(fleet, 2);
            // Until then the leases of earlier leaders may last longer than those of this one.
            fleet.run(8000);
            fleet.submit("a", "quotes", {shortStep(8)});
            fleet.runUntil("the starts", 1000, [&] { return fleet.starts == 8; });
            FakeWorker &worker = fleet.workers.at("w1");
            worker.partitioned = true;
            fleet.runUntil("the end of the lease", 6000,
                           [&] { return fleet.now >= worker.leaseUntil; });
            worker.partitioned = false;
            fleet.runUntil("the job", 4000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE("time-out " + std::to_string(marginMs) + " ms", 8U,
                                         fleet.starts);
        }
    }

    /// Guards against a lease that is extended while the journal says that it is not: the next
    /// leader would start the task elsewhere while it still runs.
    void answerThatIsNotRecorded()
    {
        FleetSimulation fleet(49);
        setUpFleet(fleet, 2);
        fleet.submit("a", "quotes", {longRunningStep(1, 1)});
        fleet.run(8000);
        FakeWorker &worker =
                fleet.workers.at(fleet.state.task({std::string("a"), 0, 0, 0})->worker);
        worker.partitioned = true;
        fleet.runUntil("the record of the silence", 2500,
                       [&] { return fleet.state.isSilent(worker.record.id); });
        section("the worker answers, and the leader changes before that is recorded", [&] {
            fleet.commitMs = 5000;
            worker.partitioned = false;
            fleet.run(1500);
            CPPUNIT_ASSERT(fleet.dispatcher->view(worker.record.id)->renewFailures == 0);
            worker.partitioned = true;
            fleet.commitMs = 20;
            fleet.changeLeader();
        });
        section("the task runs elsewhere once it has ended there", [&] {
            fleet.runUntil("the end of the lease", 6000, [&] { return worker.running.empty(); });
            fleet.runUntil("the next run", 2000, [&] { return fleet.runningCount("a") == 1; });
        });
    }

    /// Guards against runs that end with their lease although their worker could be reached in time
    /// to extend it, because the extension waits for more than the record that it answers.
    void reachableBeforeEndOfLease()
    {
        // A call of the leader takes 300 ms to fail and is repeated 250 ms later.
        for (std::int64_t leftMs = 650; leftMs <= 2500; leftMs += 25) {
            FleetSimulation fleet(50);
            setUpFleet(fleet, 1);
            fleet.run(8000);
            fleet.submit("a", "quotes", {longRunningStep(1, 1)});
            fleet.run(2000);
            FakeWorker &worker = fleet.workers.at("w1");
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker.running.size());
            worker.partitioned = true;
            fleet.runUntil("the end of the partition", 5000,
                           [&] { return fleet.now >= worker.leaseUntil - leftMs; });
            worker.partitioned = false;
            fleet.run(5000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(leftMs) + " ms left", 1U, fleet.starts);
        }
    }

    /// Guards against a long-running task without a run because each new leader waits anew for a
    /// worker that keeps its step spread.
    void lossThatBreaksTheSpread()
    {
        FleetSimulation fleet(51);
        setUpFleet(fleet, 2);
        fleet.submit("a", "quotes", {longRunningStep(2, 1)});
        fleet.run(8000);
        fleet.crash(fleet.state.task({std::string("a"), 0, 0, 0})->worker);
        const SteadyTimeMs lostAt = fleet.now;
        fleet.run(4500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
        fleet.changeLeader();
        fleet.runUntil("the next run", lostAt + replacementMs - fleet.now,
                       [&] { return fleet.runningCount("a") == 2; });
    }

    /// Guards against a worker that is given up while it holds a lease, when partitions and changes
    /// of the leader overlap. Each start is checked by the simulation.
    void partitionsAndLeaderChanges()
    {
        for (std::uint64_t seed = 100; seed < 140; ++seed) {
            std::mt19937_64 random(seed);
            const auto upTo = [&random](std::int64_t most) {
                return std::uniform_int_distribution<std::int64_t>(0, most)(random);
            };
            FleetSimulation fleet(seed);
            fleet.durationOf = [](const TaskKey &task) { return 500 + 700 * (task.index % 5); };
            setUpFleet(fleet, 5);
            // Until then the leases of earlier leaders may last longer than those of this version.
            fleet.run(8000);
            fleet.submit("lasting", "quotes", {longRunningStep(4, 1)});
            for (int round = 0; round < 20; ++round) {
                fleet.submit("short" + std::to_string(round), "quotes", {shortStep(10)});
                fleet.commitMs = 5 + upTo(150);
                FakeWorker &worker = fleet.workers.at("w" + std::to_string(1 + upTo(4)));
                worker.partitioned = !worker.partitioned;
                fleet.run(upTo(1500));
                if (upTo(2) == 0) {
                    fleet.changeLeader();
                }
            }
            for (auto &[id, worker] : fleet.workers) {
                worker.partitioned = false;
            }
            fleet.run(replacementMs);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t(4),
                                         fleet.runningCount("lasting"));
            for (int round = 0; round < 20; ++round) {
                fleet.runUntil("a short job", 8000,
                               [&] { return isCompleted(fleet, "short" + std::to_string(round)); });
            }
        }
    }

    /// Guards against a worker that is removed for good, with its runs, because a call to its
    /// earlier incarnation is answered late: another worker at the earlier address refuses it.
    void answerToEarlierIncarnation()
    {
        FleetSimulation fleet(46);
        setUpFleet(fleet, 1);
        const std::int64_t earlier = fleet.state.worker("w1")->startTimeMs;
        fleet.workers.at("w1").record.address = "10.0.1.1:8080";
        fleet.restart("w1");
        fleet.runUntil("the next incarnation", 1000,
                       [&] { return fleet.state.worker("w1")->startTimeMs != earlier; });
        fleet.submit("a", "quotes", {longRunningStep(1, 1)});
        fleet.runUntil("the start", 1000, [&] { return fleet.runningCount("a") == 1; });
        fleet.dispatcher->renewed("w1", earlier, CallFault::OtherIncarnation, fleet.now);
        fleet.run(2000);
        CPPUNIT_ASSERT(fleet.state.worker("w1") != nullptr);
        CPPUNIT_ASSERT_EQUAL(1U, fleet.starts);
        section("nor does a call without an answer count against the worker", [&] {
            fleet.dispatcher->renewed("w1", earlier, CallFault::NoAnswer, fleet.now);
            CPPUNIT_ASSERT_EQUAL(0U, fleet.dispatcher->view("w1")->renewFailures);
        });
    }

    /// Guards against a worker that is never renewed because an assignment to its earlier
    /// incarnation was recorded between the announcement of the next one and its record.
    void renewalWhileRestartIsRecorded()
    {
        FleetSimulation fleet(47);
        setUpFleet(fleet, 1);
        fleet.commitMs = 200;
        fleet.submit("a", "quotes", {shortStep(1)});
        fleet.runUntil("the proposed assignment", 1000,
                       [&] { return !fleet.dispatcher->view("w1")->reserved.empty(); });
        const std::int64_t earlier = fleet.state.worker("w1")->startTimeMs;
        fleet.run(50);
        fleet.restart("w1");
        fleet.runUntil("its confirmation", 100, [&] { return !fleet.restarts.empty(); });
        fleet.run(20);
        fleet.workers.at("w1").partitioned = true;
        CPPUNIT_ASSERT_EQUAL(earlier, fleet.state.worker("w1")->startTimeMs);
        fleet.runUntil("the next incarnation", 1000,
                       [&] { return fleet.state.worker("w1")->startTimeMs != earlier; });
        fleet.workers.at("w1").partitioned = false;
        fleet.runUntil("the job", 5000, [&] { return isCompleted(fleet, "a"); });
    }

    /// Guards against a task that is started beside the run of an earlier task of its step, beyond
    /// the step's limit for a worker, because that run needs to be stopped only: its task has
    /// completed elsewhere (ROUTE).
    void limitWhileRunIsStopped()
    {
        FleetSimulation fleet(48);
        fleet.durationOf = [](const TaskKey &task) { return task.index == 0 ? 1500 : 3000; };
        setUpFleet(fleet, 2);
        StepSpec step = shortStep(8);
        step.maxPerWorker = 1;
        fleet.submit("a", "quotes", {step});
        fleet.runUntil("the starts", 1000, [&] { return fleet.starts == 2; });
        const TaskKey first{"a", 0, 0, 0};
        const bool isOnFirst = fleet.workers.at("w1").running.contains(first);
        const std::string lost = isOnFirst ? "w1" : "w2";
        const std::string other = isOnFirst ? "w2" : "w1";
        fleet.run(300);
        fleet.workers.at(lost).partitioned = true;
        fleet.runUntil("the next run of the first task", 12000,
                       [&] { return fleet.workers.at(other).running.contains(first); });
        fleet.dispatcher->setCordoned(lost, true);
        fleet.workers.at(lost).partitioned = false;
        fleet.runUntil("the end of the first run", 1000,
                       [&] { return fleet.state.task(first)->phase == TaskPhase::Done; });
        CPPUNIT_ASSERT(fleet.workers.at(other).running.contains(first));
        const std::uint32_t starts = fleet.starts;
        fleet.runUntil("the next start", 2000, [&] { return fleet.starts > starts; });
        CPPUNIT_ASSERT(!fleet.workers.at(other).running.contains(first));
    }

    /// Guards against a second run of the tasks of a worker that goes on, because an announcement
    /// of another writer names its address (review/6: TWICE).
    void announcementOfAddressInUse()
    {
        for (const char *service : {"pricing", "archive"}) {
            FleetSimulation fleet(52);
            fleet.durationOf = [](const TaskKey &) { return 6000; };
            setUpFleet(fleet, 3);
            fleet.submit("a", "quotes", {shortStep(8)});
            fleet.runUntil("the starts", 1000, [&] { return fleet.starts == 8; });
            WorkerRecord other = fleet.workers.at("w1").record;
            other.id = "other";
            other.service = service;
            other.startTimeMs = fleet.now;
            fleet.announceRecord(other);
            fleet.runUntil("the job", 8000, [&] { return isCompleted(fleet, "a"); });
            CPPUNIT_ASSERT_EQUAL(8U, fleet.starts);
            section("the worker gets tasks, the other one none", [&] {
                CPPUNIT_ASSERT(fleet.state.worker("other") == nullptr);
                fleet.submit("b", "quotes", {shortStep(12)});
                fleet.runUntil("a task", 1000,
                               [&] { return !fleet.workers.at("w1").running.empty(); });
            });
        }
    }

    /// Guards against a worker that gets no tasks any more, and whose draining isn't noticed,
    /// because another writer has announced its id and start with a high number (review/15: LOST).
    void announcementOfAnotherWriter()
    {
        constexpr std::uint64_t highNumber = 4294967295;
        for (const char *service : {"pricing", "archive"}) {
            section(std::string("an announcement with the service ") + service, [&] {
                FleetSimulation fleet(61);
                setUpFleet(fleet, 1);
                WorkerRecord other = fleet.workers.at("w1").record;
                other.service = service;
                CPPUNIT_ASSERT(announce(fleet, other, highNumber).empty());
                fleet.submit("a", "quotes", {shortStep(1)});
                fleet.runUntil("the job", 3000, [&] { return isCompleted(fleet, "a"); });
                WorkerRecord draining = fleet.workers.at("w1").record;
                draining.draining = true;
                std::size_t recorded = 0;
                for (std::uint64_t number = 1; number <= 3; ++number) {
                    fleet.run(1500);
                    recorded += announce(fleet, draining,
                                         static_cast<std::uint64_t>(fleet.now) + number)
                                        .size();
                }
                CPPUNIT_ASSERT(recorded > 0);
            });
        }
        section("one that comes before the worker's own", [] {
            FleetSimulation fleet(62);
            setUpFleet(fleet, 1);
            WorkerRecord worker = fleet.workers.at("w1").record;
            worker.id = "w2";
            worker.address = "10.0.0.2:81";
            WorkerRecord other = worker;
            other.service = "archive";
            CPPUNIT_ASSERT(!announce(fleet, other, highNumber).empty());
            CPPUNIT_ASSERT(!announce(fleet, worker, 1).empty());
            CPPUNIT_ASSERT_EQUAL(std::string("pricing"), fleet.state.worker("w2")->service);
        });
    }

    /// Guards against late announcements that are taken for current ones.
    void lateAnnouncements()
    {
        constexpr SteadyTimeMs beatMs = 1500;
        AnnouncementOrder order;
        SteadyTimeMs now = 0;
        CPPUNIT_ASSERT(recordAnnouncement(order, 10, now));
        section("a burst of late ones", [&] {
            for (std::uint64_t number = 1; number < 10; ++number) {
                CPPUNIT_ASSERT(!recordAnnouncement(order, number, now));
            }
        });
        section("late ones beside current ones, and out of order", [&] {
            for (const std::uint64_t number : {2, 11, 3, 4, 12, 5, 6, 13, 7, 6, 5, 8, 4, 3}) {
                now += beatMs;
                CPPUNIT_ASSERT_EQUAL(number > 10, recordAnnouncement(order, number, now));
            }
        });
        section("a series in order that goes on is the worker's own", [&] {
            CPPUNIT_ASSERT(recordAnnouncement(order, 1000000, now));
            CPPUNIT_ASSERT(!recordAnnouncement(order, 14, now + beatMs));
            CPPUNIT_ASSERT(!recordAnnouncement(order, 15, now + 2 * beatMs));
            CPPUNIT_ASSERT(recordAnnouncement(order, 16, now + 3 * beatMs));
            CPPUNIT_ASSERT(!recordAnnouncement(order, 15, now + 3 * beatMs));
        });
    }

    /// Guards against tasks that wait for the leases of a worker whose address the next one has:
    /// the next one refuses its calls.
    void addressOfNextWorker()
    {
        FleetSimulation fleet(53);
        setUpFleet(fleet, 2);
        fleet.submit("a", "quotes", {longRunningStep(2, 1)});
        fleet.run(1000);
        fleet.crash("w1");
        FakeWorker next;
        next.record = fleet.workers.at("w1").record;
        next.record.id = "next";
        next.record.startTimeMs = fleet.now;
        next.bootedAt = fleet.now;
        fleet.workers["next"] = next;
        fleet.announceRecord(next.record);
        fleet.runUntil("the next run", 2500, [&] { return fleet.runningCount("a") == 2; });
        CPPUNIT_ASSERT(fleet.state.worker("w1") == nullptr);
    }

    /// Guards against members of a gang that start with different checkpoints, after one of them
    /// was lost with its worker and listed none (review/7: UNASKED).
    void checkpointOfGang()
    {
        // Positions in which the three members with a checkpoint and the lost one end.
        for (std::uint32_t lost = 0; lost < 4; ++lost) {
            SchedulerState state;
            state.apply(WorkerJoined{{"w1", 1, "pricing", "10.0.0.1:1", "z", "", {}, {}, false}});
            JobSpec spec;
            spec.id = "a";
            spec.steps = {shortStep(4)};
            spec.steps.front().gang = true;
            spec.steps.front().checkpointing = true;
            state.apply(JobAccepted{spec, queueOf("quotes", "pricing"), 1});
            const auto member = [](std::uint32_t index) { return TaskKey{"a", 0, 0, index}; };
            const auto endRuns = [&](std::uint32_t run, const std::string &checkpoint) {
                for (std::uint32_t index = 0; index < 4; ++index) {
                    state.apply(RunAssigned{member(index), run, "w1"});
                }
                for (std::uint32_t index = 0; index < 4; ++index) {
                    const bool isLost = index == lost;
                    state.apply(
                            RunEnded{member(index), run,
                                     isLost ? RunOutcome::WorkerLost : RunOutcome::GangMemberEnded,
                                     isLost ? "" : checkpoint, 2});
                }
            };
            endRuns(1, "c1000");
            for (std::uint32_t index = 0; index < 4; ++index) {
                CPPUNIT_ASSERT_EQUAL(std::string("c1000"), state.task(member(index))->checkpoint);
            }
            section("a later value replaces it for all", [&] {
                endRuns(2, "c3000");
                for (std::uint32_t index = 0; index < 4; ++index) {
                    CPPUNIT_ASSERT_EQUAL(std::string("c3000"),
                                         state.task(member(index))->checkpoint);
                }
            });
            section("the end of a member does not change the value of one that runs", [&] {
                for (std::uint32_t index = 0; index < 4; ++index) {
                    state.apply(RunAssigned{member(index), 3, "w1"});
                }
                state.apply(RunEnded{member(0), 3, RunOutcome::GangMemberEnded, "c4000", 2});
                CPPUNIT_ASSERT_EQUAL(std::string("c3000"), state.task(member(1))->checkpoint);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostRunsTest);

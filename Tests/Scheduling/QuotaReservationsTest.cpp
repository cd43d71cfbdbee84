#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

#include "Scheduling/FleetSimulation.h"
#include "Scheduling/QuotaReservations.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::int64_t quotaMilli = 8000;

/// Time within which a task that other tasks of its team pass has to start.
constexpr std::int64_t maxHeldMs = 3000;

void setTeam(FleetSimulation &fleet)
{
    TeamConfig team;
    team.name = "a";
    team.maxRunning.processorMilli = quotaMilli;
    fleet.setTeams({team});
}

void setUpFleet(FleetSimulation &fleet, const std::vector<QueueConfig> &queues,
                std::int64_t workerMilli = 16000)
{
    fleet.configure(queues, {"pricing"});
    setTeam(fleet);
    for (int worker = 0; worker < 3; ++worker) {
        fleet.addWorker("pricing", workerMilli);
    }
    fleet.start();
    fleet.run(100);
}

QueueConfig quotes()
{
    QueueConfig queue = queueOf("quotes", "pricing", 5);
    queue.priority = 1;
    queue.stretch = 1.6;
    queue.targetLatencyMs = 600;
    return queue;
}

/// Sends small jobs of the team, more than its quota lets run, until the condition holds or the
/// limit has passed.
void sendSmallJobs(
        FleetSimulation &fleet, std::int64_t limit,
        const std::function<bool()> &condition = [] { return false; })
{
    const SteadyTimeMs end = fleet.now + limit;
    while (!condition() && fleet.now < end) {
        fleet.submit("small" + std::to_string(fleet.now), "quotes", {shortStep(1)}, "a");
        fleet.run(50);
    }
}

void applyNow(FleetSimulation &fleet, const JobChange &change)
{
    fleet.state.apply(change);
    fleet.dispatcher->applied(change, fleet.now);
}

/// Starts a task that takes half of the quota for a minute, and small jobs beside it; then submits
/// a task that does not fit beside it.
void holdLargeTask(FleetSimulation &fleet)
{
    fleet.durationOf = [](const TaskKey &task) { return task.job == JobId("long") ? 60000 : 680; };
    setUpFleet(fleet, {quotes()});
    fleet.submit("long", "quotes", {shortStep(1, 4000)}, "a");
    sendSmallJobs(fleet, 1000);
    fleet.submit("large", "quotes", {shortStep(1, 6000)}, "a");
}

StepRank onTime(std::int64_t priority, double urgency = 1000)
{
    return {StepGroup::OnTime, priority, urgency};
}

/// A lane of team "a" with one step, held since the time.
StepLane heldLane(std::int64_t milli, const StepRank &rank, SteadyTimeMs since)
{
    StepLane lane;
    lane.service = "pricing";
    lane.key = {"a", {milli, 512, 0}, 1};
    const StepPosition position{rank, {"j" + std::to_string(milli), 0, 0}};
    lane.steps.insert(position);
    lane.hold = QuotaHold{since, position};
    return lane;
}

} // namespace

class QuotaReservationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaReservationsTest);
    CPPUNIT_TEST(oneForEachTeam);
    CPPUNIT_TEST(passingRanks);
    CPPUNIT_TEST(pauses);
    CPPUNIT_TEST(cancelledWhileHeld);
    CPPUNIT_TEST(longTaskOfTheTeam);
    CPPUNIT_TEST(stepsWithoutWorker);
    CPPUNIT_TEST(stepsThatPass);
    CPPUNIT_TEST(stepNotReached);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two lanes of a team that keep quota from each other, and against a
    /// reservation that outlasts its end or begins anew in each pass.
    void oneForEachTeam()
    {
        QuotaReservations reservations;
        const StepLane large = heldLane(6000, onTime(1), 100);
        const StepLane later = heldLane(7000, onTime(1), 200);
        const StepLane earlier = heldLane(5000, onTime(1), 50);
        CPPUNIT_ASSERT(reserveQuota(reservations, large, 2000));
        CPPUNIT_ASSERT(!reserveQuota(reservations, large, 2100));
        CPPUNIT_ASSERT_EQUAL(SteadyTimeMs(2000), reservations.at("a").current->reservedAt);
        section("the lane that was held first has it", [&] {
            CPPUNIT_ASSERT(!reserveQuota(reservations, later, 2200));
            CPPUNIT_ASSERT(hasReservation(reservations, large));
            CPPUNIT_ASSERT(reserveQuota(reservations, earlier, 2300));
            CPPUNIT_ASSERT(!hasReservation(reservations, large));
            CPPUNIT_ASSERT(hasReservation(reservations, earlier));
        });
        section("until its end", [&] {
            releaseQuota(reservations, "a");
            CPPUNIT_ASSERT(!hasReservation(reservations, earlier));
            CPPUNIT_ASSERT(reserveQuota(reservations, later, 2400));
            giveUpQuota(reservations, "a", 2500);
            CPPUNIT_ASSERT(!hasReservation(reservations, later));
        });
    }

    /// Guards against reservations that urgent steps wait for, and against ranks of steps that are
    /// gone.
    void passingRanks()
    {
        const TaskResources quota{quotaMilli, 0, 0};
        QuotaReservations reservations;
        StepLane large = heldLane(6000, onTime(1), 100);
        const StepLane small = heldLane(1000, onTime(1), 100);
        CPPUNIT_ASSERT(!isReservedFrom(reservations, small, onTime(1), quota));
        CPPUNIT_ASSERT(reserveQuota(reservations, large, 2000));
        const auto waits = [&](const StepRank &rank) {
            return isReservedFrom(reservations, small, rank, quota);
        };
        section("less work does not pass, a better priority and long-running steps do", [&] {
            CPPUNIT_ASSERT(waits(onTime(1, 1)));
            CPPUNIT_ASSERT(waits({StepGroup::Late, 1, 1}));
            CPPUNIT_ASSERT(!waits(onTime(0)));
            CPPUNIT_ASSERT(!waits({StepGroup::Late, 0, 1}));
            CPPUNIT_ASSERT(!waits({StepGroup::LongRunning, 1, 1}));
            CPPUNIT_ASSERT(!isReservedFrom(reservations, large, onTime(1), quota));
        });
        section("a step that turned overdue while it was held keeps its rank", [&] {
            large.steps = {{{StepGroup::Overdue, 1, 1}, large.hold->first.key}};
            reserveQuota(reservations, large, 2100);
            CPPUNIT_ASSERT(waits(onTime(1)));
        });
        section("without that step, the rank is that of the first one", [&] {
            large.hold->first = *large.steps.begin();
            reserveQuota(reservations, large, 2200);
            CPPUNIT_ASSERT(!waits(onTime(1)));
            large.steps.insert({onTime(0), {"urgent", 0, 0}});
            reserveQuota(reservations, large, 2300);
            CPPUNIT_ASSERT(waits(onTime(0)));
        });
    }

    /// Guards against a lane that reserves quota again and again and never uses it.
    void pauses()
    {
        QuotaReservations reservations;
        StepLane large = heldLane(6000, onTime(1), 100);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1900), passedMs(reservations, large, 2000));
        section("the time begins anew for all lanes of the team", [&] {
            giveUpQuota(reservations, "a", 1500);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(500), passedMs(reservations, large, 2000));
        });
        section("and doubles up to a limit for the lane", [&] {
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1500), maxPassedMs(large, 1500));
            large.unusedReservations = 2;
            CPPUNIT_ASSERT_EQUAL(std::int64_t(6000), maxPassedMs(large, 1500));
            large.unusedReservations = 1000;
            CPPUNIT_ASSERT_EQUAL(std::int64_t(48000), maxPassedMs(large, 1500));
        });
        section("a lane that is not held is not passed", [&] {
            large.hold.reset();
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), passedMs(reservations, large, 2000));
        });
    }

    /// Guards against an ended job whose steps stay in the lane of an earlier quota when the
    /// configuration changes before the next step.
    void cancelledWhileHeld()
    {
        FleetSimulation fleet(31);
        fleet.durationOf = [](const TaskKey &) { return 30000; };
        setUpFleet(fleet, {quotes()});
        fleet.submit("first", "quotes", {shortStep(8)}, "a");
        fleet.run(200);
        fleet.submit("held", "quotes", {shortStep(1)}, "a");
        fleet.run(200);
        CPPUNIT_ASSERT_EQUAL(1U, fleet.dispatcher->waitCounts().quota);
        applyNow(fleet, JobCancelled{"held", fleet.now});
        fleet.setTeams({});
        fleet.run(300);
        CPPUNIT_ASSERT(fleet.dispatcher->waitingSteps().byService().empty());
        applyNow(fleet, JobPurged{"held"});
        setTeam(fleet);
        fleet.run(300);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.dispatcher->waitCounts().quota);
    }

    /// Guards against a task that runs for long and keeps all other tasks of its team waiting, as
    /// one that is larger than the rest of the quota waits for it.
    void longTaskOfTheTeam()
    {
        FleetSimulation fleet(32);
        holdLargeTask(fleet);
        const DispatchOptions &options = fleet.dispatchOptions;
        sendSmallJobs(fleet, options.maxQuotaPassedMs + 300);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.reservations.size());
        section("the small jobs wait for the reservation", [&] {
            sendSmallJobs(fleet, 1000);
            const std::uint32_t before = fleet.starts;
            sendSmallJobs(fleet, 1000);
            CPPUNIT_ASSERT_EQUAL(before, fleet.starts);
        });
        section("and go on after its limit", [&] {
            sendSmallJobs(fleet, options.maxReservedMs - 1800);
            const std::uint32_t before = fleet.starts;
            sendSmallJobs(fleet, 2000);
            CPPUNIT_ASSERT(fleet.starts >= before + 6);
        });
        section("for longer each time", [&] {
            const std::uint32_t before = fleet.starts;
            sendSmallJobs(fleet, 30000);
            CPPUNIT_ASSERT(fleet.starts >= before + 60);
            CPPUNIT_ASSERT(fleet.reservations.size() <= 4);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.runningCount("large"));
        });
        section("the large task starts when the long one has ended", [&] {
            sendSmallJobs(fleet, 45000, [&] { return fleet.runningCount("large") == 1; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("large"));
        });
    }

    /// Guards against quota that is kept time after time for a step that no worker gets.
    void stepsWithoutWorker()
    {
        const auto reservationsFor = [](const StepSpec &step, std::int64_t workerMilli,
                                        bool needsAdvice) {
            FleetSimulation fleet(33);
            QueueConfig other = quotes();
            other.name = "other";
            other.pathPrefix = "/other/";
            other.needsAdvice = needsAdvice;
            setUpFleet(fleet, {quotes(), other}, workerMilli);
            sendSmallJobs(fleet, 1000);
            fleet.submit("held", "other", {step}, "a");
            sendSmallJobs(fleet, 15000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.runningCount("held"));
            return fleet.reservations.size();
        };
        section("larger than each worker", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), reservationsFor(shortStep(1, 6000), 4000, false));
        });
        section("with a label that no worker has", [&] {
            StepSpec labelled = shortStep(1, 6000);
            labelled.requiredLabel = "missing";
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), reservationsFor(labelled, 16000, false));
        });
        section("denied by the advice service, with longer pauses each time", [&] {
            const std::size_t made = reservationsFor(shortStep(1, 6000), 16000, true);
            CPPUNIT_ASSERT(made >= 1 && made <= 4);
        });
    }

    /// Guards against steps that may pass a reservation and wait behind those of their lane that
    /// may not, and against a lane that counts as held by the quota while it waits for another one.
    void stepsThatPass()
    {
        FleetSimulation fleet(34);
        holdLargeTask(fleet);
        sendSmallJobs(fleet, 2 * maxHeldMs, [&] { return !fleet.reservations.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.reservations.size());
        fleet.run(1000);
        fleet.submit("small", "quotes", {shortStep(1)}, "a");
        fleet.submit("tiny", "quotes", {shortStep(1, 500)}, "a");
        fleet.run(200);
        const std::uint32_t before = fleet.starts;
        JobAccepted urgent;
        urgent.spec.id = "urgent";
        urgent.spec.queue = "quotes";
        urgent.spec.team = "a";
        urgent.spec.steps = {shortStep(1)};
        urgent.queue = quotes();
        urgent.queue.priority = 0;
        // Late, so that it is placed behind the others of its lane that are on time.
        urgent.atMs = fleet.now - 2500;
        applyNow(fleet, urgent);
        fleet.run(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("urgent"));
        CPPUNIT_ASSERT_EQUAL(before + 1, fleet.starts);
        const LaneKey tiny{"a", {500, 512, 0}, 1};
        const StepLane *lane = fleet.dispatcher->waitingSteps().lane("pricing", tiny);
        CPPUNIT_ASSERT(lane != nullptr && !lane->hold);
    }

    /// Guards against a reservation that ends before a worker was searched for its step, as the
    /// failed searches of other steps ended the pass.
    void stepNotReached()
    {
        FleetSimulation fleet(35);
        QueueConfig denied = quotes();
        denied.name = "denied";
        denied.pathPrefix = "/denied/";
        denied.priority = 0;
        denied.needsAdvice = true;
        // Its jobs stay on time, and thus before the others.
        denied.stretch = 100;
        setUpFleet(fleet, {quotes(), denied});
        for (int job = 0; job < 100; ++job) {
            fleet.submit("denied" + std::to_string(job), "denied", {shortStep(1)});
        }
        sendSmallJobs(fleet, 1000);
        fleet.submit("large", "quotes", {shortStep(1, 6000)}, "a");
        const SteadyTimeMs submittedAt = fleet.now;
        sendSmallJobs(fleet, 2 * maxHeldMs, [&] { return fleet.runningCount("large") == 1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("large"));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.now - submittedAt),
                               fleet.now - submittedAt <= maxHeldMs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaReservationsTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/ServiceLoads.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::int64_t horizonMs = 5000;
constexpr double tolerance = 1e-6;
const TaskResources fourCores{4000, 0, 0};
const TaskResources oneCore{1000, 512, 0};

/// A job of 2 core-seconds that is of use for 4.5 s.
SubmittedJob submittedOf(const std::string &id, const std::string &team)
{
    SubmittedJob job;
    job.id = id;
    job.team = team;
    job.need = oneCore;
    job.coreMs = 2000;
    job.pathMs = 500;
    job.submittedAt = 10000;
    job.onTimeUntil = 11000;
    job.usefulUntil = 14500;
    job.rank = {StepGroup::OnTime, 1, 2000 * milliPerCore};
    return job;
}

/// Core-milliseconds that count of equal jobs of a team, in placement order.
double countedOf(int jobs, double coreMs, const TaskResources &need, const TaskResources &quota)
{
    const QuotaTime own = quotaTime(coreMs, need, quota);
    QuotaTime earlier;
    double counted = 0;
    for (int job = 0; job < jobs; ++job) {
        counted += coreMsWithinQuota(coreMs, earlier, own, horizonMs);
        earlier = earlier + own;
    }
    return counted;
}

} // namespace

class ServiceLoadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceLoadsTest);
    CPPUNIT_TEST(workWithinQuota);
    CPPUNIT_TEST(limitingResource);
    CPPUNIT_TEST(largeTasks);
    CPPUNIT_TEST(heldBacklog);
    CPPUNIT_TEST(insertedWork);
    CPPUNIT_TEST(acceptedJobs);
    CPPUNIT_TEST(acceptedJobsWithQuota);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against jobs of other teams that are refused for work that its team's quota holds
    /// back, and against work that runs and counts as held back.
    void workWithinQuota()
    {
        const auto counted = [](int jobs, const TaskResources &quota) {
            return countedOf(jobs, 2000, oneCore, quota);
        };
        section("work that the quota lets run counts in full", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, counted(1, fourCores), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(20000, counted(10, fourCores), tolerance);
        });
        section("the rest of a long backlog does not count", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(20000, counted(11, fourCores), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(20000, counted(2000, fourCores), tolerance);
        });
        section("a job counts in part if it reaches beyond the time", [&] {
            const QuotaTime own = quotaTime(8000, oneCore, fourCores);
            const QuotaTime earlier = quotaTime(16000, oneCore, fourCores);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, coreMsWithinQuota(8000, earlier, own, horizonMs),
                                         tolerance);
        });
        section("without a quota all work counts",
                [&] { CPPUNIT_ASSERT_DOUBLES_EQUAL(4e6, counted(2000, {}), tolerance); });
        section("no time, no work", [&] {
            const QuotaTime own = quotaTime(2000, oneCore, fourCores);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, coreMsWithinQuota(2000, {}, own, 0), tolerance);
        });
    }

    /// Guards against a quota of memory or accelerators that is taken for none.
    void limitingResource()
    {
        section("memory for two tasks at once", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, countedOf(50, 2000, oneCore, {4000, 1024, 0}),
                                         tolerance);
        });
        section("one accelerator", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, countedOf(50, 2000, {1000, 512, 1}, {0, 0, 1}),
                                         tolerance);
        });
        section("jobs that take different resources run beside one another", [&] {
            const TaskResources quota{4000, 4096, 0};
            const QuotaTime processor = quotaTime(16000, {1000, 1, 0}, quota);
            const QuotaTime memory = quotaTime(1600, {100, 1024, 0}, quota);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, processor.longestMs(), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, memory.longestMs(), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                    1600, coreMsWithinQuota(1600, processor, memory, horizonMs), tolerance);
        });
        section("tasks without processor time have no work", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, quotaTime(0, {0, 512, 0}, {0, 512, 0}).longestMs(),
                                         tolerance);
        });
    }

    /// Guards against a task that is larger than its quota and counts for less than it takes: it
    /// runs alone, with all that it requires.
    void largeTasks()
    {
        const TaskResources eightCores{8000, 512, 0};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40000, countedOf(50, 8000, eightCores, fourCores), tolerance);
    }

    /// Guards against sums that count the backlog of a team beyond what its quota lets run.
    void heldBacklog()
    {
        SchedulerState state;
        WaitingSteps waiting;
        ConfigurationAccepted accepted;
        accepted.configuration.version = 1;
        accepted.configuration.teams.resize(2);
        accepted.configuration.teams[0].name = "held";
        accepted.configuration.teams[0].maxRunning = fourCores;
        accepted.configuration.teams[1].name = "free";
        state.apply(accepted);
        const auto add = [&](const std::string &id, const std::string &team) {
            JobAccepted job;
            job.spec.id = id;
            job.spec.team = team;
            job.spec.steps.resize(1);
            job.spec.steps[0].need = oneCore;
            state.apply(job);
            WaitingStep step{{id, 0, 0}, {}, {0}, {}};
            step.attributes.dueAtMs = 10000;
            step.attributes.jobPathMs = 500;
            step.attributes.remainingPathMs = 500;
            step.attributes.targetLatencyMs = 1000;
            step.attributes.remainingWork = 2000 * milliPerCore;
            waiting.replace(id, "s", {step}, 10000);
        };
        const auto total = [&] {
            return waitingWorkOf(state, waiting, waiting.byService().at("s"), 10000).totalCoreMs();
        };
        // The jobs are of use for 3 times 1.5 s, in which a quota of four cores runs nine of them.
        for (int job = 0; job < 40; ++job) {
            add("held" + std::to_string(job), "held");
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(18000, total(), tolerance);
        section("the work of other teams counts beside it", [&] {
            for (int job = 0; job < 20; ++job) {
                add("free" + std::to_string(job), "free");
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(58000, total(), tolerance);
        });
    }

    /// Guards against accepted jobs that count at the wrong place until the next sum.
    void insertedWork()
    {
        const auto rank = [](double work) { return StepRank{StepGroup::OnTime, 1, work}; };
        WaitingWork work;
        work.add(rank(100), 100, 0);
        work.add(rank(300), 300, 0);
        work.insert(rank(200), 200, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, work.coreMsBefore(rank(150)), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300, work.coreMsBefore(rank(200)), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600, work.totalCoreMs(), tolerance);
        section("before and behind all others", [&] {
            work.insert(rank(50), 50, 0);
            work.insert(rank(400), 400, 0);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(50, work.coreMsBefore(rank(99)), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(650, work.coreMsBefore(rank(300)), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1050, work.totalCoreMs(), tolerance);
        });
    }

    /// Guards against an accepted job that doesn't count between the next sum and its record, and
    /// against one that counts for ever or twice.
    void acceptedJobs()
    {
        SchedulerState state;
        Dispatcher dispatcher(state, {});
        ServiceLoads loads(state, dispatcher);
        loads.listed({});
        const auto ahead = [&](SteadyTimeMs now) {
            const auto load = loads.loadOf("s", submittedOf("next", ""), true, now);
            CPPUNIT_ASSERT(load.has_value());
            return load->aheadCoreMs;
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, ahead(1000), tolerance);
        loads.accepted("s", submittedOf("a", ""), 1000);
        loads.accepted("s", submittedOf("b", ""), 1000);
        loads.accepted("s", submittedOf("b", ""), 1010);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, ahead(1050), tolerance);
        section("also after the next sums", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, ahead(1200), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, ahead(1400), tolerance);
        });
        section("until it is recorded", [&] {
            JobAccepted accepted;
            accepted.spec.id = "a";
            accepted.spec.steps.resize(1);
            state.apply(accepted);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, ahead(1600), tolerance);
        });
        section("or taken for lost", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, ahead(5900), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, ahead(6100), tolerance);
        });
        section("a job that is recorded and not yet among the waiting steps counts", [&] {
            dispatcher.beginTerm(7000);
            JobAccepted accepted;
            accepted.spec.id = "c";
            accepted.spec.steps.resize(1);
            accepted.atMs = 10000;
            loads.accepted("s", submittedOf("c", ""), 7000);
            state.apply(accepted);
            dispatcher.applied(accepted, 7000);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, ahead(7200), tolerance);
        });
    }

    /// Guards against accepted jobs that count beyond what their team's quota lets run until the
    /// next sum.
    void acceptedJobsWithQuota()
    {
        SchedulerState state;
        ConfigurationAccepted configured;
        configured.configuration.version = 1;
        configured.configuration.teams.resize(1);
        configured.configuration.teams[0].name = "held";
        configured.configuration.teams[0].maxRunning = fourCores;
        state.apply(configured);
        const Dispatcher dispatcher(state, {});
        ServiceLoads loads(state, dispatcher);
        loads.listed({});
        const auto ahead = [&](SteadyTimeMs now) {
            return loads.loadOf("s", submittedOf("next", "free"), true, now)->aheadCoreMs;
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, ahead(1000), tolerance);
        for (int job = 0; job < 40; ++job) {
            loads.accepted("s", submittedOf("held" + std::to_string(job), "held"), 1000);
        }
        // A quota of four cores runs nine of them in 4.5 s.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(18000, ahead(1050), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(18000, ahead(1200), tolerance);
        loads.accepted("s", submittedOf("free", "free"), 1200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20000, ahead(1250), tolerance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceLoadsTest);

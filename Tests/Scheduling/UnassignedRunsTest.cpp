#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "Scheduling/UnassignedRuns.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr SteadyTimeMs countedAt = 100000;
constexpr std::int64_t taskMilli = 1000;

RunKey runOf(std::uint32_t index, std::uint32_t run = 1, const std::string &job = "a")
{
    return {{job, 0, 0, index}, run};
}

RenewAnswer answerOf(const std::vector<RunKey> &running, const std::vector<RunKey> &ended = {})
{
    RenewAnswer answer;
    for (const auto &[task, run] : running) {
        answer.running.push_back({task, run, {}, 0, 0});
    }
    for (const auto &[task, run] : ended) {
        answer.ended.push_back({answer.ended.size() + 1, task, run, RunOutcome::Done, {}});
    }
    return answer;
}

/// The job "a" of the team "t", with two tasks, and the same without a team.
struct Fixture
{
    Fixture()
    {
        JobSpec spec;
        spec.id = "a";
        spec.team = "t";
        StepSpec step;
        step.count = 2;
        step.need.processorMilli = taskMilli;
        spec.steps = {step};
        state.apply(JobAccepted{spec, {}, 1});
        spec.id = "open";
        spec.team.clear();
        state.apply(JobAccepted{spec, {}, 1});
    }

    /// Number of runs that count against the quota of the team.
    std::int64_t counted() const { return runs.useOf("t").processorMilli / taskMilli; }

    SchedulerState state;
    std::map<std::string, WorkerView> views;
    DispatchOptions options;
    UnassignedRuns runs{state, views, options};
};

} // namespace

class UnassignedRunsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnassignedRunsTest);
    CPPUNIT_TEST(countedRuns);
    CPPUNIT_TEST(listedRuns);
    CPPUNIT_TEST(expiredLeases);
    CPPUNIT_TEST(goneWorkers);
    CPPUNIT_TEST(limitsOfTheWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a run that counts twice, which would hold its team back for good, and against
    /// runs that do not count.
    void countedRuns()
    {
        Fixture fixture;
        section("a run counts once, however often it is listed", [&] {
            fixture.runs.count("w1", runOf(0), countedAt);
            fixture.runs.count("w1", runOf(0), countedAt + 100);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
        });
        section("other runs of its task, also on other workers, count for themselves", [&] {
            fixture.runs.count("w1", runOf(0, 2), countedAt);
            fixture.runs.count("w2", runOf(0, 3), countedAt);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(3), fixture.counted());
        });
        section("runs without a team, or of a job that is not known, don't count", [&] {
            fixture.runs.count("w1", runOf(0, 1, "open"), countedAt);
            fixture.runs.count("w1", runOf(0, 1, "purged"), countedAt);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(3), fixture.counted());
            CPPUNIT_ASSERT(fixture.runs.useOf("") == TaskResources{});
            CPPUNIT_ASSERT(fixture.runs.useOf("u") == TaskResources{});
        });
        section("a new term begins without any", [&] {
            fixture.runs.clear();
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.counted());
            CPPUNIT_ASSERT(!fixture.runs.forgetWorker("w1"));
        });
    }

    /// Guards against a worker that gets more than it can hold while it still has runs to stop.
    void limitsOfTheWorker()
    {
        Fixture fixture;
        fixture.runs.count("w1", runOf(0), countedAt);
        fixture.runs.count("w1", runOf(1, 1, "open"), countedAt);
        const TaskKey sameStep{"open", 0, 0, 0};
        const TaskKey otherStep{"open", 0, 1, 0};
        CPPUNIT_ASSERT_EQUAL(2 * taskMilli, fixture.runs.useOn("w1").processorMilli);
        CPPUNIT_ASSERT_EQUAL(1U, fixture.runs.countOfStep("w1", sameStep));
        CPPUNIT_ASSERT_EQUAL(0U, fixture.runs.countOfStep("w1", otherStep));
        CPPUNIT_ASSERT_EQUAL(0U, fixture.runs.countOfStep("w2", sameStep));
        section("runs that are no longer listed don't count", [&] {
            fixture.runs.forgetUnlisted("w1", answerOf({runOf(0)}), countedAt);
            CPPUNIT_ASSERT_EQUAL(taskMilli, fixture.runs.useOn("w1").processorMilli);
            CPPUNIT_ASSERT_EQUAL(0U, fixture.runs.countOfStep("w1", sameStep));
        });
    }

    /// Guards against a quota that is exceeded because a run that goes on no longer counts, and
    /// against one that is taken by a run that has ended.
    void listedRuns()
    {
        section("a run that is listed again goes on", [] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(!fixture.runs.forgetUnlisted("w1", answerOf({runOf(0)}), countedAt));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
        });
        section("one that an answer no longer lists has ended", [] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            fixture.runs.count("w1", runOf(1), countedAt);
            CPPUNIT_ASSERT(fixture.runs.forgetUnlisted("w1", answerOf({runOf(1)}), countedAt));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
            section("and is forgotten once", [&] {
                CPPUNIT_ASSERT(!fixture.runs.forgetUnlisted("w1", answerOf({runOf(1)}), countedAt));
                CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
            });
        });
        section("the answer to a renewal that was sent before says nothing", [] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(!fixture.runs.forgetUnlisted("w1", answerOf({}), countedAt - 1));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
            section("nor does one that was sent before the run was listed again", [&] {
                fixture.runs.count("w1", runOf(0), countedAt + 500);
                CPPUNIT_ASSERT(!fixture.runs.forgetUnlisted("w1", answerOf({}), countedAt + 499));
                CPPUNIT_ASSERT(fixture.runs.forgetUnlisted("w1", answerOf({}), countedAt + 500));
                CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.counted());
            });
        });
        section("unless it lists the run as ended", [] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(
                    fixture.runs.forgetUnlisted("w1", answerOf({}, {runOf(0)}), countedAt - 1));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.counted());
        });
        section("another run of the task is another run", [] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(
                    !fixture.runs.forgetUnlisted("w1", answerOf({}, {runOf(0, 2)}), countedAt - 1));
            CPPUNIT_ASSERT(fixture.runs.forgetUnlisted("w1", answerOf({runOf(0, 2)}), countedAt));
        });
        section("answers of other workers say nothing", [] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(!fixture.runs.forgetUnlisted("w2", answerOf({}, {runOf(0)}), countedAt));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
        });
    }

    /// Guards against a run on a silent worker that counts for ever, or no longer although its
    /// lease may be valid.
    void expiredLeases()
    {
        const SteadyTimeMs longestEnd = countedAt + longestLeaseMs(DispatchOptions());
        section("a worker whose clock is not known may hold the longest lease", [&] {
            for (const bool isKnown : {false, true}) {
                Fixture fixture;
                if (isKnown) {
                    fixture.views["w1"].leaseUntilMs = 60000;
                }
                fixture.runs.count("w1", runOf(0), countedAt);
                CPPUNIT_ASSERT(!fixture.runs.forgetExpired(longestEnd));
                CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
                CPPUNIT_ASSERT(fixture.runs.forgetExpired(longestEnd + 1));
                CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.counted());
                CPPUNIT_ASSERT(!fixture.runs.forgetExpired(longestEnd + 1));
            }
        });
        section("a lease that was renewed since has to expire on the worker's slowest clock", [&] {
            Fixture fixture;
            WorkerView &view = fixture.views["w1"];
            view.clockMs = 1000;
            view.clockAt = countedAt;
            view.leaseUntilMs = 1000 + 20000;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(!fixture.runs.forgetExpired(longestEnd + 1));
            // 20,000 ms and the margin of 500 ms, on a clock that runs slow by 2%.
            CPPUNIT_ASSERT(!fixture.runs.forgetExpired(countedAt + 20910));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
            CPPUNIT_ASSERT(fixture.runs.forgetExpired(countedAt + 20930));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.counted());
        });
        section("a lease that has expired before does not shorten the time", [&] {
            Fixture fixture;
            WorkerView &view = fixture.views["w1"];
            view.clockMs = 60000;
            view.clockAt = countedAt;
            view.leaseUntilMs = 1000;
            fixture.runs.count("w1", runOf(0), countedAt);
            CPPUNIT_ASSERT(!fixture.runs.forgetExpired(longestEnd));
            CPPUNIT_ASSERT(fixture.runs.forgetExpired(longestEnd + 1));
        });
        section("each time that the run is listed the time begins anew", [&] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            fixture.runs.count("w1", runOf(1), countedAt);
            fixture.runs.count("w1", runOf(0), countedAt + 3000);
            CPPUNIT_ASSERT(fixture.runs.forgetExpired(longestEnd + 1));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
            CPPUNIT_ASSERT(!fixture.runs.forgetExpired(longestEnd + 3000));
            CPPUNIT_ASSERT(fixture.runs.forgetExpired(longestEnd + 3001));
        });
        section("workers expire apart, and it is told if any of them does", [&] {
            Fixture fixture;
            fixture.runs.count("w1", runOf(0), countedAt);
            fixture.runs.count("w2", runOf(1), countedAt + 1000);
            CPPUNIT_ASSERT(fixture.runs.forgetExpired(longestEnd + 1));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
        });
    }

    /// Guards against the runs of a worker that has left or restarted and that still count.
    void goneWorkers()
    {
        Fixture fixture;
        fixture.runs.count("w1", runOf(0), countedAt);
        fixture.runs.count("w1", runOf(1), countedAt);
        fixture.runs.count("w2", runOf(1, 2), countedAt);
        CPPUNIT_ASSERT(fixture.runs.forgetWorker("w1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
        CPPUNIT_ASSERT(!fixture.runs.forgetWorker("w1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.counted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnassignedRunsTest);

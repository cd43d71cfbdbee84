#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "Scheduling/FleetSimulation.h"
#include "Scheduling/TeamWaits.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr const char *service = "pricing";
constexpr std::uint64_t seed = 1;
constexpr WallTimeMs begin = 100000;

/// A step that stays on time for the whole test, unless its job lies beyond the share.
WaitingStep stepOf(const std::string &job, const std::string &team, double coreMs,
                   bool beyondShare = false)
{
    WaitingStep waiting{{job, 0, 0}, {}, {0}};
    waiting.team = team;
    waiting.attributes.beyondShare = beyondShare;
    waiting.attributes.dueAtMs = begin;
    waiting.attributes.jobPathMs = 500;
    waiting.attributes.remainingPathMs = 500;
    waiting.attributes.remainingWork = coreMs * milliPerCore;
    waiting.attributes.targetLatencyMs = 600000;
    return waiting;
}

/// Teams with waiting steps, reviewed at once whenever asked.
struct Waits
{
    WaitingSteps steps;
    TeamWaits teams;
    std::map<std::string, std::int64_t> weights = {{"small", 1}, {"large", 1}};
    std::int64_t capacityMilli = 2000;

    void wait(const WaitingStep &step) { steps.replace(step.key.job, service, {step}, begin); }
    std::vector<std::string> advancedAt(SteadyTimeMs now)
    {
        std::vector<std::string> jobs;
        if (!teams.beginReview(steps, now)) {
            return jobs;
        }
        for (const auto &[name, waiting] : steps.byService()) {
            for (const auto &advanced :
                 teams.review(name, waiting, steps, weights, capacityMilli, now)) {
                jobs.push_back(advanced.job.text());
            }
        }
        return jobs;
    }
};

using Jobs = std::vector<std::string>;

/// A pool of 48 cores that a team's small jobs fill for as long as they are sent.
class FullPool
{
public:
    explicit FullPool(std::int64_t weight) : fleet(seed)
    {
        QueueConfig urgent = queueOf("urgent", service, 5);
        urgent.priority = -1;
        fleet.configure({queueOf("quotes", service, 5), urgent}, {service});
        TeamConfig small;
        small.name = "small";
        small.weight = weight;
        TeamConfig large = small;
        large.name = "large";
        fleet.setTeams({small, large});
        for (int worker = 0; worker < 3; ++worker) {
            fleet.addWorker(service);
        }
        fleet.start();
        fleet.run(100);
    }

    /// Sends 1.4 times the small jobs that the pool serves.
    void sendSmallJobs(std::int64_t forMs, const std::string &queue = "quotes")
    {
        for (const SteadyTimeMs end = fleet.now + forMs; fleet.now < end; fleet.run(20)) {
            fleet.submit("s" + std::to_string(fleet.now), queue, {shortStep(2)}, "small");
        }
    }

    void sendLargeJob(const std::string &id)
    {
        fleet.submit(id, "quotes", {shortStep(32)}, "large");
    }

    FleetSimulation fleet;
};

} // namespace

class TeamWaitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TeamWaitsTest);
    CPPUNIT_TEST(starved);
    CPPUNIT_TEST(waitsOfTeams);
    CPPUNIT_TEST(oneJobOfTeam);
    CPPUNIT_TEST(largeJobInFullPool);
    CPPUNIT_TEST(withoutWeights);
    CPPUNIT_TEST(betterPriority);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against large jobs that are advanced at the cost of other teams, beyond the part of
    /// the capacity that their team's weight stands for.
    void starved()
    {
        // 2 of 10 cores for at least 0.75 s.
        TeamWaitFacts facts;
        facts.waitedMs = 750;
        facts.coreMs = 1500;
        facts.weight = 2;
        facts.totalWeight = 10;
        facts.capacityMilli = 10000;
        section("a team is starved after the least wait, if its part covers the job", [&] {
            CPPUNIT_ASSERT(isStarved(facts, {}));
            facts.waitedMs = 749;
            facts.coreMs = 1;
            CPPUNIT_ASSERT(!isStarved(facts, {}));
        });
        section("a larger job waits until its part does", [&] {
            facts.coreMs = 6000;
            facts.waitedMs = 2999;
            CPPUNIT_ASSERT(!isStarved(facts, {}));
            facts.waitedMs = 3000;
            CPPUNIT_ASSERT(isStarved(facts, {}));
        });
        section("a team without weight is not", [&] {
            facts.weight = 0;
            CPPUNIT_ASSERT(!isStarved(facts, {}));
        });
    }

    /// Guards against a wait that is measured from before the team had anything to place, and
    /// against one that a placement does not end.
    void waitsOfTeams()
    {
        Waits waits;
        section("the wait begins with the first review that finds a step", [&] {
            waits.wait(stepOf("l0", "large", 500));
            CPPUNIT_ASSERT(waits.advancedAt(1000).empty());
            CPPUNIT_ASSERT(waits.advancedAt(1749).empty());
            CPPUNIT_ASSERT(waits.advancedAt(1850) == Jobs{"l0"});
        });
        section("it begins anew with a placement", [&] {
            waits.wait(stepOf("s0", "small", 500));
            CPPUNIT_ASSERT(waits.advancedAt(2700).empty());
            waits.teams.placed(service, "small", 4000);
            CPPUNIT_ASSERT(waits.advancedAt(4649).empty());
            CPPUNIT_ASSERT(waits.advancedAt(4750) == Jobs{"s0"});
        });
        section("it ends when nothing waits for the service", [&] {
            waits.steps.remove("l0");
            waits.steps.remove("s0");
            CPPUNIT_ASSERT(waits.advancedAt(4900).empty());
            waits.wait(stepOf("l1", "large", 500));
            CPPUNIT_ASSERT(waits.advancedAt(8000).empty());
        });
        section("steps beyond the share don't count", [&] {
            waits.steps.remove("l1");
            waits.wait(stepOf("l2", "large", 500, true));
            CPPUNIT_ASSERT(waits.advancedAt(9000).empty());
            CPPUNIT_ASSERT(waits.advancedAt(20000).empty());
        });
        section("nor do overdue ones", [&] {
            waits.wait(stepOf("l3", "large", 500));
            waits.steps.advance(begin + 2000000);
            CPPUNIT_ASSERT(waits.advancedAt(21000).empty());
            CPPUNIT_ASSERT(waits.advancedAt(30000).empty());
        });
    }

    /// Guards against a team that has all of its backlog advanced at once.
    void oneJobOfTeam()
    {
        Waits waits;
        waits.wait(stepOf("l0", "large", 500));
        waits.wait(stepOf("l1", "large", 400));
        section("the first in placement order is advanced", [&] {
            waits.advancedAt(1000);
            CPPUNIT_ASSERT(waits.advancedAt(3000) == Jobs{"l1"});
        });
        section("no other one while it waits", [&] {
            CPPUNIT_ASSERT(waits.advancedAt(9000).empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), waits.teams.advanced(service).size());
        });
        section("the next one once it is placed and the team has waited again", [&] {
            waits.steps.remove("l1");
            waits.teams.placed(service, "large", 9000);
            CPPUNIT_ASSERT(waits.advancedAt(9500).empty());
            CPPUNIT_ASSERT(waits.advancedAt(9750) == Jobs{"l0"});
        });
    }

    /// Guards against large jobs of a team within its share that never start while the small jobs
    /// of another one fill the pool.
    void largeJobInFullPool()
    {
        FullPool pool(50);
        pool.sendSmallJobs(1000);
        pool.sendLargeJob("l0");
        pool.sendSmallJobs(3500);
        CPPUNIT_ASSERT(pool.fleet.completedAt.contains("l0"));
        section("it is of use", [&] {
            const std::int64_t tookMs =
                    pool.fleet.completedAt.at("l0") - pool.fleet.acceptedAt.at("l0");
            CPPUNIT_ASSERT(static_cast<double>(tookMs) <= maxUsefulLateness * (1.6 * 680 + 600));
        });
    }

    /// Guards against another placement order in deployments whose teams have no weights.
    void withoutWeights()
    {
        FullPool pool(0);
        pool.sendSmallJobs(1000);
        pool.sendLargeJob("l0");
        pool.sendSmallJobs(4000);
        CPPUNIT_ASSERT(!pool.fleet.completedAt.contains("l0"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool.fleet.runningCount("l0"));
    }

    /// Guards against jobs of a worse priority that are advanced past those of a better one.
    void betterPriority()
    {
        FullPool pool(50);
        pool.sendSmallJobs(1000, "urgent");
        pool.sendLargeJob("l0");
        pool.sendSmallJobs(4000, "urgent");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool.fleet.runningCount("l0"));
        CPPUNIT_ASSERT(!pool.fleet.completedAt.contains("l0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamWaitsTest);

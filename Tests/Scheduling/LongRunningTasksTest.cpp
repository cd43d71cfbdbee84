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
    fleet.balancerEnabled = true;
    fleet.configure({queueOf("quotes", "pricing")}, {"pricing", "spare"}, "spare");
    for (int worker = 0; worker < 3; ++worker) {
        fleet.addWorker("pricing");
        fleet.addWorker("spare");
    }
    fleet.start();
    fleet.run(1000);
    fleet.submit("present", "quotes", {longRunningStepOf(3, 20000)});
    fleet.run(1000);
}

} // namespace

class LongRunningTasksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningTasksTest);
    CPPUNIT_TEST(fragmentedPool);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTasksTest);

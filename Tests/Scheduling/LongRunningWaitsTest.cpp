#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "Scheduling/FleetSimulation.h"
#include "Scheduling/LongRunningWaits.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

class LongRunningWaitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningWaitsTest);
    CPPUNIT_TEST(reports);
    CPPUNIT_TEST(obstacles);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against waits that are reported late, too often, or after they are over.
    void reports()
    {
        LongRunningWaits waits;
        const TaskKey task{std::string("a"), 0, 0, 3};
        waits.record(task, PlacementObstacle::NoWorker, 1000);
        section("a short wait is not reported", [&] {
            waits.record(task, PlacementObstacle::Capacity, 2999);
            CPPUNIT_ASSERT(waits.takeReports(2999).empty());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1999), waits.longestMs(2999));
        });
        section("a long one is, with its length and the last obstacle", [&] {
            const auto reported = waits.takeReports(3000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), reported.size());
            CPPUNIT_ASSERT(reported.front().task == task);
            CPPUNIT_ASSERT(reported.front().obstacle == PlacementObstacle::Capacity);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(2000), reported.front().waitedMs);
        });
        section("and again after another interval, with its whole length", [&] {
            CPPUNIT_ASSERT(waits.takeReports(4999).empty());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(4000), waits.takeReports(5000).front().waitedMs);
        });
        section("a task that waits no longer is forgotten", [&] {
            waits.keepOnly([](const TaskKey &) { return false; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), waits.size());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), waits.longestMs(9000));
            CPPUNIT_ASSERT(waits.takeReports(9000).empty());
        });
    }

    /// Guards against a long-running task whose wait can't be explained from the log.
    void obstacles()
    {
        FleetSimulation fleet(1);
        fleet.configure({queueOf("quotes", "pricing")}, {"pricing"});
        const std::string worker = fleet.addWorker("pricing");
        fleet.start();
        fleet.run(100);
        const auto lastReason = [&fleet] { return fleet.longRunningWaits.back().reason; };
        section("a task that runs is not reported", [&] {
            fleet.submit("a", "quotes", {longRunningStep(1, 1)});
            fleet.run(4000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.runningCount("a"));
            CPPUNIT_ASSERT(fleet.longRunningWaits.empty());
        });
        section("one that no worker has room for is", [&] {
            StepSpec large = longRunningStep(1, 0);
            large.need.processorMilli = 17000;
            fleet.submit("b", "quotes", {large});
            fleet.run(2500);
            CPPUNIT_ASSERT_EQUAL(std::string("b.0.0.0"), fleet.longRunningWaits.back().task);
            CPPUNIT_ASSERT_EQUAL(std::string("capacity"), lastReason());
        });
        section("as one behind it that needs more", [&] {
            StepSpec larger = longRunningStep(1, 0);
            larger.need.processorMilli = 18000;
            fleet.submit("c", "quotes", {larger});
            fleet.run(2500);
            CPPUNIT_ASSERT_EQUAL(std::string("c.0.0.0"), fleet.longRunningWaits.back().task);
            CPPUNIT_ASSERT_EQUAL(std::string("smaller-need-unmet"), lastReason());
        });
        section("without any worker, all are", [&] {
            fleet.cancel("b");
            fleet.cancel("c");
            fleet.crash(worker);
            fleet.runUntil("the report", 9000, [&] { return lastReason() == "no-worker"; });
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.0"), fleet.longRunningWaits.back().task);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningWaitsTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/FleetSimulation.h"

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

bool isCompleted(const FleetSimulation &fleet, const std::string &job)
{
    return fleet.state.job(job) != nullptr && fleet.phaseOf(job) == JobPhase::Completed;
}

} // namespace

/// Runs that are recorded as lost although their workers go on, and what these list later.
class LostRunsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostRunsTest);
    CPPUNIT_TEST(endListedDuringLoss);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostRunsTest);

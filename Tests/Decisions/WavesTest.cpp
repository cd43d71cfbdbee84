#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>

#include "Decisions/FleetFixture.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

class WavesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WavesTest);
    CPPUNIT_TEST(budget);
    CPPUNIT_TEST(failureDomains);
    CPPUNIT_TEST(twoWaves);
    CPPUNIT_TEST(failures);
    CPPUNIT_TEST(rackThenZone);
    CPPUNIT_TEST(secondLossAfterRepair);
    CPPUNIT_TEST(stuckDrains);
    CPPUNIT_TEST(failingMaintenance);
    CPPUNIT_TEST(control);
    CPPUNIT_TEST(planningTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a wave that spends more than the strictest plan allows, and against a wait
    /// that doesn't tell who spends the budget.
    void budget()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 2, 5);
        fixture.addPlan("pricing", 4, 2);
        fixture.startWave("w1", fixture.members("pricing"));
        const WavePlan first = fixture.planAndApply();
        section("two instances of one rack are granted", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.grants.size());
            CPPUNIT_ASSERT_EQUAL(first.grants[0].domain, first.grants[1].domain);
            CPPUNIT_ASSERT_EQUAL(std::size_t(10), first.waits.size());
        });
        section("the rest waits for the budget and reports who spends it", [&] {
            const WavePlan second = fixture.planAndApply();
            CPPUNIT_ASSERT(second.grants.empty());
            const WaveWait &wait = second.waits.back();
            CPPUNIT_ASSERT_EQUAL(std::string("budget-spent"), reasonFor(second, wait.instance));
            const std::string text = describeWait(wait, second);
            CPPUNIT_ASSERT_MESSAGE(text, text.find("2 draining") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(
                    text, text.find("at most 2 allowed by plan 'plan-1'") != std::string::npos);
        });
        section("a pool no larger than its minimum says that no step is possible", [&] {
            fixture.addPlan("pricing", 12, 2);
            const WavePlan third = fixture.plan();
            CPPUNIT_ASSERT_EQUAL(std::string("budget-allows-none"),
                                 reasonFor(third, third.waits.back().instance));
            section("and drains not yet stopped are released",
                    [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(2), third.releases.size()); });
        });
    }

    /// Guards against drains in two racks at once when the loss of a third rack would then leave
    /// less than a plan's minimum.
    void failureDomains()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 4, 6);
        fixture.startWave("w1", fixture.members("pricing"));
        section("8 available less a rack of 4 are the minimum of 4: one rack only", [&] {
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), plan.grants.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                 plan.ledger.pools.at("pricing").domains.size() - 2);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), plan.ledger.pools.at("pricing").impairedDomains);
            CPPUNIT_ASSERT_EQUAL(std::string("no-domain-reserve"),
                                 reasonFor(plan, plan.waits.back().instance));
        });
        section("with a larger pool the reserve lets a second rack start", [&] {
            FleetFixture larger;
            larger.addPool("pricing", 20);
            larger.addPlan("pricing", 4, 6);
            larger.startWave("w1", larger.members("pricing"));
            const WavePlan plan = larger.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), plan.grants.size());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), plan.ledger.pools.at("pricing").impairedDomains);
            CPPUNIT_ASSERT(plan.grants.back().reason == WaveReason::ReserveHolds);
        });
    }

    /// Guards against two waves, or a wave and a failure, spending the same unit of a budget.
    void twoWaves()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 4, 3);
        const auto targets = fixture.members("pricing");
        fixture.startWave("w1", {targets.begin(), targets.begin() + 8});
        fixture.startWave("w2", {targets.begin() + 2, targets.end()});
        const WavePlan plan = fixture.planAndApply();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), plan.grants.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), fixture.unavailable("pricing"));
        section("a target of both waves is granted once", [&] {
            const auto shared =
                    std::find_if(plan.waits.begin(), plan.waits.end(), [](const WaveWait &wait) {
                        return wait.reason == WaveReason::HeldByAnother;
                    });
            CPPUNIT_ASSERT(shared != plan.waits.end());
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), shared->holder);
        });
        section("a move in progress is counted too", [&] {
            FleetFixture moving;
            moving.addPool("pricing", 12);
            moving.addPlan("pricing", 4, 3);
            moving.record(targets[0]).phase = InstancePhase::Draining;
            moving.record(targets[0]).movingTo = sparePool;
            moving.record(targets[0]).grantHolder = "move";
            moving.startWave("w1", targets);
            const WavePlan second = moving.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), second.grants.size());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), second.ledger.pools.at("pricing").moving);
        });
    }

    /// Guards against a wave that continues to drain while failures use up the budget.
    void failures()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 4, 3);
        fixture.startWave("w1", fixture.members("pricing"));
        const WavePlan first = fixture.planAndApply();
        const std::string drained = first.grants[0].instance;
        section("one failure beyond the budget releases the latest drain", [&] {
            fixture.setPhase(drained, InstancePhase::Drained);
            fixture.fail("pricing-1011");
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.releases.size());
            CPPUNIT_ASSERT(plan.releases[0].instance != drained);
            CPPUNIT_ASSERT(plan.grants.empty());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), fixture.unavailable("pricing"));
        });
        section("an instance that only stops serving counts before it is recorded", [&] {
            fixture.observations.unavailable.insert("pricing-1010");
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.releases.size());
            CPPUNIT_ASSERT_EQUAL(std::string("instance-not-serving"),
                                 reasonFor(plan, "pricing-1010"));
        });
        section("an instance that was stopped for its reboot is not released", [&] {
            fixture.setPhase(drained, InstancePhase::Rebooting);
            fixture.fail("pricing-1009");
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT(plan.releases.empty());
            CPPUNIT_ASSERT(plan.grants.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("rebooting"), reasonFor(plan, drained));
            CPPUNIT_ASSERT_EQUAL(std::string("instance-failed"), reasonFor(plan, "pricing-1011"));
        });
    }

    /// Guards against a wave that starts drains after a rack and then a zone were lost.
    void rackThenZone()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 24);
        fixture.addPlan("pricing", 8, 6);
        fixture.startWave("w1", fixture.members("pricing"));
        const WavePlan first = fixture.planAndApply();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), first.grants.size());
        section("a rack is lost: drains beyond the budget are released", [&] {
            fixture.failDomain("pricing-1023", FailureDomain::Rack);
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), plan.releases.size());
            CPPUNIT_ASSERT(plan.grants.empty());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), fixture.unavailable("pricing"));
        });
        section("then a zone: all drains not yet stopped are released", [&] {
            fixture.failDomain("pricing-1004", FailureDomain::AvailabilityZone);
            const WavePlan plan = fixture.planAndApply();
            for (const auto &[id, record] : fixture.fleet.instances) {
                CPPUNIT_ASSERT(record.phase == InstancePhase::InService
                               || record.phase == InstancePhase::Failed);
            }
            CPPUNIT_ASSERT(plan.grants.empty());
        });
        section("both return: the wave goes on once they have proved", [&] {
            for (const auto &[id, record] : fixture.fleet.instances) {
                if (record.phase == InstancePhase::Failed) {
                    fixture.setPhase(id, InstancePhase::Proving);
                }
            }
            CPPUNIT_ASSERT(fixture.planAndApply().grants.empty());
            fixture.advancePhases();
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), fixture.planAndApply().grants.size());
        });
    }

    /// Guards against spending the unit of an instance that has returned but is still proving: a
    /// second failure right after a repair would then exceed the budget.
    void secondLossAfterRepair()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 4, 1);
        fixture.startWave("w1", fixture.members("pricing"));
        fixture.fail("pricing-1000");
        fixture.setPhase("pricing-1000", InstancePhase::Proving);
        section("the repaired instance holds the unit while it proves", [&] {
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT(plan.grants.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("proving"), reasonFor(plan, "pricing-1000"));
        });
        section("it is lost again within the budget", [&] {
            fixture.fail("pricing-1000");
            CPPUNIT_ASSERT(fixture.planAndApply().releases.empty());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), fixture.unavailable("pricing"));
        });
    }

    /// Guards against a drain that running work blocks indefinitely and that delays the whole wave.
    void stuckDrains()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 4, 1);
        fixture.startWave("w1", fixture.members("pricing"));
        const std::string stuck = fixture.planAndApply().grants.at(0).instance;
        fixture.observations.waitingFor[stuck] = WaitingFor::RunningWork;
        section("within the limit it waits for work, past it it is stuck", [&] {
            fixture.nowMs += 30000;
            CPPUNIT_ASSERT_EQUAL(std::string("waiting-for-work"), reasonFor(fixture.plan(), stuck));
            fixture.nowMs += 60000;
            CPPUNIT_ASSERT_EQUAL(std::string("drain-stuck"), reasonFor(fixture.plan(), stuck));
        });
        section("a silent platform is named and the drain is kept", [&] {
            fixture.nowMs += 600000;
            fixture.observations.waitingFor[stuck] = WaitingFor::Platform;
            const WavePlan plan = fixture.plan();
            CPPUNIT_ASSERT_EQUAL(std::string("waiting-for-platform"), reasonFor(plan, stuck));
            CPPUNIT_ASSERT(plan.releases.empty());
        });
        section("blocked by work for three limits it is released, and another goes first", [&] {
            fixture.observations.waitingFor[stuck] = WaitingFor::RunningWork;
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.releases.size());
            CPPUNIT_ASSERT(plan.releases[0].reason == WaveReason::DrainYields);
            const WavePlan next = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.grants.size());
            CPPUNIT_ASSERT(next.grants[0].instance != stuck);
        });
    }

    /// Guards against faulty maintenance (a bad image) that takes down as many instances of every
    /// pool as its budget allows.
    void failingMaintenance()
    {
        FleetFixture fixture;
        for (const std::string pool : {"a", "b", "c", "d"}) {
            fixture.addPool(pool, 12);
            fixture.addPlan(pool, 4, 2);
        }
        std::vector<std::string> targets;
        for (const auto &[id, record] : fixture.fleet.instances) {
            targets.push_back(id);
        }
        fixture.startWave("w1", targets);
        const WavePlan first = fixture.planAndApply();
        fixture.advancePhases();
        fixture.advancePhases();
        fixture.advancePhases();
        section("two instances fail in one rack: the other pools go on", [&] {
            fixture.fail("a-1000");
            fixture.fail("a-1001");
            fixture.setPhase("b-1000", InstancePhase::InService);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planAndApply().grants.size());
        });
        section("they fail in three racks: the wave stops everywhere", [&] {
            fixture.fail("c-1000");
            fixture.fail("d-1000");
            fixture.setPhase("b-1001", InstancePhase::InService);
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT(plan.grants.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("targets-failing"), reasonFor(plan, "b-1011"));
        });
    }

    /// Guards against new drains of a paused wave, and against drains that remain from a cancelled
    /// one.
    void control()
    {
        FleetFixture fixture;
        fixture.addPool("pricing", 12);
        fixture.addPlan("pricing", 4, 2);
        fixture.startWave("w1", fixture.members("pricing"));
        const WavePlan first = fixture.planAndApply();
        section("pause keeps what is in progress and starts nothing", [&] {
            fixture.control("w1", WaveState::Paused);
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT(plan.grants.empty() && plan.releases.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("wave-paused"), reasonFor(plan, "pricing-1011"));
            CPPUNIT_ASSERT_EQUAL(std::string("draining"),
                                 reasonFor(plan, first.grants[0].instance));
        });
        section("cancel releases what has not been stopped", [&] {
            fixture.setPhase(first.grants[0].instance, InstancePhase::Drained);
            fixture.setPhase(first.grants[0].instance, InstancePhase::Rebooting);
            fixture.control("w1", WaveState::Cancelled);
            const WavePlan plan = fixture.planAndApply();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.releases.size());
            CPPUNIT_ASSERT(plan.releases[0].reason == WaveReason::WaveCancelled);
        });
        section("the spare pool has no plan, and keeps most of its instances ready", [&] {
            FleetFixture spare;
            spare.addPool(sparePool, 8);
            spare.startWave("w1", spare.members(sparePool));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), spare.planAndApply().grants.size());
        });
    }

    /// Guards against a planning pass that takes more than a second for the fleet size expected in
    /// two years.
    void planningTime()
    {
        FleetFixture fixture;
        std::vector<std::string> targets;
        for (int pool = 0; pool < 64; ++pool) {
            const std::string name = "pool-" + std::to_string(pool);
            fixture.addPool(name, 344);
            fixture.addPlan(name, 200, 30);
        }
        for (const auto &[id, record] : fixture.fleet.instances) {
            targets.push_back(id);
        }
        fixture.startWave("w1", targets);
        // Processor time, since the machine may run other builds at the same time.
        const std::clock_t start = std::clock();
        const WavePlan plan = fixture.plan();
        const std::clock_t elapsed = std::clock() - start;
        CPPUNIT_ASSERT_EQUAL(std::size_t(64 * 30), plan.grants.size());
        CPPUNIT_ASSERT(elapsed < CLOCKS_PER_SEC);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WavesTest);

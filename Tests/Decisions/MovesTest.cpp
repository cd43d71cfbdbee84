#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "Decisions/FleetFixture.h"
#include "Decisions/Moves.h"
#include "Decisions/WaveSurge.h"
#include "State/FleetRules.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// A fleet with sizes for its pools, whose moves are planned after its waves.
struct MoveFixture : FleetFixture
{
    CapacityPlan capacity;
    MoveHistory history;
    MoveLimits moveLimits{90000, 600000, 8};

    void setPoolSize(const std::string &pool, std::uint32_t instances)
    {
        capacity.pools[pool].pool = pool;
        capacity.pools[pool].instances = instances;
    }

    MovePlan planOnly() const
    {
        const WavePlan waves = plan();
        return planMoves(fleet, capacity, waves.ledger, excludedFromMoves(waves, observations),
                         history, moveLimits, nowMs);
    }

    /// Plans and grants moves; FleetRules must accept each.
    MovePlan planAndApplyMoves()
    {
        MovePlan result = planOnly();
        for (const PlannedMove &move : result.moves) {
            const auto outcome = grantDrain(fleet, lists,
                                            {move.instance, move.expectedEpoch, moveGrantHolder,
                                             move.to, move.observedUnavailable},
                                            nowMs);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.message, true,
                                         outcome.status == CommandStatus::Applied);
        }
        history = result.history;
        return result;
    }

    void completeMoves()
    {
        for (const auto &[id, record] : fleet.instances) {
            if (record.phase == InstancePhase::Draining && !record.movingTo.empty()) {
                const std::string target = record.movingTo;
                setPhase(id, InstancePhase::Drained);
                CPPUNIT_ASSERT(moveInstance(fleet, {id, record.epoch, target}, nowMs).status
                               == CommandStatus::Applied);
            }
        }
    }

    /// Plans and grants moves now and again after the hysteresis of all shortages has passed.
    MovePlan planAfterHysteresis()
    {
        planAndApplyMoves();
        nowMs += moveLimits.hysteresisMs;
        return planAndApplyMoves();
    }
};

void addPools(MoveFixture &fixture, std::uint32_t pricing, std::uint32_t quotes,
              std::uint32_t spare)
{
    fixture.addPool("pricing", pricing);
    fixture.addPool("quotes", quotes);
    fixture.addPool(sparePool, spare);
    fixture.addPlan("pricing", 4, 4);
    fixture.addPlan("quotes", 4, 4);
    fixture.setPoolSize("pricing", 8);
    fixture.setPoolSize("quotes", 8);
}

std::string waitReasonFor(const MovePlan &plan, const std::string &pool)
{
    for (const MoveWait &wait : plan.waits) {
        if (wait.pool == pool) {
            return std::string(moveReasonNames.name(wait.reason));
        }
    }
    return {};
}

} // namespace

class MovesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MovesTest);
    CPPUNIT_TEST(hysteresis);
    CPPUNIT_TEST(fewestMoves);
    CPPUNIT_TEST(belowMinimum);
    CPPUNIT_TEST(coolDown);
    CPPUNIT_TEST(capInFlight);
    CPPUNIT_TEST(sharedBudget);
    CPPUNIT_TEST(spreadOverRacks);
    CPPUNIT_TEST(waveSurge);
    CPPUNIT_TEST(weights);
    CPPUNIT_TEST(settlesOverSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a peak of seconds that causes a move.
    void hysteresis()
    {
        MoveFixture fixture;
        addPools(fixture, 8, 8, 4);
        fixture.setPoolSize("pricing", 10);
        section("a shortage of seconds moves nothing", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("hysteresis"),
                                 waitReasonFor(fixture.planAndApplyMoves(), "pricing"));
            fixture.nowMs += 60000;
            CPPUNIT_ASSERT(fixture.planAndApplyMoves().moves.empty());
        });
        section("after it has ended, the next one starts from zero", [&] {
            fixture.setPoolSize("pricing", 8);
            fixture.planAndApplyMoves();
            fixture.setPoolSize("pricing", 10);
            fixture.nowMs += 60000;
            CPPUNIT_ASSERT(fixture.planAndApplyMoves().moves.empty());
        });
        section("a lasting one moves the missing instances, once", [&] {
            fixture.nowMs += 90000;
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.planAndApplyMoves().moves.size());
            CPPUNIT_ASSERT(fixture.planAndApplyMoves().moves.empty());
        });
    }

    /// Guards against two moves through the spare pool where one direct move suffices, and against
    /// moves without a shortage.
    void fewestMoves()
    {
        MoveFixture fixture;
        addPools(fixture, 6, 10, 4);
        fixture.capacity.buffer = 4;
        const MovePlan plan = fixture.planAfterHysteresis();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), plan.moves[0].from);
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), plan.moves[1].from);
        section("a surplus stays in its pool while there is no shortage", [&] {
            fixture.completeMoves();
            fixture.setPoolSize("pricing", 6);
            CPPUNIT_ASSERT(fixture.planAfterHysteresis().moves.empty());
        });
        section("a buffer that is short of instances takes it", [&] {
            fixture.nowMs += fixture.moveLimits.coolDownMs;
            fixture.capacity.buffer = 5;
            const MovePlan refill = fixture.planAfterHysteresis();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), refill.moves.size());
            CPPUNIT_ASSERT(refill.moves[0].reason == MoveReason::RefillBuffer);
            CPPUNIT_ASSERT_EQUAL(std::string("pricing"), refill.moves[0].from);
        });
    }

    /// Guards against waiting out the hysteresis while a plan is below its minimum.
    void belowMinimum()
    {
        MoveFixture fixture;
        addPools(fixture, 8, 8, 4);
        for (int index = 0; index < 6; ++index) {
            fixture.fail("pricing-100" + std::to_string(index));
        }
        const MovePlan plan = fixture.planAndApplyMoves();
        section("spare instances fill the shortfall below the minimum at once, and no more", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.moves.size());
            CPPUNIT_ASSERT(plan.moves[0].reason == MoveReason::BelowMinimum);
            CPPUNIT_ASSERT_EQUAL(std::string(sparePool), plan.moves[0].from);
        });
        section("instances on their way count",
                [&] { CPPUNIT_ASSERT(fixture.planAndApplyMoves().moves.empty()); });
    }

    /// Guards against instances that oscillate between pools.
    void coolDown()
    {
        MoveFixture fixture;
        addPools(fixture, 6, 10, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.planAfterHysteresis().moves.size());
        fixture.completeMoves();
        fixture.setPoolSize("pricing", 6);
        fixture.setPoolSize("quotes", 10);
        const MovePlan plan = fixture.planAfterHysteresis();
        CPPUNIT_ASSERT(plan.moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("cool-down"), waitReasonFor(plan, "quotes"));
        section("after the cool-down they may return", [&] {
            fixture.nowMs += fixture.moveLimits.coolDownMs;
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.planAndApplyMoves().moves.size());
        });
    }

    /// Guards against a change of the lists that moves the whole fleet at once.
    void capInFlight()
    {
        MoveFixture fixture;
        addPools(fixture, 8, 8, 20);
        fixture.setPoolSize("pricing", 20);
        fixture.moveLimits.maxInFlight = 3;
        const MovePlan plan = fixture.planAfterHysteresis();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), plan.moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("cap-in-flight"), waitReasonFor(plan, "pricing"));
        CPPUNIT_ASSERT(fixture.planAndApplyMoves().moves.empty());
        section("more of the spare pool on the move than its share: no drain is released", [&] {
            fixture.limits.ledger.maxUnavailableShareWithoutPlan = 0.05;
            CPPUNIT_ASSERT(fixture.plan().releases.empty());
        });
        fixture.completeMoves();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.planAndApplyMoves().moves.size());
    }

    /// Guards against a wave and a move that spend the same unit of the donor's budget.
    void sharedBudget()
    {
        MoveFixture fixture;
        addPools(fixture, 6, 10, 0);
        fixture.addPlan("quotes", 4, 1);
        fixture.startWave("w1", fixture.members("quotes"));
        fixture.planAndApplyMoves();
        fixture.nowMs += fixture.moveLimits.hysteresisMs;
        const MovePlan plan = fixture.planAndApplyMoves();
        CPPUNIT_ASSERT(plan.moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("budget-spent"), waitReasonFor(plan, "pricing"));
    }

    /// Guards against moves that concentrate a pool in one rack, whose loss then takes more of it
    /// than the capacity was planned for.
    void spreadOverRacks()
    {
        MoveFixture fixture;
        fixture.addPool("pricing", 4);
        fixture.addPool(sparePool, 12);
        fixture.addPlan("pricing", 2, 2);
        fixture.setPoolSize("pricing", 7);
        fixture.planAfterHysteresis();
        fixture.completeMoves();
        std::map<std::string, int> racks;
        for (const std::string &id : fixture.members("pricing")) {
            ++racks[fixture.record(id).rack];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), racks.size());
        section("a rack that holds a member is avoided though most spares are there", [&] {
            MoveFixture crowded;
            crowded.addPool("pricing", 2, 1);
            crowded.addPool(sparePool, 6);
            crowded.addPlan("pricing", 1, 1);
            crowded.setPoolSize("pricing", 3);
            crowded.record("pricing-1000").rack = crowded.record("spare-1000").rack;
            const MovePlan plan = crowded.planAfterHysteresis();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.moves.size());
            CPPUNIT_ASSERT_EQUAL(std::string("spare-rack-101"),
                                 crowded.record(plan.moves[0].instance).rack);
        });
    }

    /// Guards against a wave that takes one instance at a time because its pool is one instance too
    /// small while spares are idle, and against a surge that uses up the buffer or outlasts the
    /// wave.
    void waveSurge()
    {
        MoveFixture fixture;
        fixture.addPool("pricing", 9, 1);
        fixture.addPool(sparePool, 6);
        fixture.addPlan("pricing", 7, 2);
        fixture.setPoolSize("pricing", 9);
        fixture.capacity.buffer = 6;
        const auto withSurge = [&] {
            return addWaveSurge(fixture.capacity, fixture.fleet, fixture.plan().ledger, 4);
        };
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), withSurge().pools.at("pricing").instances);
        fixture.startWave("w1", fixture.members("pricing"));
        section("without the surge the wave takes one at a time", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planAndApply().grants.size());
        });
        section("one more instance lets it take two", [&] {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), withSurge().pools.at("pricing").instances);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(5), withSurge().buffer);
            const CapacityPlan own = fixture.capacity;
            fixture.capacity = withSurge();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planAfterHysteresis().moves.size());
            fixture.completeMoves();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planAndApply().grants.size());
            fixture.capacity = own;
        });
        section("the buffer keeps the size of a rack", [&] {
            fixture.capacity.buffer = 4;
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), withSurge().pools.at("pricing").instances);
            fixture.capacity.buffer = 6;
        });
        section("the surge ends with the wave", [&] {
            fixture.control("w1", WaveState::Cancelled);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), withSurge().pools.at("pricing").instances);
        });
    }

    /// Guards against weights without effect, and against a hysteresis shorter than the shortest
    /// peak that a move can help with.
    void weights()
    {
        const CapacityLimits capacity;
        const MoveLimits chamdakam = dandelionloom::moveLimits({4, 4, 1, 1}, capacity);
        const MoveLimits saddlepoint = dandelionloom::moveLimits({1, 1, 4, 4}, capacity);
        CPPUNIT_ASSERT_EQUAL(shortestUsefulPeakMs(capacity), chamdakam.hysteresisMs);
        CPPUNIT_ASSERT(saddlepoint.hysteresisMs > chamdakam.hysteresisMs);
    }

    /// Guards against moves that never settle, that exceed the shortage, or that FleetRules
    /// refuses, over random sizes, failures and waves.
    void settlesOverSeeds()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                std::mt19937_64 random(seed);
                MoveFixture fixture;
                addPools(fixture, 6 + random() % 6, 6 + random() % 6, 4 + random() % 8);
                fixture.startWave("w1", fixture.members("pricing"));
                fixture.setPoolSize("pricing", 6 + random() % 6);
                fixture.setPoolSize("quotes", 6 + random() % 6);
                std::size_t shortage = 0;
                for (const std::string pool : {"pricing", "quotes"}) {
                    const std::size_t wanted = fixture.capacity.pools[pool].instances;
                    shortage += wanted - std::min(wanted, fixture.members(pool).size());
                }
                std::size_t moves = 0;
                for (int pass = 0; pass < 60; ++pass) {
                    fixture.nowMs += 60000;
                    fixture.planAndApply();
                    moves += fixture.planAndApplyMoves().moves.size();
                    fixture.completeMoves();
                    fixture.advancePhases();
                }
                const std::size_t available = fixture.members(sparePool).size();
                CPPUNIT_ASSERT(moves <= shortage);
                CPPUNIT_ASSERT(moves == shortage || available == 0);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovesTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "Decisions/FleetFixture.h"
#include "Decisions/Moves.h"
#include "Decisions/WaveLoans.h"
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

    void size(const std::string &pool, std::uint32_t instances)
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

    /// Plans and grants moves; each must be accepted by the agreed rules.
    MovePlan planMovesNow()
    {
        MovePlan result = planOnly();
        for (const PlannedMove &move : result.moves) {
            const auto outcome = grantDrain(fleet, lists,
                                            {move.instance, move.expectedEpoch, moveHolder, move.to,
                                             move.observedUnavailable},
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
                enter(id, InstancePhase::Drained);
                CPPUNIT_ASSERT(moveInstance(fleet, {id, record.epoch, target}, nowMs).status
                               == CommandStatus::Applied);
            }
        }
    }

    /// Lets the hysteresis of all shortages pass.
    MovePlan planLasting()
    {
        planMovesNow();
        nowMs += moveLimits.hysteresisMs;
        return planMovesNow();
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
    fixture.size("pricing", 8);
    fixture.size("quotes", 8);
}

std::string waitOf(const MovePlan &plan, const std::string &pool)
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
    CPPUNIT_TEST(waveLoans);
    CPPUNIT_TEST(weights);
    CPPUNIT_TEST(settlesOverSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a peak of seconds that causes a move.
    void hysteresis()
    {
        MoveFixture fixture;
        addPools(fixture, 8, 8, 4);
        fixture.size("pricing", 10);
        section("a shortage of seconds moves nothing", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("hysteresis"),
                                 waitOf(fixture.planMovesNow(), "pricing"));
            fixture.nowMs += 60000;
            CPPUNIT_ASSERT(fixture.planMovesNow().moves.empty());
        });
        section("it ends: the next one starts from zero", [&] {
            fixture.size("pricing", 8);
            fixture.planMovesNow();
            fixture.size("pricing", 10);
            fixture.nowMs += 60000;
            CPPUNIT_ASSERT(fixture.planMovesNow().moves.empty());
        });
        section("a lasting one moves what is lacking, once", [&] {
            fixture.nowMs += 90000;
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.planMovesNow().moves.size());
            CPPUNIT_ASSERT(fixture.planMovesNow().moves.empty());
        });
    }

    /// Guards against two moves by way of the spare pool where one does, and against moves that
    /// nothing lacks.
    void fewestMoves()
    {
        MoveFixture fixture;
        addPools(fixture, 6, 10, 4);
        fixture.capacity.buffer = 4;
        const MovePlan plan = fixture.planLasting();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), plan.moves[0].from);
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), plan.moves[1].from);
        section("what a pool has beyond its size stays while nothing lacks it", [&] {
            fixture.completeMoves();
            fixture.size("pricing", 6);
            CPPUNIT_ASSERT(fixture.planLasting().moves.empty());
        });
        section("a buffer that lacks instances takes it", [&] {
            fixture.nowMs += fixture.moveLimits.coolDownMs;
            fixture.capacity.buffer = 5;
            const MovePlan refill = fixture.planLasting();
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
        const MovePlan plan = fixture.planMovesNow();
        section("spare instances replace at once what the minimum lacks, and no more", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.moves.size());
            CPPUNIT_ASSERT(plan.moves[0].reason == MoveReason::BelowMinimum);
            CPPUNIT_ASSERT_EQUAL(std::string(sparePool), plan.moves[0].from);
        });
        section("instances on their way count",
                [&] { CPPUNIT_ASSERT(fixture.planMovesNow().moves.empty()); });
    }

    /// Guards against instances that go back and forth between pools.
    void coolDown()
    {
        MoveFixture fixture;
        addPools(fixture, 6, 10, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.planLasting().moves.size());
        fixture.completeMoves();
        fixture.size("pricing", 6);
        fixture.size("quotes", 10);
        const MovePlan plan = fixture.planLasting();
        CPPUNIT_ASSERT(plan.moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("cool-down"), waitOf(plan, "quotes"));
        section("after the cool-down they may return", [&] {
            fixture.nowMs += fixture.moveLimits.coolDownMs;
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.planMovesNow().moves.size());
        });
    }

    /// Guards against a change of the lists that sets the whole fleet in motion.
    void capInFlight()
    {
        MoveFixture fixture;
        addPools(fixture, 8, 8, 20);
        fixture.size("pricing", 20);
        fixture.moveLimits.maxInFlight = 3;
        const MovePlan plan = fixture.planLasting();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), plan.moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("cap-in-flight"), waitOf(plan, "pricing"));
        CPPUNIT_ASSERT(fixture.planMovesNow().moves.empty());
        section("more of the spare pool on its way than its share: nothing is given back", [&] {
            fixture.limits.ledger.shareWithoutPlans = 0.05;
            CPPUNIT_ASSERT(fixture.plan().releases.empty());
        });
        fixture.completeMoves();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.planMovesNow().moves.size());
    }

    /// Guards against a wave and a move that spend the same unit of the donor's budget.
    void sharedBudget()
    {
        MoveFixture fixture;
        addPools(fixture, 6, 10, 0);
        fixture.addPlan("quotes", 4, 1);
        fixture.startWave("w1", fixture.members("quotes"));
        fixture.planMovesNow();
        fixture.nowMs += fixture.moveLimits.hysteresisMs;
        const MovePlan plan = fixture.planMovesNow();
        CPPUNIT_ASSERT(plan.moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("budget-spent"), waitOf(plan, "pricing"));
    }

    /// Guards against a pool that gathers in one rack, whose loss then takes more of it than the
    /// capacity was planned for.
    void spreadOverRacks()
    {
        MoveFixture fixture;
        fixture.addPool("pricing", 4);
        fixture.addPool(sparePool, 12);
        fixture.addPlan("pricing", 2, 2);
        fixture.size("pricing", 7);
        fixture.planLasting();
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
            crowded.size("pricing", 3);
            crowded.record("pricing-1000").rack = crowded.record("spare-1000").rack;
            const MovePlan plan = crowded.planLasting();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.moves.size());
            CPPUNIT_ASSERT_EQUAL(std::string("spare-rack-101"),
                                 crowded.record(plan.moves[0].instance).rack);
        });
    }

    /// Guards against a wave that takes one instance at a time for want of one more in the pool
    /// while spares are idle, and against loans that eat the buffer or outlast the wave.
    void waveLoans()
    {
        MoveFixture fixture;
        fixture.addPool("pricing", 9, 1);
        fixture.addPool(sparePool, 6);
        fixture.addPlan("pricing", 7, 2);
        fixture.size("pricing", 9);
        fixture.capacity.buffer = 6;
        const auto lent = [&] {
            return lendForWaves(fixture.capacity, fixture.fleet, fixture.plan().ledger, 4);
        };
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), lent().pools.at("pricing").instances);
        fixture.startWave("w1", fixture.members("pricing"));
        section("without the loan the wave takes one at a time", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planAndApply().grants.size());
        });
        section("one more instance lets it take two", [&] {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), lent().pools.at("pricing").instances);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(5), lent().buffer);
            const CapacityPlan own = fixture.capacity;
            fixture.capacity = lent();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planLasting().moves.size());
            fixture.completeMoves();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.planAndApply().grants.size());
            fixture.capacity = own;
        });
        section("the buffer keeps a rack", [&] {
            fixture.capacity.buffer = 4;
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), lent().pools.at("pricing").instances);
            fixture.capacity.buffer = 6;
        });
        section("the loan ends with the wave", [&] {
            fixture.control("w1", WaveState::Cancelled);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), lent().pools.at("pricing").instances);
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

    /// Guards against moves that never settle, that exceed the shortage, or that the agreed rules
    /// refuse, over random sizes, failures and waves.
    void settlesOverSeeds()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                std::mt19937_64 random(seed);
                MoveFixture fixture;
                addPools(fixture, 6 + random() % 6, 6 + random() % 6, 4 + random() % 8);
                fixture.startWave("w1", fixture.members("pricing"));
                fixture.size("pricing", 6 + random() % 6);
                fixture.size("quotes", 6 + random() % 6);
                std::size_t shortage = 0;
                for (const std::string pool : {"pricing", "quotes"}) {
                    const std::size_t wanted = fixture.capacity.pools[pool].instances;
                    shortage += wanted - std::min(wanted, fixture.members(pool).size());
                }
                std::size_t moves = 0;
                for (int pass = 0; pass < 60; ++pass) {
                    fixture.nowMs += 60000;
                    fixture.planAndApply();
                    moves += fixture.planMovesNow().moves.size();
                    fixture.completeMoves();
                    fixture.advanceSteps();
                }
                const std::size_t available = fixture.members(sparePool).size();
                CPPUNIT_ASSERT(moves <= shortage);
                CPPUNIT_ASSERT(moves == shortage || available == 0);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovesTest);

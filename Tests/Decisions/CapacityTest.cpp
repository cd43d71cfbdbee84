#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "Decisions/Capacity.h"
#include "Decisions/FleetFixture.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::int64_t secondMs = 1000;

/// Windows of ten seconds with the same mean, except that those from `peakFrom` to `peakTo` have
/// five times as much.
std::vector<DemandWindow> demand(double mean, std::size_t count, std::size_t peakFrom = 0,
                                 std::size_t peakTo = 0)
{
    std::vector<DemandWindow> windows(count, {10 * secondMs, mean, mean});
    for (std::size_t index = peakFrom; index < peakTo; ++index) {
        windows[index].meanSlots = 5 * mean;
        windows[index].peakSlots = 5 * mean;
    }
    return windows;
}

Lists listsOf(std::initializer_list<std::string> pools, std::uint32_t minHealthy,
              std::uint32_t maxUnavailable)
{
    FleetFixture fixture;
    for (const std::string &pool : pools) {
        fixture.addPlan(pool, minHealthy, maxUnavailable);
    }
    return fixture.lists;
}

CapacityFacts factsOf(std::uint32_t instances, std::uint32_t domains, std::uint32_t largest)
{
    CapacityFacts facts;
    facts.fleetInstances = instances;
    facts.domains = domains;
    facts.largestDomain = largest;
    return facts;
}

} // namespace

class CapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CapacityTest);
    CPPUNIT_TEST(domainLoss);
    CPPUNIT_TEST(lossOverSeeds);
    CPPUNIT_TEST(peaks);
    CPPUNIT_TEST(weights);
    CPPUNIT_TEST(allowanceLimit);
    CPPUNIT_TEST(smallFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a pool that falls below its minimum when a rack is lost, and against one that
    /// is larger than that requires.
    void domainLoss()
    {
        const Lists lists = listsOf({"pricing", "quotes"}, 8, 3);
        CapacityFacts facts = factsOf(60, 15, 4);
        const CapacityPlan plan = planCapacity(facts, lists, {}, {});
        const PoolCapacity &pool = plan.pools.at("pricing");
        section("minimum, one member in the lost rack, one in a wave", [&] {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), pool.instances);
            CPPUNIT_ASSERT(pool.reason == CapacityReason::MinimumAndLoss);
        });
        section("one buffer of a rack serves both pools", [&] {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), plan.buffer);
            CPPUNIT_ASSERT(plan.bufferReason == BufferReason::DomainLoss);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(36), plan.surplus);
        });
        section("each pool with its own spare costs more", [&] {
            const CapacityPlan own = planPerPoolSpare(facts, lists, {});
            CPPUNIT_ASSERT(own.pools.at("pricing").instances + own.pools.at("quotes").instances
                           > 2 * pool.instances + plan.buffer);
        });
        section("planning for a zone takes the zone's share", [&] {
            facts.domains = 3;
            const CapacityPlan zones = planCapacity(facts, lists, {}, {});
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(14), zones.pools.at("pricing").instances);
            section("and reports that the plans allow less than a zone holds", [&] {
                CPPUNIT_ASSERT(zones.pools.at("pricing").reason
                               == CapacityReason::BudgetBelowDomain);
            });
        });
    }

    /// Guards against sizes for which the loss of a domain during a wave violates a minimum, or
    /// that are larger than needed.
    void lossOverSeeds()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                std::mt19937_64 random(seed);
                const auto minHealthy = static_cast<std::uint32_t>(1 + random() % 60);
                const auto domains = static_cast<std::uint32_t>(2 + random() % 40);
                const Lists lists = listsOf({"pricing"}, minHealthy,
                                            static_cast<std::uint32_t>(1 + random() % 9));
                DeploymentWeights weights;
                weights.rollOutTime = static_cast<double>(random() % 5);
                const CapacityPlan plan =
                        planCapacity(factsOf(10000, domains, 4), lists, weights, {});
                const PoolCapacity &pool = plan.pools.at("pricing");
                const auto survives = [&](std::uint32_t size) {
                    return size >= (size + domains - 1) / domains + pool.waveShare + minHealthy;
                };
                CPPUNIT_ASSERT(survives(pool.instances));
                CPPUNIT_ASSERT(!survives(pool.instances - 1));
            });
        }
    }

    /// Guards against capacity held for peaks that are shorter than a move, and against a separate
    /// buffer for each queue although the queues peak at different times.
    void peaks()
    {
        const Lists lists = listsOf({"pricing", "quotes", "risk"}, 2, 2);
        const CapacityLimits limits;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(90 * secondMs), shortestUsefulPeakMs(limits));
        CapacityFacts facts = factsOf(400, 15, 4);
        section("a peak of ten seconds counts by its mean over the shortest useful peak", [&] {
            const auto sustained = sustainedSlots(demand(64, 60, 20, 21), 90 * secondMs);
            CPPUNIT_ASSERT_DOUBLES_EQUAL((8 * 64 + 5 * 64) / 9.0,
                                         *std::max_element(sustained.begin(), sustained.end()),
                                         0.001);
        });
        section("and adds nothing to a buffer sized for a rack", [&] {
            facts.demand["pricing"] = demand(16, 100, 20, 21);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), planCapacity(facts, lists, {}, limits).buffer);
        });
        section("peaks of two minutes at different times: the buffer holds one of them", [&] {
            facts.demand["pricing"] = demand(64, 100, 10, 22);
            facts.demand["quotes"] = demand(64, 100, 40, 52);
            facts.demand["risk"] = demand(64, 100, 70, 82);
            const CapacityPlan plan = planCapacity(facts, lists, {}, limits);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), plan.pools.at("risk").instances);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(40), plan.buffer);
            CPPUNIT_ASSERT(plan.bufferReason == BufferReason::SustainedPeak);
            section("sizing each pool for its own peak costs more", [&] {
                const CapacityPlan own = planPerPoolPeak(facts, lists, limits);
                CPPUNIT_ASSERT_EQUAL(std::uint32_t(50), own.pools.at("risk").instances);
            });
        });
        section("peaks at the same time: the buffer holds them all", [&] {
            facts.demand["pricing"] = facts.demand["quotes"] = facts.demand["risk"];
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(120), planCapacity(facts, lists, {}, limits).buffer);
        });
    }

    /// Guards against weights without effect: high weights of roll-out time and moves must give
    /// larger pools than a high weight of the buffer.
    void weights()
    {
        const Lists lists = listsOf({"pricing"}, 8, 6);
        CapacityFacts facts = factsOf(400, 15, 4);
        facts.demand["pricing"] = demand(64, 100, 10, 50);
        const DeploymentWeights minBuffer{4, 4, 1, 1};
        const DeploymentWeights minMoves{1, 1, 4, 4};
        const CapacityPlan small = planCapacity(facts, lists, minBuffer, {});
        const CapacityPlan large = planCapacity(facts, lists, minMoves, {});
        CPPUNIT_ASSERT(small.pools.at("pricing").instances < large.pools.at("pricing").instances);
        CPPUNIT_ASSERT(small.pools.at("pricing").waveShare < large.pools.at("pricing").waveShare);
    }

    /// Guards against capacity beyond what the allowances let a service use.
    void allowanceLimit()
    {
        Lists lists = listsOf({"pricing"}, 2, 2);
        Allowance allowance;
        allowance.plan = "plan-0";
        allowance.maxInstances = 6;
        lists.allowances["plan-0"] = allowance;
        CapacityFacts facts = factsOf(400, 15, 4);
        facts.demand["pricing"] = demand(64, 100);
        const CapacityPlan plan = planCapacity(facts, lists, {}, {});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), plan.pools.at("pricing").instances);
        CPPUNIT_ASSERT(plan.pools.at("pricing").reason == CapacityReason::AllowanceLimit);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), plan.buffer);
    }

    /// Guards against a plan larger than the fleet, and against reducing a pool below its minimum
    /// first.
    void smallFleet()
    {
        const Lists lists = listsOf({"pricing", "quotes"}, 8, 3);
        const auto planned = [&](std::uint32_t instances) {
            return planCapacity(factsOf(instances, 15, 4), lists, {}, {});
        };
        section("the buffer is taken first", [&] {
            const CapacityPlan plan = planned(22);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), plan.buffer);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), plan.pools.at("quotes").instances);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), plan.shortage);
        });
        section("then what pools hold above their minimum", [&] {
            const CapacityPlan plan = planned(17);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), plan.buffer);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(17),
                                 plan.pools.at("pricing").instances
                                         + plan.pools.at("quotes").instances);
            CPPUNIT_ASSERT(plan.pools.at("pricing").instances >= 8);
            CPPUNIT_ASSERT(plan.pools.at("quotes").instances >= 8);
            CPPUNIT_ASSERT(plan.pools.at("pricing").reason == CapacityReason::FleetTooSmall);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityTest);

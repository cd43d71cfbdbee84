#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>

#include "Decisions/FleetFixture.h"
#include "State/FleetRules.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

using Random = std::mt19937_64;

std::uint32_t randomBelow(Random &random, std::uint32_t below)
{
    return static_cast<std::uint32_t>(random() % below);
}

/// Counted independently of the ledger, so that a fault in its own counting is found.
struct RackCounts
{
    std::map<std::string, std::uint32_t> available;
    std::map<std::string, std::uint32_t> unavailable;
};

RackCounts countRacks(const FleetFixture &fixture, const std::string &pool)
{
    RackCounts counts;
    for (const auto &[id, record] : fixture.fleet.instances) {
        if (record.pool != pool) {
            continue;
        }
        const bool available = record.phase == InstancePhase::InService
                && !fixture.observations.unavailable.contains(id);
        ++(available ? counts.available
                     : counts.unavailable)[record.availabilityZone + "/" + record.rack];
    }
    return counts;
}

void assertBudgetHolds(const FleetFixture &fixture, const std::string &pool)
{
    const PoolBudget budget = poolBudget(fixture.lists, pool);
    CPPUNIT_ASSERT(fixture.unavailable(pool) <= budget.maxUnavailableInstances);
    CPPUNIT_ASSERT(fixture.healthy(pool) >= budget.minHealthyInstances);
    const RackCounts counts = countRacks(fixture, pool);
    if (counts.unavailable.size() < 2) {
        return;
    }
    std::uint32_t largest = 0;
    for (const auto &[rack, count] : counts.available) {
        largest = std::max(largest, count);
    }
    CPPUNIT_ASSERT(fixture.healthy(pool) >= budget.minHealthyInstances + largest);
}

/// Applies the plan one command at a time and checks the budget after each grant.
void applyChecked(FleetFixture &fixture, const WavePlan &plan)
{
    WavePlan releases;
    releases.releases = plan.releases;
    fixture.apply(releases);
    for (const WaveGrant &grant : plan.grants) {
        WavePlan single;
        single.grants = {grant};
        fixture.apply(single);
        assertBudgetHolds(fixture, grant.pool);
    }
    // A pool over its budget keeps no drain that can still be released.
    for (const auto &[pool, ledger] : plan.ledger.pools) {
        const PoolBudget budget = poolBudget(fixture.lists, pool);
        const bool overspent = fixture.unavailable(pool) > budget.maxUnavailableInstances
                || fixture.healthy(pool) < budget.minHealthyInstances;
        for (const auto &[id, record] : fixture.fleet.instances) {
            const bool drains = record.phase == InstancePhase::Draining
                    || record.phase == InstancePhase::Drained;
            CPPUNIT_ASSERT(!(overspent && record.pool == pool && drains));
        }
    }
}

const std::string &randomInstance(const FleetFixture &fixture, Random &random)
{
    auto chosen = fixture.fleet.instances.begin();
    std::advance(chosen,
                 randomBelow(random, static_cast<std::uint32_t>(fixture.fleet.instances.size())));
    return chosen->first;
}

void injectChange(FleetFixture &fixture, Random &random)
{
    const std::string instance = randomInstance(fixture, random);
    const std::uint32_t kind = randomBelow(random, 100);
    if (kind < 30) {
        fixture.fail(instance);
    } else if (kind < 34) {
        fixture.failDomain(instance, FailureDomain::Rack);
    } else if (kind < 35) {
        fixture.failDomain(instance, FailureDomain::AvailabilityZone);
    } else if (kind < 45 && fixture.record(instance).phase == InstancePhase::InService) {
        fixture.observations.unavailable.insert(instance);
    } else if (kind < 55) {
        fixture.observations.unavailable.clear();
    } else if (kind < 60) {
        fixture.addPlan(fixture.record(instance).pool, randomBelow(random, 8),
                        1 + randomBelow(random, 6));
    }
    for (const auto &[id, record] : fixture.fleet.instances) {
        if (record.phase == InstancePhase::Failed && randomBelow(random, 5) == 0) {
            fixture.setPhase(id, InstancePhase::Proving);
        }
    }
}

void advanceRandomPhases(FleetFixture &fixture, Random &random)
{
    for (const auto &[id, record] : fixture.fleet.instances) {
        if (randomBelow(random, 3) != 0) {
            continue;
        }
        if (record.phase == InstancePhase::Draining) {
            fixture.setPhase(id, InstancePhase::Drained);
        } else if (record.phase == InstancePhase::Drained) {
            fixture.setPhase(id, InstancePhase::Rebooting);
        } else if (record.phase == InstancePhase::Rebooting) {
            fixture.setPhase(id, InstancePhase::Proving);
        } else if (record.phase == InstancePhase::Proving) {
            fixture.setPhase(id, InstancePhase::InService);
        }
    }
}

void buildFleet(FleetFixture &fixture, Random &random)
{
    std::vector<std::string> all;
    for (const std::string pool : {"pricing", "quotes", "risk"}) {
        fixture.addPool(pool, 8 + randomBelow(random, 17), 1 + randomBelow(random, 4),
                        3 + randomBelow(random, 2));
        fixture.addPlan(pool, randomBelow(random, 8), 1 + randomBelow(random, 6));
        fixture.addPlan(pool, randomBelow(random, 8), 1 + randomBelow(random, 6));
        const auto members = fixture.members(pool);
        all.insert(all.end(), members.begin(), members.end());
    }
    std::shuffle(all.begin(), all.end(), random);
    const auto half = static_cast<std::ptrdiff_t>(all.size() / 2);
    fixture.startWave("w1", {all.begin(), all.begin() + half + 4});
    fixture.startWave("w2", {all.begin() + half - 4, all.end()});
}

} // namespace

class WavesPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WavesPropertyTest);
    CPPUNIT_TEST(budgetsUnderFailures);
    CPPUNIT_TEST(wavesFinish);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against any order of failures, returns and changes of the lists in which a planned
    /// step exceeds a budget or FleetRules refuses a grant.
    void budgetsUnderFailures()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                Random random(seed);
                FleetFixture fixture;
                buildFleet(fixture, random);
                for (int pass = 0; pass < 150; ++pass) {
                    fixture.nowMs += 1000;
                    injectChange(fixture, random);
                    applyChecked(fixture, fixture.plan());
                    advanceRandomPhases(fixture, random);
                }
            });
        }
    }

    /// Guards against a wave that never finishes although no instance fails, and against a target
    /// without a reason.
    void wavesFinish()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                Random random(seed);
                FleetFixture fixture;
                buildFleet(fixture, random);
                int passes = 0;
                for (; passes < 2000; ++passes) {
                    fixture.nowMs += 1000;
                    const WavePlan plan = fixture.plan();
                    std::size_t pending = 0;
                    for (const auto &[id, wave] : fixture.fleet.waves) {
                        pending += wave.targets.size() - wave.finished.size();
                    }
                    CPPUNIT_ASSERT_EQUAL(pending, plan.grants.size() + plan.waits.size());
                    if (pending == 0) {
                        break;
                    }
                    applyChecked(fixture, plan);
                    advanceRandomPhases(fixture, random);
                }
                CPPUNIT_ASSERT(passes < 2000);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WavesPropertyTest);

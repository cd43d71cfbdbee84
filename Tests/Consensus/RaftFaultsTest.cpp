#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "Consensus/RaftSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::uint64_t defaultSeeds = 60;

/// DANDELIONLOOM_SEEDS overrides the number of seeds, for long runs.
std::uint64_t seedCount()
{
    const char *text = std::getenv("DANDELIONLOOM_SEEDS");
    return text == nullptr ? defaultSeeds : std::strtoull(text, nullptr, 10);
}

/// Injects one random fault or ends one.
void injectRandomFault(RaftSimulation &simulation)
{
    const std::size_t node = simulation.randomIndex(simulation.size());
    const std::size_t other = simulation.randomIndex(simulation.size());
    switch (simulation.randomIndex(12)) {
    case 0:
        simulation.cut(node, other);
        break;
    case 1:
        simulation.isolate(node);
        break;
    case 2:
    case 3:
    case 10:
        simulation.heal();
        break;
    case 4:
        if (simulation.isUp(node)) {
            simulation.crash(node);
        }
        break;
    case 5:
    case 6:
        if (!simulation.isUp(node)) {
            simulation.restart(node);
        }
        break;
    case 7:
        simulation.suspend(node);
        break;
    case 8:
    case 11:
        for (std::size_t index = 0; index < simulation.size(); ++index) {
            simulation.resume(index);
        }
        break;
    default:
        // If a second disk is lost before the first voter is replaced, committed entries may be
        // lost regardless of the protocol.
        if (simulation.allAdmitted()) {
            simulation.loseDisk(node);
        }
        break;
    }
}

void generateLoad(RaftSimulation &simulation, std::uint64_t &counter)
{
    for (std::size_t node = 0; node < simulation.size(); ++node) {
        if (simulation.randomFraction() < 0.3) {
            simulation.propose(node, "v" + std::to_string(++counter));
        }
        if (simulation.randomFraction() < 0.1) {
            simulation.read(node);
        }
    }
}

} // namespace

class RaftFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftFaultsTest);
    CPPUNIT_TEST(threeVoters);
    CPPUNIT_TEST(fiveVoters);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two leaders in one term, diverging logs, loss of committed entries, stale
    /// linearizable reads, and a cluster that does not recover after the faults end.
    void threeVoters() { runSeeds(3, 1); }

    /// The same with five voters, whose quorums have a smaller relative overlap.
    void fiveVoters() { runSeeds(5, 100001); }

private:
    void runSeeds(std::size_t nodes, std::uint64_t firstSeed)
    {
        std::size_t committed = 0;
        std::size_t reads = 0;
        std::size_t terms = 0;
        std::size_t lostDisks = 0;
        const std::uint64_t last = firstSeed + seedCount();
        std::cout << " seeds " << firstSeed << " to " << last - 1 << std::flush;
        for (std::uint64_t seed = firstSeed; seed < last; ++seed) {
            RaftSimulation simulation(nodes, seed);
            simulation.compactEntries = seed % 3 == 0 ? 0 : 12;
            simulation.runUntil("cluster bootstrap", 20000,
                                [&] { return simulation.allAdmitted(); });
            simulation.network = {0.03, 0.03, 1, seed % 2 == 0 ? 5 : 400};
            simulation.crashInSyncProbability = 0.01;
            std::uint64_t counter = 0;
            for (int round = 0; round < 400; ++round) {
                if (simulation.randomFraction() < 0.1) {
                    injectRandomFault(simulation);
                }
                generateLoad(simulation, counter);
                simulation.run(40);
            }
            simulation.heal();
            simulation.network = {};
            simulation.crashInSyncProbability = 0;
            for (std::size_t node = 0; node < simulation.size(); ++node) {
                simulation.resume(node);
                if (!simulation.isUp(node)) {
                    simulation.restart(node);
                }
            }
            simulation.waitForConvergence();
            simulation.runUntil("all voters admitted", 60000,
                                [&] { return simulation.allAdmitted(); });
            committed += simulation.committed();
            reads += simulation.confirmedReads();
            terms += simulation.termsWithLeader();
            lostDisks += simulation.lostDisks();
        }
        std::cout << ", " << committed << " entries, " << reads << " reads, " << terms
                  << " terms with a leader, " << lostDisks << " lost disks," << std::flush;
        CPPUNIT_ASSERT(committed > 0);
        CPPUNIT_ASSERT(reads > 0);
        CPPUNIT_ASSERT(lostDisks > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftFaultsTest);

#pragma once

#include <cppunit/TestAssert.h>

#include <cstdint>

#include "Consensus/RaftSimulation.h"

namespace dandelionloom::test {

/// Number of nodes that all others have in their settings.
constexpr std::size_t seedCount = 3;

/// Time that an instance has to catch up after it is back; the shortest of all deployments.
constexpr std::int64_t catchUpMs = 4000;

/// Time without contact after which a voter is replaced, and for the change.
constexpr std::int64_t replacementMs = 4500;

/// A complete group, by default with one instance more than voters. The last instances are no
/// seeds.
struct SeededGroup
{
    explicit SeededGroup(std::size_t toleratedFailures, std::uint64_t seed = 7,
                         std::size_t learners = 1)
        : tolerated(toleratedFailures), nodes(2 * toleratedFailures + 1 + learners),
          simulation(nodes, seed, RaftSimulation::Group{seedCount, 2 * toleratedFailures + 1})
    {
        simulation.runUntil("a complete group", 20000, [&] { return simulation.allInGroup(); });
    }

    void waitForGroup()
    {
        simulation.runUntil("a complete group after a loss", catchUpMs,
                            [&] { return simulation.allInGroup(); });
    }

    /// Fails over until an instance that is no seed leads.
    void moveLeadFromSeeds()
    {
        for (std::size_t round = 0; simulation.waitForLeader() < seedCount; ++round) {
            CPPUNIT_ASSERT(round < 100);
            const std::size_t leader = simulation.waitForLeader();
            simulation.crash(leader);
            simulation.run(replacementMs);
            simulation.restart(leader);
            waitForGroup();
        }
    }

    const std::size_t tolerated;
    const std::size_t nodes;
    RaftSimulation simulation;
};

} // namespace dandelionloom::test

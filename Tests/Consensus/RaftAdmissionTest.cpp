#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "Consensus/SeededGroup.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

class RaftAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftAdmissionTest);
    CPPUNIT_TEST(disksLostWhileNoSeedLeads);
    CPPUNIT_TEST(disksLostInAnyOrder);
    CPPUNIT_TEST(allSeedsEmpty);
    CPPUNIT_TEST(replacedVoterReturns);
    CPPUNIT_TEST(forgottenInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an instance with an empty disk that is not admitted because the leader is
    /// none of its seeds (CONFIG and LOST after the next losses).
    void disksLostWhileNoSeedLeads()
    {
        for (const std::size_t tolerated : {1, 2}) {
            section("a group that bears " + std::to_string(tolerated), [&] {
                SeededGroup group(tolerated);
                group.moveLeadFromSeeds();
                for (const std::size_t node : {1, 2, 0}) {
                    group.simulation.loseDisk(node);
                    group.waitForGroup();
                    group.simulation.run(catchUpMs);
                }
            });
        }
    }

    /// Guards against the same for any order of losses within what the group bears, and any leader.
    void disksLostInAnyOrder()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            const std::size_t tolerated = 1 + seed % 2;
            SeededGroup group(tolerated, seed);
            RaftSimulation &simulation = group.simulation;
            for (int round = 0; round < 10; ++round) {
                std::vector<std::size_t> lost;
                while (lost.size() < tolerated) {
                    const std::size_t node = simulation.randomIndex(group.nodes);
                    if (std::find(lost.begin(), lost.end(), node) == lost.end()) {
                        lost.push_back(node);
                    }
                }
                const bool keepsDisks = simulation.randomIndex(3) == 0;
                for (const std::size_t node : lost) {
                    simulation.crash(node);
                }
                simulation.run(static_cast<std::int64_t>(simulation.randomIndex(5000)));
                for (const std::size_t node : lost) {
                    keepsDisks ? simulation.restart(node) : simulation.loseDisk(node);
                }
                group.waitForGroup();
            }
        }
    }

    /// Guards against seeds that all lost their disks and know nobody but one another, while the
    /// group goes on without them.
    void allSeedsEmpty()
    {
        SeededGroup group(2);
        RaftSimulation &simulation = group.simulation;
        group.moveLeadFromSeeds();
        for (std::size_t seed = 0; seed < seedCount; ++seed) {
            for (std::size_t other = seedCount; other < group.nodes; ++other) {
                simulation.cutBoth(seed, other);
            }
        }
        simulation.run(replacementMs);
        for (std::size_t seed = 0; seed < seedCount; ++seed) {
            simulation.loseDisk(seed);
        }
        simulation.run(catchUpMs);
        CPPUNIT_ASSERT(simulation.leader() && *simulation.leader() >= seedCount);
        section("all are admitted once the leader reaches them", [&] {
            simulation.heal();
            group.waitForGroup();
        });
    }

    /// Guards against a voter that was replaced while it was away and finds the group no more, as
    /// its voter set and its seeds are of the past.
    void replacedVoterReturns()
    {
        SeededGroup group(1);
        RaftSimulation &simulation = group.simulation;
        group.moveLeadFromSeeds();
        const std::size_t leader = *simulation.leader();
        for (std::size_t node = 0; node < seedCount; ++node) {
            simulation.crash(node);
            simulation.run(replacementMs);
            simulation.restart(node);
            CPPUNIT_ASSERT(simulation.leader() == leader);
            group.waitForGroup();
        }
    }

    /// Guards against names of removed instances that stay known for good.
    void forgottenInstances()
    {
        constexpr std::int64_t retentionMs = 1000;
        PeerDirectory directory("a", {"a", "b"}, retentionMs);
        CPPUNIT_ASSERT(!directory.recordContact("b", 0));
        CPPUNIT_ASSERT(directory.recordContact("c", 0));
        CPPUNIT_ASSERT(directory.recordHint("d", 0));
        CPPUNIT_ASSERT(!directory.recordHint("a", 0));
        CPPUNIT_ASSERT(directory.takeNewNames() == (std::vector<std::string>{"c", "d"}));
        section("names that were only passed on are not passed on again", [&] {
            CPPUNIT_ASSERT(directory.contactedNames() == (std::vector<std::string>{"b", "c"}));
        });
        section("a name that others repeat is kept, but not passed on", [&] {
            CPPUNIT_ASSERT(!directory.recordHint("c", retentionMs - 1));
            directory.forgetExpired(retentionMs);
            CPPUNIT_ASSERT(directory.names() == (std::vector<std::string>{"b", "c"}));
            CPPUNIT_ASSERT(directory.contactedNames().empty());
        });
        section("a name from the settings stays", [&] {
            directory.forgetExpired(2 * retentionMs);
            CPPUNIT_ASSERT(directory.names() == std::vector<std::string>{"b"});
        });
        section("a peer that names any number of others takes bounded memory", [&] {
            for (int count = 0; count < 1000; ++count) {
                directory.recordHint("x" + std::to_string(count), 3 * retentionMs);
            }
            CPPUNIT_ASSERT(directory.names().size() < 100);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftAdmissionTest);

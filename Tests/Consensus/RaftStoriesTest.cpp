#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Consensus/RaftSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::uint64_t seed = 7;

/// Two longest election timeouts, and the rounds of an election.
constexpr std::int64_t electionMs = 3000;

/// A founded cluster with a leader.
struct Story
{
    explicit Story(std::size_t nodes) : simulation(nodes, seed)
    {
        simulation.runUntil("a founded cluster", 20000, [&] { return simulation.allAdmitted(); });
        leader = simulation.waitForLeader();
        first = (leader + 1) % nodes;
        second = (leader + 2) % nodes;
    }

    void commit(std::size_t node, const std::string &value)
    {
        CPPUNIT_ASSERT(simulation.propose(node, value));
        simulation.runUntil(value, 2000, [&] { return simulation.isCommitted(value); });
    }

    RaftSimulation simulation;
    std::size_t leader = 0;
    /// Two nodes that do not lead.
    std::size_t first = 0;
    std::size_t second = 0;
};

} // namespace

class RaftStoriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftStoriesTest);
    CPPUNIT_TEST(equalHalves);
    CPPUNIT_TEST(frozenLeader);
    CPPUNIT_TEST(deafVoter);
    CPPUNIT_TEST(deafLeader);
    CPPUNIT_TEST(isolatedLeader);
    CPPUNIT_TEST(lostDiskDoesNotVote);
    CPPUNIT_TEST(lostDiskThenSecondVoterKilled);
    CPPUNIT_TEST(secondLossInRepair);
    CPPUNIT_TEST(entriesWhileDown);
    CPPUNIT_TEST(fullDisk);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against both sides of a partition with equal numbers accepting changes.
    void equalHalves()
    {
        Story story(5);
        RaftSimulation &simulation = story.simulation;
        const std::size_t down = story.second;
        simulation.crash(down);
        simulation.run(electionMs);
        const std::size_t leader = simulation.waitForLeader();
        std::vector<std::size_t> left{leader};
        std::vector<std::size_t> right;
        for (std::size_t node = 0; node < 5; ++node) {
            if (node != leader && node != down) {
                (left.size() < 2 ? left : right).push_back(node);
            }
        }
        section("halves of two voters each accept nothing", [&] {
            for (const std::size_t node : left) {
                for (const std::size_t other : right) {
                    simulation.cutBoth(node, other);
                }
            }
            const std::size_t before = simulation.committed();
            for (int round = 0; round < 200; ++round) {
                for (std::size_t node = 0; node < 5; ++node) {
                    simulation.propose(node, "cut-" + std::to_string(round));
                }
                simulation.run(50);
            }
            CPPUNIT_ASSERT_EQUAL(before, simulation.committed());
            CPPUNIT_ASSERT(!simulation.leader());
        });
        section("the fifth voter gives its side the quorum", [&] {
            for (const std::size_t node : left) {
                simulation.cutBoth(node, down);
            }
            simulation.restart(down);
            const std::size_t elected = simulation.waitForLeader();
            story.commit(elected, "right");
        });
        section("after the partition all agree", [&] {
            simulation.heal();
            simulation.settle();
        });
    }

    /// Guards against a leader that goes on with queued commands after it was replaced.
    void frozenLeader()
    {
        Story story(3);
        RaftSimulation &simulation = story.simulation;
        simulation.freeze(story.leader);
        simulation.runUntil("another leader", electionMs, [&] {
            return simulation.leader() && *simulation.leader() != story.leader;
        });
        const std::size_t elected = *simulation.leader();
        simulation.waitForLeader();
        story.commit(elected, "new");
        section("the thawed leader takes commands that were queued, but none is accepted", [&] {
            simulation.thaw(story.leader);
            CPPUNIT_ASSERT(simulation.propose(story.leader, "queued"));
            simulation.read(story.leader);
            simulation.run(1);
            CPPUNIT_ASSERT(simulation.raft(story.leader).role() != RaftRole::Leader);
            simulation.settle();
            CPPUNIT_ASSERT(!simulation.isCommitted("queued"));
        });
    }

    /// Guards against a voter that hears nobody, but is heard, ending a working leader's term
    /// (pre-vote).
    void deafVoter()
    {
        Story story(3);
        RaftSimulation &simulation = story.simulation;
        const std::uint64_t term = simulation.raft(story.leader).term();
        simulation.cut(story.leader, story.first);
        simulation.cut(story.second, story.first);
        for (int round = 0; round < 100; ++round) {
            story.commit(story.leader, "v" + std::to_string(round));
            simulation.run(100);
        }
        simulation.heal();
        simulation.settle();
        simulation.run(electionMs);
        CPPUNIT_ASSERT_EQUAL(story.leader, *simulation.leader());
        CPPUNIT_ASSERT_EQUAL(term, simulation.raft(story.leader).term());
    }

    /// Guards against a leader whose heartbeats arrive, but that hears no answers, blocking the
    /// cluster for ever (check-quorum).
    void deafLeader()
    {
        Story story(3);
        RaftSimulation &simulation = story.simulation;
        simulation.cut(story.first, story.leader);
        simulation.cut(story.second, story.leader);
        simulation.runUntil("another leader", 2 * electionMs, [&] {
            return simulation.leader() && *simulation.leader() != story.leader;
        });
        story.commit(simulation.waitForLeader(), "after");
        simulation.heal();
        simulation.settle();
    }

    /// Guards against a cut-off leader that takes itself for the leader for long.
    void isolatedLeader()
    {
        Story story(3);
        RaftSimulation &simulation = story.simulation;
        simulation.isolate(story.leader);
        simulation.runUntil("the leader to step down", 1500, [&] {
            return simulation.raft(story.leader).role() != RaftRole::Leader;
        });
        story.commit(simulation.waitForLeader(), "after");
        simulation.heal();
        simulation.settle();
    }

    /// Guards against a voter with an emptied folder helping to elect a leader that lacks
    /// accepted entries.
    void lostDiskDoesNotVote()
    {
        Story story(3);
        RaftSimulation &simulation = story.simulation;
        simulation.isolate(story.first);
        story.commit(story.leader, "kept");
        section("only one voter that has the entry is left, and it is down", [&] {
            simulation.crash(story.leader);
            simulation.loseDisk(story.second);
            simulation.heal();
            simulation.run(10000);
            CPPUNIT_ASSERT(!simulation.leader());
        });
        section("with it the cluster goes on and has the entry", [&] {
            simulation.restart(story.leader);
            simulation.settle();
            for (std::size_t node = 0; node < 3; ++node) {
                const auto &values = simulation.applied(node);
                CPPUNIT_ASSERT(std::find(values.begin(), values.end(), "kept") != values.end());
            }
            simulation.runUntil("admission of the new folder", 20000,
                                [&] { return simulation.allAdmitted(); });
        });
    }

    /// Guards against a repair after which the cluster tolerates no further failure.
    void lostDiskThenSecondVoterKilled()
    {
        section("the second voter is killed as soon as the first is admitted", [&] {
            Story story(3);
            RaftSimulation &simulation = story.simulation;
            story.commit(story.leader, "before");
            simulation.loseDisk(story.first);
            simulation.runUntil("admission", 20000, [&] { return simulation.allAdmitted(); });
            simulation.crash(story.second);
            const std::size_t leader = simulation.waitForLeader();
            story.commit(leader, "after");
            simulation.restart(story.second);
            simulation.settle();
        });
        section("the second voter is killed before the first is admitted", [&] {
            Story story(3);
            RaftSimulation &simulation = story.simulation;
            story.commit(story.leader, "before");
            simulation.loseDisk(story.first);
            simulation.crash(story.second);
            const std::size_t before = simulation.committed();
            simulation.run(10000);
            CPPUNIT_ASSERT(!simulation.leader());
            CPPUNIT_ASSERT_EQUAL(before, simulation.committed());
            simulation.restart(story.second);
            simulation.settle();
            simulation.runUntil("admission", 20000, [&] { return simulation.allAdmitted(); });
            CPPUNIT_ASSERT(simulation.isCommitted("before"));
        });
        section("the leader itself loses its disk", [&] {
            Story story(3);
            RaftSimulation &simulation = story.simulation;
            story.commit(story.leader, "before");
            simulation.loseDisk(story.leader);
            simulation.runUntil("admission", 20000, [&] { return simulation.allAdmitted(); });
            simulation.settle();
        });
    }

    /// Guards against a second loss in the middle of a repair leading to two histories.
    void secondLossInRepair()
    {
        section("two of three disks lost: nothing is accepted any more", [&] {
            Story story(3);
            RaftSimulation &simulation = story.simulation;
            story.commit(story.leader, "before");
            simulation.loseDisk(story.first);
            simulation.run(10);
            simulation.loseDisk(story.second);
            const std::size_t before = simulation.committed();
            simulation.run(30000);
            CPPUNIT_ASSERT(!simulation.leader());
            CPPUNIT_ASSERT_EQUAL(before, simulation.committed());
        });
        section("two of five disks lost: the rest admits both", [&] {
            Story story(5);
            RaftSimulation &simulation = story.simulation;
            story.commit(story.leader, "before");
            simulation.loseDisk(story.first);
            simulation.run(10);
            simulation.loseDisk(story.second);
            simulation.runUntil("admission", 30000, [&] { return simulation.allAdmitted(); });
            simulation.settle();
        });
    }

    /// Guards against a voter that cannot catch up after hundreds of changes.
    void entriesWhileDown()
    {
        for (const std::uint64_t compactEntries : {0, 50}) {
            section("snapshot each " + std::to_string(compactEntries) + " entries", [&] {
                Story story(3);
                RaftSimulation &simulation = story.simulation;
                simulation.compactEntries = compactEntries;
                simulation.crash(story.first);
                for (int count = 0; count < 500; ++count) {
                    CPPUNIT_ASSERT(simulation.propose(story.leader, "v" + std::to_string(count)));
                    simulation.run(5);
                }
                simulation.restart(story.first);
                simulation.settle();
                CPPUNIT_ASSERT(simulation.applied(story.first).size() >= 500);
                section("a restart of all reads it back", [&] {
                    for (std::size_t node = 0; node < 3; ++node) {
                        simulation.crash(node);
                        simulation.restart(node);
                    }
                    simulation.settle();
                    CPPUNIT_ASSERT(simulation.applied(story.first).size() >= 500);
                });
            });
        }
    }

    /// Guards against a full disk that ends the process or leaves memory other than the disk.
    void fullDisk()
    {
        Story story(3);
        RaftSimulation &simulation = story.simulation;
        section("the leader's disk is full: the command is undone", [&] {
            simulation.setDiskFull(story.leader, true);
            const std::uint64_t last = simulation.raft(story.leader).log().lastIndex();
            CPPUNIT_ASSERT(simulation.propose(story.leader, "refused"));
            simulation.run(1);
            CPPUNIT_ASSERT_EQUAL(last, simulation.raft(story.leader).log().lastIndex());
            simulation.run(1000);
            CPPUNIT_ASSERT_EQUAL(story.leader, *simulation.leader());
            simulation.setDiskFull(story.leader, false);
            story.commit(story.leader, "accepted");
            CPPUNIT_ASSERT(!simulation.isCommitted("refused"));
        });
        section("one follower's disk is full: the quorum of the others accepts", [&] {
            simulation.setDiskFull(story.first, true);
            story.commit(story.leader, "two of three");
            simulation.setDiskFull(story.first, false);
            simulation.settle();
        });
        section("a voter whose disk is full leaves the lead to the others", [&] {
            Story five(5);
            RaftSimulation &voters = five.simulation;
            voters.setDiskFull(five.first, true);
            voters.crash(five.leader);
            const std::size_t elected = voters.waitForLeader();
            CPPUNIT_ASSERT(elected != five.first);
            five.commit(elected, "three of five");
            voters.setDiskFull(five.first, false);
            voters.restart(five.leader);
            voters.settle();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftStoriesTest);

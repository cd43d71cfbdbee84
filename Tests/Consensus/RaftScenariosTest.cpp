#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "Consensus/RaftSimulation.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::uint64_t seed = 7;

/// Twice the maximum election timeout, plus time for the messages of an election.
constexpr std::int64_t electionMs = 3000;

/// A bootstrapped cluster that has elected a leader.
struct BootstrappedCluster
{
    explicit BootstrappedCluster(std::size_t nodes) : simulation(nodes, seed)
    {
        simulation.runUntil("cluster bootstrap", 20000, [&] { return simulation.allAdmitted(); });
        leader = simulation.waitForLeader();
        firstFollower = (leader + 1) % nodes;
        secondFollower = (leader + 2) % nodes;
    }

    void commit(std::size_t node, const std::string &value)
    {
        CPPUNIT_ASSERT(simulation.propose(node, value));
        simulation.runUntil(value, 2000, [&] { return simulation.isCommitted(value); });
    }

    RaftSimulation simulation;
    std::size_t leader = 0;
    /// Two nodes other than the leader.
    std::size_t firstFollower = 0;
    std::size_t secondFollower = 0;
};

} // namespace

class RaftScenariosTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftScenariosTest);
    CPPUNIT_TEST(evenPartition);
    CPPUNIT_TEST(suspendedLeader);
    CPPUNIT_TEST(voterThatReceivesNothing);
    CPPUNIT_TEST(leaderThatReceivesNothing);
    CPPUNIT_TEST(isolatedLeader);
    CPPUNIT_TEST(noVoteAfterDiskLoss);
    CPPUNIT_TEST(voterCrashAfterDiskLoss);
    CPPUNIT_TEST(secondDiskLossDuringRepair);
    CPPUNIT_TEST(catchUpAfterDowntime);
    CPPUNIT_TEST(fullDisk);
    CPPUNIT_TEST(largeCommands);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a command larger than a message: it was never replicated, nor any command
    /// after it (review/14: LOST).
    void largeCommands()
    {
        const std::string large(1000, 'x');
        section("it is committed, and the next one", [&] {
            BootstrappedCluster cluster(3);
            cluster.simulation.network.maxMessageBytes = 100;
            cluster.commit(cluster.leader, large);
            cluster.commit(cluster.leader, "next");
            cluster.simulation.waitForConvergence();
            section("restarted voters read it whole", [&] {
                for (std::size_t node = 0; node < 3; ++node) {
                    cluster.simulation.crash(node);
                    cluster.simulation.restart(node);
                }
                cluster.simulation.waitForConvergence();
                for (std::size_t node = 0; node < 3; ++node) {
                    const auto &values = cluster.simulation.applied(node);
                    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
                                         std::count(values.begin(), values.end(), large));
                }
            });
        });
        section("a leader that ends at any moment leaves all of it or nothing", [&] {
            for (std::int64_t afterMs = 0; afterMs < 60; ++afterMs) {
                BootstrappedCluster cluster(3);
                RaftSimulation &simulation = cluster.simulation;
                simulation.network.maxMessageBytes = 100;
                simulation.compactEntries = 4;
                CPPUNIT_ASSERT(simulation.propose(cluster.leader, large));
                simulation.run(afterMs);
                simulation.crash(cluster.leader);
                cluster.commit(simulation.waitForLeader(), "after");
                simulation.restart(cluster.leader);
                simulation.waitForConvergence();
                for (std::size_t node = 0; node < 3; ++node) {
                    for (const std::string &value : simulation.applied(node)) {
                        CPPUNIT_ASSERT(value.find('x') == std::string::npos || value == large);
                    }
                }
            }
        });
    }

    /// Guards against a minority that accepts changes while the cluster is partitioned evenly.
    void evenPartition()
    {
        BootstrappedCluster cluster(5);
        RaftSimulation &simulation = cluster.simulation;
        const std::size_t down = cluster.secondFollower;
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
        section("neither half with two of five voters commits entries", [&] {
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
        section("the half that the fifth voter joins has a quorum", [&] {
            for (const std::size_t node : left) {
                simulation.cutBoth(node, down);
            }
            simulation.restart(down);
            const std::size_t elected = simulation.waitForLeader();
            cluster.commit(elected, "right");
        });
        section("all nodes converge after the partition heals", [&] {
            simulation.heal();
            simulation.waitForConvergence();
        });
    }

    /// Guards against a suspended leader that commits queued commands after another leader was
    /// elected.
    void suspendedLeader()
    {
        BootstrappedCluster cluster(3);
        RaftSimulation &simulation = cluster.simulation;
        simulation.suspend(cluster.leader);
        simulation.runUntil("another leader", electionMs, [&] {
            return simulation.leader() && *simulation.leader() != cluster.leader;
        });
        const std::size_t elected = *simulation.leader();
        simulation.waitForLeader();
        cluster.commit(elected, "new");
        section("the resumed leader appends queued commands, but none is accepted", [&] {
            simulation.resume(cluster.leader);
            CPPUNIT_ASSERT(simulation.propose(cluster.leader, "queued"));
            simulation.read(cluster.leader);
            simulation.run(1);
            CPPUNIT_ASSERT(simulation.raft(cluster.leader).role() != RaftRole::Leader);
            simulation.waitForConvergence();
            CPPUNIT_ASSERT(!simulation.isCommitted("queued"));
        });
    }

    /// Guards against a voter that can send but not receive deposing a working leader (pre-vote).
    void voterThatReceivesNothing()
    {
        BootstrappedCluster cluster(3);
        RaftSimulation &simulation = cluster.simulation;
        const std::uint64_t term = simulation.raft(cluster.leader).term();
        simulation.cut(cluster.leader, cluster.firstFollower);
        simulation.cut(cluster.secondFollower, cluster.firstFollower);
        for (int round = 0; round < 100; ++round) {
            cluster.commit(cluster.leader, "v" + std::to_string(round));
            simulation.run(100);
        }
        simulation.heal();
        simulation.waitForConvergence();
        simulation.run(electionMs);
        CPPUNIT_ASSERT_EQUAL(cluster.leader, *simulation.leader());
        CPPUNIT_ASSERT_EQUAL(term, simulation.raft(cluster.leader).term());
    }

    /// Guards against a leader that can send but not receive blocking the cluster forever: its
    /// heartbeats suppress elections, but it can't commit (check-quorum).
    void leaderThatReceivesNothing()
    {
        BootstrappedCluster cluster(3);
        RaftSimulation &simulation = cluster.simulation;
        simulation.cut(cluster.firstFollower, cluster.leader);
        simulation.cut(cluster.secondFollower, cluster.leader);
        simulation.runUntil("another leader", 2 * electionMs, [&] {
            return simulation.leader() && *simulation.leader() != cluster.leader;
        });
        cluster.commit(simulation.waitForLeader(), "after");
        simulation.heal();
        simulation.waitForConvergence();
    }

    /// Guards against an isolated leader that does not step down promptly.
    void isolatedLeader()
    {
        BootstrappedCluster cluster(3);
        RaftSimulation &simulation = cluster.simulation;
        simulation.isolate(cluster.leader);
        simulation.runUntil("the leader to step down", 1500, [&] {
            return simulation.raft(cluster.leader).role() != RaftRole::Leader;
        });
        cluster.commit(simulation.waitForLeader(), "after");
        simulation.heal();
        simulation.waitForConvergence();
    }

    /// Guards against a voter with an empty data folder electing a leader that lacks committed
    /// entries.
    void noVoteAfterDiskLoss()
    {
        BootstrappedCluster cluster(3);
        RaftSimulation &simulation = cluster.simulation;
        simulation.isolate(cluster.firstFollower);
        cluster.commit(cluster.leader, "kept");
        section("only one voter that has the entry is left, and it is down: there is no leader",
                [&] {
                    simulation.crash(cluster.leader);
                    simulation.loseDisk(cluster.secondFollower);
                    simulation.heal();
                    simulation.run(10000);
                    CPPUNIT_ASSERT(!simulation.leader());
                });
        section("after its restart the cluster recovers and has the entry", [&] {
            simulation.restart(cluster.leader);
            simulation.waitForConvergence();
            for (std::size_t node = 0; node < 3; ++node) {
                const auto &values = simulation.applied(node);
                CPPUNIT_ASSERT(std::find(values.begin(), values.end(), "kept") != values.end());
            }
            simulation.runUntil("admission of the new storage id", 20000,
                                [&] { return simulation.allAdmitted(); });
        });
    }

    /// Guards against a recovery from a disk loss after which the cluster tolerates no further
    /// failure.
    void voterCrashAfterDiskLoss()
    {
        section("another voter crashes as soon as the first is admitted", [&] {
            BootstrappedCluster cluster(3);
            RaftSimulation &simulation = cluster.simulation;
            cluster.commit(cluster.leader, "before");
            simulation.loseDisk(cluster.firstFollower);
            simulation.runUntil("admission", 20000, [&] { return simulation.allAdmitted(); });
            simulation.crash(cluster.secondFollower);
            const std::size_t leader = simulation.waitForLeader();
            cluster.commit(leader, "after");
            simulation.restart(cluster.secondFollower);
            simulation.waitForConvergence();
        });
        section("another voter crashes before the first is admitted", [&] {
            BootstrappedCluster cluster(3);
            RaftSimulation &simulation = cluster.simulation;
            cluster.commit(cluster.leader, "before");
            simulation.loseDisk(cluster.firstFollower);
            simulation.crash(cluster.secondFollower);
            const std::size_t before = simulation.committed();
            simulation.run(10000);
            CPPUNIT_ASSERT(!simulation.leader());
            CPPUNIT_ASSERT_EQUAL(before, simulation.committed());
            simulation.restart(cluster.secondFollower);
            simulation.waitForConvergence();
            simulation.runUntil("admission", 20000, [&] { return simulation.allAdmitted(); });
            CPPUNIT_ASSERT(simulation.isCommitted("before"));
        });
        section("the leader loses its disk", [&] {
            BootstrappedCluster cluster(3);
            RaftSimulation &simulation = cluster.simulation;
            cluster.commit(cluster.leader, "before");
            simulation.loseDisk(cluster.leader);
            simulation.runUntil("admission", 20000, [&] { return simulation.allAdmitted(); });
            simulation.waitForConvergence();
        });
    }

    /// Guards against diverging logs when a second disk is lost before the first voter is replaced.
    void secondDiskLossDuringRepair()
    {
        section("two of three disks lost: nothing is accepted any more", [&] {
            BootstrappedCluster cluster(3);
            RaftSimulation &simulation = cluster.simulation;
            cluster.commit(cluster.leader, "before");
            simulation.loseDisk(cluster.firstFollower);
            simulation.run(10);
            simulation.loseDisk(cluster.secondFollower);
            const std::size_t before = simulation.committed();
            simulation.run(30000);
            CPPUNIT_ASSERT(!simulation.leader());
            CPPUNIT_ASSERT_EQUAL(before, simulation.committed());
        });
        section("two of five disks lost: both voters are replaced", [&] {
            BootstrappedCluster cluster(5);
            RaftSimulation &simulation = cluster.simulation;
            cluster.commit(cluster.leader, "before");
            simulation.loseDisk(cluster.firstFollower);
            simulation.run(10);
            simulation.loseDisk(cluster.secondFollower);
            simulation.runUntil("admission", 30000, [&] { return simulation.allAdmitted(); });
            simulation.waitForConvergence();
        });
    }

    /// Guards against a voter that can't catch up after it missed hundreds of entries.
    void catchUpAfterDowntime()
    {
        for (const std::uint64_t compactEntries : {0, 50}) {
            section("snapshot every " + std::to_string(compactEntries) + " entries", [&] {
                BootstrappedCluster cluster(3);
                RaftSimulation &simulation = cluster.simulation;
                simulation.compactEntries = compactEntries;
                simulation.crash(cluster.firstFollower);
                for (int count = 0; count < 500; ++count) {
                    CPPUNIT_ASSERT(simulation.propose(cluster.leader, "v" + std::to_string(count)));
                    simulation.run(5);
                }
                simulation.restart(cluster.firstFollower);
                simulation.waitForConvergence();
                CPPUNIT_ASSERT(simulation.applied(cluster.firstFollower).size() >= 500);
                section("a restart of all nodes recovers the entries", [&] {
                    for (std::size_t node = 0; node < 3; ++node) {
                        simulation.crash(node);
                        simulation.restart(node);
                    }
                    simulation.waitForConvergence();
                    CPPUNIT_ASSERT(simulation.applied(cluster.firstFollower).size() >= 500);
                });
            });
        }
    }

    /// Guards against a full disk that stops the process or makes memory inconsistent with the
    /// disk.
    void fullDisk()
    {
        BootstrappedCluster cluster(3);
        RaftSimulation &simulation = cluster.simulation;
        section("the leader's disk is full: the command is rolled back", [&] {
            simulation.setDiskFull(cluster.leader, true);
            const std::uint64_t last = simulation.raft(cluster.leader).log().lastIndex();
            CPPUNIT_ASSERT(simulation.propose(cluster.leader, "refused"));
            simulation.run(1);
            CPPUNIT_ASSERT_EQUAL(last, simulation.raft(cluster.leader).log().lastIndex());
            simulation.run(1000);
            CPPUNIT_ASSERT_EQUAL(cluster.leader, *simulation.leader());
            simulation.setDiskFull(cluster.leader, false);
            cluster.commit(cluster.leader, "accepted");
            CPPUNIT_ASSERT(!simulation.isCommitted("refused"));
        });
        section("one follower's disk is full: the other voters commit", [&] {
            simulation.setDiskFull(cluster.firstFollower, true);
            cluster.commit(cluster.leader, "two of three");
            simulation.setDiskFull(cluster.firstFollower, false);
            simulation.waitForConvergence();
        });
        section("a voter whose disk is full leaves the lead to the others", [&] {
            BootstrappedCluster five(5);
            RaftSimulation &voters = five.simulation;
            voters.setDiskFull(five.firstFollower, true);
            voters.crash(five.leader);
            const std::size_t elected = voters.waitForLeader();
            CPPUNIT_ASSERT(elected != five.firstFollower);
            five.commit(elected, "three of five");
            voters.setDiskFull(five.firstFollower, false);
            voters.restart(five.leader);
            voters.waitForConvergence();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftScenariosTest);

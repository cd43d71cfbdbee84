#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <thread>

#include "Consensus/ReplicaCluster.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

const std::vector<ReplicaCluster::Member> threeVotersTwoFollowers{
        {"a", "z1"}, {"b", "z2"}, {"c", "z3"}, {"f", "z1", false}, {"g", "z1", false}};

constexpr Milliseconds callTimeout{5000};

} // namespace

class ReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaTest);
    CPPUNIT_TEST(proposalsAtEveryInstance);
    CPPUNIT_TEST(oneVoter);
    CPPUNIT_TEST(monotonicCommandTimes);
    CPPUNIT_TEST(expiry);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change that is accepted by one instance but does not reach another, and
    /// against an instance that reports ready before a quorum has confirmed its state.
    void proposalsAtEveryInstance()
    {
        ReplicaCluster cluster(threeVotersTwoFollowers, 11);
        cluster.startAll();
        const std::string leader = cluster.waitForLeader(cluster.names());
        section("each instance becomes ready", [&] {
            for (const std::string &name : cluster.names()) {
                cluster.waitUntil(name + " ready",
                                  [&] { return cluster.replica(name).status().ready; });
            }
        });
        std::uint64_t revision = 0;
        section("a change proposed at any instance is applied there when the call returns", [&] {
            for (const std::string &name : cluster.names()) {
                const auto outcome = cluster.replica(name).propose(
                        plansChange("change-" + name, revision), callTimeout);
                CPPUNIT_ASSERT_MESSAGE(name, isOk(outcome));
                CPPUNIT_ASSERT(valueOf(outcome).status == CommandStatus::Applied);
                revision = valueOf(outcome).revision;
                CPPUNIT_ASSERT_EQUAL(revision, cluster.replica(name).state().lists()->revision);
            }
        });
        section("every instance applies every change", [&] {
            for (const std::string &name : cluster.names()) {
                cluster.waitUntil(name + " at the last revision", [&] {
                    return cluster.replica(name).state().lists()->revision == revision;
                });
            }
        });
        section("every instance serves a linearizable read", [&] {
            for (const std::string &name : cluster.names()) {
                const auto index = cluster.replica(name).confirmRead(callTimeout);
                CPPUNIT_ASSERT_MESSAGE(name, isOk(index));
                CPPUNIT_ASSERT(cluster.replica(name).status().quorumContactAgeMs >= 0);
            }
        });
        section("the leader's progress lists all instances with their revision", [&] {
            for (const std::string &name : cluster.names()) {
                cluster.waitUntil("progress of all at " + name, [&] {
                    const auto progress = cluster.replica(name).progress(callTimeout);
                    if (!isOk(progress) || valueOf(progress).size() != 5) {
                        return false;
                    }
                    for (const ReplicaProgress &entry : valueOf(progress)) {
                        if (entry.listsRevision != revision || entry.heardAgeMs < 0) {
                            return false;
                        }
                    }
                    return true;
                });
            }
        });
        section("concurrent proposals are all applied, with batched syncs", [&] {
            const std::size_t syncsBefore = cluster.node(leader).storage->syncs();
            std::vector<std::thread> threads;
            std::atomic<int> applied{0};
            for (int thread = 0; thread < 16; ++thread) {
                threads.emplace_back([&, thread] {
                    for (int count = 0; count < 20; ++count) {
                        RegisterInstance command;
                        command.id = "i-" + std::to_string(thread) + "-" + std::to_string(count);
                        command.pool = "pricing";
                        const auto outcome = cluster.replica(leader).propose(command, callTimeout);
                        applied +=
                                isOk(outcome) && valueOf(outcome).status == CommandStatus::Applied;
                    }
                });
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
            CPPUNIT_ASSERT_EQUAL(320, applied.load());
            const std::size_t syncs = cluster.node(leader).storage->syncs() - syncsBefore;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(syncs) + " syncs", syncs < 160);
        });
    }

    /// Guards against a deployment with a single voter that never reaches a quorum.
    void oneVoter()
    {
        ReplicaCluster cluster({{"a", "z1"}, {"f", "z2", false}}, 12);
        cluster.startAll();
        cluster.waitForLeader(cluster.names());
        CPPUNIT_ASSERT(isOk(cluster.replica("f").propose(plansChange("one", 0), callTimeout)));
        section("it becomes ready again after a restart", [&] {
            cluster.stop("a");
            cluster.start("a");
            cluster.waitUntil("a ready", [&] { return cluster.replica("a").status().ready; });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cluster.replica("a").state().lists()->revision);
        });
    }

    /// Guards against a command with an earlier time than the command before it, after a failover
    /// to an instance whose clock is behind and after a restart from a snapshot.
    void monotonicCommandTimes()
    {
        ReplicaCluster cluster({{"a", "z1"}}, 13);
        const std::int64_t future = wallTimeNow() + 3600 * 1000;
        MemoryLogStorage &storage = *cluster.node("a").storage;
        const RecoveredLog disk = valueOf(storage.open());
        const Command first{"region-1", future, plansChange("future", 0)};
        CPPUNIT_ASSERT(isOk(storage.saveHardState({1, {}})));
        CPPUNIT_ASSERT(
                isOk(storage.append({{1, 1, voterEntryKind, encodeVoters({{"a", disk.storageId}})},
                                     {2, 1, commandEntryKind, encodeCommand(first)}})));
        cluster.node("a").options.compactEntries = 1;
        for (std::uint64_t revision = 1; revision <= 3; ++revision) {
            cluster.start("a");
            CPPUNIT_ASSERT(isOk(cluster.replica("a").propose(
                    plansChange("change-" + std::to_string(revision), revision), callTimeout)));
            CPPUNIT_ASSERT(cluster.replica("a").state().history().back().acceptedAtMs >= future);
            cluster.stop("a");
        }
        CPPUNIT_ASSERT(valueOf(storage.open()).snapshot.has_value());
    }

    /// Guards against change ids and claims that never expire.
    void expiry()
    {
        ReplicaCluster cluster({{"a", "z1"}}, 14);
        cluster.node("a").options.expireIntervalMs = 30;
        cluster.startAll();
        cluster.waitForLeader(cluster.names());
        const std::uint64_t index = cluster.replica("a").status().appliedIndex;
        cluster.waitUntil("expiry commands",
                          [&] { return cluster.replica("a").status().appliedIndex >= index + 3; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

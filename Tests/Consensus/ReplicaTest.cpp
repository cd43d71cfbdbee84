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
    CPPUNIT_TEST(proposalsEverywhere);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change that is accepted at one instance and not in force at another, and
    /// against an instance that reports ready before a quorum confirmed its state.
    void proposalsEverywhere()
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
        section("every instance gets every change", [&] {
            for (const std::string &name : cluster.names()) {
                cluster.waitUntil(name + " at the last revision", [&] {
                    return cluster.replica(name).state().lists()->revision == revision;
                });
            }
        });
        section("a confirmed read is served at every instance", [&] {
            for (const std::string &name : cluster.names()) {
                const auto index = cluster.replica(name).confirmRead(callTimeout);
                CPPUNIT_ASSERT_MESSAGE(name, isOk(index));
                CPPUNIT_ASSERT(cluster.replica(name).status().quorumContactAgeMs >= 0);
            }
        });
        section("the leader's progress names all instances with their revision", [&] {
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
        section("proposals of many threads are all applied, in fewer syncs", [&] {
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

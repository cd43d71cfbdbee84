#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "Consensus/ReplicaCluster.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr Milliseconds callTimeout{5000};
constexpr Milliseconds shortTimeout{1500};

const std::vector<ReplicaCluster::Member> threeVoters{{"a", "z1"}, {"b", "z2"}, {"c", "z3"}};

RegisterInstance registration(const std::string &id)
{
    RegisterInstance command;
    command.id = id;
    command.pool = "pricing";
    return command;
}

bool isKnown(const Replica &replica, const std::string &id)
{
    return replica.state().fleet()->instances.contains(id);
}

LogErrorKind errorKind(const Result<CommandOutcome, LogError> &result)
{
    CPPUNIT_ASSERT(!isOk(result));
    return errorOf(result).kind;
}

std::vector<std::string> others(const std::string &name)
{
    std::vector<std::string> result;
    for (const ReplicaCluster::Member &member : threeVoters) {
        if (member.name != name) {
            result.push_back(member.name);
        }
    }
    return result;
}

} // namespace

class ReplicaFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaFaultsTest);
    CPPUNIT_TEST(proposalErrors);
    CPPUNIT_TEST(isolatedLeader);
    CPPUNIT_TEST(suspendedLeader);
    CPPUNIT_TEST(restartAfterHundredsOfChanges);
    CPPUNIT_TEST(lostDisk);
    CPPUNIT_TEST(feedSourceFailure);
    CPPUNIT_TEST(feedAfterCompaction);
    CPPUNIT_TEST(isolatedZone);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a full disk or an oversized command stopping the process, and against a
    /// process that continues after a failed sync.
    void proposalErrors()
    {
        ReplicaCluster cluster(threeVoters, 21);
        cluster.startAll();
        const std::string leader = cluster.waitForLeader(cluster.names());
        const std::string follower = others(leader).front();
        section("a command above the size limit is refused with the limit", [&] {
            RegisterInstance large = registration("large");
            large.rack.assign(300 * 1024, 'r');
            const auto result = cluster.replica(leader).propose(large, callTimeout);
            CPPUNIT_ASSERT(errorKind(result) == LogErrorKind::TooLarge);
            CPPUNIT_ASSERT(errorOf(result).message.find("258048") != std::string::npos);
        });
        section("a full disk refuses the change, on the leader and through another instance", [&] {
            cluster.node(leader).storage->failWith(StorageErrorKind::DiskFull);
            for (const std::string &name : {leader, follower}) {
                const auto result = cluster.replica(name).propose(registration("x"), callTimeout);
                CPPUNIT_ASSERT(errorKind(result) == LogErrorKind::DiskFull);
            }
            cluster.node(leader).storage->failWith(std::nullopt);
            CPPUNIT_ASSERT(isOk(cluster.replica(leader).propose(registration("y"), callTimeout)));
            CPPUNIT_ASSERT(!isKnown(cluster.replica(leader), "x"));
            CPPUNIT_ASSERT(!cluster.node(leader).failed);
        });
        section("a failed sync stops the process", [&] {
            cluster.node(leader).storage->failWith(StorageErrorKind::InputOutput);
            const auto result = cluster.replica(leader).propose(registration("z"), shortTimeout);
            CPPUNIT_ASSERT(errorKind(result) == LogErrorKind::Unknown);
            CPPUNIT_ASSERT(cluster.node(leader).failed);
        });
    }

    /// Guards against reporting "not accepted" for a command that is committed later, and against
    /// an isolated leader that accepts changes.
    void isolatedLeader()
    {
        ReplicaCluster cluster(threeVoters, 22);
        cluster.startAll();
        const std::string leader = cluster.waitForLeader(cluster.names());
        cluster.network().isolate(leader);
        auto first = std::async(std::launch::async, [&] {
            return cluster.replica(leader).propose(registration("at-once"), shortTimeout);
        });
        cluster.waitUntil("the leader to step down",
                          [&] { return cluster.replica(leader).status().role != LogRole::Leader; });
        const auto second = cluster.replica(leader).propose(registration("later"), shortTimeout);
        section("an appended command has an unknown outcome, a later one is not accepted", [&] {
            CPPUNIT_ASSERT(errorKind(first.get()) == LogErrorKind::Unknown);
            CPPUNIT_ASSERT(errorKind(second) == LogErrorKind::NotAccepted);
            CPPUNIT_ASSERT(!isOk(cluster.replica(leader).confirmRead(shortTimeout)));
        });
        const std::string next = cluster.waitForLeader(others(leader));
        CPPUNIT_ASSERT(isOk(cluster.replica(next).propose(registration("new"), callTimeout)));
        section("the new leader's progress shows the time since the last contact with the old one",
                [&] {
                    cluster.waitUntil("an age above 1 s", [&] {
                        const auto progress = cluster.replica(next).progress(callTimeout);
                        for (const ReplicaProgress &entry : valueOf(progress)) {
                            if (entry.name == leader && entry.heardAgeMs > 1000) {
                                return true;
                            }
                        }
                        return false;
                    });
                });
        cluster.network().heal();
        cluster.waitUntil("the old leader to catch up",
                          [&] { return isKnown(cluster.replica(leader), "new"); });
        CPPUNIT_ASSERT(!isKnown(cluster.replica(leader), "later"));
        CPPUNIT_ASSERT(!isKnown(cluster.replica(next), "later"));
    }

    /// Guards against commands that were queued at a suspended leader and are committed although
    /// their callers got "not accepted".
    void suspendedLeader()
    {
        ReplicaCluster cluster(threeVoters, 23);
        cluster.startAll();
        const std::string leader = cluster.waitForLeader(cluster.names());
        const std::string follower = others(leader).front();
        // A disk that hangs blocks the thread that owns the log, like a suspended process.
        cluster.node(leader).storage->block(true);
        std::vector<std::future<Result<CommandOutcome, LogError>>> calls;
        for (const std::string &name : {leader, leader, follower}) {
            const std::string id = "queued-" + std::to_string(calls.size());
            calls.push_back(std::async(std::launch::async, [&cluster, name, id] {
                return cluster.replica(name).propose(registration(id), shortTimeout);
            }));
        }
        const std::string next = cluster.waitForLeader(others(leader));
        CPPUNIT_ASSERT(next != leader);
        CPPUNIT_ASSERT(isOk(cluster.replica(next).propose(registration("new"), callTimeout)));
        std::vector<Result<CommandOutcome, LogError>> results;
        for (auto &call : calls) {
            results.push_back(call.get());
        }
        cluster.node(leader).storage->block(false);
        cluster.waitUntil("the old leader to catch up",
                          [&] { return isKnown(cluster.replica(leader), "new"); });
        CPPUNIT_ASSERT(isOk(cluster.replica(leader).propose(registration("last"), callTimeout)));
        for (std::size_t index = 0; index < results.size(); ++index) {
            const bool known = isKnown(cluster.replica(leader), "queued-" + std::to_string(index));
            CPPUNIT_ASSERT_MESSAGE("answered as applied, but not accepted",
                                   !isOk(results[index]) || known);
            if (!isOk(results[index]) && errorOf(results[index]).kind != LogErrorKind::Unknown) {
                CPPUNIT_ASSERT_MESSAGE("not accepted, but applied", !known);
            }
        }
    }

    /// Guards against changes that are lost when all instances restart, and against an instance
    /// that becomes ready with a lower revision than it had before.
    void restartAfterHundredsOfChanges()
    {
        ReplicaCluster cluster(threeVoters, 24);
        for (const std::string &name : cluster.names()) {
            cluster.node(name).options.compactEntries = 100;
        }
        cluster.startAll();
        const std::string leader = cluster.waitForLeader(cluster.names());
        std::uint64_t revision = 0;
        for (int count = 0; count < 350; ++count) {
            const auto outcome = cluster.replica(leader).propose(
                    plansChange("change-" + std::to_string(count), revision), callTimeout);
            CPPUNIT_ASSERT(isOk(outcome));
            revision = valueOf(outcome).revision;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(350), revision);
        for (const std::string &name : cluster.names()) {
            cluster.stop(name);
        }
        for (const std::string &name : cluster.names()) {
            cluster.start(name);
        }
        for (const std::string &name : cluster.names()) {
            cluster.waitUntil(name + " ready",
                              [&] { return cluster.replica(name).status().ready; });
            CPPUNIT_ASSERT_EQUAL(revision, cluster.replica(name).state().lists()->revision);
        }
        section("without a quorum a restarted instance does not become ready", [&] {
            for (const std::string &name : cluster.names()) {
                cluster.stop(name);
            }
            cluster.start("a");
            CPPUNIT_ASSERT(!isOk(cluster.replica("a").confirmRead(shortTimeout)));
            CPPUNIT_ASSERT(!cluster.replica("a").status().ready);
        });
    }

    /// Guards against a voter with an empty data folder that is not admitted again, or that returns
    /// with stale state.
    void lostDisk()
    {
        ReplicaCluster cluster(threeVoters, 25);
        cluster.startAll();
        const std::string leader = cluster.waitForLeader(cluster.names());
        const std::string lost = others(leader).front();
        const std::string third = others(leader).back();
        CPPUNIT_ASSERT(isOk(cluster.replica(leader).propose(registration("before"), callTimeout)));
        cluster.stop(lost);
        cluster.node(lost).storage->loseDisk();
        cluster.start(lost);
        cluster.waitUntil("admission", [&] {
            const LogStatus status = cluster.replica(lost).status();
            return status.role == LogRole::Voter && status.ready
                    && isKnown(cluster.replica(lost), "before");
        });
        section("the third voter stops right after the admission", [&] {
            cluster.stop(third);
            const auto outcome = cluster.replica(lost).propose(registration("after"), callTimeout);
            CPPUNIT_ASSERT(isOk(outcome));
        });
    }

    /// Guards against a follower that does not switch from a feed source that is stopped or
    /// partitioned.
    void feedSourceFailure()
    {
        ReplicaCluster cluster({{"a", "z1"}, {"b", "z2"}, {"c", "z3"}, {"f", "z1", false}}, 26);
        cluster.startAll();
        cluster.waitForLeader(cluster.names());
        cluster.waitUntil("f ready", [&] { return cluster.replica("f").status().ready; });
        CPPUNIT_ASSERT(cluster.network().delivered("a", PeerMessageKind::Feed) > 0);
        section("the voter in its zone is partitioned from the other voters", [&] {
            cluster.network().cut("a", "b");
            cluster.network().cut("a", "c");
            cluster.network().cut("b", "a");
            cluster.network().cut("c", "a");
            const std::string leader = cluster.waitForLeader({"b", "c"});
            CPPUNIT_ASSERT(isOk(cluster.replica(leader).propose(registration("one"), callTimeout)));
            cluster.waitUntil("f to follow another source", [&] {
                return isKnown(cluster.replica("f"), "one")
                        && cluster.replica("f").status().quorumContactAgeMs < 3000;
            });
            CPPUNIT_ASSERT(cluster.node("f").events->contains("no recent contact"));
        });
        section("its source stops", [&] {
            cluster.network().heal();
            cluster.stop("a");
            const std::string leader = cluster.waitForLeader({"b", "c"});
            CPPUNIT_ASSERT(isOk(cluster.replica("f").propose(registration("two"), callTimeout)));
            CPPUNIT_ASSERT(isKnown(cluster.replica("f"), "two"));
            CPPUNIT_ASSERT(leader != "a");
        });
    }

    /// Guards against a follower that can't catch up after log compaction.
    void feedAfterCompaction()
    {
        ReplicaCluster cluster({{"a", "z1"}, {"b", "z2"}, {"c", "z3"}, {"f", "z1", false}}, 27);
        for (const std::string &name : cluster.names()) {
            cluster.node(name).options.compactEntries = 20;
        }
        for (const std::string name : {"a", "b", "c"}) {
            cluster.start(name);
        }
        const std::string leader = cluster.waitForLeader({"a", "b", "c"});
        for (int count = 0; count < 40; ++count) {
            RegisterInstance command = registration("i-" + std::to_string(count));
            // The state takes several chunks of 256 KiB.
            command.rack.assign(20 * 1024, 'r');
            CPPUNIT_ASSERT(isOk(cluster.replica(leader).propose(command, callTimeout)));
        }
        section("after a restart the voters have only their snapshots", [&] {
            for (const std::string name : {"a", "b", "c"}) {
                cluster.stop(name);
                cluster.start(name);
            }
            cluster.waitForLeader({"a", "b", "c"});
        });
        cluster.start("f");
        cluster.waitUntil("f ready", [&] { return cluster.replica("f").status().ready; });
        CPPUNIT_ASSERT(isKnown(cluster.replica("f"), "i-0"));
        CPPUNIT_ASSERT(isKnown(cluster.replica("f"), "i-39"));
    }

    /// Guards against followers in an isolated zone that feed one another and thereby renew each
    /// other's lease without contact with a voter.
    void isolatedZone()
    {
        ReplicaCluster cluster({{"a", "z1"},
                                {"b", "z2"},
                                {"c", "z3"},
                                {"f", "z4", false},
                                {"g", "z4", false},
                                {"h", "z4", false}},
                               28);
        cluster.startAll();
        cluster.waitForLeader(cluster.names());
        for (const std::string name : {"f", "g", "h"}) {
            cluster.waitUntil(name + " ready",
                              [&] { return cluster.replica(name).status().ready; });
        }
        CPPUNIT_ASSERT(cluster.network().delivered("f", PeerMessageKind::Feed) > 0);
        section("while isolated, the quorum contact ages on every follower", [&] {
            for (const std::string follower : {"f", "g", "h"}) {
                for (const std::string voter : {"a", "b", "c"}) {
                    cluster.network().cut(follower, voter);
                }
            }
            for (const std::string follower : {"f", "g", "h"}) {
                cluster.waitUntil(follower + " contact above 6 s", [&] {
                    return cluster.replica(follower).status().quorumContactAgeMs > 6000;
                });
            }
        });
        section("after the reconnect, every follower has recent quorum contact", [&] {
            cluster.network().heal();
            for (const std::string follower : {"f", "g", "h"}) {
                cluster.waitUntil(follower + " contact below 4 s", [&] {
                    return cluster.replica(follower).status().quorumContactAgeMs < 4000;
                });
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaFaultsTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

#include "Endpoints/EndpointSyncNetwork.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr Milliseconds propagationTime{1000};
constexpr Milliseconds twoDigestIntervals{11000};
constexpr Milliseconds copyLease{12000};
constexpr Milliseconds endpointLease{30000};

using View = std::vector<std::string>;

std::string firstRow(const View &view)
{
    return view.empty() ? "no endpoint" : view.front();
}

std::string lastRow(const View &view)
{
    return view.empty() ? "no endpoint" : view.back();
}

std::string viewRow(const std::string &instance, const std::string &rest)
{
    return instance + " " + rest;
}

} // namespace

class EndpointSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointSyncTest);
    CPPUNIT_TEST(changesPropagate);
    CPPUNIT_TEST(lostChangesAreFetched);
    CPPUNIT_TEST(lateMessagesAreIgnored);
    CPPUNIT_TEST(partitionedCopiesExpireAndReturn);
    CPPUNIT_TEST(expiredLeasesPropagate);
    CPPUNIT_TEST(movedDuringPartition);
    CPPUNIT_TEST(concurrentAnnouncementsHaveOneOwner);
    CPPUNIT_TEST(faultyNetworkConverges);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against instances that see another set of endpoints than the owner, and against a
    /// change to leaving that is delayed for batching.
    void changesPropagate()
    {
        EndpointSyncNetwork network(3);
        network.run(propagationTime);
        section("joins share one message, sent at most 200 ms later", [&] {
            network.announce("a", makeAnnouncement("w1", 5));
            network.announce("a", makeAnnouncement("w2", 5));
            network.advanceAndTick(Milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 network.pendingCount(PeerMessageKind::EndpointDelta));
            network.advanceAndTick(Milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                 network.pendingCount(PeerMessageKind::EndpointDelta));
            network.deliver();
            CPPUNIT_ASSERT(network.viewsAgree());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.view("b").size());
        });
        section("a renewal sends nothing", [&] {
            network.announce("a", makeAnnouncement("w1", 5));
            network.advanceAndTick(Milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 network.pendingCount(PeerMessageKind::EndpointDelta));
        });
        section("a change to leaving goes out at once", [&] {
            network.announce("a", makeAnnouncement("w1", 5, EndpointState::Leaving));
            network.advanceAndTick(Milliseconds(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                 network.pendingCount(PeerMessageKind::EndpointDelta));
            network.deliver();
            CPPUNIT_ASSERT_EQUAL(viewRow("w1", "5 leaving 10.0.0.1:9000 a"),
                                 firstRow(network.view("c")));
        });
        section("a new incarnation and an address change", [&] {
            Announcement next = makeAnnouncement("w1", 6);
            next.address = "10.0.0.9:9000";
            network.announce("a", next);
            network.run(propagationTime);
            CPPUNIT_ASSERT(network.viewsAgree());
            CPPUNIT_ASSERT_EQUAL(viewRow("w1", "6 serving 10.0.0.9:9000 a"),
                                 firstRow(network.view("c")));
        });
        section("ownership moves with the announcement", [&] {
            network.announce("b", makeAnnouncement("w2", 5));
            network.run(propagationTime);
            CPPUNIT_ASSERT(network.viewsAgree());
            CPPUNIT_ASSERT_EQUAL(viewRow("w2", "5 serving 10.0.0.1:9000 b"),
                                 lastRow(network.view("a")));
            network.announce("a", makeAnnouncement("w2", 5));
            network.run(propagationTime);
            CPPUNIT_ASSERT(network.viewsAgree());
            CPPUNIT_ASSERT_EQUAL(viewRow("w2", "5 serving 10.0.0.1:9000 a"),
                                 lastRow(network.view("c")));
        });
        section("a gone endpoint disappears everywhere", [&] {
            network.announce("c", makeAnnouncement("w2", 5, EndpointState::Gone));
            network.run(propagationTime);
            CPPUNIT_ASSERT(network.viewsAgree());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("a").size());
        });
    }

    /// Guards against a lost change that no fetch repairs, and against a fetch that drops records
    /// beyond the first answer.
    void lostChangesAreFetched()
    {
        EndpointSyncNetwork network(3);
        network.run(propagationTime);
        for (int index = 0; index < 10; ++index) {
            network.announce("a", makeAnnouncement("w" + std::to_string(index), 1));
        }
        network.advanceAndTick(Milliseconds(300));
        network.dropPending();
        CPPUNIT_ASSERT(network.view("b").empty());
        network.run(twoDigestIntervals);
        CPPUNIT_ASSERT(network.viewsAgree());
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), network.view("b").size());
        section("10 records in answers of 3: 4 fetches for each of 2 peers", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), network.delivered(PeerMessageKind::EndpointFetch));
        });
        section("equal digests fetch nothing more", [&] {
            network.run(twoDigestIntervals);
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), network.delivered(PeerMessageKind::EndpointFetch));
        });
        section("a lost change to leaving is sent again before the next digest", [&] {
            network.run(Milliseconds(100));
            network.announce("a", makeAnnouncement("w1", 1, EndpointState::Leaving));
            network.advanceAndTick(Milliseconds(0));
            network.dropPending();
            const std::size_t digests = network.delivered(PeerMessageKind::EndpointDigest);
            network.run(Milliseconds(700));
            CPPUNIT_ASSERT_EQUAL(digests, network.delivered(PeerMessageKind::EndpointDigest));
            CPPUNIT_ASSERT(network.viewsAgree());
        });
    }

    /// Guards against late messages that return a leaving or gone endpoint to service.
    void lateMessagesAreIgnored()
    {
        EndpointSyncNetwork network(3);
        network.announce("a", makeAnnouncement("w1", 5));
        network.announce("a", makeAnnouncement("w2", 5));
        network.run(propagationTime);
        network.announce("a", makeAnnouncement("w1", 5, EndpointState::Leaving));
        network.announce("a", makeAnnouncement("w2", 5, EndpointState::Gone));
        network.run(propagationTime);
        const View before = network.view("a");
        section("the same incarnation at another instance", [&] {
            CPPUNIT_ASSERT(!network.announce("b", makeAnnouncement("w1", 5)));
            CPPUNIT_ASSERT(!network.announce("b", makeAnnouncement("w2", 5)));
        });
        section("an older incarnation", [&] {
            CPPUNIT_ASSERT(!network.announce("c", makeAnnouncement("w1", 4)));
            CPPUNIT_ASSERT(!network.announce("c", makeAnnouncement("w2", 4)));
        });
        section("late copies of another owner", [&] {
            for (const std::string &node : network.names()) {
                network.table(node).merge({makeAnnouncement("w1", 5), 9, false}, "z",
                                          network.now() + 1000, network.now());
                network.table(node).merge({makeAnnouncement("w2", 5), 9, false}, "z",
                                          network.now() + 1000, network.now());
                const View view = network.view(node);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.size());
                CPPUNIT_ASSERT(firstRow(view).find("leaving") != std::string::npos);
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), before.size());
    }

    /// Guards against copies that don't expire while their owner is unreachable, and against
    /// endpoints that stay missing after a partition has healed.
    void partitionedCopiesExpireAndReturn()
    {
        EndpointSyncNetwork network(2);
        network.announce("a", makeAnnouncement("w1", 5));
        network.run(propagationTime);
        network.announce("b", makeAnnouncement("w2", 5));
        network.run(propagationTime);
        network.partition("a", "b");
        const SteadyTimeMs end = network.now() + copyLease.count() + 1000;
        while (network.now() < end) {
            network.announce("a", makeAnnouncement("w1", 5));
            network.announce("b", makeAnnouncement("w2", 5));
            network.run(propagationTime);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("a").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("b").size());
        network.announce("a", makeAnnouncement("w1", 5, EndpointState::Leaving));
        network.run(propagationTime);
        network.healPartitions();
        network.run(twoDigestIntervals);
        CPPUNIT_ASSERT(network.viewsAgree());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.view("b").size());
        CPPUNIT_ASSERT_EQUAL(viewRow("w1", "5 leaving 10.0.0.1:9000 a"),
                             firstRow(network.view("b")));
    }

    /// Guards against copies of an endpoint that crashed without announcing its end, and against a
    /// late report of an ended lease that removes the endpoint after another owner has taken it
    /// over.
    void expiredLeasesPropagate()
    {
        EndpointSyncNetwork network(3);
        network.announce("a", makeAnnouncement("w1", 5));
        network.run(endpointLease + twoDigestIntervals);
        for (const std::string &node : network.names()) {
            CPPUNIT_ASSERT(network.view(node).empty());
            CPPUNIT_ASSERT(network.table(node).isGone("w1", 5));
        }
        section("the end of a lease that belongs to an earlier owner is ignored", [&] {
            network.announce("a", makeAnnouncement("w2", 5));
            network.run(propagationTime);
            network.announce("b", makeAnnouncement("w2", 5));
            network.run(propagationTime);
            EndpointCopy ended{makeAnnouncement("w2", 5, EndpointState::Gone), 1, true};
            CPPUNIT_ASSERT(!network.table("c").merge(ended, "a", 0, network.now()));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("c").size());
        });
    }

    /// Guards against an endpoint that stays gone at its former owner, although it renewed its
    /// lease at another instance during a partition.
    void movedDuringPartition()
    {
        EndpointSyncNetwork network(3);
        network.announce("a", makeAnnouncement("w1", 5));
        network.run(propagationTime);
        network.partition("a", "b");
        network.partition("a", "c");
        for (Milliseconds passed{0}; passed < endpointLease + copyLease;
             passed += propagationTime) {
            network.announce("b", makeAnnouncement("w1", 5));
            network.run(propagationTime);
        }
        CPPUNIT_ASSERT(network.view("a").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("c").size());
        network.healPartitions();
        network.run(twoDigestIntervals);
        CPPUNIT_ASSERT(network.viewsAgree());
        CPPUNIT_ASSERT_EQUAL(viewRow("w1", "5 serving 10.0.0.1:9000 b"),
                             firstRow(network.view("a")));
    }

    /// Guards against two owners, or none, when two instances receive an announcement at the same
    /// time.
    void concurrentAnnouncementsHaveOneOwner()
    {
        EndpointSyncNetwork network(3);
        network.announce("a", makeAnnouncement("w1", 5));
        network.announce("b", makeAnnouncement("w1", 5));
        network.run(propagationTime);
        CPPUNIT_ASSERT(network.viewsAgree());
        CPPUNIT_ASSERT_EQUAL(viewRow("w1", "5 serving 10.0.0.1:9000 b"),
                             firstRow(network.view("a")));
        network.run(copyLease + twoDigestIntervals - Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("c").size());
    }

    /// Guards against any sequence of loss, duplication and reordering after which the tables
    /// differ or an incarnation that left is back in service.
    void faultyNetworkConverges()
    {
        const std::uint32_t seed = std::random_device{}();
        std::cout << " seed " << seed << std::flush;
        for (std::uint32_t round = 0; round < 30; ++round) {
            std::mt19937 random(seed + round);
            EndpointSyncNetwork network(4, seed + round);
            network.setFaults(0.3, 0.3, true);
            std::map<std::string, std::uint64_t> incarnations;
            std::map<std::string, bool> left;
            for (int change = 0; change < 60; ++change) {
                const std::string node(1, static_cast<char>('a' + random() % 4));
                const std::string instance = "w" + std::to_string(random() % 8);
                std::uint64_t &incarnation = incarnations[instance];
                const unsigned kind = random() % 10;
                if (incarnation == 0 || kind == 0) {
                    ++incarnation;
                    left[instance] = false;
                }
                const EndpointState state = kind == 1 ? EndpointState::Leaving
                        : kind == 2                   ? EndpointState::Gone
                                                      : EndpointState::Serving;
                const bool accepted =
                        network.announce(node, makeAnnouncement(instance, incarnation, state));
                left[instance] = left[instance] || (accepted && state != EndpointState::Serving);
                network.run(Milliseconds(200));
            }
            network.setFaults(0, 0, false);
            network.run(twoDigestIntervals);
            const std::string message = "seed " + std::to_string(seed + round);
            CPPUNIT_ASSERT_MESSAGE(message, network.viewsAgree());
            for (const auto &record : network.table("a").all()) {
                const Announcement &announcement = record->announcement;
                if (left[announcement.instance]
                    && announcement.incarnation == incarnations[announcement.instance]) {
                    CPPUNIT_ASSERT_MESSAGE(message, announcement.state == EndpointState::Leaving);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointSyncTest);

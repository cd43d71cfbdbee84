#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

#include "Endpoints/GossipNetwork.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr Milliseconds aWhile{1000};
constexpr Milliseconds twoDigests{11000};
constexpr Milliseconds copyLease{12000};
constexpr Milliseconds endpointLease{30000};

using View = std::vector<std::string>;

std::string firstOf(const View &view)
{
    return view.empty() ? "no endpoint" : view.front();
}

std::string lastOf(const View &view)
{
    return view.empty() ? "no endpoint" : view.back();
}

std::string line(const std::string &instance, const std::string &rest)
{
    return instance + " " + rest;
}

} // namespace

class EndpointGossipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointGossipTest);
    CPPUNIT_TEST(changesSpread);
    CPPUNIT_TEST(lostChangesAreFetched);
    CPPUNIT_TEST(lateMessagesReviveNothing);
    CPPUNIT_TEST(cutOffCopiesExpireAndReturn);
    CPPUNIT_TEST(endedLeasesSpread);
    CPPUNIT_TEST(movedDuringPartition);
    CPPUNIT_TEST(crossingAnnouncementsHaveOneOwner);
    CPPUNIT_TEST(disturbedNetworkConverges);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against instances that see another set of endpoints than the owner, and against a
    /// leaving that waits for a batch.
    void changesSpread()
    {
        GossipNetwork network(3);
        network.run(aWhile);
        section("joins share one message, at most 200 ms later", [&] {
            network.announce("a", endpointOf("w1", 5));
            network.announce("a", endpointOf("w2", 5));
            network.tickAfter(Milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), network.waiting(PeerMessageKind::EndpointDelta));
            network.tickAfter(Milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.waiting(PeerMessageKind::EndpointDelta));
            network.deliver();
            CPPUNIT_ASSERT(network.agree());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.view("b").size());
        });
        section("a renewal sends nothing", [&] {
            network.announce("a", endpointOf("w1", 5));
            network.tickAfter(Milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), network.waiting(PeerMessageKind::EndpointDelta));
        });
        section("a leaving goes at once", [&] {
            network.announce("a", endpointOf("w1", 5, EndpointState::Leaving));
            network.tickAfter(Milliseconds(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.waiting(PeerMessageKind::EndpointDelta));
            network.deliver();
            CPPUNIT_ASSERT_EQUAL(line("w1", "5 leaving 10.0.0.1:9000 a"),
                                 firstOf(network.view("c")));
        });
        section("a new incarnation and an address change", [&] {
            Announcement next = endpointOf("w1", 6);
            next.address = "10.0.0.9:9000";
            network.announce("a", next);
            network.run(aWhile);
            CPPUNIT_ASSERT(network.agree());
            CPPUNIT_ASSERT_EQUAL(line("w1", "6 serving 10.0.0.9:9000 a"),
                                 firstOf(network.view("c")));
        });
        section("ownership moves with the announcement", [&] {
            network.announce("b", endpointOf("w2", 5));
            network.run(aWhile);
            CPPUNIT_ASSERT(network.agree());
            CPPUNIT_ASSERT_EQUAL(line("w2", "5 serving 10.0.0.1:9000 b"),
                                 lastOf(network.view("a")));
            network.announce("a", endpointOf("w2", 5));
            network.run(aWhile);
            CPPUNIT_ASSERT(network.agree());
            CPPUNIT_ASSERT_EQUAL(line("w2", "5 serving 10.0.0.1:9000 a"),
                                 lastOf(network.view("c")));
        });
        section("a gone endpoint disappears everywhere", [&] {
            network.announce("c", endpointOf("w2", 5, EndpointState::Gone));
            network.run(aWhile);
            CPPUNIT_ASSERT(network.agree());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("a").size());
        });
    }

    /// Guards against a lost change that stays lost, and against a list longer than one answer.
    void lostChangesAreFetched()
    {
        GossipNetwork network(3);
        network.run(aWhile);
        for (int index = 0; index < 10; ++index) {
            network.announce("a", endpointOf("w" + std::to_string(index), 1));
        }
        network.tickAfter(Milliseconds(300));
        network.loseWaiting();
        CPPUNIT_ASSERT(network.view("b").empty());
        network.run(twoDigests);
        CPPUNIT_ASSERT(network.agree());
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), network.view("b").size());
        section("10 records in answers of 3: 4 fetches for each of 2 peers", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), network.delivered(PeerMessageKind::EndpointFetch));
        });
        section("equal digests fetch nothing more", [&] {
            network.run(twoDigests);
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), network.delivered(PeerMessageKind::EndpointFetch));
        });
        section("a lost leaving is sent again before the next digest", [&] {
            network.run(Milliseconds(100));
            network.announce("a", endpointOf("w1", 1, EndpointState::Leaving));
            network.tickAfter(Milliseconds(0));
            network.loseWaiting();
            const std::size_t digests = network.delivered(PeerMessageKind::EndpointDigest);
            network.run(Milliseconds(700));
            CPPUNIT_ASSERT_EQUAL(digests, network.delivered(PeerMessageKind::EndpointDigest));
            CPPUNIT_ASSERT(network.agree());
        });
    }

    /// Guards against work for an endpoint that has left, by messages that arrive late.
    void lateMessagesReviveNothing()
    {
        GossipNetwork network(3);
        network.announce("a", endpointOf("w1", 5));
        network.announce("a", endpointOf("w2", 5));
        network.run(aWhile);
        network.announce("a", endpointOf("w1", 5, EndpointState::Leaving));
        network.announce("a", endpointOf("w2", 5, EndpointState::Gone));
        network.run(aWhile);
        const View before = network.view("a");
        section("the same incarnation at another instance", [&] {
            CPPUNIT_ASSERT(!network.announce("b", endpointOf("w1", 5)));
            CPPUNIT_ASSERT(!network.announce("b", endpointOf("w2", 5)));
        });
        section("an older incarnation", [&] {
            CPPUNIT_ASSERT(!network.announce("c", endpointOf("w1", 4)));
            CPPUNIT_ASSERT(!network.announce("c", endpointOf("w2", 4)));
        });
        section("late copies of another owner", [&] {
            for (const std::string &node : network.names()) {
                network.table(node).merge({endpointOf("w1", 5), 9, false}, "z",
                                          network.now() + 1000, network.now());
                network.table(node).merge({endpointOf("w2", 5), 9, false}, "z",
                                          network.now() + 1000, network.now());
                const View view = network.view(node);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.size());
                CPPUNIT_ASSERT(firstOf(view).find("leaving") != std::string::npos);
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), before.size());
    }

    /// Guards against copies that live on without their owner, and against endpoints that stay
    /// lost after a partition.
    void cutOffCopiesExpireAndReturn()
    {
        GossipNetwork network(2);
        network.announce("a", endpointOf("w1", 5));
        network.run(aWhile);
        network.announce("b", endpointOf("w2", 5));
        network.run(aWhile);
        network.cut("a", "b");
        const SteadyTimeMs end = network.now() + copyLease.count() + 1000;
        while (network.now() < end) {
            network.announce("a", endpointOf("w1", 5));
            network.announce("b", endpointOf("w2", 5));
            network.run(aWhile);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("a").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("b").size());
        network.announce("a", endpointOf("w1", 5, EndpointState::Leaving));
        network.run(aWhile);
        network.heal();
        network.run(twoDigests);
        CPPUNIT_ASSERT(network.agree());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.view("b").size());
        CPPUNIT_ASSERT_EQUAL(line("w1", "5 leaving 10.0.0.1:9000 a"), firstOf(network.view("b")));
    }

    /// Guards against copies of an endpoint that died without a word, and against an owner's late
    /// report of it that removes a living endpoint of another owner.
    void endedLeasesSpread()
    {
        GossipNetwork network(3);
        network.announce("a", endpointOf("w1", 5));
        network.run(endpointLease + twoDigests);
        for (const std::string &node : network.names()) {
            CPPUNIT_ASSERT(network.view(node).empty());
            CPPUNIT_ASSERT(network.table(node).isGone("w1", 5));
        }
        section("the end of a lease that belongs to an earlier owner counts for nothing", [&] {
            network.announce("a", endpointOf("w2", 5));
            network.run(aWhile);
            network.announce("b", endpointOf("w2", 5));
            network.run(aWhile);
            EndpointCopy ended{endpointOf("w2", 5, EndpointState::Gone), 1, true};
            CPPUNIT_ASSERT(!network.table("c").merge(ended, "a", 0, network.now()));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("c").size());
        });
    }

    /// Guards against an endpoint that stays gone at its former owner, though it renewed its
    /// lease elsewhere during a partition.
    void movedDuringPartition()
    {
        GossipNetwork network(3);
        network.announce("a", endpointOf("w1", 5));
        network.run(aWhile);
        network.cut("a", "b");
        network.cut("a", "c");
        for (Milliseconds passed{0}; passed < endpointLease + copyLease; passed += aWhile) {
            network.announce("b", endpointOf("w1", 5));
            network.run(aWhile);
        }
        CPPUNIT_ASSERT(network.view("a").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("c").size());
        network.heal();
        network.run(twoDigests);
        CPPUNIT_ASSERT(network.agree());
        CPPUNIT_ASSERT_EQUAL(line("w1", "5 serving 10.0.0.1:9000 b"), firstOf(network.view("a")));
    }

    /// Guards against two owners, or none, when two instances take an announcement at once.
    void crossingAnnouncementsHaveOneOwner()
    {
        GossipNetwork network(3);
        network.announce("a", endpointOf("w1", 5));
        network.announce("b", endpointOf("w1", 5));
        network.run(aWhile);
        CPPUNIT_ASSERT(network.agree());
        CPPUNIT_ASSERT_EQUAL(line("w1", "5 serving 10.0.0.1:9000 b"), firstOf(network.view("a")));
        network.run(copyLease + twoDigests - Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network.view("c").size());
    }

    /// Guards against any order of loss, repeats and overtaking that leaves the tables apart or
    /// brings back an incarnation that left.
    void disturbedNetworkConverges()
    {
        const std::uint32_t seed = std::random_device{}();
        std::cout << " seed " << seed << std::flush;
        for (std::uint32_t round = 0; round < 30; ++round) {
            std::mt19937 random(seed + round);
            GossipNetwork network(4, seed + round);
            network.disturb(0.3, 0.3, true);
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
                        network.announce(node, endpointOf(instance, incarnation, state));
                left[instance] = left[instance] || (accepted && state != EndpointState::Serving);
                network.run(Milliseconds(200));
            }
            network.disturb(0, 0, false);
            network.run(twoDigests);
            const std::string message = "seed " + std::to_string(seed + round);
            CPPUNIT_ASSERT_MESSAGE(message, network.agree());
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

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointGossipTest);

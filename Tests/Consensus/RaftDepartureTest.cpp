#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Consensus/SeededGroup.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Half of the time that a process has from SIGTERM on, less a margin.
constexpr std::int64_t departureMs = 2600;

/// Runs until the departing nodes may stop. Checks all along that the group bears what it is to
/// bear.
void waitForDeparture(SeededGroup &group, const std::vector<std::size_t> &departing)
{
    RaftSimulation &simulation = group.simulation;
    simulation.runUntil("the end of the departures", departureMs, [&] {
        CPPUNIT_ASSERT(simulation.tolerance() >= group.tolerated);
        bool done = true;
        for (const std::size_t node : departing) {
            done = done && simulation.raft(node).departure() != RaftDeparture::Requested;
        }
        return done;
    });
}

std::size_t followerThatVotes(RaftSimulation &simulation)
{
    const std::size_t leader = simulation.waitForLeader();
    for (std::size_t node = 0; node < simulation.size(); ++node) {
        if (node != leader && simulation.isCurrentVoter(node)) {
            return node;
        }
    }
    CPPUNIT_FAIL("expected a voter beside the leader");
    return 0;
}

} // namespace

class RaftDepartureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftDepartureTest);
    CPPUNIT_TEST(disksLostAfterDeparture);
    CPPUNIT_TEST(noSuccessor);
    CPPUNIT_TEST(twoDepartures);
    CPPUNIT_TEST(killedWhileDeparting);
    CPPUNIT_TEST(departureCalledOff);
    CPPUNIT_TEST(leaderRemovedWithoutNotice);
    CPPUNIT_TEST(learnerDeparts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a machine that is replaced as planned and keeps its vote after its end: the
    /// next lost disk took the majority (CONFIG).
    void disksLostAfterDeparture()
    {
        for (const std::size_t tolerated : {1, 2}) {
            for (const bool leads : {false, true}) {
                section(std::to_string(tolerated) + " losses borne, "
                                + (leads ? "the leader" : "a follower") + " departs",
                        [&] {
                            SeededGroup group(tolerated);
                            RaftSimulation &simulation = group.simulation;
                            const std::size_t departing = leads ? simulation.waitForLeader()
                                                                : followerThatVotes(simulation);
                            simulation.depart(departing);
                            waitForDeparture(group, {departing});
                            CPPUNIT_ASSERT(simulation.raft(departing).departure()
                                           == RaftDeparture::Released);
                            simulation.crash(departing);
                            for (std::size_t lost = 0; lost < tolerated; ++lost) {
                                simulation.loseDisk((departing + 1 + lost) % group.nodes);
                            }
                            group.waitForGroup();
                        });
            }
        }
    }

    /// Guards against a stop that waits for a successor where there is none, and against a vote
    /// that is given up without one.
    void noSuccessor()
    {
        for (const bool leads : {false, true}) {
            SeededGroup group(1, 7, 0);
            RaftSimulation &simulation = group.simulation;
            const std::size_t departing =
                    leads ? simulation.waitForLeader() : followerThatVotes(simulation);
            simulation.depart(departing);
            simulation.run(50);
            CPPUNIT_ASSERT(simulation.raft(departing).departure() == RaftDeparture::NoSuccessor);
            CPPUNIT_ASSERT(simulation.isCurrentVoter(departing));
            section("after a restart it votes as before", [&] {
                simulation.crash(departing);
                simulation.run(1000);
                simulation.restart(departing);
                group.waitForGroup();
            });
        }
    }

    /// Guards against two departures that both count on the same successor.
    void twoDepartures()
    {
        for (const std::size_t learners : {1, 2}) {
            section(std::to_string(learners) + " successors", [&] {
                SeededGroup group(1, 7, learners);
                RaftSimulation &simulation = group.simulation;
                const std::vector<std::size_t> departing{simulation.waitForLeader(),
                                                         followerThatVotes(simulation)};
                std::size_t released = 0;
                for (const std::size_t node : departing) {
                    simulation.depart(node);
                }
                waitForDeparture(group, departing);
                for (const std::size_t node : departing) {
                    const bool isReleased =
                            simulation.raft(node).departure() == RaftDeparture::Released;
                    CPPUNIT_ASSERT_EQUAL(!isReleased, simulation.isCurrentVoter(node));
                    released += isReleased ? 1 : 0;
                }
                CPPUNIT_ASSERT_EQUAL(learners, released);
            });
        }
    }

    /// Guards against a group that stays with a lost vote when SIGKILL comes in the middle.
    void killedWhileDeparting()
    {
        for (const bool leads : {false, true}) {
            for (std::int64_t afterMs = 0; afterMs < 1500; afterMs += 7) {
                SeededGroup group(1);
                RaftSimulation &simulation = group.simulation;
                const std::size_t departing =
                        leads ? simulation.waitForLeader() : followerThatVotes(simulation);
                simulation.depart(departing);
                simulation.run(afterMs);
                simulation.crash(departing);
                group.waitForGroup();
            }
        }
    }

    /// Guards against a group that keeps a voter too many, or a departed one that gets no vote any
    /// more, when the process starts again.
    void departureCalledOff()
    {
        for (std::int64_t afterMs = 0; afterMs < 1500; afterMs += 50) {
            SeededGroup group(1);
            RaftSimulation &simulation = group.simulation;
            const std::size_t departing = simulation.waitForLeader();
            simulation.depart(departing);
            simulation.run(afterMs);
            simulation.crash(departing);
            simulation.restart(departing);
            group.waitForGroup();
            section("it takes the vote of the next one that departs", [&] {
                const std::size_t next = followerThatVotes(simulation);
                simulation.depart(next);
                waitForDeparture(group, {next});
            });
        }
    }

    /// Guards against a group that bears no loss for longer than a successor has to catch up after
    /// the leader was removed: the time until its vote passes on counted from the election.
    void leaderRemovedWithoutNotice()
    {
        SeededGroup group(1);
        group.simulation.crash(group.simulation.waitForLeader());
        group.waitForGroup();
    }

    /// Guards against a vote for an instance that is about to stop.
    void learnerDeparts()
    {
        SeededGroup group(1);
        RaftSimulation &simulation = group.simulation;
        std::size_t learner = 0;
        while (simulation.isCurrentVoter(learner)) {
            ++learner;
        }
        simulation.depart(learner);
        simulation.run(400);
        CPPUNIT_ASSERT(simulation.raft(learner).departure() == RaftDeparture::Released);
        const std::size_t voter = followerThatVotes(simulation);
        simulation.depart(voter);
        waitForDeparture(group, {voter});
        CPPUNIT_ASSERT(simulation.raft(voter).departure() == RaftDeparture::NoSuccessor);
        CPPUNIT_ASSERT(!simulation.isCurrentVoter(learner));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftDepartureTest);

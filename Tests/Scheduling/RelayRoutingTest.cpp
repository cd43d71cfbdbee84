#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "Scheduling/RelayRouting.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr SteadyTimeMs now = 100000;

/// Five relays in as many zones, as in the largest deployment.
std::map<std::string, RelayView> fiveRelays()
{
    std::map<std::string, RelayView> relays;
    for (int index = 0; index < 5; ++index) {
        relays["c" + std::to_string(index)] = {"zone" + std::to_string(index), now - 100, 5};
    }
    return relays;
}

std::string relayOf(const std::map<std::string, RelayView> &relays, int worker,
                    const WorkerRoute &route = {})
{
    return chooseRelay(relays, "w" + std::to_string(worker), "zone" + std::to_string(worker % 5),
                       route, now, {});
}

} // namespace

class RelayRoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayRoutingTest);
    CPPUNIT_TEST(workersOfAZone);
    CPPUNIT_TEST(lostRelays);
    CPPUNIT_TEST(unansweredCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a cut zone that takes the workers of other zones with it.
    void workersOfAZone()
    {
        const auto relays = fiveRelays();
        for (int worker = 0; worker < 1100; ++worker) {
            CPPUNIT_ASSERT_EQUAL("c" + std::to_string(worker % 5), relayOf(relays, worker));
        }
    }

    /// Guards against one overloaded relay after another is lost, and against a relay that is used
    /// although it does not respond.
    void lostRelays()
    {
        auto relays = fiveRelays();
        section("the workers of a silent relay are spread over the others", [&] {
            relays["c0"].heardAt = now - 700;
            std::map<std::string, int> carried;
            for (int worker = 0; worker < 1100; worker += 5) {
                ++carried[relayOf(relays, worker)];
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), carried.size());
            for (const auto &[relay, count] : carried) {
                CPPUNIT_ASSERT(relay != "c0" && count > 30 && count < 80);
            }
        });
        section("the workers of the other relays keep theirs", [&] {
            for (int worker = 0; worker < 1100; ++worker) {
                if (worker % 5 != 0) {
                    CPPUNIT_ASSERT_EQUAL("c" + std::to_string(worker % 5), relayOf(relays, worker));
                }
            }
        });
        section("a relay that accepts batches slowly is not used", [&] {
            relays["c1"].acceptMs = 400;
            CPPUNIT_ASSERT(relayOf(relays, 1) != "c1");
        });
        section("without a usable relay the leader calls the worker itself", [&] {
            for (auto &[name, relay] : relays) {
                relay.heardAt = 0;
            }
            CPPUNIT_ASSERT_EQUAL(std::string(), relayOf(relays, 1));
        });
    }

    /// Guards against a worker that is given up because its relay is cut off from it.
    void unansweredCalls()
    {
        const auto relays = fiveRelays();
        WorkerRoute route;
        section("after an unanswered call another way is used", [&] {
            recordRelayFailure(route, "c1", now, {});
            const std::string other = relayOf(relays, 1, route);
            CPPUNIT_ASSERT(other != "c1" && !other.empty());
        });
        section("the relay is used again later", [&] {
            const std::string later = chooseRelay(relays, "w1", "zone1", route, now + 3000,
                                                  {.relaySilenceMs = 10000});
            CPPUNIT_ASSERT_EQUAL(std::string("c1"), later);
        });
        section("repeated failures postpone that, up to a limit", [&] {
            for (int failure = 0; failure < 20; ++failure) {
                recordRelayFailure(route, "c1", now, {});
            }
            CPPUNIT_ASSERT_EQUAL(now + RelayRoutingOptions().maxAvoidMs, route.avoidUntil);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayRoutingTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Adapters/Http/ConnectionPressure.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

class ConnectionPressureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPressureTest);
    CPPUNIT_TEST(order);
    CPPUNIT_TEST(unreadResponses);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against closing a caller that waits while a client that reads nothing stays.
    void order()
    {
        using enum ConnectionActivity;
        std::vector<ConnectionFacts> connections = {{1, RequestActive, 4000, 10},
                                                    {2, RequestIncomplete, 300, 20},
                                                    {3, Idle, 0, 30},
                                                    {4, Idle, 0, 15},
                                                    {5, ResponseUnread, 100, 60},
                                                    {6, ResponseUnread, 9000, 70}};
        const auto closeNext = [&connections](std::uint64_t expected) {
            const auto chosen = chooseConnectionToClose(connections);
            CPPUNIT_ASSERT(chosen.has_value());
            CPPUNIT_ASSERT_EQUAL(expected, *chosen);
            std::erase_if(connections, [&](const auto &facts) { return facts.id == *chosen; });
        };
        section("unread responses first, the one without progress for longest before others", [&] {
            closeNext(5);
            closeNext(6);
        });
        section("then idle connections, then incomplete requests", [&] {
            closeNext(4);
            closeNext(3);
            closeNext(2);
        });
        section("never a request that is handled", [&] {
            CPPUNIT_ASSERT(!chooseConnectionToClose(connections));
            CPPUNIT_ASSERT(!chooseConnectionToClose({}));
        });
    }

    /// Guards against taking a client that reads for one that does not, and the reverse.
    void unreadResponses()
    {
        using enum ConnectionActivity;
        CPPUNIT_ASSERT(activityOfResponse(false, unreadGraceMs) == ResponseUnread);
        CPPUNIT_ASSERT(activityOfResponse(false, unreadGraceMs - 1) == RequestActive);
        CPPUNIT_ASSERT(activityOfResponse(true, unreadGraceMs) == RequestActive);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPressureTest);

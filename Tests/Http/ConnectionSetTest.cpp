#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "Adapters/Http/ConnectionSet.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Both ends of a connection.
struct Connected
{
    explicit Connected(Poco::Net::ServerSocket &listener)
        : client(listener.address()), server(listener.acceptConnection())
    {
        client.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    /// Waits for the end of the connection, which the test expects.
    void waitForClose()
    {
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(0, client.receiveBytes(&byte, 1));
    }

    Poco::Net::StreamSocket client;
    Poco::Net::StreamSocket server;
};

} // namespace

class ConnectionSetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionSetTest);
    CPPUNIT_TEST(connectionLimit);
    CPPUNIT_TEST(bufferLimit);
    CPPUNIT_TEST(stopWithIdleConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against clients that hold all connections, and against closing one whose request is
    /// handled.
    void connectionLimit()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ConnectionSet connections({2, 0});
        Connected handled(listener);
        Connected slow(listener);
        Connected late(listener);
        CPPUNIT_ASSERT(connections.add(handled.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.setPhase(handled.server, ConnectionPhase::Handling));
        CPPUNIT_ASSERT(connections.add(slow.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.setPhase(slow.server, ConnectionPhase::Reading));
        section("an incomplete request makes room", [&] {
            CPPUNIT_ASSERT(connections.add(late.server, Milliseconds(0)));
            slow.waitForClose();
        });
        section("its thread learns that it must not handle the request", [&] {
            CPPUNIT_ASSERT(!connections.setPhase(slow.server, ConnectionPhase::Handling));
            connections.remove(slow.server);
        });
        section("requests that are handled make none", [&] {
            CPPUNIT_ASSERT(connections.setPhase(late.server, ConnectionPhase::Handling));
            Connected another(listener);
            CPPUNIT_ASSERT(!connections.add(another.server, Milliseconds(0)));
            CPPUNIT_ASSERT(connections.setPhase(handled.server, ConnectionPhase::Sending));
        });
    }

    /// Guards against bodies that are incomplete and together take the memory of the process.
    void bufferLimit()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ConnectionSet connections({8, 1000});
        Connected first(listener);
        Connected second(listener);
        for (Connected *connected : {&first, &second}) {
            CPPUNIT_ASSERT(connections.add(connected->server, Milliseconds(0)));
            CPPUNIT_ASSERT(connections.setPhase(connected->server, ConnectionPhase::Reading));
        }
        CPPUNIT_ASSERT(connections.addBytes(first.server, 600));
        section("the older incomplete request is closed", [&] {
            CPPUNIT_ASSERT(connections.addBytes(second.server, 600));
            first.waitForClose();
            CPPUNIT_ASSERT(!connections.addBytes(first.server, 1));
        });
        section("a new request does not give way to an older incomplete one", [&] {
            Connected ordinary(listener);
            CPPUNIT_ASSERT(connections.add(ordinary.server, Milliseconds(0)));
            CPPUNIT_ASSERT(connections.addBytes(ordinary.server, 600));
            second.waitForClose();
            section("and stays beyond the limit while it is handled", [&] {
                CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Handling));
                CPPUNIT_ASSERT(connections.addBytes(ordinary.server, 600));
                CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Sending));
            });
        });
    }

    /// Guards against a stop that waits for clients that send nothing.
    void stopWithIdleConnections()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ConnectionSet connections({8, 0});
        Connected idle(listener);
        CPPUNIT_ASSERT(connections.add(idle.server, Milliseconds(0)));
        std::thread thread([&] {
            char byte = 0;
            idle.server.receiveBytes(&byte, 1);
            connections.remove(idle.server);
        });
        connections.stop(Milliseconds(60000));
        thread.join();
        CPPUNIT_ASSERT(!connections.add(idle.server, Milliseconds(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSetTest);

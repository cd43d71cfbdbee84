#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
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

    /// Returns false if the server does not end the connection.
    bool isClosedByServer()
    {
        try {
            char byte = 0;
            return client.receiveBytes(&byte, 1) == 0;
        } catch (const Poco::TimeoutException &) {
            return false;
        }
    }

    /// Sends a byte to the client, which a connection that was shut down could not.
    void expectOpen()
    {
        char byte = 'x';
        CPPUNIT_ASSERT_EQUAL(1, server.sendBytes(&byte, 1, MSG_NOSIGNAL));
        CPPUNIT_ASSERT_EQUAL(1, client.receiveBytes(&byte, 1));
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
    CPPUNIT_TEST(newConnections);
    CPPUNIT_TEST(nextRequests);
    CPPUNIT_TEST(responseProgress);
    CPPUNIT_TEST(bytesOfHandledRequests);
    CPPUNIT_TEST(stopWithIdleConnections);
    CPPUNIT_TEST(stopAfterTheLimit);
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
        CPPUNIT_ASSERT(connections.addBytes(first.server, 600) == AddBytesResult::Added);
        section("the older incomplete request is closed", [&] {
            CPPUNIT_ASSERT(connections.addBytes(second.server, 600) == AddBytesResult::Added);
            first.waitForClose();
            CPPUNIT_ASSERT(connections.addBytes(first.server, 1) == AddBytesResult::Closed);
        });
        section("a new request does not give way to an older incomplete one", [&] {
            Connected ordinary(listener);
            CPPUNIT_ASSERT(connections.add(ordinary.server, Milliseconds(0)));
            CPPUNIT_ASSERT(connections.addBytes(ordinary.server, 600) == AddBytesResult::Added);
            second.waitForClose();
            section("and stays beyond the limit while it is handled", [&] {
                CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Handling));
                CPPUNIT_ASSERT(connections.addBytes(ordinary.server, 600) == AddBytesResult::Added);
                CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Sending));
            });
        });
    }

    /// Guards against partial heads at the limit of connections, with which each new connection was
    /// closed for the next one.
    void newConnections()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        SteadyTimeMs now = 1;
        ConnectionSet connections({3, 0}, [&now] { return now; });
        std::vector<Connected> partial;
        for (std::size_t index = 0; index < 3; ++index) {
            partial.emplace_back(listener);
            CPPUNIT_ASSERT(connections.add(partial.back().server, Milliseconds(0)));
            CPPUNIT_ASSERT(connections.addBytes(partial.back().server, 8) == AddBytesResult::Added);
        }
        now = 2;
        Connected first(listener);
        Connected second(listener);
        CPPUNIT_ASSERT(connections.add(first.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.add(second.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.setPhase(first.server, ConnectionPhase::Handling));
        CPPUNIT_ASSERT(connections.setPhase(second.server, ConnectionPhase::Handling));
        partial[0].waitForClose();
        partial[1].waitForClose();
    }

    /// Guards against counting the idle time before a request as time in which it does not arrive.
    void nextRequests()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        SteadyTimeMs now = 1;
        ConnectionSet connections({2, 0}, [&now] { return now; });
        Connected ordinary(listener);
        Connected slow(listener);
        CPPUNIT_ASSERT(connections.add(ordinary.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Idle));
        now = 2;
        CPPUNIT_ASSERT(connections.add(slow.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.addBytes(slow.server, 8) == AddBytesResult::Added);
        now = 3;
        section("the bytes of a further request begin it", [&] {
            CPPUNIT_ASSERT(connections.addBytes(ordinary.server, 8) == AddBytesResult::Added);
            Connected late(listener);
            CPPUNIT_ASSERT(connections.add(late.server, Milliseconds(0)));
            slow.waitForClose();
            CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Idle));
            connections.remove(late.server);
        });
        section("so does the phase, without counted bytes", [&] {
            Connected another(listener);
            now = 4;
            CPPUNIT_ASSERT(connections.add(another.server, Milliseconds(0)));
            now = 5;
            CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Reading));
            Connected late(listener);
            CPPUNIT_ASSERT(connections.add(late.server, Milliseconds(0)));
            another.waitForClose();
            CPPUNIT_ASSERT(connections.setPhase(ordinary.server, ConnectionPhase::Handling));
        });
    }

    /// Guards against closing a client that reads a large response while the kernel takes no bytes
    /// for a moment.
    void responseProgress()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        SteadyTimeMs now = 1;
        ConnectionSet connections({1, 0}, [&now] { return now; });
        Connected reader(listener);
        Connected late(listener);
        CPPUNIT_ASSERT(connections.add(reader.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.setPhase(reader.server, ConnectionPhase::Sending));
        fillSendBuffer(reader);
        now += unreadGraceMs - 1;
        CPPUNIT_ASSERT(!connections.add(late.server, Milliseconds(0)));
        connections.noteProgress(reader.server);
        now += unreadGraceMs - 1;
        CPPUNIT_ASSERT(!connections.add(late.server, Milliseconds(0)));
        now += 1;
        CPPUNIT_ASSERT(connections.add(late.server, Milliseconds(0)));
        CPPUNIT_ASSERT(!connections.setPhase(reader.server, ConnectionPhase::Idle));
    }

    /// Guards against closing a connection without a response because requests that are handled
    /// take the whole limit of bytes.
    void bytesOfHandledRequests()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ConnectionSet connections({8, 1000});
        Connected handled(listener);
        Connected late(listener);
        CPPUNIT_ASSERT(connections.add(handled.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.addBytes(handled.server, 900) == AddBytesResult::Added);
        CPPUNIT_ASSERT(connections.setPhase(handled.server, ConnectionPhase::Handling));
        CPPUNIT_ASSERT(connections.add(late.server, Milliseconds(0)));
        CPPUNIT_ASSERT(connections.addBytes(late.server, 200) == AddBytesResult::NoRoom);
        CPPUNIT_ASSERT(connections.setPhase(late.server, ConnectionPhase::Sending));
        late.expectOpen();
    }

    /// Guards against a stop that waits for clients that send nothing. The request that is handled
    /// ends only after the client of the idle connection has seen its end.
    void stopWithIdleConnections()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ConnectionSet connections({8, 0});
        Connected fresh(listener);
        Connected idle(listener);
        Connected handled(listener);
        for (Connected *connected : {&fresh, &idle, &handled}) {
            CPPUNIT_ASSERT(connections.add(connected->server, Milliseconds(0)));
        }
        CPPUNIT_ASSERT(connections.setPhase(idle.server, ConnectionPhase::Idle));
        CPPUNIT_ASSERT(connections.setPhase(handled.server, ConnectionPhase::Handling));
        std::thread stopping([&] { connections.stop(std::chrono::hours(1)); });
        const bool closed = fresh.isClosedByServer() && idle.isClosedByServer();
        const bool closedEarly = !connections.setPhase(handled.server, ConnectionPhase::Sending);
        for (Connected *connected : {&fresh, &idle, &handled}) {
            connections.remove(connected->server);
        }
        stopping.join();
        CPPUNIT_ASSERT(closed);
        CPPUNIT_ASSERT(!closedEarly);
        CPPUNIT_ASSERT(!connections.add(idle.server, Milliseconds(0)));
    }

    /// Guards against a stop that takes the response from a client whose request is handled, or
    /// that was refused.
    void stopAfterTheLimit()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ConnectionSet connections({8, 0});
        Connected handled(listener);
        Connected refused(listener);
        Connected incomplete(listener);
        for (Connected *connected : {&handled, &refused, &incomplete}) {
            CPPUNIT_ASSERT(connections.add(connected->server, Milliseconds(0)));
        }
        CPPUNIT_ASSERT(connections.setPhase(handled.server, ConnectionPhase::Handling));
        CPPUNIT_ASSERT(connections.setPhase(refused.server, ConnectionPhase::Lingering));
        CPPUNIT_ASSERT(connections.setPhase(incomplete.server, ConnectionPhase::Reading));
        std::thread stopping([&] { connections.stop(Milliseconds(0)); });
        // The end of the incomplete request shows that the limit has passed.
        const bool limitPassed = incomplete.isClosedByServer();
        const bool answered = connections.setPhase(handled.server, ConnectionPhase::Sending);
        const bool lingering = connections.setPhase(refused.server, ConnectionPhase::Lingering);
        for (Connected *connected : {&handled, &refused, &incomplete}) {
            connections.remove(connected->server);
        }
        stopping.join();
        CPPUNIT_ASSERT(limitPassed);
        CPPUNIT_ASSERT(answered);
        CPPUNIT_ASSERT(lingering);
    }

private:
    /// Returns when the kernel takes no more bytes for a client that reads nothing.
    static void fillSendBuffer(const Connected &connected)
    {
        const std::string bytes(65536, 'x');
        const int descriptor = connected.server.impl()->sockfd();
        // The client's kernel may still acknowledge bytes for a moment.
        constexpr int settledMs = 50;
        pollfd entry{descriptor, POLLOUT, 0};
        while (::poll(&entry, 1, settledMs) > 0) {
            ::send(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSetTest);

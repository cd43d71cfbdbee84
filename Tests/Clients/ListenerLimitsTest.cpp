#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Program/ListenerLimits.h"
#include "Support/Section.h"
#include "Support/TemporaryFolder.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

class ListenerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListenerLimitsTest);
    CPPUNIT_TEST(machineLimits);
    CPPUNIT_TEST(peerLimits);
    CPPUNIT_TEST(closedConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against limits that a machine's memory or descriptors don't cover, and against
    /// limits below those of a usual machine.
    void machineLimits()
    {
        HttpLimits limits;
        limits.maxConnections = 1500;
        const ListenerShare share{50, 25, 25, 65536};
        section("a usual machine keeps the limit of connections", [&] {
            const HttpLimits limited = limitToMachine(limits, {256, 4096}, share);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1500), limited.maxConnections);
            CPPUNIT_ASSERT_EQUAL(std::size_t(64 << 20), limited.maxBufferedBytes);
            CPPUNIT_ASSERT(limited.receiveBufferBytes * 1500 <= std::size_t(64 << 20));
        });
        section("a small machine lowers all of them", [&] {
            const HttpLimits limited = limitToMachine(limits, {32, 300}, share);
            CPPUNIT_ASSERT_EQUAL(std::size_t(50), limited.maxConnections);
            CPPUNIT_ASSERT_EQUAL(std::size_t(8 << 20), limited.maxBufferedBytes);
            CPPUNIT_ASSERT_EQUAL(std::size_t(65536), limited.sendBufferBytes);
        });
        section("without a share of unread bytes the receive buffer is the system's", [&] {
            const HttpLimits limited = limitToMachine(limits, {256, 4096}, {50, 25, 0, 0});
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), limited.receiveBufferBytes);
        });
        section("what clients send ahead is bounded although the receive buffer is not", [&] {
            const HttpLimits limited = limitToMachine(limits, {256, 4096}, {50, 25, 0, 0, 20});
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), limited.receiveBufferBytes);
            CPPUNIT_ASSERT(limited.sentAheadBufferBytes > 0);
            CPPUNIT_ASSERT(limited.sentAheadBufferBytes * 1500 <= std::size_t(256 << 20) / 5);
        });
    }

    /// Guards against peers whose messages the memory of the machine doesn't cover, and against a
    /// machine that is too small for one message.
    void peerLimits()
    {
        const PeerShare share{10, 10};
        section("a usual machine keeps the limit of connections", [&] {
            const auto limited = limitToMachine(PeerTransportOptions{}, {256, 4096}, share);
            CPPUNIT_ASSERT_EQUAL(PeerTransportOptions{}.maxConnections, limited.maxConnections);
            CPPUNIT_ASSERT_EQUAL(std::size_t(256 << 20) / 10, limited.maxHeldBytes);
        });
        section("a small machine lowers it, and has room for two messages", [&] {
            const auto limited = limitToMachine(PeerTransportOptions{}, {32, 600}, share);
            CPPUNIT_ASSERT_EQUAL(std::size_t(40), limited.maxConnections);
            CPPUNIT_ASSERT_EQUAL(2 * limited.maxMessageBytes, limited.maxHeldBytes);
        });
    }

    /// Guards against a log line for each closed connection, which a crowd could multiply.
    void closedConnections()
    {
        TemporaryFolder folder;
        const std::string path = folder.write("log", "");
        const int descriptor = ::open(path.c_str(), O_WRONLY);
        PrometheusMetrics metrics;
        {
            JsonLineLog log("a", descriptor);
            ClosedConnections closed(metrics, log);
            const auto observer = closed.observer("clients");
            for (SteadyTimeMs now = 10000; now < 11000; ++now) {
                observer(ConnectionCloseReason::ConnectionLimit);
                closed.report(now);
            }
            closed.report(11000);
        }
        ::close(descriptor);
        std::ifstream file(path);
        const std::string lines((std::istreambuf_iterator<char>(file)),
                                std::istreambuf_iterator<char>());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), std::count(lines.begin(), lines.end(), '\n'));
        CPPUNIT_ASSERT(lines.find("\"count\":999") != std::string::npos);
        CPPUNIT_ASSERT(metrics.render().find("dandelionloom_http_connections_closed_total{listener="
                                             "\"clients\",reason=\"connection-limit\"} 1000")
                       != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerLimitsTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>
#include <vector>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "Operators/OperatorFixture.h"
#include "Peers/PeerSupport.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::size_t maxConnections = 16;
const std::string authorized = "Authorization: Bearer alice-secret\r\n";

/// A server whose requests for metrics are handled until the test releases them.
class BlockingServer
{
public:
    explicit BlockingServer(Milliseconds commandTimeout)
    {
        OperatorServerOptions options;
        options.address = "127.0.0.1:0";
        options.instanceName = "entry-a1";
        options.credentials =
                takeValue(OperatorCredentials::parse("alice alice-secret\n", "operators"));
        options.commandTimeout = commandTimeout;
        m_server = std::make_unique<OperatorServer>(
                std::move(options),
                OperatorServices{m_log, m_decisions, [] { return std::vector<EndpointRecord>(); },
                                 [](const std::string &) { return std::vector<WaveExplanation>(); },
                                 [this] { return handleMetrics(); }});
        CPPUNIT_ASSERT(isOk(m_server->start()));
        m_port = m_server->port();
    }
    ~BlockingServer() { release(); }
    BlockingServer(const BlockingServer &) = delete;
    BlockingServer &operator=(const BlockingServer &) = delete;

    Poco::Net::StreamSocket send(const std::string &bytes) const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", m_port));
        socket.setReceiveTimeout(Poco::Timespan(10, 0));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return socket;
    }
    Poco::Net::StreamSocket requestMetrics() const
    {
        return send("GET /metrics HTTP/1.1\r\nHost: loom\r\nConnection: close\r\n" + authorized
                    + "\r\n");
    }
    bool waitForHandled(std::size_t count)
    {
        return m_signal.waitFor([&] { return m_handled == count; });
    }
    void release()
    {
        m_signal.change([this] { m_released = true; });
    }
    void stop() { m_server->stop(); }

private:
    std::string handleMetrics()
    {
        m_signal.change([this] { ++m_handled; });
        m_signal.waitFor([this] { return m_released; }, Milliseconds(60000));
        return "loom_up 1\n";
    }

    FakeReplicatedLog m_log;
    RecordingDecisionLog m_decisions;
    Signal m_signal;
    std::size_t m_handled = 0;
    bool m_released = false;
    std::uint16_t m_port = 0;
    std::unique_ptr<OperatorServer> m_server;
};

/// Reads until the server ends the connection.
std::string readAll(Poco::Net::StreamSocket &socket)
{
    std::string response;
    char buffer[4096];
    for (;;) {
        const int count = socket.receiveBytes(buffer, sizeof buffer);
        if (count <= 0) {
            return response;
        }
        response.append(buffer, static_cast<std::size_t>(count));
    }
}

} // namespace

class OperatorConnectionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorConnectionsTest);
    CPPUNIT_TEST(allConnectionsHandle);
    CPPUNIT_TEST(stopWhileHandling);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against closing the connection of an operator without a response while requests of
    /// all others are handled.
    void allConnectionsHandle()
    {
        BlockingServer server(Milliseconds(20));
        std::vector<Poco::Net::StreamSocket> clients;
        for (std::size_t index = 0; index < maxConnections; ++index) {
            clients.push_back(server.requestMetrics());
        }
        CPPUNIT_ASSERT(server.waitForHandled(maxConnections));
        Poco::Net::StreamSocket late = server.requestMetrics();
        const std::string refusal = readAll(late);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(refusal));
        CPPUNIT_ASSERT(bodyOf(refusal).find("\"outcome\":\"not-run\"") != std::string::npos);
        server.release();
        for (Poco::Net::StreamSocket &client : clients) {
            CPPUNIT_ASSERT_EQUAL(200, statusOf(readAll(client)));
        }
    }

    /// Guards against a stop that takes the response from an operator whose request is handled for
    /// longer than the limit of the stop.
    void stopWhileHandling()
    {
        BlockingServer server(Milliseconds(10));
        Poco::Net::StreamSocket handled = server.requestMetrics();
        CPPUNIT_ASSERT(server.waitForHandled(1));
        Poco::Net::StreamSocket incomplete =
                server.send("PUT /v1/plans HTTP/1.1\r\nHost: loom\r\nExpect: 100-continue\r\n"
                            + authorized + "Content-Length: 3\r\n\r\n");
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(1, incomplete.receiveBytes(&byte, 1));
        std::thread stopping([&] { server.stop(); });
        // The incomplete request ends when the limit has passed.
        std::string response;
        try {
            readAll(incomplete);
            server.release();
            response = readAll(handled);
        } catch (const Poco::Exception &) {
            server.release();
        }
        stopping.join();
        CPPUNIT_ASSERT_EQUAL(200, statusOf(response));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorConnectionsTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "Adapters/Http/HttpListener.h"
#include "Peers/PeerSupport.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Handles each request until the test releases it.
class BlockingHandler : public HttpHandler
{
public:
    Result<std::string, HttpResponse> authorize(const HttpHead &) override
    {
        return std::string("caller");
    }
    HttpResponse handle(const std::string &, HttpHead, std::string) override
    {
        m_signal.change([this] { ++m_handled; });
        m_signal.waitFor([this] { return m_released; }, Milliseconds(60000));
        return {200, {}, "done"};
    }
    HttpResponse makeErrorResponse(const HttpRequestError &error) override
    {
        return {error.status, {}, error.reason};
    }

    bool waitForHandled()
    {
        return m_signal.waitFor([this] { return m_handled == 1; });
    }
    void release()
    {
        m_signal.change([this] { m_released = true; });
    }

private:
    Signal m_signal;
    int m_handled = 0;
    bool m_released = false;
};

std::string requestWithBody(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
            + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
}

Poco::Net::StreamSocket send(const HttpListener &listener, const std::string &bytes)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(listener.address())};
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return socket;
}

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

class HttpListenerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpListenerTest);
    CPPUNIT_TEST(bytesOfHandledRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against closing a connection without a response because a request that is handled
    /// takes the whole limit of bytes.
    void bytesOfHandledRequests()
    {
        constexpr std::size_t bodyBytes = 50000;
        HttpLimits limits;
        limits.maxBufferedBytes = bodyBytes + bodyBytes / 2;
        BlockingHandler handler;
        HttpListener listener("127.0.0.1:0", limits, handler);
        listener.start();
        Poco::Net::StreamSocket handled = send(listener, requestWithBody(bodyBytes));
        CPPUNIT_ASSERT(handler.waitForHandled());
        Poco::Net::StreamSocket late = send(listener, requestWithBody(bodyBytes));
        const std::string refusal = readAll(late);
        handler.release();
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(readAll(handled).starts_with("HTTP/1.1 200"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpListenerTest);

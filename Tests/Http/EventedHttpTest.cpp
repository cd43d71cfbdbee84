#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <memory>

#include "Adapters/Http/EventedHttpClient.h"
#include "Adapters/Http/EventedHttpServer.h"
#include "Adapters/Peers/PeerSockets.h"
#include "Peers/PeerSupport.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// A server and a client on one event loop.
struct ClientAndServer
{
    explicit ClientAndServer(EventedHttpServer::Handler handler, HttpLimits limits = {})
        : server(std::make_unique<EventedHttpServer>(loop, limits, std::move(handler))),
          client(std::make_unique<EventedHttpClient>(loop, HttpClientLimits{2, 1 << 20}))
    {
        CPPUNIT_ASSERT(isOk(server->listen("127.0.0.1:0")));
        address = "127.0.0.1:" + std::to_string(server->port());
        loop.start();
    }

    ~ClientAndServer()
    {
        loop.runAndWait([this] {
            client.reset();
            server.reset();
        });
        loop.stop();
    }

    void call(const std::string &path, Milliseconds timeout = Milliseconds(3000))
    {
        HttpCall httpCall{address, "POST", path, {}, "body of " + path, timeout};
        loop.post([this, httpCall] {
            client->call(httpCall, [this](const EventedHttpClient::Result &result) {
                callbackSignal.change([&] {
                    if (isOk(result)) {
                        responseBodies.push_back(valueOf(result).body);
                    } else {
                        errorKinds.push_back(errorOf(result).kind);
                    }
                });
            });
        });
    }

    /// Sends raw bytes and returns everything that the server sends until it closes the connection.
    std::string sendRaw(const std::string &bytes)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const SocketAddress target = *parseSocketAddress(address);
        CPPUNIT_ASSERT_EQUAL(0,
                             ::connect(descriptor,
                                       reinterpret_cast<const sockaddr *>(&target.storage),
                                       target.length));
        CPPUNIT_ASSERT(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0);
        std::string response;
        char buffer[1024];
        for (;;) {
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            response.append(buffer, static_cast<std::size_t>(count));
        }
        ::close(descriptor);
        return response;
    }

    EventLoop loop;
    std::unique_ptr<EventedHttpServer> server;
    std::unique_ptr<EventedHttpClient> client;
    std::string address;
    Signal callbackSignal;
    std::vector<std::string> responseBodies;
    std::vector<HttpCallErrorKind> errorKinds;
};

void echoHandler(const HttpRequest &request, const EventedHttpServer::Respond &respond)
{
    respond({200, {}, request.path + "=" + request.body});
}

} // namespace

class EventedHttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventedHttpTest);
    CPPUNIT_TEST(connectionReuse);
    CPPUNIT_TEST(errorKinds);
    CPPUNIT_TEST(malformedRequestsAreRejected);
    CPPUNIT_TEST(drainAnswersPendingRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against responses that are delivered to the wrong call, and against a new connection
    /// for each call.
    void connectionReuse()
    {
        ClientAndServer http(echoHandler);
        for (int index = 0; index < 50; ++index) {
            http.call("/" + std::to_string(index));
        }
        CPPUNIT_ASSERT(
                http.callbackSignal.waitFor([&] { return http.responseBodies.size() == 50; }));
        for (const std::string &response : http.responseBodies) {
            const std::string path = response.substr(0, response.find('='));
            CPPUNIT_ASSERT_EQUAL(path + "=body of " + path, response);
        }
        CPPUNIT_ASSERT(http.client->connectionsOpened() <= 2);
    }

    /// Guards against reporting "not sent" for a request that may have been carried out.
    void errorKinds()
    {
        section("the outcome is unknown if the handler does not respond before the timeout", [] {
            EventedHttpServer::Respond savedRespond;
            ClientAndServer http([&savedRespond](const HttpRequest &,
                                                 const EventedHttpServer::Respond &respond) {
                savedRespond = respond;
            });
            http.call("/a", Milliseconds(100));
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.errorKinds.size() == 1; }));
            CPPUNIT_ASSERT(http.errorKinds[0] == HttpCallErrorKind::NoAnswer);
        });
        section("a refused connection is reported as not sent", [] {
            ClientAndServer http(echoHandler);
            http.address = "127.0.0.1:1";
            http.call("/a");
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.errorKinds.size() == 1; }));
            CPPUNIT_ASSERT(http.errorKinds[0] == HttpCallErrorKind::NotSent);
        });
        section("a late response to a closed connection is discarded", [] {
            EventedHttpServer::Respond savedRespond;
            ClientAndServer http([&savedRespond](const HttpRequest &request,
                                                 const EventedHttpServer::Respond &respond) {
                if (request.path == "/slow") {
                    savedRespond = respond;
                } else {
                    echoHandler(request, respond);
                }
            });
            http.call("/slow", Milliseconds(100));
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.errorKinds.size() == 1; }));
            http.loop.runAndWait([&] { savedRespond({200, {}, "late"}); });
            http.call("/next");
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.responseBodies.size() == 1; }));
            CPPUNIT_ASSERT_EQUAL(std::string("/next=body of /next"), http.responseBodies[0]);
        });
    }

    /// Guards against request smuggling: requests that two HTTP implementations would delimit
    /// differently.
    void malformedRequestsAreRejected()
    {
        HttpLimits limits;
        limits.maxBodyBytes = 100;
        ClientAndServer http(echoHandler, limits);
        const std::vector<std::string> requests = {
                "GET / HTTP/1.1\nHost: a\n\n\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
                "chunked\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "nonsense\r\n\r\n"};
        for (const std::string &request : requests) {
            const std::string response = http.sendRaw(request);
            CPPUNIT_ASSERT(response.empty() || response.starts_with("HTTP/1.1 4"));
        }
        const std::string response = http.sendRaw("POST /x HTTP/1.1\r\nHost: a\r\nConnection: "
                                                  "close\r\nContent-Length: 3\r\n\r\nabc");
        CPPUNIT_ASSERT(response.ends_with("/x=abc"));
    }

    /// Guards against a drain that aborts a request which the handler has already received.
    void drainAnswersPendingRequests()
    {
        EventedHttpServer::Respond savedRespond;
        Signal handlerSignal;
        bool requestReceived = false;
        ClientAndServer http([&](const HttpRequest &, const EventedHttpServer::Respond &respond) {
            handlerSignal.change([&] {
                savedRespond = respond;
                requestReceived = true;
            });
        });
        http.call("/a");
        CPPUNIT_ASSERT(handlerSignal.waitFor([&] { return requestReceived; }));
        http.loop.runAndWait([&] { http.server->drain(); });
        http.loop.runAndWait([&] { savedRespond({200, {}, "whole"}); });
        CPPUNIT_ASSERT(
                http.callbackSignal.waitFor([&] { return http.responseBodies.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), http.responseBodies[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), http.server->pendingRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventedHttpTest);

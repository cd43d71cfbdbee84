#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

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
        server->setCloseObserver([this](ConnectionCloseReason reason) {
            callbackSignal.change([&] { closeReasons.push_back(reason); });
        });
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

    /// Opens a connection. It blocks, with a time limit for what the server has to send.
    int connect() const
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const SocketAddress target = *parseSocketAddress(address);
        CPPUNIT_ASSERT_EQUAL(0,
                             ::connect(descriptor,
                                       reinterpret_cast<const sockaddr *>(&target.storage),
                                       target.length));
        const timeval limit{10, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        return descriptor;
    }

    static void send(int descriptor, const std::string &bytes)
    {
        CPPUNIT_ASSERT(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0);
    }

    /// Returns what the server sends until it contains `end`, or until the server closes the
    /// connection.
    static std::string receive(int descriptor, const std::string &end)
    {
        std::string response;
        char buffer[1024];
        while (end.empty() || response.find(end) == std::string::npos) {
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            response.append(buffer, static_cast<std::size_t>(count));
        }
        return response;
    }

    /// Sends raw bytes and returns everything that the server sends until it closes the connection.
    std::string sendRaw(const std::string &bytes)
    {
        const int descriptor = connect();
        send(descriptor, bytes);
        const std::string response = receive(descriptor, {});
        ::close(descriptor);
        return response;
    }

    /// Waits for a state of the server.
    bool waitUntil(const std::function<bool()> &condition)
    {
        const SteadyTimeMs end = steadyTimeNow() + 10000;
        for (;;) {
            bool holds = false;
            loop.runAndWait([&] { holds = condition(); });
            if (holds || steadyTimeNow() >= end) {
                return holds;
            }
            std::this_thread::yield();
        }
    }

    bool waitForBytes(std::size_t count)
    {
        return waitUntil([&] { return server->bufferedBytes() >= count; });
    }

    std::size_t bufferedBytes()
    {
        std::size_t bytes = 0;
        loop.runAndWait([&] { bytes = server->bufferedBytes(); });
        return bytes;
    }

    EventLoop loop;
    std::unique_ptr<EventedHttpServer> server;
    std::unique_ptr<EventedHttpClient> client;
    std::string address;
    Signal callbackSignal;
    std::vector<std::string> responseBodies;
    std::vector<HttpCallErrorKind> errorKinds;
    std::vector<ConnectionCloseReason> closeReasons;
};

void echoHandler(const HttpRequest &request, const EventedHttpServer::Respond &respond)
{
    respond({200, {}, request.path + "=" + request.body});
}

/// Leaves the process no free descriptor, for as long as it exists.
class AllDescriptorsUsed
{
public:
    AllDescriptorsUsed()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_limit);
        rlimit lowered = m_limit;
        while (lowered.rlim_cur > 0
               && ::fcntl(static_cast<int>(lowered.rlim_cur) - 1, F_GETFD) < 0) {
            --lowered.rlim_cur;
        }
        ::setrlimit(RLIMIT_NOFILE, &lowered);
        for (int descriptor = ::dup(0); descriptor >= 0; descriptor = ::dup(0)) {
            m_descriptors.push_back(descriptor);
        }
    }

    ~AllDescriptorsUsed()
    {
        for (const int descriptor : m_descriptors) {
            ::close(descriptor);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_limit);
    }

    AllDescriptorsUsed(const AllDescriptorsUsed &) = delete;
    AllDescriptorsUsed &operator=(const AllDescriptorsUsed &) = delete;

private:
    rlimit m_limit{};
    std::vector<int> m_descriptors;
};

/// A server that answers while the loop of the client is busy.
struct RemoteServer
{
    RemoteServer()
        : server(loop, {},
                 [this](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                     echoHandler(request, respond);
                     signal.change([this] { ++responses; });
                 })
    {
        CPPUNIT_ASSERT(isOk(server.listen("0.0.0.0:0")));
        loop.start();
    }

    ~RemoteServer()
    {
        loop.runAndWait([this] { server.drain(); });
        loop.stop();
    }

    std::string address(int host = 1) const
    {
        return "127.0.0." + std::to_string(host) + ":" + std::to_string(server.port());
    }

    EventLoop loop;
    Signal signal;
    std::size_t responses = 0;
    EventedHttpServer server;
};

} // namespace

class EventedHttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventedHttpTest);
    CPPUNIT_TEST(connectionReuse);
    CPPUNIT_TEST(errorKinds);
    CPPUNIT_TEST(callsOfASuspendedProcess);
    CPPUNIT_TEST(responsesOfABusyLoop);
    CPPUNIT_TEST(noFreeDescriptors);
    CPPUNIT_TEST(malformedRequestsAreRejected);
    CPPUNIT_TEST(drainAnswersPendingRequests);
    CPPUNIT_TEST(chunksInSeveralReads);
    CPPUNIT_TEST(expectContinue);
    CPPUNIT_TEST(requestsSentAhead);
    CPPUNIT_TEST(responseNotTaken);
    CPPUNIT_TEST(connectionLimit);
    CPPUNIT_TEST(newConnections);
    CPPUNIT_TEST(nextRequests);
    CPPUNIT_TEST(bufferLimit);
    CPPUNIT_TEST(halfClosedClient);
    CPPUNIT_TEST(lostClient);
    CPPUNIT_TEST(rejectionIsReceived);
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

    /// Guards against an order that is sent after the permission for it has run out, because the
    /// process was suspended between the decision and the sending (chamdakam-loom-grown scale-2:
    /// AVAIL).
    void callsOfASuspendedProcess()
    {
        std::vector<std::string> received;
        std::vector<EventedHttpServer::Respond> unanswered;
        ClientAndServer http(
                [&](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                    received.push_back(request.path);
                    unanswered.push_back(respond);
                });
        const auto callAndSuspend = [&http](const std::string &path) {
            http.loop.runAndWait([&] {
                HttpCall call{http.address, "POST", path, {}, {}, Milliseconds(3000)};
                call.sendUntil = steadyTimeNow() + 20;
                http.client->call(call, [&http](const EventedHttpClient::Result &result) {
                    http.callbackSignal.change(
                            [&] { http.errorKinds.push_back(errorOf(result).kind); });
                });
                while (steadyTimeNow() <= call.sendUntil) { }
            });
        };
        section("a call whose connection is established too late is not sent", [&] {
            callAndSuspend("/late");
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.errorKinds.size() == 1; }));
            CPPUNIT_ASSERT(http.errorKinds[0] == HttpCallErrorKind::NotSent);
        });
        section("nor is one that gets a free connection too late", [&] {
            http.call("/first");
            http.call("/second");
            CPPUNIT_ASSERT(http.waitUntil([&] { return received.size() == 2; }));
            callAndSuspend("/waiting");
            http.loop.runAndWait([&] { unanswered[0]({200, {}, "first"}); });
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.errorKinds.size() == 2; }));
            CPPUNIT_ASSERT(http.errorKinds[1] == HttpCallErrorKind::NotSent);
        });
        section("later calls are sent as before", [&] {
            http.call("/third");
            CPPUNIT_ASSERT(http.waitUntil([&] { return received.size() == 3; }));
            CPPUNIT_ASSERT_EQUAL(std::string("/third"), received[2]);
            http.loop.runAndWait([&] { unanswered[2]({200, {}, "third"}); });
        });
    }

    /// Guards against a call that times out although its response has arrived, because its loop was
    /// busy: the leader of a large fleet would take workers that answer for silent.
    void responsesOfABusyLoop()
    {
        constexpr std::int64_t timeoutMs = 100;
        RemoteServer remote;
        ClientAndServer http(echoHandler);
        http.address = remote.address();
        section("the connection is open", [&] {
            http.call("/first");
            CPPUNIT_ASSERT(
                    http.callbackSignal.waitFor([&] { return http.responseBodies.size() == 1; }));
        });
        section("a response that arrives in time, while the loop is busy until after the time-out",
                [&] {
                    http.call("/second", Milliseconds(timeoutMs));
                    bool receivedInTime = false;
                    http.loop.runAndWait([&] {
                        const SteadyTimeMs startedAt = steadyTimeNow();
                        receivedInTime =
                                remote.signal.waitFor([&] { return remote.responses == 2; });
                        // Once this has run, the response has been sent.
                        remote.loop.runAndWait([] {});
                        while (steadyTimeNow() <= startedAt + timeoutMs) { }
                    });
                    CPPUNIT_ASSERT(receivedInTime);
                    CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] {
                        return http.responseBodies.size() + http.errorKinds.size() == 2;
                    }));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), http.errorKinds.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("/second=body of /second"),
                                         http.responseBodies[1]);
                });
    }

    /// Guards against a worker that no call reaches any more, because the idle connections to other
    /// workers hold all descriptors of the process.
    void noFreeDescriptors()
    {
        constexpr int knownHosts = 40;
        constexpr int newHosts = 10;
        RemoteServer remote;
        ClientAndServer http(echoHandler);
        const auto callHost = [&](int host) {
            http.address = remote.address(host);
            http.call("/" + std::to_string(host));
            CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] {
                return http.responseBodies.size() + http.errorKinds.size()
                        == static_cast<std::size_t>(host);
            }));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), http.errorKinds.size());
        };
        for (int host = 1; host <= knownHosts; ++host) {
            callHost(host);
        }
        const AllDescriptorsUsed allUsed;
        for (int host = knownHosts + 1; host <= knownHosts + newHosts; ++host) {
            callHost(host);
        }
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

    /// Guards against refusing a chunked body whose end has not arrived yet.
    void chunksInSeveralReads()
    {
        ClientAndServer http(echoHandler);
        const int client = http.connect();
        const std::string begin =
                "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab";
        ClientAndServer::send(client, begin);
        CPPUNIT_ASSERT(http.waitForBytes(begin.size()));
        ClientAndServer::send(client, "c\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(ClientAndServer::receive(client, "abcde").ends_with("/x=abcde"));
        ::close(client);
    }

    /// Guards against a client that waits for the permission to send its body.
    void expectContinue()
    {
        ClientAndServer http(echoHandler);
        const int client = http.connect();
        ClientAndServer::send(client,
                              "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                              "Content-Length: 3\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                             ClientAndServer::receive(client, "\r\n\r\n"));
        ClientAndServer::send(client, "abc");
        const std::string response = ClientAndServer::receive(client, "/x=abc");
        CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200"));
        ::close(client);
    }

    /// Guards against a server that reads on while it handles a request.
    void requestsSentAhead()
    {
        EventedHttpServer::Respond savedRespond;
        Signal handlerSignal;
        std::size_t requests = 0;
        ClientAndServer http([&](const HttpRequest &, const EventedHttpServer::Respond &respond) {
            handlerSignal.change([&] {
                savedRespond = respond;
                ++requests;
            });
        });
        const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
        const int client = http.connect();
        const std::size_t count = 2000;
        std::string ahead;
        for (std::size_t index = 0; index < count; ++index) {
            ahead += request;
        }
        ClientAndServer::send(client, ahead);
        // A request and one read beyond it.
        const std::size_t maxBytes = request.size() + 2 * 16384;
        for (std::size_t index = 1; index <= count; ++index) {
            CPPUNIT_ASSERT(handlerSignal.waitFor([&] { return requests == index; }));
            CPPUNIT_ASSERT(http.bufferedBytes() <= maxBytes);
            http.loop.runAndWait([&] { savedRespond({200, {}, {}}); });
        }
        ::close(client);
    }

    /// Guards against a connection that holds a response for a client that never reads it.
    void responseNotTaken()
    {
        HttpLimits limits;
        limits.responseSendTimeout = Milliseconds(50);
        ClientAndServer http(
                [](const HttpRequest &, const EventedHttpServer::Respond &respond) {
                    respond({200, {}, std::string(64 << 20, 'x')});
                },
                limits);
        const int client = http.connect();
        ClientAndServer::send(client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] { return http.closeReasons.size() == 1; }));
        CPPUNIT_ASSERT(http.closeReasons[0] == ConnectionCloseReason::ResponseTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), http.bufferedBytes());
        ::close(client);
    }

    /// Guards against idle connections that keep a new caller out, and against closing one whose
    /// request is handled.
    void connectionLimit()
    {
        EventedHttpServer::Respond savedRespond;
        Signal handlerSignal;
        bool requestReceived = false;
        HttpLimits limits;
        limits.maxConnections = 2;
        ClientAndServer http(
                [&](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                    if (request.path != "/held") {
                        echoHandler(request, respond);
                        return;
                    }
                    handlerSignal.change([&] {
                        savedRespond = respond;
                        requestReceived = true;
                    });
                },
                limits);
        const int held = http.connect();
        ClientAndServer::send(held, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(handlerSignal.waitFor([&] { return requestReceived; }));
        const int idle = http.connect();
        section("a new caller is served in place of the idle connection", [&] {
            CPPUNIT_ASSERT(http.sendRaw("GET /new HTTP/1.1\r\nHost: a\r\nConnection: "
                                        "close\r\n\r\n")
                                   .ends_with("/new="));
            CPPUNIT_ASSERT_EQUAL(std::string(), ClientAndServer::receive(idle, {}));
            CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] {
                return http.closeReasons == std::vector{ConnectionCloseReason::ConnectionLimit};
            }));
        });
        section("the request that was handled is answered", [&] {
            http.loop.runAndWait([&] { savedRespond({200, {}, "whole"}); });
            CPPUNIT_ASSERT(ClientAndServer::receive(held, "whole").ends_with("whole"));
        });
        ::close(held);
        ::close(idle);
    }

    /// Guards against partial heads at the limit of connections, with which each new connection was
    /// closed for the next one.
    void newConnections()
    {
        HttpLimits limits;
        limits.maxConnections = 3;
        ClientAndServer http(echoHandler, limits);
        const std::string part = "GET /slow";
        std::vector<int> clients;
        for (std::size_t index = 0; index < 3; ++index) {
            clients.push_back(http.connect());
            ClientAndServer::send(clients.back(), part);
            CPPUNIT_ASSERT(http.waitForBytes((index + 1) * part.size()));
        }
        const int first = http.connect();
        CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] { return http.closeReasons.size() == 1; }));
        const int second = http.connect();
        CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] { return http.closeReasons.size() == 2; }));
        for (const int client : {first, second}) {
            ClientAndServer::send(client, "GET /new HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT(ClientAndServer::receive(client, "/new=").ends_with("/new="));
            clients.push_back(client);
        }
        for (const int client : clients) {
            ::close(client);
        }
    }

    /// Guards against counting the idle time before a request as time in which it does not arrive.
    void nextRequests()
    {
        HttpLimits limits;
        limits.maxConnections = 2;
        ClientAndServer http(echoHandler, limits);
        const std::string request = "GET /ordinary HTTP/1.1\r\nHost: a\r\n\r\n";
        const std::string part = "GET /";
        const int ordinary = http.connect();
        ClientAndServer::send(ordinary, request);
        CPPUNIT_ASSERT(ClientAndServer::receive(ordinary, "/ordinary=").ends_with("/ordinary="));
        const int slow = http.connect();
        ClientAndServer::send(slow, part);
        CPPUNIT_ASSERT(http.waitForBytes(part.size()));
        const SteadyTimeMs slowBegan = steadyTimeNow();
        while (steadyTimeNow() == slowBegan) {
            std::this_thread::yield();
        }
        ClientAndServer::send(ordinary, request.substr(0, part.size()));
        CPPUNIT_ASSERT(http.waitForBytes(2 * part.size()));
        const int late = http.connect();
        CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] { return http.closeReasons.size() == 1; }));
        ClientAndServer::send(ordinary, request.substr(part.size()));
        CPPUNIT_ASSERT(ClientAndServer::receive(ordinary, "/ordinary=").ends_with("/ordinary="));
        for (const int client : {ordinary, slow, late}) {
            ::close(client);
        }
    }

    /// Guards against incomplete requests that take the memory of the process, and against new
    /// requests that give way to them.
    void bufferLimit()
    {
        HttpLimits limits;
        limits.maxBufferedBytes = 100 * 1024;
        ClientAndServer http(echoHandler, limits);
        const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
        const int first = http.connect();
        ClientAndServer::send(first, head + std::string(60000, 'x'));
        CPPUNIT_ASSERT(http.waitForBytes(60000));
        const int second = http.connect();
        ClientAndServer::send(second, head + std::string(60000, 'x'));
        CPPUNIT_ASSERT(http.callbackSignal.waitFor([&] { return http.closeReasons.size() == 1; }));
        CPPUNIT_ASSERT(http.closeReasons[0] == ConnectionCloseReason::BufferLimit);
        CPPUNIT_ASSERT(http.bufferedBytes() <= limits.maxBufferedBytes);
        section("a new request is answered in place of an incomplete one", [&] {
            const int third = http.connect();
            ClientAndServer::send(third, head + std::string(42000, 'x'));
            CPPUNIT_ASSERT(http.waitForBytes(102000));
            const std::string body(1000, 'y');
            const std::string response = http.sendRaw(
                    "POST /new HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
            CPPUNIT_ASSERT(response.ends_with("/new=" + body));
            ::close(third);
        });
        ::close(first);
        ::close(second);
    }

    /// Guards against dropping the response to a client that has ended its sending side.
    void halfClosedClient()
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
        const int client = http.connect();
        ClientAndServer::send(client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        ::shutdown(client, SHUT_WR);
        CPPUNIT_ASSERT(handlerSignal.waitFor([&] { return requestReceived; }));
        http.loop.runAndWait([&] { savedRespond({200, {}, "whole"}); });
        CPPUNIT_ASSERT(ClientAndServer::receive(client, {}).ends_with("whole"));
        ::close(client);
    }

    /// Guards against keeping the connection of a client that has gone while nothing is read.
    void lostClient()
    {
        Signal handlerSignal;
        bool requestReceived = false;
        ClientAndServer http([&](const HttpRequest &, const EventedHttpServer::Respond &) {
            handlerSignal.change([&] { requestReceived = true; });
        });
        const int client = http.connect();
        // With the rest unread by the server, its events are off.
        ClientAndServer::send(client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(handlerSignal.waitFor([&] { return requestReceived; }));
        ClientAndServer::send(client, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        const linger reset{1, 0};
        ::setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(client);
        CPPUNIT_ASSERT(http.waitUntil([&] { return http.server->connectionCount() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), http.server->pendingRequests());
    }

    /// Guards against a reset that deletes the rejection before the client has read it.
    void rejectionIsReceived()
    {
        HttpLimits limits;
        limits.maxBodyBytes = 100;
        ClientAndServer http(echoHandler, limits);
        const int client = http.connect();
        ClientAndServer::send(client,
                              "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n"
                                      + std::string(70000, 'x'));
        CPPUNIT_ASSERT(ClientAndServer::receive(client, {}).starts_with("HTTP/1.1 413"));
        ::close(client);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventedHttpTest);

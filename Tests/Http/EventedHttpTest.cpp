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

/// A listener and a client on one event loop.
struct Exchange
{
    explicit Exchange(EventedHttpServer::Handler handler, HttpLimits limits = {})
        : server(std::make_unique<EventedHttpServer>(loop, limits, std::move(handler))),
          client(std::make_unique<EventedHttpClient>(loop, HttpClientLimits{2, 1 << 20}))
    {
        CPPUNIT_ASSERT(isOk(server->listen("127.0.0.1:0")));
        address = "127.0.0.1:" + std::to_string(server->port());
        loop.start();
    }

    ~Exchange()
    {
        loop.runAndWait([this] {
            client.reset();
            server.reset();
        });
        loop.stop();
    }

    void call(const std::string &path, Milliseconds timeout = Milliseconds(3000))
    {
        HttpCall next{address, "POST", path, {}, "body of " + path, timeout};
        loop.post([this, next] {
            client->call(next, [this](const EventedHttpClient::Result &result) {
                signal.change([&] {
                    if (isOk(result)) {
                        answers.push_back(valueOf(result).body);
                    } else {
                        faults.push_back(errorOf(result).kind);
                    }
                });
            });
        });
    }

    /// Sends raw bytes and gives all that the listener answers until it closes.
    std::string raw(const std::string &bytes)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const SocketAddress target = *parseSocketAddress(address);
        CPPUNIT_ASSERT_EQUAL(0,
                             ::connect(descriptor,
                                       reinterpret_cast<const sockaddr *>(&target.storage),
                                       target.length));
        CPPUNIT_ASSERT(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0);
        std::string answer;
        char buffer[1024];
        for (;;) {
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            answer.append(buffer, static_cast<std::size_t>(count));
        }
        ::close(descriptor);
        return answer;
    }

    EventLoop loop;
    std::unique_ptr<EventedHttpServer> server;
    std::unique_ptr<EventedHttpClient> client;
    std::string address;
    Signal signal;
    std::vector<std::string> answers;
    std::vector<HttpCallErrorKind> faults;
};

void echo(const HttpRequest &request, const EventedHttpServer::Respond &respond)
{
    respond({200, {}, request.path + "=" + request.body});
}

} // namespace

class EventedHttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventedHttpTest);
    CPPUNIT_TEST(calls);
    CPPUNIT_TEST(faults);
    CPPUNIT_TEST(malformedRequests);
    CPPUNIT_TEST(drains);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against answers that reach another call, and against a connection for each call.
    void calls()
    {
        Exchange exchange(echo);
        for (int index = 0; index < 50; ++index) {
            exchange.call("/" + std::to_string(index));
        }
        CPPUNIT_ASSERT(exchange.signal.waitFor([&] { return exchange.answers.size() == 50; }));
        for (const std::string &answer : exchange.answers) {
            const std::string path = answer.substr(0, answer.find('='));
            CPPUNIT_ASSERT_EQUAL(path + "=body of " + path, answer);
        }
        CPPUNIT_ASSERT(exchange.client->connectionsOpened() <= 2);
    }

    /// Guards against "not sent" for a request that may have been carried out.
    void faults()
    {
        section("a handler that never answers leaves the outcome open", [] {
            EventedHttpServer::Respond kept;
            Exchange exchange(
                    [&kept](const HttpRequest &, const EventedHttpServer::Respond &respond) {
                        kept = respond;
                    });
            exchange.call("/a", Milliseconds(100));
            CPPUNIT_ASSERT(exchange.signal.waitFor([&] { return exchange.faults.size() == 1; }));
            CPPUNIT_ASSERT(exchange.faults[0] == HttpCallErrorKind::NoAnswer);
        });
        section("a refused connection has carried nothing", [] {
            Exchange exchange(echo);
            exchange.address = "127.0.0.1:1";
            exchange.call("/a");
            CPPUNIT_ASSERT(exchange.signal.waitFor([&] { return exchange.faults.size() == 1; }));
            CPPUNIT_ASSERT(exchange.faults[0] == HttpCallErrorKind::NotSent);
        });
        section("a late answer to a closed connection does no harm", [] {
            EventedHttpServer::Respond kept;
            Exchange exchange(
                    [&kept](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                        if (request.path == "/slow") {
                            kept = respond;
                        } else {
                            echo(request, respond);
                        }
                    });
            exchange.call("/slow", Milliseconds(100));
            CPPUNIT_ASSERT(exchange.signal.waitFor([&] { return exchange.faults.size() == 1; }));
            exchange.loop.runAndWait([&] { kept({200, {}, "late"}); });
            exchange.call("/next");
            CPPUNIT_ASSERT(exchange.signal.waitFor([&] { return exchange.answers.size() == 1; }));
            CPPUNIT_ASSERT_EQUAL(std::string("/next=body of /next"), exchange.answers[0]);
        });
    }

    /// Guards against requests that two readers of the connection would split differently.
    void malformedRequests()
    {
        HttpLimits limits;
        limits.maxBodyBytes = 100;
        Exchange exchange(echo, limits);
        const std::vector<std::string> requests = {
                "GET / HTTP/1.1\nHost: a\n\n\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
                "chunked\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "nonsense\r\n\r\n"};
        for (const std::string &request : requests) {
            const std::string answer = exchange.raw(request);
            CPPUNIT_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 4"));
        }
        const std::string answer = exchange.raw("POST /x HTTP/1.1\r\nHost: a\r\nConnection: "
                                                "close\r\nContent-Length: 3\r\n\r\nabc");
        CPPUNIT_ASSERT(answer.ends_with("/x=abc"));
    }

    /// Guards against a stop that breaks off a request that was read.
    void drains()
    {
        EventedHttpServer::Respond kept;
        Signal taken;
        bool waiting = false;
        Exchange exchange([&](const HttpRequest &, const EventedHttpServer::Respond &respond) {
            taken.change([&] {
                kept = respond;
                waiting = true;
            });
        });
        exchange.call("/a");
        CPPUNIT_ASSERT(taken.waitFor([&] { return waiting; }));
        exchange.loop.runAndWait([&] { exchange.server->drain(); });
        exchange.loop.runAndWait([&] { kept({200, {}, "whole"}); });
        CPPUNIT_ASSERT(exchange.signal.waitFor([&] { return exchange.answers.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), exchange.answers[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), exchange.server->pendingRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventedHttpTest);

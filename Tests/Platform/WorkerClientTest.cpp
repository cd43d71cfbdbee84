#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Http/EventedHttpServer.h"
#include "Peers/PeerSupport.h"
#include "Support/Section.h"
#include "platform/WorkerClient.h"

using namespace dandelionloom;
using namespace dandelionloom::platform;
using namespace dandelionloom::test;

namespace {

/// A client and a worker that confirms every order.
struct ClientAndWorker
{
    ClientAndWorker()
        : worker(std::make_unique<EventedHttpServer>(
                loop, HttpLimits{},
                [this](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                    received.push_back(request.path);
                    respond({200, {}, "{}"});
                })),
          client(std::make_unique<WorkerClient>(loop, "127.0.0.1:1", WorkerCallTimeouts{}, log))
    {
        CPPUNIT_ASSERT(isOk(worker->listen("127.0.0.1:0")));
        address = "127.0.0.1:" + std::to_string(worker->port());
        loop.start();
    }

    ~ClientAndWorker()
    {
        loop.runAndWait([this] {
            client.reset();
            worker.reset();
        });
        loop.stop();
    }
    ClientAndWorker(const ClientAndWorker &) = delete;
    ClientAndWorker &operator=(const ClientAndWorker &) = delete;

    /// Starts a run. The event loop is busy until `suspendedUntil`, before the connection to the
    /// worker is used.
    std::optional<CallFault> start(SteadyTimeMs sendUntil, SteadyTimeMs suspendedUntil)
    {
        bool answered = false;
        std::optional<CallFault> result;
        loop.runAndWait([&] {
            StartOrder order{"w", address, {"job", 0, 0, 1}, 2, "payload", 99, {}, {}};
            order.sendUntil = sendUntil;
            client->start(order, 5, [&](std::optional<CallFault> fault) {
                signal.change([&] {
                    result = fault;
                    answered = true;
                });
            });
            while (steadyTimeNow() <= suspendedUntil) { }
        });
        CPPUNIT_ASSERT(signal.waitFor([&] { return answered; }));
        return result;
    }

    EventLoop loop;
    LogRecorder log;
    Signal signal;
    std::vector<std::string> received;
    std::string address;
    std::unique_ptr<EventedHttpServer> worker;
    std::unique_ptr<WorkerClient> client;
};

} // namespace

class WorkerClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerClientTest);
    CPPUNIT_TEST(startsOfASuspendedProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a start that is sent after the leader's lease because its process was
    /// suspended while the connection to the worker was opened.
    void startsOfASuspendedProcess()
    {
        ClientAndWorker http;
        const SteadyTimeMs until = steadyTimeNow() + 20;
        CPPUNIT_ASSERT(http.start(until, until) == CallFault::NotSent);
        section("starts with time left, or without a limit, are sent", [&] {
            CPPUNIT_ASSERT(!http.start(steadyTimeNow() + 60000, 0));
            CPPUNIT_ASSERT(!http.start(0, 0));
        });
        std::size_t received = 0;
        http.loop.runAndWait([&] { received = http.received.size(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), received);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerClientTest);

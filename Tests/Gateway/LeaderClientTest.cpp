#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>

#include "Consensus/FakePeerNetwork.h"
#include "Peers/PeerSupport.h"
#include "Runtime/LeaderClient.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// One gateway and two control instances, of which "a" leads.
struct LookingGateway
{
    LookingGateway()
    {
        control("a", true);
        control("b", false);
        transport = network.transport("gateway");
        network.setUp("gateway", true);
        client = std::make_unique<LeaderClient>(loop, *transport, log, [](const std::string &) {});
        client->addControlInstance("a");
        client->addControlInstance("b");
        loop.start();
        loop.post([this] { client->start(); });
    }

    ~LookingGateway()
    {
        loop.runAndWait([this] { client.reset(); });
        loop.stop();
    }

    void control(const std::string &name, bool leads)
    {
        controls.push_back(network.transport(name));
        controls.back()->setHandler(
                PeerMessageKind::Locate,
                [this, leads](const std::string &, const std::string &,
                              const PeerTransport::Reply &reply) {
                    reply(packMessage(LocateAnswer{leads && !silent, "a", {"a", "b"}}));
                });
        controls.back()->setHandler(
                PeerMessageKind::JobCall,
                [this, leads](const std::string &, const std::string &,
                              const PeerTransport::Reply &reply) {
                    JobCallAnswer answer =
                            answerOf(leads ? JobCallOutcome::Done : JobCallOutcome::NotLeader, "");
                    answer.leader = "a";
                    if (!(leads && silent)) {
                        reply(packMessage(answer));
                    }
                });
        network.setUp(name, true);
    }

    /// The transports call back on other threads, so the state is asked on the loop.
    void waitUntilReady(bool ready)
    {
        bool isReady = !ready;
        while (isReady != ready) {
            loop.runAndWait([&] { isReady = client->isReady(steadyTimeNow()); });
        }
    }

    JobCallAnswer call(std::int64_t waitMs)
    {
        bool answered = false;
        JobCallAnswer given;
        loop.post([&] {
            client->call({}, steadyTimeNow() + waitMs, [&](const JobCallAnswer &answer) {
                signal.change([&] {
                    given = answer;
                    answered = true;
                });
            });
        });
        CPPUNIT_ASSERT(signal.waitFor([&] { return answered; }));
        return given;
    }

    FakePeerNetwork network;
    /// The leader takes calls and does not answer.
    std::atomic<bool> silent{false};
    std::vector<std::unique_ptr<PeerTransport>> controls;
    std::unique_ptr<PeerTransport> transport;
    EventLoop loop;
    LogRecorder log;
    Signal signal;
    std::unique_ptr<LeaderClient> client;
};

} // namespace

class LeaderClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaderClientTest);
    CPPUNIT_TEST(findsTheLeader);
    CPPUNIT_TEST(refusesAtOnce);
    CPPUNIT_TEST(tellsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against calls that stay with an instance that does not lead.
    void findsTheLeader()
    {
        LookingGateway gateway;
        gateway.waitUntilReady(true);
        CPPUNIT_ASSERT(gateway.call(2000).outcome == JobCallOutcome::Done);
    }

    /// Guards against callers in a zone that is cut off who are held until their deadline
    /// (recorded days of both deployments: refused after 3 s).
    void refusesAtOnce()
    {
        LookingGateway gateway;
        gateway.waitUntilReady(true);
        gateway.network.isolate("gateway");
        gateway.waitUntilReady(false);
        const SteadyTimeMs begin = steadyTimeNow();
        const JobCallAnswer answer = gateway.call(5000);
        CPPUNIT_ASSERT(answer.outcome == JobCallOutcome::NotLeader);
        CPPUNIT_ASSERT(answer.retryAfterMs > 0);
        // A quarter of the smallest objective of today's queues, 600 ms.
        CPPUNIT_ASSERT(steadyTimeNow() - begin < 150);
    }

    /// Guards against "not accepted" for a call that a silent leader may have accepted.
    void tellsUnknown()
    {
        LookingGateway gateway;
        gateway.waitUntilReady(true);
        gateway.silent = true;
        CPPUNIT_ASSERT(gateway.call(8000).outcome == JobCallOutcome::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderClientTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/GatewayStack.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;
using dandelionloom::standIn::EndpointHttp;
using dandelionloom::standIn::EndpointSettings;

namespace {

void assertResult(const std::string &expected, const CallerAnswer &answer)
{
    CPPUNIT_ASSERT_EQUAL(expected,
                         std::to_string(answer.status) + " " + answer.outcome() + " "
                                 + answer.reason());
}

CallOptions post(const std::string &key = {})
{
    CallOptions options;
    options.method = "POST";
    options.body = "order";
    if (!key.empty()) {
        options.headers = {{"Idempotency-Key", key}};
    }
    return options;
}

} // namespace

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(plansAndHeaders);
    CPPUNIT_TEST(staleLists);
    CPPUNIT_TEST(neverReady);
    CPPUNIT_TEST(registration);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against running a request that its plan doesn't permit, and against accepting invalid
    /// values of the gateway's header fields.
    void plansAndHeaders()
    {
        FakeLog log;
        applyPlans(log);
        GatewayStack stack(log, "entry-1");
        const auto assertCallResult = [&](const std::string &expected, const CallOptions &options) {
            assertResult(expected, stack.call(options));
        };
        CallOptions options;
        options.target = "/risk/quote";
        assertCallResult("403 not-run service-not-in-plan", options);
        options.target = "/pricing-2";
        assertCallResult("403 not-run service-not-in-plan", options);
        options = {};
        options.credential = unlistedPlanCredential;
        assertCallResult("403 not-run plan-not-listed", options);
        options = {};
        options.method = "TRACE";
        assertCallResult("405 not-run method-not-allowed", options);
        for (const char *deadline : {"0", "-1", "5s", "", "600001", "99999999999999"}) {
            options = {};
            options.headers = {{"Dandelionloom-Deadline-Ms", deadline}};
            assertCallResult("400 not-run bad-deadline", options);
        }
        assertCallResult("400 not-run bad-idempotency-key", post(std::string(201, 'k')));
    }

    /// Guards against running non-idempotent requests after the lists lease has ended, when other
    /// gateways may already use newer lists and claims.
    void staleLists()
    {
        FakeLog log;
        applyPlans(log);
        EndpointHttp endpoint(EndpointSettings{});
        GatewayStack stack(log, "entry-1");
        stack.announce("worker-1", endpoint.address());
        log.quorumContactAgeMs = 10000;
        section("within the lease", [&] {
            const CallerAnswer answer = stack.call(post("k1"));
            assertResult("200 done ", answer);
            CPPUNIT_ASSERT_EQUAL(std::string(), answer.header("Dandelionloom-Lists"));
        });
        log.quorumContactAgeMs = 10001;
        section("after the lease only idempotent work runs", [&] {
            const CallerAnswer answer = stack.call({});
            assertResult("200 done ", answer);
            CPPUNIT_ASSERT_EQUAL(std::string("stale"), answer.header("Dandelionloom-Lists"));
            for (const CallOptions &options : {post("k2"), post()}) {
                const CallerAnswer refused = stack.call(options);
                assertResult("503 not-run lists-stale", refused);
                CPPUNIT_ASSERT_EQUAL(std::string("stale"), refused.header("Dandelionloom-Lists"));
            }
            CPPUNIT_ASSERT_EQUAL(2, endpoint.endpointRuns().totalRuns());
            CPPUNIT_ASSERT_EQUAL(1, stack.decisions.count(DecisionKind::Lease));
        });
        section("a renewed lease restores all work", [&] {
            log.quorumContactAgeMs = 0;
            assertResult("200 done ", stack.call(post("k2")));
        });
        section("a log that is no longer ready counts as stale", [&] {
            log.ready = false;
            assertResult("503 not-run lists-stale", stack.call(post("k3")));
        });
    }

    /// Guards against running requests before a quorum has confirmed the lists since the start.
    void neverReady()
    {
        FakeLog log;
        applyPlans(log);
        log.ready = false;
        EndpointHttp endpoint(EndpointSettings{});
        GatewayStack stack(log, "entry-1");
        stack.announce("worker-1", endpoint.address());
        assertResult("503 not-run lists-never-confirmed", stack.call({}));
        log.ready = true;
        assertResult("200 done ", stack.call({}));
    }

    /// Guards against an announced instance that isn't registered in the log when the first
    /// commands fail, and against registering it again with every announcement.
    void registration()
    {
        FakeLog log;
        log.setBehavior([count = 0](const CommandBody &) mutable {
            return ++count < 3 ? FakeLog::Behavior::NotAccepted : FakeLog::Behavior::Apply;
        });
        GatewayStack stack(log, "entry-1");
        stack.announce("worker-1", "127.0.0.1:9");
        CPPUNIT_ASSERT(log.waitForCommands(3));
        while (log.state().fleet()->instances.empty()) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("pricing"),
                             log.state().fleet()->instances.at("worker-1").pool);
        stack.announce("worker-1", "127.0.0.1:9");
        stack.announce("worker-2", "127.0.0.1:9");
        CPPUNIT_ASSERT(log.waitForCommands(4));
        CPPUNIT_ASSERT_EQUAL(4, log.commands());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

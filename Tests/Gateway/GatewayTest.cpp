#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/GatewayStack.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;
using dandelionloom::standIn::EndpointHttp;
using dandelionloom::standIn::EndpointSettings;

namespace {

void assertEnd(const std::string &expected, const CallerAnswer &answer)
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
    /// Guards against work for a plan that may not have it, and against misread headers.
    void plansAndHeaders()
    {
        FakeLog log;
        applyPlans(log);
        GatewayStack stack(log, "entry-1");
        const auto ended = [&](const std::string &expected, const CallOptions &options) {
            assertEnd(expected, stack.call(options));
        };
        CallOptions options;
        options.target = "/risk/quote";
        ended("403 not-run service-not-in-plan", options);
        options.target = "/pricing-2";
        ended("403 not-run service-not-in-plan", options);
        options = {};
        options.credential = orphanCredential;
        ended("403 not-run plan-not-listed", options);
        options = {};
        options.method = "TRACE";
        ended("405 not-run method-not-allowed", options);
        for (const char *deadline : {"0", "-1", "5s", "", "600001", "99999999999999"}) {
            options = {};
            options.headers = {{"Dandelionloom-Deadline-Ms", deadline}};
            ended("400 not-run bad-deadline", options);
        }
        ended("400 not-run bad-idempotency-key", post(std::string(201, 'k')));
    }

    /// Guards against non-idempotent work under lists and claims that others may have replaced.
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
            assertEnd("200 done ", answer);
            CPPUNIT_ASSERT_EQUAL(std::string(), answer.header("Dandelionloom-Lists"));
        });
        log.quorumContactAgeMs = 10001;
        section("after the lease only idempotent work runs", [&] {
            const CallerAnswer answer = stack.call({});
            assertEnd("200 done ", answer);
            CPPUNIT_ASSERT_EQUAL(std::string("stale"), answer.header("Dandelionloom-Lists"));
            for (const CallOptions &options : {post("k2"), post()}) {
                const CallerAnswer refused = stack.call(options);
                assertEnd("503 not-run lists-stale", refused);
                CPPUNIT_ASSERT_EQUAL(std::string("stale"), refused.header("Dandelionloom-Lists"));
            }
            CPPUNIT_ASSERT_EQUAL(2, endpoint.work().total());
            CPPUNIT_ASSERT_EQUAL(1, stack.decisions.count(DecisionKind::Lease));
        });
        section("a renewed lease restores all work", [&] {
            log.quorumContactAgeMs = 0;
            assertEnd("200 done ", stack.call(post("k2")));
        });
        section("a log that is no longer ready counts as stale", [&] {
            log.ready = false;
            assertEnd("503 not-run lists-stale", stack.call(post("k3")));
        });
    }

    /// Guards against service under lists that no quorum confirmed since the start.
    void neverReady()
    {
        FakeLog log;
        applyPlans(log);
        log.ready = false;
        EndpointHttp endpoint(EndpointSettings{});
        GatewayStack stack(log, "entry-1");
        stack.announce("worker-1", endpoint.address());
        assertEnd("503 not-run lists-never-confirmed", stack.call({}));
        log.ready = true;
        assertEnd("200 done ", stack.call({}));
    }

    /// Guards against an announced instance without an agreed record, or with repeated ones.
    void registration()
    {
        FakeLog log;
        log.setFate([count = 0](const CommandBody &) mutable {
            return ++count < 3 ? FakeLog::Fate::NotAccepted : FakeLog::Fate::Apply;
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

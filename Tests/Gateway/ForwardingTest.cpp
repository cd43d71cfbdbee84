#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/ServerSocket.h>

#include "Gateway/GatewayStack.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;
using dandelionloom::standIn::EndpointHttp;
using dandelionloom::standIn::EndpointSettings;

namespace {

EndpointSettings endpointSettings(const std::string &instance)
{
    EndpointSettings settings;
    settings.instance = instance;
    return settings;
}

CallOptions withMode(const std::string &method, const std::string &mode)
{
    CallOptions options;
    options.method = method;
    options.body = method == "GET" ? "" : "order";
    options.headers = {{"Stand-In-Mode", mode}};
    return options;
}

std::string closedAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    return socket.address().toString();
}

} // namespace

class ForwardingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardingTest);
    CPPUNIT_TEST(answerIntegrity);
    CPPUNIT_TEST(unusableAnswers);
    CPPUNIT_TEST(lateAnswer);
    CPPUNIT_TEST(notRunOnlyWithProof);
    CPPUNIT_TEST(retries);
    CPPUNIT_TEST(unavailableEndpoints);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_log = std::make_unique<FakeLog>();
        applyPlans(*m_log);
        m_stack = std::make_unique<GatewayStack>(*m_log, "entry-1");
    }

    void tearDown() override
    {
        m_stack.reset();
        m_log.reset();
    }

    /// Guards against an answer that is changed, truncated or of another request, and against
    /// hop-by-hop and internal header fields that reach the caller.
    void answerIntegrity()
    {
        EndpointHttp endpoint(endpointSettings("worker-1"));
        m_stack->announce("worker-1", endpoint.address());
        section("a request gets the endpoint's own answer", [&] {
            const CallerAnswer answer = m_stack->call({});
            CPPUNIT_ASSERT_EQUAL(200, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("worker-1:/pricing/quote:"), answer.body);
            CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.outcome());
            CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), answer.header("Content-Type"));
            CPPUNIT_ASSERT_EQUAL(std::string(), answer.header(headerNames::attemptId));
            CPPUNIT_ASSERT(!answer.header(headerNames::requestId).empty());
        });
        section("the endpoint's own error is done", [&] {
            const CallerAnswer answer = m_stack->call(withMode("POST", "fail"));
            CPPUNIT_ASSERT_EQUAL(500, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.outcome());
        });
        section("pipelined requests are answered in order", [&] {
            RawCaller caller(m_stack->callerAddress());
            std::string bytes;
            for (int number = 0; number < 20; ++number) {
                CallOptions options;
                options.target = "/pricing/" + std::to_string(number);
                bytes += requestBytes(options);
            }
            caller.send(bytes);
            for (int number = 0; number < 20; ++number) {
                CPPUNIT_ASSERT_EQUAL("worker-1:/pricing/" + std::to_string(number) + ":",
                                     caller.receive().body);
            }
        });
        section("a caller that closed its sending side still gets its answer", [&] {
            RawCaller caller(m_stack->callerAddress());
            caller.send(requestBytes({}));
            caller.shutdownSend();
            CPPUNIT_ASSERT_EQUAL(200, caller.receive().status);
        });
        section("a HEAD answer has no body", [&] {
            CallOptions options;
            options.method = "HEAD";
            RawCaller caller(m_stack->callerAddress());
            caller.send(requestBytes(options));
            CPPUNIT_ASSERT_EQUAL(200, caller.receive(true).status);
            caller.send(requestBytes({}));
            CPPUNIT_ASSERT_EQUAL(std::string("worker-1:/pricing/quote:"), caller.receive().body);
        });
    }

    /// Guards against forwarding an answer that can't be proven to be the complete answer of the
    /// attempt.
    void unusableAnswers()
    {
        EndpointHttp endpoint(endpointSettings("worker-1"));
        m_stack->announce("worker-1", endpoint.address());
        m_stack->call({});
        const std::vector<std::pair<std::string, std::string>> modes{
                {"wrong-id", "wrong-attempt-id"}, {"no-id", "wrong-attempt-id"},
                {"swapped", "wrong-attempt-id"},  {"half", "short-body"},
                {"half-chunk", "short-body"},     {"no-length", "bad-answer"},
                {"two-lengths", "bad-answer"},    {"twice", "left-over-bytes"}};
        double dropped = 0;
        for (const auto &item : modes) {
            const std::string &mode = item.first;
            const std::string &reason = item.second;
            section(mode, [&] {
                const CallerAnswer answer = m_stack->call(withMode("POST", mode));
                CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.outcome());
                CPPUNIT_ASSERT_EQUAL(reason, answer.reason());
                CPPUNIT_ASSERT_EQUAL(504, answer.status);
                dropped += 1;
                CPPUNIT_ASSERT_EQUAL(dropped,
                                     m_stack->metrics.value("dandelionloom_dropped_answers_total"));
                CPPUNIT_ASSERT_EQUAL(std::string("worker-1:/pricing/quote:"),
                                     m_stack->call({}).body);
            });
        }
    }

    /// Guards against a late answer that is taken for the answer to the next request of the
    /// connection.
    void lateAnswer()
    {
        EndpointHttp endpoint(endpointSettings("worker-1"));
        m_stack->announce("worker-1", endpoint.address());
        CallOptions late = withMode("POST", "late");
        late.headers.emplace_back("Stand-In-Late-Ms", "150");
        late.headers.emplace_back("Dandelionloom-Deadline-Ms", "50");
        const CallerAnswer answer = m_stack->call(late);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.outcome());
        CPPUNIT_ASSERT_EQUAL(std::string("timed-out"), answer.reason());
        for (int number = 0; number < 50; ++number) {
            CPPUNIT_ASSERT_EQUAL(std::string("worker-1:/pricing/quote:"), m_stack->call({}).body);
        }
    }

    /// Guards against the outcome not-run for work that an endpoint may have run, and against
    /// unknown for work that was certainly not run.
    void notRunOnlyWithProof()
    {
        CallOptions shortDeadline;
        shortDeadline.method = "POST";
        shortDeadline.headers = {{"Dandelionloom-Deadline-Ms", "100"}};
        section("without an endpoint", [&] {
            const CallerAnswer answer = m_stack->call(shortDeadline);
            CPPUNIT_ASSERT_EQUAL(503, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.outcome());
            CPPUNIT_ASSERT_EQUAL(std::string("no-endpoint"), answer.reason());
            CPPUNIT_ASSERT_EQUAL(std::string("1"), answer.header("Retry-After"));
        });
        section("an endpoint that does not listen", [&] {
            m_stack->announce("worker-0", closedAddress());
            const CallerAnswer answer = m_stack->call(shortDeadline);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.outcome());
            CPPUNIT_ASSERT_EQUAL(std::string("connect-failed"), answer.reason());
            m_stack->announce("worker-0", closedAddress(), 1, EndpointState::Leaving);
        });
        EndpointHttp endpoint(endpointSettings("worker-1"));
        m_stack->announce("worker-1", endpoint.address());
        section("an endpoint that refused before the start", [&] {
            const CallerAnswer answer = m_stack->call(withMode("POST", "refuse"));
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.outcome());
            CPPUNIT_ASSERT_EQUAL(0, endpoint.endpointRuns().totalRuns());
        });
        section("an endpoint that ran the work and closed the connection", [&] {
            const CallerAnswer answer = m_stack->call(withMode("POST", "fail-after-run"));
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.outcome());
            CPPUNIT_ASSERT_EQUAL(504, answer.status);
            CPPUNIT_ASSERT_EQUAL(1, endpoint.endpointRuns().totalRuns());
        });
    }

    /// Guards against a second run of non-idempotent work and against unbounded retries.
    void retries()
    {
        EndpointHttp first(endpointSettings("worker-1"));
        EndpointHttp second(endpointSettings("worker-2"));
        m_stack->announce("worker-1", first.address(), 1, EndpointState::Serving, "rack-1");
        m_stack->announce("worker-2", second.address(), 1, EndpointState::Serving, "rack-2");
        section("idempotent work is run again on another endpoint", [&] {
            first.setMode("fail-after-run");
            for (int number = 0; number < 3; ++number) {
                CPPUNIT_ASSERT_EQUAL(std::string("worker-2:/pricing/quote:"),
                                     m_stack->call({}).body);
            }
        });
        section("non-idempotent work is not run again", [&] {
            second.setMode("fail-after-run");
            const int runs = first.endpointRuns().totalRuns() + second.endpointRuns().totalRuns();
            const CallerAnswer answer = m_stack->call(withMode("POST", "fail-after-run"));
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.outcome());
            CPPUNIT_ASSERT_EQUAL(
                    runs + 1, first.endpointRuns().totalRuns() + second.endpointRuns().totalRuns());
        });
        section("retries stay within a tenth of the requests and the initial three", [&] {
            const double before = m_stack->metrics.value("dandelionloom_requests_total");
            for (int number = 0; number < 100; ++number) {
                m_stack->call({});
            }
            const double requests = before + 100;
            CPPUNIT_ASSERT(m_stack->metrics.value("dandelionloom_retries_total")
                           <= 3 + requests / 10);
        });
    }

    /// Guards against new work for an endpoint that is leaving or registered in another pool.
    void unavailableEndpoints()
    {
        EndpointHttp first(endpointSettings("worker-1"));
        EndpointHttp second(endpointSettings("worker-2"));
        m_stack->announce("worker-1", first.address());
        m_stack->announce("worker-2", second.address());
        section("leaving, and still after a late serving announcement", [&] {
            m_stack->announce("worker-1", first.address(), 1, EndpointState::Leaving);
            const AnnouncementResponse late = m_stack->announce("worker-1", first.address());
            CPPUNIT_ASSERT(!late.accepted);
            for (int number = 0; number < 10; ++number) {
                CPPUNIT_ASSERT_EQUAL(200, m_stack->call({}).status);
            }
            CPPUNIT_ASSERT_EQUAL(0, first.endpointRuns().totalRuns());
        });
        section("registered in another pool", [&] {
            m_log->propose(RegisterInstance{"worker-3", "risk", "zone-a", "rack-1"},
                           Milliseconds(1000));
            EndpointHttp third(endpointSettings("worker-3"));
            const AnnouncementResponse taken = m_stack->announce("worker-3", third.address());
            CPPUNIT_ASSERT_EQUAL(std::string("risk"), taken.pool);
            for (int number = 0; number < 10; ++number) {
                CPPUNIT_ASSERT_EQUAL(200, m_stack->call({}).status);
            }
            CPPUNIT_ASSERT_EQUAL(0, third.endpointRuns().totalRuns());
        });
    }

private:
    std::unique_ptr<FakeLog> m_log;
    std::unique_ptr<GatewayStack> m_stack;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

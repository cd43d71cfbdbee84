#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <iostream>
#include <random>
#include <thread>

#include "Gateway/GatewayStack.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;
using dandelionloom::standIn::EndpointHttp;
using dandelionloom::standIn::EndpointSettings;

namespace {

using Behavior = FakeLog::Behavior;

CallOptions keyed(const std::string &key, const std::string &body = "order",
                  const std::string &mode = "ok")
{
    CallOptions options;
    options.method = "POST";
    options.body = body;
    options.headers = {{"Idempotency-Key", key}, {"Stand-In-Mode", mode}};
    return options;
}

CallOptions withDeadline(CallOptions options, int milliseconds)
{
    options.headers.emplace_back("Dandelionloom-Deadline-Ms", std::to_string(milliseconds));
    return options;
}

template <typename Body>
bool isA(const CommandBody &body)
{
    return std::holds_alternative<Body>(body);
}

void assertResult(const std::string &outcome, const std::string &reason, const CallerAnswer &answer)
{
    CPPUNIT_ASSERT_EQUAL(outcome + " " + reason, answer.outcome() + " " + answer.reason());
}

} // namespace

class KeyedRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyedRequestsTest);
    CPPUNIT_TEST(replay);
    CPPUNIT_TEST(resendsThroughTwoGateways);
    CPPUNIT_TEST(inProgress);
    CPPUNIT_TEST(unknownOutcomes);
    CPPUNIT_TEST(notRunFreesTheKey);
    CPPUNIT_TEST(claimsWithoutAnswer);
    CPPUNIT_TEST(settlementsWithoutCommit);
    CPPUNIT_TEST(answersAfterSettlement);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EndpointSettings settings;
        settings.slots = 64;
        m_endpoint = std::make_unique<EndpointHttp>(settings);
        m_log = std::make_unique<FakeLog>();
        applyPlans(*m_log);
        m_first = std::make_unique<GatewayStack>(*m_log, "entry-1", 7);
        m_second = std::make_unique<GatewayStack>(*m_log, "entry-2", 7);
        m_first->announce("worker-1", m_endpoint->address());
        m_second->announce("worker-1", m_endpoint->address());
    }

    void tearDown() override
    {
        m_log->setBehavior({});
        m_first.reset();
        m_second.reset();
        m_log.reset();
        m_endpoint.reset();
    }

    /// Guards against a resend that runs again or gets another answer than the first request.
    void replay()
    {
        const CallerAnswer first = m_first->call(keyed("k1"));
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        CPPUNIT_ASSERT_EQUAL(std::string("worker-1:/pricing/quote:order"), first.body);
        for (GatewayStack *stack : {m_first.get(), m_second.get()}) {
            const CallerAnswer again = settledAnswer(*stack, keyed("k1"));
            assertResult("done", "replayed", again);
            CPPUNIT_ASSERT_EQUAL(first.body, again.body);
            CPPUNIT_ASSERT_EQUAL(first.header("Content-Type"), again.header("Content-Type"));
        }
        section("the key with another body is refused", [&] {
            const CallerAnswer answer = m_second->call(keyed("k1", "other"));
            CPPUNIT_ASSERT_EQUAL(422, answer.status);
            assertResult("not-run", "key-reused-with-other-request", answer);
        });
        CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k1"));
        section("a body above 16 KiB is done but not stored", [&] {
            const std::string large(maxStoredBodyBytes, 'x');
            CPPUNIT_ASSERT(m_first->call(keyed("k2", large)).body.size() > maxStoredBodyBytes);
            const CallerAnswer again = settledAnswer(*m_second, keyed("k2", large));
            assertResult("done", "replayed-body-not-kept", again);
            CPPUNIT_ASSERT_EQUAL(200, again.status);
            CPPUNIT_ASSERT(again.body.empty());
            CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k2"));
        });
    }

    /// Guards against a second run when a request is resent through two gateways at the same time,
    /// while commands of the log and requests to the endpoint fail at random.
    void resendsThroughTwoGateways()
    {
        constexpr unsigned seed = 20261204;
        constexpr int keys = 60;
        std::cout << " seed " << seed;
        auto random = std::make_shared<std::mt19937>(seed);
        m_log->setBehavior([random](const CommandBody &body) {
            if (!isA<ClaimRequests>(body) && !isA<SettleRequests>(body)) {
                return Behavior::Apply;
            }
            const unsigned draw = (*random)() % 10;
            return draw == 0    ? Behavior::NotAccepted
                    : draw == 1 ? Behavior::LostCommand
                    : draw == 2 ? Behavior::LostAnswer
                    : draw == 3 ? Behavior::Late
                                : Behavior::Apply;
        });
        std::atomic<int> wrongBodies = 0;
        std::vector<std::thread> callers;
        for (int caller = 0; caller < 8; ++caller) {
            callers.emplace_back([&, caller] {
                GatewayStack &stack = caller % 2 == 0 ? *m_first : *m_second;
                for (int number = 0; number < keys; ++number) {
                    const std::string key = "key-" + std::to_string(number);
                    const std::string mode = number % 5 == 0 ? "fail-after-run"
                            : number % 5 == 1                ? "refuse"
                                                             : "ok";
                    const CallerAnswer answer = stack.call(keyed(key, key, mode));
                    if (answer.outcome() == "done"
                        && answer.body != "worker-1:/pricing/quote:" + key) {
                        ++wrongBodies;
                    }
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrongBodies.load());
        for (int number = 0; number < keys; ++number) {
            const std::string key = "key-" + std::to_string(number);
            const int runs = m_endpoint->endpointRuns().runsOfKey(key);
            CPPUNIT_ASSERT_MESSAGE(key + " ran " + std::to_string(runs) + " times", runs <= 1);
            if (number % 5 == 1) {
                CPPUNIT_ASSERT_EQUAL(0, runs);
            }
        }
    }

    /// Guards against a second run while the first one is running.
    void inProgress()
    {
        m_endpoint->endpointRuns().hold();
        CallerAnswer first;
        std::thread caller([&] { first = m_first->call(keyed("k1")); });
        CPPUNIT_ASSERT(m_endpoint->endpointRuns().waitForRuns(1, Milliseconds(5000)));
        const CallerAnswer meanwhile = m_second->call(keyed("k1"));
        m_endpoint->endpointRuns().release();
        caller.join();
        CPPUNIT_ASSERT_EQUAL(409, meanwhile.status);
        assertResult("in-progress", "claimed", meanwhile);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        CPPUNIT_ASSERT_EQUAL(first.body, settledAnswer(*m_second, keyed("k1")).body);
        CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k1"));
    }

    /// Guards against a second run when the outcome of the first is unknown.
    void unknownOutcomes()
    {
        section("the endpoint ran the work and closed the connection", [&] {
            assertResult("unknown", "connection-lost",
                         m_first->call(keyed("k1", "order", "fail-after-run")));
            const CallerAnswer again = settledAnswer(*m_second, keyed("k1"));
            assertResult("unknown", "unknown-before", again);
            CPPUNIT_ASSERT_EQUAL(504, again.status);
            CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k1"));
        });
        const auto claimFor = [&](const std::string &key, const std::string &gateway,
                                  WallTimeMs deadlineAtMs) {
            CallerRequest request;
            request.method = "POST";
            request.target = "/pricing/quote";
            request.body = "order";
            RequestClaim claim;
            claim.plan = "quotes";
            claim.key = key;
            claim.digest = requestDigest(request);
            claim.gateway = gateway;
            claim.gatewayIncarnation = 3;
            claim.deadlineAtMs = deadlineAtMs;
            m_log->propose(ClaimRequests{{claim}}, Milliseconds(1000));
        };
        const WallTimeMs later = wallTimeNow() + 60000;
        section("claimed by another gateway whose deadline has passed", [&] {
            claimFor("k2", "entry-9", wallTimeNow() - 1);
            assertResult("unknown", "claim-past-deadline", m_first->call(keyed("k2")));
        });
        section("claimed by an earlier process of this gateway", [&] {
            claimFor("k3", "entry-1", later);
            assertResult("unknown", "claimed-by-ended-process", m_first->call(keyed("k3")));
            assertResult("in-progress", "claimed", m_second->call(keyed("k3")));
        });
        CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().totalRuns());
    }

    /// Guards against a key that stays claimed although its request was not run.
    void notRunFreesTheKey()
    {
        const CallerAnswer refused = m_first->call(keyed("k1", "order", "refuse"));
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        assertResult("not-run", "refused-by-endpoint", refused);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), m_second->call(keyed("k1")).outcome());
        CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k1"));
    }

    /// Guards against sending a request to an endpoint before its claim is known to be in the log.
    void claimsWithoutAnswer()
    {
        for (const Behavior behavior :
             {Behavior::NotAccepted, Behavior::LostCommand, Behavior::LostAnswer, Behavior::Late}) {
            const std::string key = "k" + std::to_string(static_cast<int>(behavior));
            m_log->setBehavior([behavior](const CommandBody &body) {
                return isA<ClaimRequests>(body) ? behavior : Behavior::Apply;
            });
            section("no answer to any claim: " + key, [&] {
                assertResult("not-run", "claim-timed-out",
                             m_first->call(withDeadline(keyed(key), 200)));
                CPPUNIT_ASSERT_EQUAL(0, m_endpoint->endpointRuns().runsOfKey(key));
            });
        }
        section("one lost answer: the request finds its own claim and runs once", [&] {
            auto lost = std::make_shared<std::atomic<bool>>(false);
            m_log->setBehavior([lost](const CommandBody &body) {
                return isA<ClaimRequests>(body) && !lost->exchange(true) ? Behavior::LostAnswer
                                                                         : Behavior::Apply;
            });
            CPPUNIT_ASSERT_EQUAL(200, m_first->call(keyed("k9")).status);
            CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k9"));
        });
    }

    /// Guards against a second run when the settlement can't be committed.
    void settlementsWithoutCommit()
    {
        m_log->setBehavior([](const CommandBody &body) {
            return isA<SettleRequests>(body) ? Behavior::NotAccepted : Behavior::Apply;
        });
        CPPUNIT_ASSERT_EQUAL(200, m_first->call(withDeadline(keyed("k1"), 300)).status);
        assertResult("unknown", "claim-past-deadline", settledAnswer(*m_second, keyed("k1")));
        CPPUNIT_ASSERT_EQUAL(1, m_endpoint->endpointRuns().runsOfKey("k1"));
    }

    /// Guards against a caller who was told that the request is done, and whose resend through
    /// another gateway is told that it is in progress or unknown (scenario 13: the first gateway
    /// was killed some 10 ms after its answer).
    void answersAfterSettlement()
    {
        auto refusals = std::make_shared<std::atomic<int>>(0);
        m_log->setBehavior([refusals](const CommandBody &body) {
            return isA<SettleRequests>(body) && ++*refusals % 4 != 0 ? Behavior::NotAccepted
                                                                     : Behavior::Apply;
        });
        for (int number = 0; number < 5; ++number) {
            const CallOptions request = keyed("k" + std::to_string(number));
            CPPUNIT_ASSERT_EQUAL(std::string("done"), m_first->call(request).outcome());
            assertResult("done", "replayed", m_second->call(request));
        }
        CPPUNIT_ASSERT(*refusals >= 5);
    }

private:
    /// Resends until the claim is no longer in progress.
    static CallerAnswer settledAnswer(GatewayStack &stack, const CallOptions &options)
    {
        CallerAnswer answer = stack.call(options);
        while (answer.outcome() == "in-progress") {
            answer = stack.call(options);
        }
        return answer;
    }

    std::unique_ptr<EndpointHttp> m_endpoint;
    std::unique_ptr<FakeLog> m_log;
    std::unique_ptr<GatewayStack> m_first;
    std::unique_ptr<GatewayStack> m_second;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyedRequestsTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <thread>

#include "Operators/OperatorFixture.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

std::vector<std::string> changeHeaders(const std::string &changeId, const std::string &revision)
{
    return {"Dandelionloom-Change-Id: " + changeId, "If-Match: " + revision};
}

void registerInstances(FakeReplicatedLog &log)
{
    for (const auto &[id, pool, zone, rack] :
         std::vector<std::array<std::string, 4>>{{"i1", "pricing", "zone-a", "rack-1"},
                                                 {"i2", "pricing", "zone-b", "rack-1"},
                                                 {"i3", "dues", "zone-b", "rack-2"}}) {
        log.propose(RegisterInstance{id, pool, zone, rack}, Milliseconds(0));
    }
}

} // namespace

class OperatorServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorServerTest);
    CPPUNIT_TEST(listChanges);
    CPPUNIT_TEST(concurrentOperators);
    CPPUNIT_TEST(unknownOutcomes);
    CPPUNIT_TEST(faultyLists);
    CPPUNIT_TEST(waves);
    CPPUNIT_TEST(waveResendAfterFleetChange);
    CPPUNIT_TEST(views);
    CPPUNIT_TEST(consistentReads);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change that is accepted without change id or revision, and against a list
    /// that is returned differently from what was sent.
    void listChanges()
    {
        OperatorFixture fixture;
        section("the empty list has revision 0", [&] {
            const std::string response = sendRequest(fixture, "GET", "/v1/plans");
            CPPUNIT_ASSERT_EQUAL(200, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("\"0\""), headerOf(response, "ETag"));
            CPPUNIT_ASSERT_EQUAL(std::string("plan = []\n"), bodyOf(response));
        });
        section("a change without change id or revision is refused", [&] {
            std::string response = sendRequest(fixture, "PUT", "/v1/plans", {"If-Match: \"0\""},
                                               plansText("quotes"));
            CPPUNIT_ASSERT_EQUAL(428, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("{\"error\":\"expected a header "
                                             "Dandelionloom-Change-Id, found none\","
                                             "\"outcome\":\"not-run\"}\n"),
                                 bodyOf(response));
            response = sendRequest(fixture, "PUT", "/v1/plans", {"Dandelionloom-Change-Id: c1"},
                                   plansText("quotes"));
            CPPUNIT_ASSERT_EQUAL(428, statusOf(response));
            response = sendRequest(fixture, "PUT", "/v1/plans", changeHeaders("c1", "*"),
                                   plansText("quotes"));
            CPPUNIT_ASSERT_EQUAL(400, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(0, fixture.log.appliedCommands());
        });
        section("a change with both is accepted under the operator's name", [&] {
            const std::string response = sendRequest(
                    fixture, "PUT", "/v1/plans", changeHeaders("c1", "\"0\""), plansText("quotes"));
            CPPUNIT_ASSERT_EQUAL(200, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("done"), headerOf(response, "Dandelionloom-Outcome"));
            CPPUNIT_ASSERT_EQUAL(std::string("\"1\""), headerOf(response, "ETag"));
            CPPUNIT_ASSERT_EQUAL(std::string("alice"),
                                 fixture.log.state().history().at(0).operatorName);
            CPPUNIT_ASSERT_EQUAL(std::string("PUT /v1/plans by alice: status 200"),
                                 fixture.decisionLog.decisions.back().reason);
        });
        section("the list is returned as TOML and as JSON", [&] {
            const std::string toml = sendRequest(fixture, "GET", "/v1/plans");
            CPPUNIT_ASSERT(bodyOf(toml).starts_with("[[plan]]\nid = 'quotes'")
                           || bodyOf(toml).starts_with("[[plan]]\nid = \"quotes\""));
            const std::string json =
                    sendRequest(fixture, "GET", "/v1/plans", {"Accept: application/json"});
            CPPUNIT_ASSERT_EQUAL(
                    std::string(
                            "{\"revision\":1,\"lists_revision\":1,\"plans\":[{\"id\":\"quotes\","
                            "\"customer\":\"c\",\"service\":\"pricing\",\"urgency\":\"normal\","
                            "\"min_healthy_instances\":1,\"max_unavailable_instances\":1,"
                            "\"default_deadline_ms\":5000}]}\n"),
                    bodyOf(json));
        });
        section("a stale revision is a conflict that names the revision found", [&] {
            const std::string response = sendRequest(
                    fixture, "PUT", "/v1/plans", changeHeaders("c2", "\"0\""), plansText("other"));
            CPPUNIT_ASSERT_EQUAL(412, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("{\"error\":\"expected revision 0 of the plans list, "
                                             "found 1\",\"outcome\":\"not-run\","
                                             "\"found_revision\":1}\n"),
                                 bodyOf(response));
        });
    }

    /// Guards against concurrent changes of the same revision that are both accepted.
    void concurrentOperators()
    {
        constexpr int operators = 8;
        OperatorFixture fixture;
        std::vector<int> statuses(operators);
        std::vector<std::thread> threads;
        for (int index = 0; index < operators; ++index) {
            threads.emplace_back([&fixture, &statuses, index] {
                statuses[index] = statusOf(
                        sendRequest(fixture, "PUT", "/v1/plans",
                                    changeHeaders("race-" + std::to_string(index), "\"0\""),
                                    plansText("plan-" + std::to_string(index))));
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(statuses.begin(), statuses.end(), 200));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(operators - 1),
                             std::count(statuses.begin(), statuses.end(), 412));
        const auto winner = std::find(statuses.begin(), statuses.end(), 200) - statuses.begin();
        const auto lists = fixture.log.state().lists();
        CPPUNIT_ASSERT(lists->plans.contains("plan-" + std::to_string(winner)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lists->plans.size());
    }

    /// Guards against a change that runs twice, or that is reported as not run although it may have
    /// run.
    void unknownOutcomes()
    {
        OperatorFixture fixture;
        const auto put = [&] {
            return sendRequest(fixture, "PUT", "/v1/plans", changeHeaders("c1", "\"0\""),
                               plansText("quotes"));
        };
        section("not accepted is reported as not run", [&] {
            fixture.log.failNext(LogErrorKind::NotAccepted);
            const std::string response = put();
            CPPUNIT_ASSERT_EQUAL(503, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                                 headerOf(response, "Dandelionloom-Outcome"));
            CPPUNIT_ASSERT_EQUAL(std::string("1"), headerOf(response, "Retry-After"));
        });
        section("an unknown outcome is reported as unknown", [&] {
            fixture.log.failNext(LogErrorKind::Unknown, true);
            const std::string response = put();
            CPPUNIT_ASSERT_EQUAL(503, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                                 headerOf(response, "Dandelionloom-Outcome"));
        });
        section("the resend gets the first answer and changes nothing", [&] {
            const std::string response = put();
            CPPUNIT_ASSERT_EQUAL(200, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("\"1\""), headerOf(response, "ETag"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.log.state().lists()->revision);
        });
        section("a full disk and a large entry are reported as not run", [&] {
            fixture.log.failNext(LogErrorKind::DiskFull);
            CPPUNIT_ASSERT_EQUAL(507, statusOf(put()));
            fixture.log.failNext(LogErrorKind::TooLarge);
            const std::string response = put();
            CPPUNIT_ASSERT_EQUAL(413, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                                 headerOf(response, "Dandelionloom-Outcome"));
        });
    }

    /// Guards against faults that are reported one at a time, and against a faulty list that is
    /// proposed to the log.
    void faultyLists()
    {
        OperatorFixture fixture;
        section("all faults of the body", [&] {
            const std::string response =
                    sendRequest(fixture, "PUT", "/v1/plans", changeHeaders("c1", "\"0\""),
                                plansText("quotes", -1) + plansText("quotes"));
            CPPUNIT_ASSERT_EQUAL(400, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("{\"error\":\"the list has 2 faults\",\"outcome\":\"not-run\","
                                "\"faults\":[\"body:5: expected min_healthy_instances as a whole "
                                "number from 0 to 1000000, found -1\",\"body:8: expected each id "
                                "once, found 'quotes' again\"]}\n"),
                    bodyOf(response));
        });
        section("another content type", [&] {
            std::vector<std::string> headers = changeHeaders("c1", "\"0\"");
            headers.emplace_back("Content-Type: application/json");
            CPPUNIT_ASSERT_EQUAL(415,
                                 statusOf(sendRequest(fixture, "PUT", "/v1/plans", headers, "{}")));
        });
        CPPUNIT_ASSERT_EQUAL(0, fixture.log.appliedCommands());
        section("an allowance whose plan is missing is refused by the log", [&] {
            const std::string response =
                    sendRequest(fixture, "PUT", "/v1/allowances", changeHeaders("c2", "\"0\""),
                                "[[allowance]]\nplan = \"quotes\"\nmax_instances = 1\nslots = 1\n"
                                "requests_per_second = 1\n");
            CPPUNIT_ASSERT_EQUAL(400, statusOf(response));
            CPPUNIT_ASSERT(bodyOf(response).find("expected a plan 'quotes' for its allowance")
                           != std::string::npos);
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.log.state().lists()->revision);
    }

    /// Guards against a wave over other instances than the operator selected.
    void waves()
    {
        OperatorFixture fixture;
        registerInstances(fixture.log);
        const auto post = [&](const std::string &path, const std::string &changeId,
                              const std::string &body) {
            return sendRequest(fixture, "POST", path, {"Dandelionloom-Change-Id: " + changeId},
                               body);
        };
        const auto targets = [&](const std::string &wave) {
            return fixture.log.state().fleet()->waves.at(wave).targets;
        };
        section("a selection by pool, by zone and rack, and by instances", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    200, statusOf(post("/v1/waves", "w1", R"({"id":"w1","pool":"pricing"})")));
            CPPUNIT_ASSERT((targets("w1") == std::vector<std::string>{"i1", "i2"}));
            CPPUNIT_ASSERT_EQUAL(90000U, fixture.log.state().fleet()->waves.at("w1").drainLimitMs);
            CPPUNIT_ASSERT_EQUAL(200,
                                 statusOf(post("/v1/waves", "w2",
                                               R"({"id":"w2","availability_zone":"zone-b",)"
                                               R"("rack":"rack-1","drain_limit_ms":5000})")));
            CPPUNIT_ASSERT((targets("w2") == std::vector<std::string>{"i2"}));
            CPPUNIT_ASSERT_EQUAL(5000U, fixture.log.state().fleet()->waves.at("w2").drainLimitMs);
            CPPUNIT_ASSERT_EQUAL(200,
                                 statusOf(post("/v1/waves", "w3",
                                               R"({"id":"w3","instances":["i3","i1","i3"]})")));
            CPPUNIT_ASSERT((targets("w3") == std::vector<std::string>{"i1", "i3"}));
        });
        section("faulty requests", [&] {
            const int before = fixture.log.appliedCommands();
            CPPUNIT_ASSERT_EQUAL(428,
                                 statusOf(sendRequest(fixture, "POST", "/v1/waves", {}, "{}")));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("{\"error\":\"the wave has 3 faults\",\"outcome\":\"not-run\","
                                "\"faults\":[\"expected a key of a wave, found 'pol'; did you mean "
                                "'pool'?\",\"expected either instances or a selection by pool, "
                                "rack or availability_zone, found neither\",\"expected "
                                "drain_limit_ms as a whole number from 1000 to 86400000, found "
                                "5\"]}\n"),
                    bodyOf(post("/v1/waves", "w4",
                                R"({"id":"w4","pol":"pricing","drain_limit_ms":5})")));
            for (const char *body :
                 {"", "{", "[]", "null", "{\"id\":7,\"pool\":\"pricing\"}",
                  "[[[[[[[[[[[[]]]]]]]]]]]]", "{\"id\":\"w4\",\"instances\":3}"}) {
                CPPUNIT_ASSERT_EQUAL(400, statusOf(post("/v1/waves", "w4", body)));
            }
            CPPUNIT_ASSERT_EQUAL(400,
                                 statusOf(post("/v1/waves", "w4", R"({"id":"w4","pool":"none"})")));
            CPPUNIT_ASSERT_EQUAL(before, fixture.log.appliedCommands());
        });
        section("pause, resume, cancel", [&] {
            CPPUNIT_ASSERT_EQUAL(200, statusOf(post("/v1/waves/w1/pause", "w5", "")));
            CPPUNIT_ASSERT_EQUAL(200, statusOf(post("/v1/waves/w1/resume", "w6", "")));
            const std::string cancelled = post("/v1/waves/w1/cancel", "w7", "");
            CPPUNIT_ASSERT(bodyOf(cancelled).find("\"state\":\"cancelled\"") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(409, statusOf(post("/v1/waves/w1/resume", "w8", "")));
            CPPUNIT_ASSERT_EQUAL(404, statusOf(post("/v1/waves/w9/pause", "w9", "")));
            CPPUNIT_ASSERT_EQUAL(404, statusOf(post("/v1/waves/w1/stop", "w10", "")));
            CPPUNIT_ASSERT_EQUAL(
                    409, statusOf(post("/v1/waves", "w11", R"({"id":"w1","pool":"pricing"})")));
        });
        section("a wave explains the phase of its instances", [&] {
            const std::string response = sendRequest(fixture, "GET", "/v1/waves/w2");
            CPPUNIT_ASSERT(bodyOf(response).find("\"explanations\":[{\"instance\":\"i1\",\"phase\":"
                                                 "\"draining\",\"reason\":\"first target of "
                                                 "w2\"}]")
                           != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(404, statusOf(sendRequest(fixture, "GET", "/v1/waves/none")));
        });
    }

    /// Guards against a resend that is refused because the selection matches other instances now.
    void waveResendAfterFleetChange()
    {
        OperatorFixture fixture;
        registerInstances(fixture.log);
        const auto post = [&] {
            return sendRequest(fixture, "POST", "/v1/waves", {"Dandelionloom-Change-Id: w1"},
                               R"({"id":"w1","pool":"pricing"})");
        };
        fixture.log.failNext(LogErrorKind::Unknown, true);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(post()));
        fixture.log.propose(RegisterInstance{"i4", "pricing", "zone-a", "rack-3"}, Milliseconds(0));
        const std::string response = post();
        CPPUNIT_ASSERT_EQUAL(200, statusOf(response));
        CPPUNIT_ASSERT((fixture.log.state().fleet()->waves.at("w1").targets
                        == std::vector<std::string>{"i1", "i2"}));
    }

    /// Guards against read responses that omit fields, or that are no valid JSON because of bytes
    /// in names.
    void views()
    {
        OperatorFixture fixture;
        registerInstances(fixture.log);
        section("status with the progress of all entry instances", [&] {
            fixture.log.setProgress({{"entry-b1", "zone-b", true, 3, 0, 40}});
            CPPUNIT_ASSERT_EQUAL(
                    std::string("{\"instance\":\"entry-a1\",\"version\":\"" DANDELIONLOOM_VERSION
                                "\",\"role\":\"leader\",\"term\":1,\"leader\":\"entry-a1\","
                                "\"commit_index\":3,\"applied_index\":3,\"lists_revision\":0,"
                                "\"plans_revision\":0,\"allowances_revision\":0,\"ready\":true,"
                                "\"quorum_contact_age_ms\":5,\"replicas\":[{\"name\":\"entry-b1\","
                                "\"availability_zone\":\"zone-b\",\"voter\":true,"
                                "\"applied_index\":3,\"lists_revision\":0,"
                                "\"heard_age_ms\":40}]}\n"),
                    bodyOf(sendRequest(fixture, "GET", "/v1/status")));
        });
        section("status without a leader to ask", [&] {
            fixture.log.failNext(LogErrorKind::NotAccepted);
            const std::string response = sendRequest(fixture, "GET", "/v1/status");
            CPPUNIT_ASSERT_EQUAL(200, statusOf(response));
            CPPUNIT_ASSERT(bodyOf(response).ends_with("\"replicas\":[],\"replicas_error\":"
                                                      "\"injected not-accepted\"}\n"));
        });
        section("instances, filtered", [&] {
            const std::string body = bodyOf(sendRequest(fixture, "GET", "/v1/instances?pool=dues"));
            CPPUNIT_ASSERT(body.starts_with("{\"instances\":[{\"id\":\"i3\",\"pool\":\"dues\""));
            CPPUNIT_ASSERT(body.find("\"i1\"") == std::string::npos);
        });
        section("endpoints with any bytes in their names", [&] {
            EndpointRecord record;
            record.announcement.instance = "i\"1\xff";
            record.announcement.address = "127.0.0.1:9000";
            fixture.endpoints = {record};
            CPPUNIT_ASSERT(bodyOf(sendRequest(fixture, "GET", "/v1/endpoints"))
                                   .starts_with("{\"endpoints\":[{\"instance\":\"i\\\"1\\ufffd\""));
        });
        section("metrics, history and unknown paths", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("loom_up 1\n"),
                                 bodyOf(sendRequest(fixture, "GET", "/metrics")));
            CPPUNIT_ASSERT_EQUAL(std::string("{\"changes\":[]}\n"),
                                 bodyOf(sendRequest(fixture, "GET", "/v1/plans/history")));
            CPPUNIT_ASSERT_EQUAL(404, statusOf(sendRequest(fixture, "GET", "/v1/nothing")));
            const std::string response = sendRequest(fixture, "DELETE", "/v1/plans");
            CPPUNIT_ASSERT_EQUAL(405, statusOf(response));
            CPPUNIT_ASSERT_EQUAL(std::string("GET, PUT"), headerOf(response, "Allow"));
        });
    }

    /// Guards against a consistent read that no quorum has confirmed.
    void consistentReads()
    {
        OperatorFixture fixture;
        CPPUNIT_ASSERT_EQUAL(200, statusOf(sendRequest(fixture, "GET", "/v1/plans")));
        CPPUNIT_ASSERT_EQUAL(0, fixture.log.confirmedReads());
        CPPUNIT_ASSERT_EQUAL(200,
                             statusOf(sendRequest(fixture, "GET", "/v1/plans?consistent=true")));
        CPPUNIT_ASSERT_EQUAL(1, fixture.log.confirmedReads());
        fixture.log.failNext(LogErrorKind::Unknown);
        CPPUNIT_ASSERT_EQUAL(503,
                             statusOf(sendRequest(fixture, "GET", "/v1/plans?consistent=true")));
        CPPUNIT_ASSERT_EQUAL(400,
                             statusOf(sendRequest(fixture, "GET", "/v1/plans?consistent=yes")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorServerTest);

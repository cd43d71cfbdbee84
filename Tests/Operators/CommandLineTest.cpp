#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <sstream>

#include "Operators/LossyRelay.h"
#include "Operators/OperatorFixture.h"
#include "Program/OperatorClient.h"
#include "Program/Program.h"
#include "Support/Section.h"
#include "Support/TemporaryFolder.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Runs commands with the given servers and the credential of the operator alice.
struct CommandRunner
{
    TemporaryFolder folder;
    std::vector<std::string> servers;
    std::string out;
    std::string err;
    std::string credentialFile = folder.write("alice.credential", "# own\nalice alice-secret\n");

    int run(std::vector<std::string> arguments)
    {
        for (const std::string &server : servers) {
            arguments.insert(arguments.end(), {"--server", server});
        }
        arguments.insert(arguments.end(), {"--credential-file", credentialFile});
        return runWithoutConnection(arguments);
    }

    int runWithoutConnection(const std::vector<std::string> &arguments)
    {
        std::ostringstream outStream;
        std::ostringstream errStream;
        const int code = runProgram(arguments, outStream, errStream);
        out = outStream.str();
        err = errStream.str();
        return code;
    }
};

} // namespace

class CommandLineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandLineTest);
    CPPUNIT_TEST(lists);
    CPPUNIT_TEST(waves);
    CPPUNIT_TEST(views);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(lostResponses);
    CPPUNIT_TEST(noServer);
    CPPUNIT_TEST(usage);
    CPPUNIT_TEST(check);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a list that is sent or shown differently from the file.
    void lists()
    {
        OperatorFixture fixture;
        CommandRunner runner;
        runner.servers = {fixture.address()};
        const std::string file = runner.folder.write("plans.toml", plansText("quotes", 2));
        section("apply reads the current revision first", [&] {
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "apply", file, "--change-id", "c1"}));
            CPPUNIT_ASSERT_EQUAL(std::string("accepted as revision \"1\" by ") + fixture.address()
                                         + "\n",
                                 runner.out);
            CPPUNIT_ASSERT_EQUAL(
                    std::string("change id c1; to resend: --change-id c1 --if-match 0\n"),
                    runner.err);
        });
        section("show", [&] {
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "show"}));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("revision \"1\"\n"
                                "id      customer  service  urgency  min_healthy_instances  "
                                "max_unavailable_instances  default_deadline_ms\n"
                                "quotes  c         pricing  normal   2                      1      "
                                "                    5000\n"),
                    runner.out);
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "show", "--output", "json"}));
            CPPUNIT_ASSERT(runner.out.starts_with("{\"revision\":1,"));
        });
        section("a shown list can be applied again", [&] {
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "show", "--output", "toml"}));
            const std::string again = runner.folder.write("again.toml", runner.out);
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "diff", again}));
            CPPUNIT_ASSERT_EQUAL(std::string("no difference\n"), runner.out);
        });
        section("diff names what apply would change", [&] {
            const std::string other =
                    runner.folder.write("other.toml", plansText("quotes", 3) + plansText("new"));
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "diff", other}));
            CPPUNIT_ASSERT_EQUAL(std::string("+ new\n~ quotes: min_healthy_instances 2 -> 3\n"),
                                 runner.out);
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "diff", other, "--output", "json"}));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("{\"added\":[\"new\"],\"removed\":[],\"changed\":[{\"id\":"
                                "\"quotes\",\"fields\":[{\"name\":\"min_healthy_instances\","
                                "\"from\":\"2\",\"to\":\"3\"}]}]}\n"),
                    runner.out);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.log.state().lists()->revision);
        });
        section("history", [&] {
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "history"}));
            CPPUNIT_ASSERT(runner.out.find("\n1         plans  1        alice     c1         20")
                           != std::string::npos);
        });
        section("allowances", [&] {
            const std::string allowances =
                    runner.folder.write("allowances.toml",
                                        "[[allowance]]\nplan = \"quotes\"\nmax_instances = 4\n"
                                        "slots = 8\nrequests_per_second = 50\n");
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"allowances", "apply", allowances}));
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"allowances", "show"}));
            CPPUNIT_ASSERT(runner.out.find("quotes  4") != std::string::npos);
        });
    }

    /// Guards against a wave with other targets than the options select.
    void waves()
    {
        OperatorFixture fixture;
        fixture.log.propose(RegisterInstance{"i1", "pricing", "zone-a", "r 1&x"}, Milliseconds(0));
        fixture.log.propose(RegisterInstance{"i2", "pricing", "zone-b", "r2"}, Milliseconds(0));
        CommandRunner runner;
        runner.servers = {fixture.address()};
        CPPUNIT_ASSERT_EQUAL(0,
                             runner.run({"waves", "start", "w1", "--pool", "pricing",
                                         "--drain-limit-ms", "2000"}));
        CPPUNIT_ASSERT(runner.out.starts_with(
                "wave  state    finished  targets  drain_limit_ms\nw1    running  0         2"));
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"waves", "start", "w2", "--instances", "i2,i1"}));
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"waves", "pause", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"waves", "resume", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"waves", "cancel", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"waves", "status", "w1"}));
        CPPUNIT_ASSERT(runner.out.find("w1    cancelled") != std::string::npos);
        CPPUNIT_ASSERT(runner.out.find("w1    i1        draining  first target of w1")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, runner.run({"waves", "resume", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"waves", "status", "--output", "json"}));
        CPPUNIT_ASSERT(runner.out.find("\"id\":\"w2\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"instances", "--rack", "r 1&x"}));
        CPPUNIT_ASSERT(runner.out.find("\ni1  pricing") != std::string::npos);
        CPPUNIT_ASSERT(runner.out.find("\ni2") == std::string::npos);
    }

    /// Guards against tables that omit a partitioned entry instance, or print control characters of
    /// names from outside to the terminal.
    void views()
    {
        OperatorFixture fixture;
        fixture.log.setProgress({{"entry-b1", "zone-b", true, 3, 2, 90000}});
        EndpointRecord record;
        record.announcement.instance = "i\x1b[2J1";
        fixture.endpoints = {record};
        CommandRunner runner;
        runner.servers = {fixture.address()};
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"status"}));
        CPPUNIT_ASSERT(runner.out.find("entry-b1  zone-b             true   3              2     "
                                       "          90000")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"endpoints"}));
        CPPUNIT_ASSERT(runner.out.find("i?[2J1") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, runner.run({"status", "--consistent", "--output", "json"}));
        CPPUNIT_ASSERT_EQUAL(1, fixture.log.confirmedReads());
    }

    /// Guards against an exit code that lets a script take a refusal for success.
    void refusals()
    {
        OperatorFixture fixture;
        CommandRunner runner;
        runner.servers = {fixture.address()};
        const std::string file = runner.folder.write("plans.toml", plansText("quotes"));
        section("conflict", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    1,
                    runner.run({"plans", "apply", file, "--if-match", "9", "--change-id", "c1"}));
            CPPUNIT_ASSERT_EQUAL("change id c1; to resend: --change-id c1 --if-match 9\n"
                                 "refused by "
                                         + fixture.address()
                                         + " with status 412\n"
                                           "expected revision 9 of the plans list, found 0\n",
                                 runner.err);
        });
        section("faulty file: nothing is sent", [&] {
            const std::string faulty = runner.folder.write("faulty.toml", plansText("a b"));
            CPPUNIT_ASSERT_EQUAL(2, runner.run({"plans", "apply", faulty}));
            CPPUNIT_ASSERT_EQUAL(faulty
                                         + ":2: expected id as a name of 1 to 128 letters, digits, "
                                           "'-', '_' or '.', found 'a b'\n",
                                 runner.err);
            CPPUNIT_ASSERT_EQUAL(0, fixture.log.confirmedReads());
        });
        section("wrong credential", [&] {
            runner.credentialFile = runner.folder.write("wrong", "wrong\n");
            CPPUNIT_ASSERT_EQUAL(1, runner.run({"plans", "show"}));
            CPPUNIT_ASSERT_EQUAL("refused by " + fixture.address()
                                         + " with status 401\n"
                                           "expected a valid operator credential, found none\n",
                                 runner.err);
        });
    }

    /// Guards against a change that runs twice, or that is reported as not run although it ran.
    void lostResponses()
    {
        OperatorFixture fixture;
        CommandRunner runner;
        const std::string file = runner.folder.write("plans.toml", plansText("quotes"));
        section("after a lost answer the change is resent at the next server", [&] {
            const LossyRelay relay(fixture.server->port());
            runner.servers = {relay.address(), fixture.address()};
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "apply", file, "--if-match", "0"}));
            CPPUNIT_ASSERT_EQUAL(1, relay.discardedResponses());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.log.state().lists()->revision);
        });
        section("the outcome is unknown if every answer is lost", [&] {
            const LossyRelay relay(fixture.server->port());
            runner.servers = {relay.address()};
            CPPUNIT_ASSERT_EQUAL(
                    4,
                    runner.run({"plans", "apply", file, "--if-match", "1", "--change-id", "c2"}));
            CPPUNIT_ASSERT_EQUAL(3, relay.discardedResponses());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), fixture.log.state().lists()->revision);
            CPPUNIT_ASSERT(runner.err.find("outcome unknown: the change may have been accepted; "
                                           "resend it with the same change id\n")
                           != std::string::npos);
        });
        section("the printed resend options give the outcome", [&] {
            runner.servers = {fixture.address()};
            CPPUNIT_ASSERT_EQUAL(
                    0,
                    runner.run({"plans", "apply", file, "--if-match", "1", "--change-id", "c2"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), fixture.log.state().lists()->revision);
        });
        section("a refusal by another server does not settle a lost answer", [&] {
            OperatorFixture other;
            other.log.failAlways(LogErrorKind::NotAccepted);
            const LossyRelay relay(fixture.server->port());
            runner.servers = {relay.address(), other.address()};
            CPPUNIT_ASSERT_EQUAL(4, runner.run({"plans", "apply", file, "--if-match", "2"}));
        });
        section("the change is resent after an unknown outcome of the log", [&] {
            fixture.log.failNext(LogErrorKind::Unknown, true);
            runner.servers = {fixture.address()};
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "apply", file, "--if-match", "3"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), fixture.log.state().lists()->revision);
        });
    }

    /// Guards against reporting an unknown outcome when no server can have run the change.
    void noServer()
    {
        CommandRunner runner;
        const std::string file = runner.folder.write("plans.toml", plansText("quotes"));
        section("nothing listens", [&] {
            runner.servers = {unusedAddress()};
            CPPUNIT_ASSERT_EQUAL(3, runner.run({"plans", "apply", file, "--if-match", "0"}));
            CPPUNIT_ASSERT(runner.err.find("not run: no server answered\n") != std::string::npos);
        });
        section("the next server is tried", [&] {
            OperatorFixture fixture;
            runner.servers = {unusedAddress(), fixture.address()};
            CPPUNIT_ASSERT_EQUAL(0, runner.run({"plans", "apply", file}));
        });
        section("no quorum", [&] {
            OperatorFixture fixture;
            fixture.log.failAlways(LogErrorKind::NotAccepted);
            runner.servers = {fixture.address()};
            CPPUNIT_ASSERT_EQUAL(3, runner.run({"plans", "apply", file, "--if-match", "0"}));
            CPPUNIT_ASSERT(runner.err.find("injected not-accepted") != std::string::npos);
        });
        section("no further round starts after its time limit has gone by", [&] {
            OperatorFixture fixture;
            fixture.log.failAlways(LogErrorKind::NotAccepted);
            OperatorClientOptions options;
            options.servers = {fixture.address()};
            options.credential = "alice-secret";
            options.lastRoundStart = Milliseconds(-1);
            ClientRequest request;
            request.method = "PUT";
            request.path = "/v1/plans";
            request.headers = {{"If-Match", "0"}, {"Dandelionloom-Change-Id", "c1"}};
            request.body = plansText("quotes");
            const ClientResult answer = OperatorClient(options).send(request);
            CPPUNIT_ASSERT(answer.kind == ClientResult::Kind::NotRun);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.decisionLog.decisions.size());
        });
    }

    /// Guards against a command with a usage error that is sent to a server.
    void usage()
    {
        CommandRunner runner;
        section("each command has a help text with an example", [&] {
            for (const char *name : {"serve", "check", "plans", "allowances", "waves", "instances",
                                     "endpoints", "status", "version"}) {
                CPPUNIT_ASSERT_EQUAL(0, runner.runWithoutConnection({name, "--help"}));
                CPPUNIT_ASSERT(runner.out.find("Example:\n  dandelionloom " + std::string(name))
                               != std::string::npos);
            }
        });
        section("wrong usage", [&] {
            runner.servers = {"127.0.0.1:1"};
            const std::vector<std::vector<std::string>> invalidCommands = {
                    {"plans"},
                    {"plans", "put"},
                    {"plans", "apply"},
                    {"plans", "show", "file"},
                    {"plans", "show", "--output", "xml"},
                    {"plans", "apply", "a", "b"},
                    {"waves", "start"},
                    {"waves", "start", "a b", "--pool", "p"},
                    {"waves", "start", "w1"},
                    {"waves", "start", "w1", "--pool", "p", "--instances", "i1"},
                    {"waves", "start", "w1", "--pool", "p", "--drain-limit-ms", "1s"},
                    {"status", "--change-id", "a b"},
                    {"status", "--nothing"},
                    {"serve"},
                    {"nothing"},
                    {}};
            for (const std::vector<std::string> &arguments : invalidCommands) {
                const int code =
                        arguments.empty() || arguments[0] == "serve" || arguments[0] == "nothing"
                        ? runner.runWithoutConnection(arguments)
                        : runner.run(arguments);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(runner.err, 2, code);
            }
        });
        section("a host name as server", [&] {
            runner.servers = {"localhost:1"};
            CPPUNIT_ASSERT_EQUAL(2, runner.run({"status"}));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("dandelionloom status: expected --server as an IP number and port "
                                "like 10.0.0.1:8081, found 'localhost:1'\n"
                                "See dandelionloom status --help.\n"),
                    runner.err);
        });
    }

    /// Guards against faults that prevent a start but are not found by the check.
    void check()
    {
        CommandRunner runner;
        CPPUNIT_ASSERT_EQUAL(
                0,
                runner.runWithoutConnection({"check", "examples/chamdakam.toml", "--plans",
                                             "examples/chamdakam-plans.toml", "--allowances",
                                             "examples/chamdakam-allowances.toml"}));
        CPPUNIT_ASSERT_EQUAL(std::string("no fault found\n"), runner.out);
        CPPUNIT_ASSERT_EQUAL(2,
                             runner.runWithoutConnection(
                                     {"check", "--plans", "examples/chamdakam-plans.toml",
                                      "--allowances", "examples/saddlepoint-allowances.toml"}));
        CPPUNIT_ASSERT(runner.err.starts_with(
                "examples/saddlepoint-allowances.toml: expected a plan 'booking-web' for its "
                "allowance, found none in the plans file\n"));
        const std::string settings = runner.folder.write("s.toml", "[cluster]\nid = 3\n");
        CPPUNIT_ASSERT_EQUAL(2, runner.runWithoutConnection({"check", settings}));
        const std::string faults = runner.err;
        CPPUNIT_ASSERT_EQUAL(2, runner.runWithoutConnection({"serve", "--settings", settings}));
        CPPUNIT_ASSERT_EQUAL(faults, runner.err);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

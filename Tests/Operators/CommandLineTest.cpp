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

/// Runs the program against servers with the credential of alice.
struct Terminal
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
        return runPlain(arguments);
    }

    int runPlain(const std::vector<std::string> &arguments)
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
    CPPUNIT_TEST(lostAnswers);
    CPPUNIT_TEST(noServer);
    CPPUNIT_TEST(usage);
    CPPUNIT_TEST(check);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a command line that sends another list than the file's.
    void lists()
    {
        OperatorFixture fixture;
        Terminal terminal;
        terminal.servers = {fixture.address()};
        const std::string file = terminal.folder.write("plans.toml", plansText("quotes", 2));
        section("apply reads the current revision first", [&] {
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "apply", file, "--change-id", "c1"}));
            CPPUNIT_ASSERT_EQUAL(std::string("accepted as revision \"1\" by ") + fixture.address()
                                         + "\n",
                                 terminal.out);
            CPPUNIT_ASSERT_EQUAL(
                    std::string("change id c1; to resend: --change-id c1 --if-match 0\n"),
                    terminal.err);
        });
        section("show", [&] {
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "show"}));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("revision \"1\"\n"
                                "id      customer  service  urgency  min_healthy_instances  "
                                "max_unavailable_instances  default_deadline_ms\n"
                                "quotes  c         pricing  normal   2                      1      "
                                "                    5000\n"),
                    terminal.out);
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "show", "--output", "json"}));
            CPPUNIT_ASSERT(terminal.out.starts_with("{\"revision\":1,"));
        });
        section("a shown list can be applied again", [&] {
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "show", "--output", "toml"}));
            const std::string again = terminal.folder.write("again.toml", terminal.out);
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "diff", again}));
            CPPUNIT_ASSERT_EQUAL(std::string("no difference\n"), terminal.out);
        });
        section("diff names what apply would change", [&] {
            const std::string other =
                    terminal.folder.write("other.toml", plansText("quotes", 3) + plansText("new"));
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "diff", other}));
            CPPUNIT_ASSERT_EQUAL(std::string("+ new\n~ quotes: min_healthy_instances 2 -> 3\n"),
                                 terminal.out);
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "diff", other, "--output", "json"}));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("{\"added\":[\"new\"],\"removed\":[],\"changed\":[{\"id\":"
                                "\"quotes\",\"fields\":[{\"name\":\"min_healthy_instances\","
                                "\"from\":\"2\",\"to\":\"3\"}]}]}\n"),
                    terminal.out);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.log.state().lists()->revision);
        });
        section("history", [&] {
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "history"}));
            CPPUNIT_ASSERT(terminal.out.find("\n1         plans  1        alice     c1         20")
                           != std::string::npos);
        });
        section("allowances", [&] {
            const std::string allowances =
                    terminal.folder.write("allowances.toml",
                                          "[[allowance]]\nplan = \"quotes\"\nmax_instances = 4\n"
                                          "slots = 8\nrequests_per_second = 50\n");
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"allowances", "apply", allowances}));
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"allowances", "show"}));
            CPPUNIT_ASSERT(terminal.out.find("quotes  4") != std::string::npos);
        });
    }

    /// Guards against a wave over another selection than the one typed.
    void waves()
    {
        OperatorFixture fixture;
        fixture.log.propose(RegisterInstance{"i1", "pricing", "zone-a", "r 1&x"}, Milliseconds(0));
        fixture.log.propose(RegisterInstance{"i2", "pricing", "zone-b", "r2"}, Milliseconds(0));
        Terminal terminal;
        terminal.servers = {fixture.address()};
        CPPUNIT_ASSERT_EQUAL(0,
                             terminal.run({"waves", "start", "w1", "--pool", "pricing",
                                           "--drain-limit-ms", "2000"}));
        CPPUNIT_ASSERT(terminal.out.starts_with(
                "wave  state    finished  targets  drain_limit_ms\nw1    running  0         2"));
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"waves", "start", "w2", "--instances", "i2,i1"}));
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"waves", "pause", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"waves", "resume", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"waves", "cancel", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"waves", "status", "w1"}));
        CPPUNIT_ASSERT(terminal.out.find("w1    cancelled") != std::string::npos);
        CPPUNIT_ASSERT(terminal.out.find("w1    i1        draining  first target of w1")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, terminal.run({"waves", "resume", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"waves", "status", "--output", "json"}));
        CPPUNIT_ASSERT(terminal.out.find("\"id\":\"w2\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"instances", "--rack", "r 1&x"}));
        CPPUNIT_ASSERT(terminal.out.find("\ni1  pricing") != std::string::npos);
        CPPUNIT_ASSERT(terminal.out.find("\ni2") == std::string::npos);
    }

    /// Guards against views that hide a partitioned entry instance or control the terminal.
    void views()
    {
        OperatorFixture fixture;
        fixture.log.setProgress({{"entry-b1", "zone-b", true, 3, 2, 90000}});
        EndpointRecord record;
        record.announcement.instance = "i\x1b[2J1";
        fixture.endpoints = {record};
        Terminal terminal;
        terminal.servers = {fixture.address()};
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"status"}));
        CPPUNIT_ASSERT(terminal.out.find("entry-b1  zone-b             true   3              2     "
                                         "          90000")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"endpoints"}));
        CPPUNIT_ASSERT(terminal.out.find("i?[2J1") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, terminal.run({"status", "--consistent", "--output", "json"}));
        CPPUNIT_ASSERT_EQUAL(1, fixture.log.confirmedReads());
    }

    /// Guards against exit codes by which a script takes a refusal for success.
    void refusals()
    {
        OperatorFixture fixture;
        Terminal terminal;
        terminal.servers = {fixture.address()};
        const std::string file = terminal.folder.write("plans.toml", plansText("quotes"));
        section("conflict", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    1,
                    terminal.run({"plans", "apply", file, "--if-match", "9", "--change-id", "c1"}));
            CPPUNIT_ASSERT_EQUAL("change id c1; to resend: --change-id c1 --if-match 9\n"
                                 "refused by "
                                         + fixture.address()
                                         + " with status 412\n"
                                           "expected revision 9 of the plans list, found 0\n",
                                 terminal.err);
        });
        section("faulty file: nothing is sent", [&] {
            const std::string faulty = terminal.folder.write("faulty.toml", plansText("a b"));
            CPPUNIT_ASSERT_EQUAL(2, terminal.run({"plans", "apply", faulty}));
            CPPUNIT_ASSERT_EQUAL(faulty
                                         + ":2: expected id as a name of 1 to 128 letters, digits, "
                                           "'-', '_' or '.', found 'a b'\n",
                                 terminal.err);
            CPPUNIT_ASSERT_EQUAL(0, fixture.log.confirmedReads());
        });
        section("wrong credential", [&] {
            terminal.credentialFile = terminal.folder.write("wrong", "wrong\n");
            CPPUNIT_ASSERT_EQUAL(1, terminal.run({"plans", "show"}));
            CPPUNIT_ASSERT_EQUAL("refused by " + fixture.address()
                                         + " with status 401\n"
                                           "expected a valid operator credential, found none\n",
                                 terminal.err);
        });
    }

    /// Guards against a change that runs twice, or is told as not run although it was.
    void lostAnswers()
    {
        OperatorFixture fixture;
        Terminal terminal;
        const std::string file = terminal.folder.write("plans.toml", plansText("quotes"));
        section("a lost answer is asked for again at the next server", [&] {
            const LossyRelay relay(fixture.server->port());
            terminal.servers = {relay.address(), fixture.address()};
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "apply", file, "--if-match", "0"}));
            CPPUNIT_ASSERT_EQUAL(1, relay.lostAnswers());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.log.state().lists()->revision);
        });
        section("the outcome is unknown if every answer is lost", [&] {
            const LossyRelay relay(fixture.server->port());
            terminal.servers = {relay.address()};
            CPPUNIT_ASSERT_EQUAL(
                    4,
                    terminal.run({"plans", "apply", file, "--if-match", "1", "--change-id", "c2"}));
            CPPUNIT_ASSERT_EQUAL(3, relay.lostAnswers());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), fixture.log.state().lists()->revision);
            CPPUNIT_ASSERT(terminal.err.find("outcome unknown: the change may have been accepted; "
                                             "resend it with the same change id\n")
                           != std::string::npos);
        });
        section("the resend that was printed learns the outcome", [&] {
            terminal.servers = {fixture.address()};
            CPPUNIT_ASSERT_EQUAL(
                    0,
                    terminal.run({"plans", "apply", file, "--if-match", "1", "--change-id", "c2"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), fixture.log.state().lists()->revision);
        });
        section("a refusal by another server does not settle a lost answer", [&] {
            OperatorFixture other;
            other.log.failAlways(LogErrorKind::NotAccepted);
            const LossyRelay relay(fixture.server->port());
            terminal.servers = {relay.address(), other.address()};
            CPPUNIT_ASSERT_EQUAL(4, terminal.run({"plans", "apply", file, "--if-match", "2"}));
        });
        section("an unknown outcome of the log is asked for again", [&] {
            fixture.log.failNext(LogErrorKind::Unknown, true);
            terminal.servers = {fixture.address()};
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "apply", file, "--if-match", "3"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), fixture.log.state().lists()->revision);
        });
    }

    /// Guards against an unknown outcome where it is certain that nothing ran.
    void noServer()
    {
        Terminal terminal;
        const std::string file = terminal.folder.write("plans.toml", plansText("quotes"));
        section("nothing listens", [&] {
            terminal.servers = {unusedAddress()};
            CPPUNIT_ASSERT_EQUAL(3, terminal.run({"plans", "apply", file, "--if-match", "0"}));
            CPPUNIT_ASSERT(terminal.err.find("not run: no server answered\n") != std::string::npos);
        });
        section("the next server is asked", [&] {
            OperatorFixture fixture;
            terminal.servers = {unusedAddress(), fixture.address()};
            CPPUNIT_ASSERT_EQUAL(0, terminal.run({"plans", "apply", file}));
        });
        section("no quorum", [&] {
            OperatorFixture fixture;
            fixture.log.failAlways(LogErrorKind::NotAccepted);
            terminal.servers = {fixture.address()};
            CPPUNIT_ASSERT_EQUAL(3, terminal.run({"plans", "apply", file, "--if-match", "0"}));
            CPPUNIT_ASSERT(terminal.err.find("injected not-accepted") != std::string::npos);
        });
        section("slow servers are not gone through again after the time for it", [&] {
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
            const ClientAnswer answer = OperatorClient(options).send(request);
            CPPUNIT_ASSERT(answer.kind == ClientAnswer::Kind::NotRun);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.kept.decisions.size());
        });
    }

    /// Guards against wrong usage that is sent all the same.
    void usage()
    {
        Terminal terminal;
        section("each command has a help text with an example", [&] {
            for (const char *name : {"serve", "check", "plans", "allowances", "waves", "instances",
                                     "endpoints", "status", "version"}) {
                CPPUNIT_ASSERT_EQUAL(0, terminal.runPlain({name, "--help"}));
                CPPUNIT_ASSERT(terminal.out.find("Example:\n  dandelionloom " + std::string(name))
                               != std::string::npos);
            }
        });
        section("wrong usage", [&] {
            terminal.servers = {"127.0.0.1:1"};
            const std::vector<std::vector<std::string>> wrong = {
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
            for (const std::vector<std::string> &arguments : wrong) {
                const int code =
                        arguments.empty() || arguments[0] == "serve" || arguments[0] == "nothing"
                        ? terminal.runPlain(arguments)
                        : terminal.run(arguments);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(terminal.err, 2, code);
            }
        });
        section("a host name as server", [&] {
            terminal.servers = {"localhost:1"};
            CPPUNIT_ASSERT_EQUAL(2, terminal.run({"status"}));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("dandelionloom status: expected --server as an IP number and port "
                                "like 10.0.0.1:8081, found 'localhost:1'\n"
                                "See dandelionloom status --help.\n"),
                    terminal.err);
        });
    }

    /// Guards against faults that a start would find but the check does not.
    void check()
    {
        Terminal terminal;
        CPPUNIT_ASSERT_EQUAL(0,
                             terminal.runPlain({"check", "examples/chamdakam.toml", "--plans",
                                                "examples/chamdakam-plans.toml", "--allowances",
                                                "examples/chamdakam-allowances.toml"}));
        CPPUNIT_ASSERT_EQUAL(std::string("no fault found\n"), terminal.out);
        CPPUNIT_ASSERT_EQUAL(
                2,
                terminal.runPlain({"check", "--plans", "examples/chamdakam-plans.toml",
                                   "--allowances", "examples/saddlepoint-allowances.toml"}));
        CPPUNIT_ASSERT(terminal.err.starts_with(
                "examples/saddlepoint-allowances.toml: expected a plan 'booking-web' for its "
                "allowance, found none in the plans file\n"));
        const std::string settings = terminal.folder.write("s.toml", "[cluster]\nid = 3\n");
        CPPUNIT_ASSERT_EQUAL(2, terminal.runPlain({"check", settings}));
        const std::string faults = terminal.err;
        CPPUNIT_ASSERT_EQUAL(2, terminal.runPlain({"serve", "--settings", settings}));
        CPPUNIT_ASSERT_EQUAL(faults, terminal.err);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

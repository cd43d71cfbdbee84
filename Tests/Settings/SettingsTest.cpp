#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "Adapters/Settings/Settings.h"
#include "Adapters/Settings/SettingsBuilder.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

const std::string validText = R"([cluster]
id = "orchard"
group = "region-1"
[instance]
name = "a"
availability_zone = "zone-a"
rack = "rack-1"
data_folder = "data"
[listen]
callers = "127.0.0.1:8000"
operators = "127.0.0.1:8001"
endpoints = "127.0.0.1:8002"
peers = "127.0.0.1:8003"
[credentials]
callers_file = "callers"
operators_file = "/etc/operators"
endpoints_file = "endpoints"
peers_file = "peers"
[timing]
heartbeat_ms = 100
election_timeout_min_ms = 400
election_timeout_max_ms = 800
[[peer]]
name = "a"
availability_zone = "zone-a"
address = "127.0.0.1:8003"
operators = "127.0.0.1:8001"
voter = true
[[peer]]
name = "b"
availability_zone = "zone-b"
address = "127.0.0.1:8013"
operators = "127.0.0.1:8011"
voter = true
[[peer]]
name = "c"
availability_zone = "zone-c"
address = "127.0.0.1:8023"
operators = "127.0.0.1:8021"
voter = true
)";

/// The valid text with one piece replaced; the piece must occur.
std::string with(const std::string &piece, const std::string &replacement,
                 const std::string &text = validText)
{
    const std::size_t position = text.find(piece);
    CPPUNIT_ASSERT_MESSAGE("the text has no '" + piece + "'", position != std::string::npos);
    std::string changed = text;
    changed.replace(position, piece.size(), replacement);
    return changed;
}

std::string faultsOf(const std::string &text)
{
    const auto result = parseSettings(text, "s.toml");
    std::string joined;
    if (!isOk(result)) {
        for (const std::string &fault : errorOf(result).faults) {
            joined += fault + "\n";
        }
    }
    return joined;
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(validFile);
    CPPUNIT_TEST(faultsOfSingleKeys);
    CPPUNIT_TEST(contradictions);
    CPPUNIT_TEST(allFaultsAtOnce);
    CPPUNIT_TEST(builder);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against keys that are read into the wrong member and against wrong defaults.
    void validFile()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), faultsOf(validText));
        const auto result = parseSettings(validText, "/etc/loom/s.toml");
        const Settings &settings = valueOf(result);
        section("what the file says is read", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("orchard"), settings.cluster.id);
            CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8002"), settings.listen.endpoints);
            CPPUNIT_ASSERT(settings.timing.electionTimeoutMax == Milliseconds(800));
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), settings.peers.size());
            CPPUNIT_ASSERT(settings.isVoter());
        });
        section("what it leaves out has the default", [&] {
            CPPUNIT_ASSERT(settings.timing.listsLease == Milliseconds(10000));
            CPPUNIT_ASSERT_EQUAL(10U, settings.limits.retryPercent);
            CPPUNIT_ASSERT_EQUAL(1.0, settings.weights.moves);
            CPPUNIT_ASSERT(!settings.log.file);
        });
        section("relative paths are relative to the file, not to the working folder", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("/etc/loom/callers"),
                                 settings.credentials.callersFile);
            CPPUNIT_ASSERT_EQUAL(std::string("/etc/operators"), settings.credentials.operatorsFile);
            CPPUNIT_ASSERT_EQUAL(std::string("/etc/loom/data"), *settings.instance.dataFolder);
        });
        section("the built-in defaults are those of an empty section", [&] {
            const auto plain = parseSettings(with("heartbeat_ms = 100\nelection_timeout_min_ms = "
                                                  "400\nelection_timeout_max_ms = 800\n",
                                                  ""),
                                             "s.toml");
            const TimingSettings timing;
            CPPUNIT_ASSERT(valueOf(plain).timing.heartbeat == timing.heartbeat);
            CPPUNIT_ASSERT(valueOf(plain).timing.electionTimeoutMin == timing.electionTimeoutMin);
            CPPUNIT_ASSERT(valueOf(plain).timing.endpointLease == timing.endpointLease);
            CPPUNIT_ASSERT(valueOf(plain).timing.proving == timing.proving);
            CPPUNIT_ASSERT_EQUAL(LimitSettings().entryBytes, valueOf(plain).limits.entryBytes);
            CPPUNIT_ASSERT_EQUAL(StorageSettings().compactAfterBytes,
                                 valueOf(plain).storage.compactAfterBytes);
        });
    }

    /// Guards against messages that do not tell an operator what to change.
    void faultsOfSingleKeys()
    {
        section("unknown key", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:20: expected a key of [timing], found 'heartbeat_mss'; did "
                                "you mean 'heartbeat_ms'?\n"),
                    faultsOf(with("heartbeat_ms", "heartbeat_mss")));
        });
        section("unknown section", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:19: expected a section of the settings, found "
                                             "'timings'; did you mean 'timing'?\n"),
                                 faultsOf(with("[timing]", "[timings]")));
        });
        section("wrong type", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:20: expected heartbeat_ms as a whole number "
                                             "from 10 to 5000, found 'soon'\n"),
                                 faultsOf(with("heartbeat_ms = 100", "heartbeat_ms = \"soon\"")));
        });
        section("out of range", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:20: expected heartbeat_ms as a whole number "
                                             "from 10 to 5000, found 9\n"),
                                 faultsOf(with("heartbeat_ms = 100", "heartbeat_ms = 9")));
        });
        section("missing key, at the line of its section", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:4: expected rack (a name of 1 to 128 letters, digits, '-', "
                                "'_' or '.') in [instance], found none\n"),
                    faultsOf(with("rack = \"rack-1\"\n", "")));
        });
        section("host name instead of an IP number", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:10: expected callers as an IP number and port like "
                                "10.0.0.1:8000, found 'localhost:8000'\n"),
                    faultsOf(with("127.0.0.1:8000", "localhost:8000")));
        });
        section("weight that is no number", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:42: expected moves as a number from 0 to 100, found nan\n"),
                    faultsOf(validText + "[weights]\nmoves = nan\n"));
        });
        section("no TOML at all", [&] {
            const std::string faults = faultsOf("[cluster\n");
            CPPUNIT_ASSERT(faults.starts_with("s.toml:1: expected valid TOML, found: "));
        });
        section("file that is not there", [&] {
            const auto result = readSettings("/nonexistent/s.toml");
            CPPUNIT_ASSERT_EQUAL(
                    std::string("/nonexistent/s.toml: expected a readable settings file, found: No "
                                "such file or directory"),
                    errorOf(result).faults.at(0));
        });
    }

    /// Guards against a start with settings that lose quorum, split votes or elect all the time.
    void contradictions()
    {
        section("even number of voters", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:23: expected 3 or 5 peers with voter = true, found 2\n"),
                    faultsOf(with("8021\"\nvoter = true", "8021\"")));
        });
        section("zone with a majority of the voters", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:23: expected no availability zone with a majority of the 3 "
                                "voters, found 2 in 'zone-b'\n"),
                    faultsOf(with("zone-c", "zone-b")));
        });
        section("voter without a data folder", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:4: expected data_folder for a voter, found none\n"),
                    faultsOf(with("data_folder = \"data\"\n", "")));
        });
        section("this instance is missing from the peers", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:5: expected the name of one [[peer]], found 'z'\n"),
                    faultsOf(with("name = \"a\"", "name = \"z\"")));
        });
        section("zone of this instance differs between the sections", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:25: expected 'zone-x' as in [instance], found "
                                             "'zone-a'\n"),
                                 faultsOf(with("zone-a", "zone-x")));
        });
        section("duplicate name", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:30: expected a name that is used once, found 'a' again\n"),
                    faultsOf(with("name = \"b\"", "name = \"a\"")));
        });
        section("duplicate address", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:33: expected an address that is used once, "
                                             "found '127.0.0.1:8013' again\n"),
                                 faultsOf(with("127.0.0.1:8011", "127.0.0.1:8013")));
        });
        section("election timeouts", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:21: expected at least 3 times heartbeat_ms, which is 300, "
                                "found 299\n"),
                    faultsOf(with("min_ms = 400", "min_ms = 299")));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:21: expected at most election_timeout_max_ms, which is "
                                "800, found 900\n"),
                    faultsOf(with("min_ms = 400", "min_ms = 900")));
        });
    }

    /// Guards against an operator who must start once for each fault.
    void allFaultsAtOnce()
    {
        std::string text = with("heartbeat_ms = 100", "heartbeat_ms = 0");
        text = with("rack = \"rack-1\"\n", "", text);
        text = with("zone-c", "zone-b", text);
        text = with("127.0.0.1:8000", "127.0.0.1", text);
        CPPUNIT_ASSERT_EQUAL(
                std::string("s.toml:4: expected rack (a name of 1 to 128 letters, digits, '-', '_' "
                            "or '.') in [instance], found none\n"
                            "s.toml:9: expected callers as an IP number and port like "
                            "10.0.0.1:8000, found '127.0.0.1'\n"
                            "s.toml:19: expected heartbeat_ms as a whole number from 10 to 5000, "
                            "found 0\n"
                            "s.toml:22: expected no availability zone with a majority of the 3 "
                            "voters, found 2 in 'zone-b'\n"),
                faultsOf(text));
    }

    /// Guards against tests that run with settings which no file could have.
    void builder()
    {
        SettingsBuilder settings;
        settings.instance("a", "zone-a").dataFolder("data");
        settings.peer({"a", "zone-a", "127.0.0.1:1", "127.0.0.1:2", true});
        settings.peer({"b", "zone-b", "127.0.0.1:3", "127.0.0.1:4", true});
        section("two voters are refused", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("peer: expected 3 or 5 peers with voter = true, found 2"),
                    errorOf(settings.build()).faults.at(0));
        });
        section("three voters in three zones are valid", [&] {
            settings.peer({"c", "zone-c", "127.0.0.1:5", "127.0.0.1:6", true});
            CPPUNIT_ASSERT(isOk(settings.build()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

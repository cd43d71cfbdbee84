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

/// Returns the text with the first occurrence of `piece` replaced. Fails if there is none.
std::string replaceOnce(const std::string &piece, const std::string &replacement,
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
    CPPUNIT_TEST(invalidKeys);
    CPPUNIT_TEST(conflicts);
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
        section("keys of the file are read", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("orchard"), settings.cluster.id);
            CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8002"), settings.listen.endpoints);
            CPPUNIT_ASSERT(settings.timing.electionTimeoutMax == Milliseconds(800));
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), settings.peers.size());
            CPPUNIT_ASSERT(settings.isVoter());
        });
        section("absent keys have their defaults", [&] {
            CPPUNIT_ASSERT(settings.timing.listsLease == Milliseconds(10000));
            CPPUNIT_ASSERT_EQUAL(10U, settings.limits.retryPercent);
            CPPUNIT_ASSERT_EQUAL(1.0, settings.weights.moves);
            CPPUNIT_ASSERT(!settings.log.file);
        });
        section("relative paths are relative to the file, not to the working directory", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("/etc/loom/callers"),
                                 settings.credentials.callersFile);
            CPPUNIT_ASSERT_EQUAL(std::string("/etc/operators"), settings.credentials.operatorsFile);
            CPPUNIT_ASSERT_EQUAL(std::string("/etc/loom/data"), *settings.instance.dataFolder);
        });
        section("the defaults of the structs are those of absent keys", [&] {
            const auto withoutTiming =
                    parseSettings(replaceOnce("heartbeat_ms = 100\nelection_timeout_min_ms = "
                                              "400\nelection_timeout_max_ms = 800\n",
                                              ""),
                                  "s.toml");
            const TimingSettings timing;
            CPPUNIT_ASSERT(valueOf(withoutTiming).timing.heartbeat == timing.heartbeat);
            CPPUNIT_ASSERT(valueOf(withoutTiming).timing.electionTimeoutMin
                           == timing.electionTimeoutMin);
            CPPUNIT_ASSERT(valueOf(withoutTiming).timing.endpointLease == timing.endpointLease);
            CPPUNIT_ASSERT(valueOf(withoutTiming).timing.proving == timing.proving);
            CPPUNIT_ASSERT_EQUAL(LimitSettings().entryBytes,
                                 valueOf(withoutTiming).limits.entryBytes);
            CPPUNIT_ASSERT_EQUAL(StorageSettings().compactAfterBytes,
                                 valueOf(withoutTiming).storage.compactAfterBytes);
        });
    }

    /// Guards against fault messages that do not name the line, the key and the expected value.
    void invalidKeys()
    {
        section("unknown key", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:20: expected a key of [timing], found 'heartbeat_mss'; did "
                                "you mean 'heartbeat_ms'?\n"),
                    faultsOf(replaceOnce("heartbeat_ms", "heartbeat_mss")));
        });
        section("unknown section", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:19: expected a section of the settings, found "
                                             "'timings'; did you mean 'timing'?\n"),
                                 faultsOf(replaceOnce("[timing]", "[timings]")));
        });
        section("wrong type", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:20: expected heartbeat_ms as a whole number "
                                "from 10 to 5000, found 'soon'\n"),
                    faultsOf(replaceOnce("heartbeat_ms = 100", "heartbeat_ms = \"soon\"")));
        });
        section("out of range", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:20: expected heartbeat_ms as a whole number "
                                             "from 10 to 5000, found 9\n"),
                                 faultsOf(replaceOnce("heartbeat_ms = 100", "heartbeat_ms = 9")));
        });
        section("missing key, at the line of its section", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:4: expected rack (a name of 1 to 128 letters, digits, '-', "
                                "'_' or '.') in [instance], found none\n"),
                    faultsOf(replaceOnce("rack = \"rack-1\"\n", "")));
        });
        section("host name instead of an IP number", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:10: expected callers as an IP number and port like "
                                "10.0.0.1:8000, found 'localhost:8000'\n"),
                    faultsOf(replaceOnce("127.0.0.1:8000", "localhost:8000")));
        });
        section("weight that is not a number", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:42: expected moves as a number from 0 to 100, found nan\n"),
                    faultsOf(validText + "[weights]\nmoves = nan\n"));
        });
        section("text that is not TOML at all", [&] {
            const std::string faults = faultsOf("[cluster\n");
            CPPUNIT_ASSERT(faults.starts_with("s.toml:1: expected valid TOML, found: "));
        });
        section("missing file", [&] {
            const auto result = readSettings("/nonexistent/s.toml");
            CPPUNIT_ASSERT_EQUAL(
                    std::string("/nonexistent/s.toml: expected a readable settings file, found: No "
                                "such file or directory"),
                    errorOf(result).faults.at(0));
        });
    }

    /// Guards against accepting settings with which the cluster loses its quorum, splits votes or
    /// holds elections all the time.
    void conflicts()
    {
        section("even number of voters", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:23: expected 3 or 5 peers with voter = true, found 2\n"),
                    faultsOf(replaceOnce("8021\"\nvoter = true", "8021\"")));
        });
        section("zone with a majority of the voters", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:23: expected no availability zone with a majority of the 3 "
                                "voters, found 2 in 'zone-b'\n"),
                    faultsOf(replaceOnce("zone-c", "zone-b")));
        });
        section("voter without a data folder", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:4: expected data_folder for a voter, found none\n"),
                    faultsOf(replaceOnce("data_folder = \"data\"\n", "")));
        });
        section("this instance is missing from the peers", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:5: expected the name of one [[peer]], found 'z'\n"),
                    faultsOf(replaceOnce("name = \"a\"", "name = \"z\"")));
        });
        section("zone of this instance differs between the sections", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:25: expected 'zone-x' as in [instance], found "
                                             "'zone-a'\n"),
                                 faultsOf(replaceOnce("zone-a", "zone-x")));
        });
        section("duplicate name", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:30: expected a name that is used once, found 'a' again\n"),
                    faultsOf(replaceOnce("name = \"b\"", "name = \"a\"")));
        });
        section("duplicate address", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("s.toml:33: expected an address that is used once, "
                                             "found '127.0.0.1:8013' again\n"),
                                 faultsOf(replaceOnce("127.0.0.1:8011", "127.0.0.1:8013")));
        });
        section("election timeouts", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:21: expected at least 3 times heartbeat_ms, which is 300, "
                                "found 299\n"),
                    faultsOf(replaceOnce("min_ms = 400", "min_ms = 299")));
            CPPUNIT_ASSERT_EQUAL(
                    std::string("s.toml:21: expected at most election_timeout_max_ms, which is "
                                "800, found 900\n"),
                    faultsOf(replaceOnce("min_ms = 400", "min_ms = 900")));
        });
    }

    /// Guards against a parser that stops at the first fault.
    void allFaultsAtOnce()
    {
        std::string text = replaceOnce("heartbeat_ms = 100", "heartbeat_ms = 0");
        text = replaceOnce("rack = \"rack-1\"\n", "", text);
        text = replaceOnce("zone-c", "zone-b", text);
        text = replaceOnce("127.0.0.1:8000", "127.0.0.1", text);
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

    /// Guards against a builder that accepts settings which parseSettings() rejects.
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

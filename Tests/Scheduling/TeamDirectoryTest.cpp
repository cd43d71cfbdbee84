#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/TeamDirectory.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Teams "large" with the keys l1 and l2, and "small" with s1.
FleetConfiguration twoTeams()
{
    FleetConfiguration configuration;
    configuration.version = 1;
    configuration.requiresKeys = true;
    configuration.teams = {{"large", {"l1", "l2"}, 20, {}}, {"small", {"s1"}, 2, {}}};
    return configuration;
}

std::string_view checkOf(const FleetConfiguration &configuration, const std::string &key,
                         bool isPublic = false)
{
    QueueConfig queue;
    queue.isPublic = isPublic;
    return keyCheckNames.name(checkKey(makeTeamDirectory(configuration), queue, key).check);
}

std::string teamOf(const FleetConfiguration &configuration, const std::string &key,
                   bool isPublic = false)
{
    QueueConfig queue;
    queue.isPublic = isPublic;
    return checkKey(makeTeamDirectory(configuration), queue, key).team;
}

} // namespace

class TeamDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TeamDirectoryTest);
    CPPUNIT_TEST(keys);
    CPPUNIT_TEST(publicQueues);
    CPPUNIT_TEST(teamsByName);
    CPPUNIT_TEST(jobsOfOtherTeams);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against calls that are served with a key that no team has, or refused with one that
    /// a team has.
    void keys()
    {
        FleetConfiguration configuration = twoTeams();
        section("each key belongs to its team", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("large"), teamOf(configuration, "l2"));
            CPPUNIT_ASSERT_EQUAL(std::string("small"), teamOf(configuration, "s1"));
        });
        section("a missing key is told from an unknown one", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string_view("missing"), checkOf(configuration, ""));
            CPPUNIT_ASSERT_EQUAL(std::string_view("unknown"), checkOf(configuration, "l"));
            CPPUNIT_ASSERT_EQUAL(std::string_view("unknown"), checkOf(configuration, "l1 "));
            CPPUNIT_ASSERT(teamOf(configuration, "l").empty());
        });
        section("an added key is known, a revoked one is not", [&] {
            configuration.teams[0].apiKeys = {"l2", "l3"};
            CPPUNIT_ASSERT_EQUAL(std::string_view("known"), checkOf(configuration, "l3"));
            CPPUNIT_ASSERT_EQUAL(std::string_view("unknown"), checkOf(configuration, "l1"));
        });
        section("a key that moved belongs to its new team", [&] {
            configuration.teams[0].apiKeys = {};
            configuration.teams[1].apiKeys = {"s1", "l2"};
            CPPUNIT_ASSERT_EQUAL(std::string("small"), teamOf(configuration, "l2"));
        });
        section("after all keys are revoked every call is refused", [&] {
            configuration.teams[1].apiKeys = {};
            for (const char *key : {"", "l1", "l2", "l3", "s1"}) {
                CPPUNIT_ASSERT(checkOf(configuration, key) != "known");
                CPPUNIT_ASSERT(checkOf(configuration, key) != "not-required");
            }
            configuration.teams.clear();
            CPPUNIT_ASSERT_EQUAL(std::string_view("missing"), checkOf(configuration, ""));
        });
        section("a configuration without teams asks for no key", [&] {
            configuration.requiresKeys = false;
            CPPUNIT_ASSERT_EQUAL(std::string_view("not-required"), checkOf(configuration, ""));
            CPPUNIT_ASSERT_EQUAL(std::string_view("not-required"), checkOf(configuration, "l1"));
        });
    }

    /// Guards against a public queue that asks for a key, or that ignores a valid one.
    void publicQueues()
    {
        const FleetConfiguration configuration = twoTeams();
        CPPUNIT_ASSERT_EQUAL(std::string_view("not-required"), checkOf(configuration, "", true));
        CPPUNIT_ASSERT_EQUAL(std::string_view("not-required"), checkOf(configuration, "x", true));
        CPPUNIT_ASSERT_EQUAL(std::string("large"), teamOf(configuration, "l1", true));
        CPPUNIT_ASSERT(teamOf(configuration, "x", true).empty());
    }

    /// Guards against a team whose jobs are measured by the weight of another one after the
    /// configuration changed.
    void teamsByName()
    {
        FleetConfiguration configuration = twoTeams();
        const auto weightOf = [&configuration](const std::string &name) {
            const TeamConfig *team =
                    findTeam(makeTeamDirectory(configuration), configuration, name);
            return team == nullptr ? -1 : team->weight;
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20), weightOf("large"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), weightOf("small"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(-1), weightOf(""));
        section("a removed team is unknown, and the others keep their weights", [&] {
            configuration.teams.erase(configuration.teams.begin());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(-1), weightOf("large"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(2), weightOf("small"));
        });
    }

    /// Guards against a team that reads or cancels the jobs of another one.
    void jobsOfOtherTeams()
    {
        CPPUNIT_ASSERT(mayAccess("large", "large"));
        CPPUNIT_ASSERT(!mayAccess("large", "small"));
        CPPUNIT_ASSERT(mayAccess("large", ""));
        CPPUNIT_ASSERT(mayAccess("", "large"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamDirectoryTest);

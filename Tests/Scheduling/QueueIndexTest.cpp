#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "Scheduling/QueueIndex.h"
#include "Scheduling/SchedulerState.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

QueueConfig makeQueue(const std::string &name, const std::string &host, const std::string &prefix)
{
    QueueConfig queue;
    queue.name = name;
    queue.host = host;
    queue.pathPrefix = prefix;
    return queue;
}

/// The definition that the index must agree with.
std::optional<std::size_t> longestPrefix(const std::vector<QueueConfig> &queues,
                                         const std::string &host, const std::string &path)
{
    std::optional<std::size_t> best;
    for (std::size_t position = 0; position < queues.size(); ++position) {
        const QueueConfig &queue = queues[position];
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (!best || queue.pathPrefix.size() > queues[*best].pathPrefix.size())) {
            best = position;
        }
    }
    return best;
}

std::string randomPath(std::mt19937_64 &random)
{
    std::string path;
    for (std::uint64_t part = 0; part <= random() % 4; ++part) {
        path += "/" + std::string(1 + random() % 2, static_cast<char>('a' + random() % 2));
    }
    return path + (random() % 2 == 0 ? "/" : "");
}

} // namespace

class QueueIndexTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueueIndexTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(followsTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against calls that reach a queue with a shorter prefix, or none.
    void longestPrefixWins()
    {
        constexpr std::uint64_t seed = 7;
        std::mt19937_64 random(seed);
        for (int round = 0; round < 50; ++round) {
            std::vector<QueueConfig> queues;
            std::set<std::pair<std::string, std::string>> places;
            for (int number = 0; number < 20; ++number) {
                const std::string host = random() % 2 == 0 ? "x.example" : "y.example";
                const std::string prefix = randomPath(random);
                if (places.emplace(host, prefix).second) {
                    queues.push_back(makeQueue("q" + std::to_string(number), host, prefix));
                }
            }
            const QueueIndex index(queues);
            for (int call = 0; call < 100; ++call) {
                const std::string path = randomPath(random);
                CPPUNIT_ASSERT(index.serving("x.example", path)
                               == longestPrefix(queues, "x.example", path));
            }
            CPPUNIT_ASSERT(!index.serving("z.example", "/a"));
        }
    }

    /// Guards against an index of an earlier configuration, which would run dropped queues.
    void followsTheConfiguration()
    {
        SchedulerState state;
        FleetConfiguration configuration;
        configuration.version = 1;
        configuration.queues = {makeQueue("quotes", "x.example", "/a/"),
                                makeQueue("bookings", "x.example", "/a/b/")};
        state.apply(ConfigurationAccepted{configuration});
        section("queues are found by name and path", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("bookings"),
                                 state.queueFor("x.example", "/a/b/1")->name);
            CPPUNIT_ASSERT_EQUAL(std::string("/a/"), state.queue("quotes")->pathPrefix);
        });
        section("a restored state finds them too", [&] {
            const auto restored = SchedulerState::decode(state.encode());
            CPPUNIT_ASSERT(isOk(restored));
            CPPUNIT_ASSERT_EQUAL(std::string("quotes"),
                                 valueOf(restored).queueFor("x.example", "/a/1")->name);
        });
        section("a dropped queue is not found any more", [&] {
            configuration.version = 2;
            configuration.queues.pop_back();
            state.apply(ConfigurationAccepted{configuration});
            CPPUNIT_ASSERT(state.queue("bookings") == nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("quotes"),
                                 state.queueFor("x.example", "/a/b/1")->name);
        });
        section("an older configuration changes nothing", [&] {
            configuration.version = 1;
            configuration.queues.clear();
            state.apply(ConfigurationAccepted{configuration});
            CPPUNIT_ASSERT(state.queue("quotes") != nullptr);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueIndexTest);

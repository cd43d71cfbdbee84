#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Scheduling/WaitingSteps.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

WaitingStep stepOf(const std::string &job, std::uint32_t step, WallTimeMs dueAt, double work)
{
    WaitingStep waiting{{job, 0, step}, {}, {0}};
    waiting.attributes.dueAtMs = dueAt;
    waiting.attributes.jobPathMs = 500;
    waiting.attributes.remainingPathMs = 500;
    waiting.attributes.remainingWork = work;
    waiting.attributes.stretch = 1.6;
    waiting.attributes.targetLatencyMs = 600;
    return waiting;
}

std::vector<std::string> jobsInOrder(const WaitingSteps &steps, const std::string &service)
{
    std::vector<std::string> jobs;
    const auto found = steps.byService().find(service);
    if (found != steps.byService().end()) {
        for (StepCursor cursor(found->second); !cursor.isAtEnd(); cursor.next()) {
            jobs.push_back(cursor.position().key.job.text());
        }
    }
    return jobs;
}

bool isSame(const StepPosition &left, const StepPosition &right)
{
    return !(left < right) && !(right < left);
}

/// One of the lanes of teams with a quota, or the one of steps without.
LaneKey randomLane(std::mt19937_64 &random)
{
    const std::uint64_t team = random() % 3;
    if (team == 0) {
        return {};
    }
    return {team == 1 ? "a" : "b",
            {1000 + static_cast<std::int64_t>(random() % 2) * 1000, 512, 0},
            random() % 3 == 0 ? 5U : 1U};
}

/// Replaces the steps of random jobs in random lanes, and advances the time.
void changeAtRandom(WaitingSteps &steps, std::mt19937_64 &random, WallTimeMs &now)
{
    for (int change = 0; change < 300; ++change) {
        now += static_cast<WallTimeMs>(random() % 100);
        const std::string job = "job" + std::to_string(random() % 60);
        std::vector<WaitingStep> waiting;
        const auto count = static_cast<std::uint32_t>(random() % 4);
        for (std::uint32_t step = 0; step < count; ++step) {
            const auto age = static_cast<WallTimeMs>(random() % 6000);
            waiting.push_back(stepOf(job, step, now - age, static_cast<double>(random() % 7)));
            waiting.back().lane = randomLane(random);
        }
        steps.replace(job, random() % 8 == 0 ? "stock" : "pricing", std::move(waiting), now);
        steps.advance(now);
    }
}

/// What StepCursor has to do, with the steps in a plain sorted vector.
class SortedSteps
{
public:
    explicit SortedSteps(const ServiceSteps &steps)
    {
        for (const auto &[key, lane] : steps.lanes) {
            for (const StepPosition &position : lane.steps) {
                m_steps.push_back({position, key, false});
            }
        }
        std::sort(m_steps.begin(), m_steps.end(), [](const Step &left, const Step &right) {
            return left.position < right.position;
        });
        m_remaining = m_steps.size();
    }

    bool isAtEnd() const { return m_next == m_steps.size(); }
    std::size_t size() const { return m_steps.size(); }
    std::size_t remaining() const { return m_remaining; }
    const StepPosition &position() const { return m_steps[m_next].position; }
    const StepPosition &positionAt(std::size_t index) const { return m_steps[index].position; }
    const LaneKey &lane() const { return m_steps[m_next].lane; }
    void next()
    {
        m_steps[m_next].isVisited = true;
        --m_remaining;
        m_next = firstFrom(m_next + 1);
    }
    std::size_t leaveOutLane()
    {
        const LaneKey left = lane();
        m_leftOut.insert(left);
        const auto unvisited =
                std::count_if(m_steps.begin(), m_steps.end(), [&left](const Step &step) {
                    return step.lane == left && !step.isVisited;
                });
        m_remaining -= static_cast<std::size_t>(unvisited);
        m_next = firstFrom(m_next);
        return static_cast<std::size_t>(unvisited);
    }
    void resumeBehind(const StepPosition &behind)
    {
        std::size_t resumed = m_next;
        while (resumed < m_steps.size() && !(behind < m_steps[resumed].position)) {
            ++resumed;
        }
        resumed = firstFrom(resumed);
        m_next = resumed == m_steps.size() ? m_next : resumed;
    }

private:
    struct Step
    {
        StepPosition position;
        LaneKey lane;
        bool isVisited = false;
    };
    std::size_t firstFrom(std::size_t index) const
    {
        while (index < m_steps.size() && m_leftOut.contains(m_steps[index].lane)) {
            ++index;
        }
        return index;
    }

    std::vector<Step> m_steps;
    std::set<LaneKey> m_leftOut;
    std::size_t m_next = 0;
    std::size_t m_remaining = 0;
};

} // namespace

class WaitingStepsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitingStepsTest);
    CPPUNIT_TEST(order);
    CPPUNIT_TEST(sameAsSorting);
    CPPUNIT_TEST(lanesLeftOut);
    CPPUNIT_TEST(lanesOfJobs);
    CPPUNIT_TEST(reportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against steps that are placed in another order than that of their ranks, and against
    /// steps of ended jobs that stay.
    void order()
    {
        using Jobs = std::vector<std::string>;
        WaitingSteps steps;
        steps.replace("large", "pricing", {stepOf("large", 0, 1000, 90)}, 1000);
        steps.replace("small", "pricing", {stepOf("small", 0, 1000, 10)}, 1000);
        steps.replace("other", "stock", {stepOf("other", 0, 1000, 10)}, 1000);
        section("the smallest work that can be in time comes first, for each service", [&] {
            CPPUNIT_ASSERT((jobsInOrder(steps, "pricing") == Jobs{"small", "large"}));
            CPPUNIT_ASSERT((jobsInOrder(steps, "stock") == Jobs{"other"}));
        });
        section("a step that has become late follows those in time", [&] {
            steps.replace("large", "pricing", {stepOf("large", 0, 3000, 90)}, 3000);
            steps.advance(3000);
            CPPUNIT_ASSERT((jobsInOrder(steps, "pricing") == Jobs{"large", "small"}));
        });
        section("a job may move to another service, and leaves nothing behind", [&] {
            steps.replace("small", "stock", {stepOf("small", 0, 3000, 5)}, 3000);
            CPPUNIT_ASSERT((jobsInOrder(steps, "pricing") == Jobs{"large"}));
            CPPUNIT_ASSERT((jobsInOrder(steps, "stock") == Jobs{"small", "other"}));
            steps.remove("small");
            steps.remove("other");
            CPPUNIT_ASSERT(!steps.byService().contains("stock"));
            steps.advance(100000);
            CPPUNIT_ASSERT((jobsInOrder(steps, "pricing") == Jobs{"large"}));
        });
    }

    /// Guards against an order that drifts from the ranks over many changes, with printed seeds.
    void sameAsSorting()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 random(seed);
            WaitingSteps steps;
            std::map<std::string, std::vector<WaitingStep>> expected;
            WallTimeMs now = 1000;
            for (int change = 0; change < 400; ++change) {
                now += static_cast<WallTimeMs>(random() % 100);
                const std::string job = "job" + std::to_string(random() % 40);
                std::vector<WaitingStep> waiting;
                const auto count = static_cast<std::uint32_t>(random() % 3);
                for (std::uint32_t step = 0; step < count; ++step) {
                    const auto age = static_cast<WallTimeMs>(random() % 6000);
                    waiting.push_back(
                            stepOf(job, step, now - age, static_cast<double>(random() % 7)));
                }
                expected[job] = waiting;
                steps.replace(job, "pricing", waiting, now);
                steps.advance(now);
            }
            std::set<StepPosition> sorted;
            for (const auto &[job, waiting] : expected) {
                for (const WaitingStep &step : waiting) {
                    sorted.insert({rankStep(step.attributes, now), step.key});
                }
            }
            const auto found = steps.byService().find("pricing");
            CPPUNIT_ASSERT(found != steps.byService().end());
            std::vector<StepPosition> order;
            for (StepCursor cursor(found->second); !cursor.isAtEnd(); cursor.next()) {
                order.push_back(cursor.position());
            }
            CPPUNIT_ASSERT_MESSAGE(
                    "seed " + std::to_string(seed),
                    std::equal(sorted.begin(), sorted.end(), order.begin(), order.end(), isSame));
        }
    }

    /// Guards against steps that are visited out of order, twice or not at all when lanes are left
    /// out and the search goes on elsewhere, and against wrong numbers of held and remaining
    /// steps, with printed seeds.
    void lanesLeftOut()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            const std::string message = "seed " + std::to_string(seed);
            std::mt19937_64 random(seed);
            WaitingSteps steps;
            WallTimeMs now = 1000;
            changeAtRandom(steps, random, now);
            const ServiceSteps &service = steps.byService().at("pricing");
            StepCursor cursor(service);
            SortedSteps expected(service);
            const auto compare = [&] {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, expected.isAtEnd(), cursor.isAtEnd());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, expected.remaining(), cursor.remaining());
                if (!cursor.isAtEnd()) {
                    CPPUNIT_ASSERT_MESSAGE(message, isSame(expected.position(), cursor.position()));
                    CPPUNIT_ASSERT_MESSAGE(message, expected.lane() == cursor.lane().key);
                }
            };
            compare();
            while (!expected.isAtEnd()) {
                const std::uint64_t choice = random() % 40;
                if (choice == 0) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, expected.leaveOutLane(),
                                                 cursor.leaveOutLane());
                } else if (choice == 1) {
                    const StepPosition behind = expected.positionAt(random() % expected.size());
                    expected.resumeBehind(behind);
                    cursor.resumeBehind(behind);
                } else {
                    expected.next();
                    cursor.next();
                }
                compare();
            }
        }
    }

    /// Guards against steps that stay in the lane of an earlier quota, lanes that stay without
    /// steps, and against a hold that begins anew when a step of the lane changes its rank.
    void lanesOfJobs()
    {
        const LaneKey small{"a", {1000, 512, 0}, 1};
        const LaneKey gang{"a", {1000, 512, 0}, 5};
        const auto stepIn = [](const LaneKey &lane, WallTimeMs dueAt) {
            WaitingStep step = stepOf("j", 0, dueAt, 10);
            step.lane = lane;
            return step;
        };
        WaitingSteps steps;
        steps.replace("j", "pricing", {stepIn(small, 1000)}, 1000);
        steps.setHold(*steps.lane("pricing", small), QuotaHold{70, {{}, {"j", 0, 0}}});
        section("a hold outlasts changes of the ranks and of the job", [&] {
            steps.advance(100000);
            steps.replace("j", "pricing", {stepIn(small, 1000)}, 100000);
            const StepLane *lane = steps.lane("pricing", small);
            CPPUNIT_ASSERT(lane != nullptr && lane->hold);
            CPPUNIT_ASSERT_EQUAL(SteadyTimeMs(70), lane->hold->since);
        });
        section("a hold ends with the step that began it, and not with another one", [&] {
            WaitingStep other = stepOf("other", 0, 1000, 10);
            other.lane = small;
            steps.replace("other", "pricing", {other}, 100000);
            steps.remove("other");
            CPPUNIT_ASSERT(steps.lane("pricing", small)->hold.has_value());
            steps.replace("other", "pricing", {other}, 100000);
            steps.remove("j");
            CPPUNIT_ASSERT(!steps.lane("pricing", small)->hold);
            steps.remove("other");
        });
        section("another lane, another service and no lane", [&] {
            steps.replace("j", "pricing", {stepIn(gang, 1000)}, 100000);
            CPPUNIT_ASSERT(steps.lane("pricing", small) == nullptr);
            CPPUNIT_ASSERT(!steps.lane("pricing", gang)->hold);
            steps.replace("j", "stock", {stepIn({}, 1000)}, 100000);
            CPPUNIT_ASSERT(!steps.byService().contains("pricing"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), steps.byService().at("stock").size());
            steps.remove("j");
            CPPUNIT_ASSERT(steps.byService().empty());
        });
    }

    /// Guards against a job whose wait for its team's quota is reported for each of its steps or
    /// each pass, or not again when it waits anew.
    void reportedOnce()
    {
        const LaneKey small{"a", {1000, 512, 0}, 1};
        const LaneKey large{"a", {4000, 512, 0}, 1};
        const auto stepIn = [](const std::string &job, std::uint32_t number, const LaneKey &lane) {
            WaitingStep step = stepOf(job, number, 1000, 10);
            step.lane = lane;
            return step;
        };
        WaitingSteps steps;
        const auto taken = [&steps](const LaneKey &key, const JobId &from) {
            const StepLane &lane = *steps.lane("pricing", key);
            const auto position = std::find_if(
                    lane.steps.begin(), lane.steps.end(),
                    [&from](const StepPosition &each) { return each.key.job == from; });
            std::vector<std::string> jobs;
            for (const StepKey &step : steps.takeUnreported(lane, *position)) {
                jobs.push_back(step.job.text());
            }
            return jobs;
        };
        using Jobs = std::vector<std::string>;
        for (const char *job : {"j1", "j2", "j3"}) {
            steps.replace(job, "pricing", {stepIn(job, 0, small), stepIn(job, 1, large)}, 1000);
        }
        section("from the held step on, and not for a second lane", [&] {
            CPPUNIT_ASSERT((taken(small, "j2") == Jobs{"j2", "j3"}));
            CPPUNIT_ASSERT((taken(large, "j1") == Jobs{"j1"}));
            CPPUNIT_ASSERT(taken(small, "j1").empty());
        });
        section("a single step, unless its job has been reported", [&] {
            steps.replace("j4", "pricing", {stepIn("j4", 0, small)}, 1000);
            for (const char *job : {"j3", "j4"}) {
                const StepLane &lane = *steps.lane("pricing", small);
                const auto position = std::find_if(
                        lane.steps.begin(), lane.steps.end(),
                        [job](const StepPosition &each) { return each.key.job == JobId(job); });
                CPPUNIT_ASSERT_EQUAL(std::string(job) == "j4", steps.takeReport(lane, *position));
                CPPUNIT_ASSERT(!steps.takeReport(lane, *position));
            }
            steps.remove("j4");
        });
        section("not again while a step waits, whatever its rank", [&] {
            steps.replace("j2", "pricing", {stepIn("j2", 1, large)}, 1000);
            steps.advance(100000);
            CPPUNIT_ASSERT(taken(large, "j1").empty());
            CPPUNIT_ASSERT(taken(small, "j1").empty());
        });
        section("again after the job had no step that waits for a quota", [&] {
            steps.replace("j2", "pricing", {stepIn("j2", 0, {})}, 100000);
            steps.replace("j2", "pricing", {stepIn("j2", 0, small)}, 100000);
            steps.remove("j3");
            steps.replace("j3", "pricing", {stepIn("j3", 0, small)}, 100000);
            CPPUNIT_ASSERT((taken(small, "j1") == Jobs{"j2", "j3"}));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingStepsTest);

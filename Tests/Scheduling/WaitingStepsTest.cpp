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
    const auto order = steps.byService().find(service);
    if (order != steps.byService().end()) {
        for (const StepPosition &position : order->second) {
            jobs.push_back(position.key.job.text());
        }
    }
    return jobs;
}

} // namespace

class WaitingStepsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitingStepsTest);
    CPPUNIT_TEST(order);
    CPPUNIT_TEST(sameAsSorting);
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
            const auto order = steps.byService().find("pricing");
            CPPUNIT_ASSERT(order != steps.byService().end());
            const auto equal = [](const StepPosition &left, const StepPosition &right) {
                return !(left < right) && !(right < left);
            };
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   std::equal(sorted.begin(), sorted.end(), order->second.begin(),
                                              order->second.end(), equal));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingStepsTest);

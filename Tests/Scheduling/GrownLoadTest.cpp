#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "Scheduling/TurnLoad.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// A leader of the grown deployments has 0.32 of a core. Scheduling may use a quarter of it; calls
/// to workers, the journal and responses to clients need the rest.
constexpr double maxSchedulerCores = 0.08;

/// Seconds of instances in pools if the whole fleet were always on.
double alwaysOnSeconds(const TurnLoad &load)
{
    int instances = load.spareInstances;
    for (const QueueLoad &queue : load.queues) {
        instances += queue.instances > 0 ? queue.instances : load.instancesPerPool;
    }
    return instances * static_cast<double>(load.idleMs + load.turns * load.turnMs) / 1000;
}

} // namespace

class GrownLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GrownLoadTest);
    CPPUNIT_TEST(schedulingCost);
    CPPUNIT_TEST(foreseenTurns);
    CPPUNIT_TEST(unevenTurns);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against scheduling cost that grows with the fleet or with completed jobs: the leader
    /// of chamdakam-loom-grown then had no processor time left for calls and served a third of the
    /// load.
    void schedulingCost()
    {
        constexpr std::uint64_t seed = 1;
        TurnLoad load = grownLoad();
        load.turnMs = 4000;
        load.peakMs = 4000;
        load.turns = 8;
        load.idleMs = 0;
        load.durationsVary = false;
        load.planMs = 10;
        const TurnLoadResult result = replayTurnLoad(load, seed);
        std::cout << " seed " << seed << ": " << result.onTime << " of " << result.jobs
                  << " in time, " << result.schedulerCores << " of a core";
        CPPUNIT_ASSERT(result.schedulerCores < maxSchedulerCores);
    }

    /// Guards against peaks whose first seconds are lost, because instances move to a pool only
    /// once its peak is seen (large quiet-1 without charge for processor time: 0.81 of the jobs
    /// served).
    void foreseenTurns()
    {
        const std::pair<const char *, TurnLoad> loads[] = {
                {"small", smallLoad()}, {"grown", grownLoad()}, {"large twin", largeTwinLoad()}};
        for (const auto &[name, foreseen] : loads) {
            section(name, [&, &title = name, &load = foreseen] {
                constexpr std::uint64_t seed = 1;
                TurnLoad reactive = load;
                reactive.foresight = false;
                const TurnLoadResult before = replayTurnLoad(reactive, seed);
                const TurnLoadResult after = replayTurnLoad(load, seed);
                std::cout << "\n  " << title << ", seed " << seed << ": in time " << before.onTime
                          << " and " << after.onTime << " of " << after.jobs << ", pool seconds "
                          << before.poolSeconds << " and " << after.poolSeconds << ", moves "
                          << before.moves << " and " << after.moves;
                CPPUNIT_ASSERT(after.onTime > before.onTime);
                CPPUNIT_ASSERT(after.poolSeconds < alwaysOnSeconds(load));
            });
        }
    }

    /// Guards against a forecast that serves four-second turns worse than none, also when they come
    /// in another order than before, and shows where instances stand in pools without work.
    void unevenTurns()
    {
        TurnLoad changedOrder = unevenLoad();
        changedOrder.order = {0, 1, 2, 3, 0, 2, 1, 3};
        const std::pair<const char *, TurnLoad> loads[] = {{"uneven", unevenLoad()},
                                                           {"uneven memory", unevenMemoryLoad()},
                                                           {"changed order", changedOrder}};
        for (const auto &[name, foreseen] : loads) {
            section(name, [&, &title = name, &load = foreseen] {
                constexpr std::uint64_t seed = 1;
                TurnLoad reactive = load;
                reactive.foresight = false;
                const TurnLoadResult before = replayTurnLoad(reactive, seed);
                const TurnLoadResult after = replayTurnLoad(load, seed);
                std::cout << "\n  " << title << ", seed " << seed
                          << ", without forecast: " << describe(before)
                          << "\n  with it: " << describe(after);
                CPPUNIT_ASSERT(after.onTime > before.onTime);
                CPPUNIT_ASSERT(after.poolSeconds < alwaysOnSeconds(load));
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrownLoadTest);

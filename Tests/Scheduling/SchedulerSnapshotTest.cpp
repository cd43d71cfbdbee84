#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/InstanceOrderLog.h"
#include "Scheduling/SilentWorkerLeases.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

/// What a control instance that restarts from a snapshot knows of the orders and leases of earlier
/// leaders.
class SchedulerSnapshotTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerSnapshotTest);
    CPPUNIT_TEST(ordersOfEarlierLeaders);
    CPPUNIT_TEST(leasesOfSilentWorkers);
    CPPUNIT_TEST_SUITE_END();

    static SchedulerState restore(const SchedulerState &state)
    {
        auto restored = SchedulerState::decode(state.encode());
        CPPUNIT_ASSERT(isOk(restored));
        return takeValue(std::move(restored));
    }

public:
    /// Guards against a second order for an instance right after the one of an earlier leader,
    /// whose record is no longer in the journal but in its snapshot.
    void ordersOfEarlierLeaders()
    {
        SchedulerState state;
        state.apply(InstanceOrdered{"m1", 3, "w1"});
        const SchedulerState restored = restore(state);
        InstanceOrderLog orders(4000);
        orders.restored(restored.lastOrders(), 1000);
        section("within the pause no other leader orders", [&] {
            CPPUNIT_ASSERT(!orders.mayOrder("m1", 4, 1500));
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), orders.workerWithPendingOrder("m1", 4, 1500));
            CPPUNIT_ASSERT(orders.mayOrder("m2", 4, 1500));
        });
        section("after it one does", [&] { CPPUNIT_ASSERT(orders.mayOrder("m1", 4, 5000)); });
    }

    /// Guards against a lease that counts from before the restart, when the worker may have
    /// answered and become silent again.
    void leasesOfSilentWorkers()
    {
        SchedulerState state;
        WorkerRecord worker;
        worker.id = "w1";
        worker.startTimeMs = 5;
        SilentWorkerLeases silentLeases;
        const auto apply = [&](const JobChange &change, SteadyTimeMs now) {
            state.apply(change);
            silentLeases.applied(change, state, now);
        };
        apply(WorkerJoined{worker}, 0);
        apply(LeaseLimitSet{4500}, 0);
        section("a record of another incarnation changes nothing", [&] {
            apply(WorkerSilent{"w1", 4, 3000}, 100);
            CPPUNIT_ASSERT(silentLeases.leaseEnds().empty());
        });
        section("the lease counts from when the record was applied", [&] {
            apply(WorkerSilent{"w1", 5, 3000}, 1000);
            CPPUNIT_ASSERT_EQUAL(SteadyTimeMs(4000), silentLeases.leaseEnds().at("w1"));
        });
        section("after a restart it counts from then", [&] {
            const SchedulerState restored = restore(state);
            CPPUNIT_ASSERT(restored.isSilent("w1"));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(4500), restored.leaseLimitMs());
            silentLeases.restored(restored, 8000);
            CPPUNIT_ASSERT_EQUAL(SteadyTimeMs(11000), silentLeases.leaseEnds().at("w1"));
        });
        section("an answer ends it, as does the next incarnation", [&] {
            apply(WorkerAnswered{"w1", 5}, 9000);
            CPPUNIT_ASSERT(silentLeases.leaseEnds().empty());
            apply(WorkerSilent{"w1", 5, 100}, 9100);
            worker.startTimeMs = 6;
            apply(WorkerJoined{worker}, 9200);
            CPPUNIT_ASSERT(!state.isSilent("w1"));
            CPPUNIT_ASSERT(silentLeases.leaseEnds().empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerSnapshotTest);

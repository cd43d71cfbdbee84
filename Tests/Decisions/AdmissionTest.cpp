#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Decisions/Admission.h"
#include "Decisions/RunTimes.h"
#include "Decisions/SlotShares.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr PlanShare share{1, 100, 100000};

/// One service queue with a pool of eight slots.
struct Pool
{
    ServiceQueue queue;
    AdmissionLimits limits;
    std::uint32_t used = 0;
    std::uint64_t next = 1;
    SteadyTimeMs now = 1000;

    AdmissionDecision offer(const std::string &plan, WorkClass workClass = WorkClass::Short,
                            Urgency urgency = Urgency::Normal, const PlanShare &planShare = share,
                            SteadyTimeMs deadlineMs = 100000)
    {
        const WaitingRequest request{next++, plan, urgency, workClass, now, now + deadlineMs};
        return admit(queue, request, planShare, {8, 8 - used}, now, limits);
    }

    std::optional<WaitingRequest> start()
    {
        std::vector<WaitingRequest> expired;
        auto request = takeNext(queue, {8, 8 - used}, now, limits, expired);
        used += request ? 1 : 0;
        return request;
    }
};

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(shortBeforeLong);
    CPPUNIT_TEST(weights);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(runTimes);
    CPPUNIT_TEST(slotShares);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against long work that takes all slots while short work waits, and against long work
    /// that never gets one.
    void shortBeforeLong()
    {
        Pool pool;
        pool.offer("b");
        pool.start();
        for (int number = 0; number < 8; ++number) {
            pool.offer("a", WorkClass::Long);
        }
        section("the reserve for short work stays free after a peak was seen", [&] {
            while (pool.start()) { }
            CPPUNIT_ASSERT_EQUAL(2U, pool.queue.longInFlight);
            CPPUNIT_ASSERT_EQUAL(3U, pool.used);
        });
        section("short work of another plan starts at once", [&] {
            pool.offer("b");
            CPPUNIT_ASSERT(pool.start()->workClass == WorkClass::Short);
        });
        section("long work gets its guaranteed share while short work waits", [&] {
            Pool other;
            other.offer("a", WorkClass::Long);
            other.offer("b", WorkClass::Short, Urgency::Normal, {1, 1, 100000});
            other.offer("b", WorkClass::Short, Urgency::Normal, {1, 1, 100000});
            std::uint32_t longStarted = 0;
            while (const auto request = other.start()) {
                longStarted += request->workClass == WorkClass::Long ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(1U, longStarted);
        });
    }

    /// Guards against one plan's flood that starves another.
    void weights()
    {
        Pool pool;
        for (int number = 0; number < 40; ++number) {
            pool.offer("flood", WorkClass::Short, Urgency::Normal, {1, 100, 100000});
        }
        for (int number = 0; number < 10; ++number) {
            pool.offer("small", WorkClass::Short, Urgency::Normal, {3, 100, 100000});
        }
        int small = 0;
        for (int number = 0; number < 8; ++number) {
            small += pool.start()->plan == "small" ? 1 : 0;
        }
        CPPUNIT_ASSERT(small == 6);
        section("a full queue refuses the flood's youngest, not the small plan", [&] {
            pool.limits.queueLength = pool.queue.waiting;
            const auto decision =
                    pool.offer("small", WorkClass::Short, Urgency::Normal, {3, 100, 1e5});
            CPPUNIT_ASSERT(decision.admitted);
            CPPUNIT_ASSERT_EQUAL(std::string("flood"), decision.displaced->plan);
        });
    }

    /// Guards against requests that wait for an answer they cannot get in time.
    void refusals()
    {
        section("a passed deadline and a used rate are refused with their reason", [&] {
            Pool pool;
            CPPUNIT_ASSERT(pool.offer("a", WorkClass::Short, Urgency::Normal, share, 0).reason
                           == AdmissionReason::DeadlinePassed);
            pool.limits.burstSeconds = 1;
            const PlanShare slow{1, 100, 1};
            CPPUNIT_ASSERT(pool.offer("b", WorkClass::Short, Urgency::Normal, slow).admitted);
            const auto second = pool.offer("b", WorkClass::Short, Urgency::Normal, slow);
            CPPUNIT_ASSERT(second.reason == AdmissionReason::OverRate);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), second.retryAfterMs);
        });
        section("a deadline that the queue cannot meet is refused at once", [&] {
            Pool pool;
            for (int number = 0; number < 100; ++number) {
                pool.offer("a");
            }
            const auto decision = pool.offer("a", WorkClass::Short, Urgency::Normal, share, 200);
            CPPUNIT_ASSERT(decision.reason == AdmissionReason::DeadlineUnreachable);
            CPPUNIT_ASSERT(decision.retryAfterMs >= 600);
        });
        section("urgent work displaces batch work in a full queue, never the other way", [&] {
            Pool pool;
            pool.limits.queueLength = 1;
            pool.offer("a", WorkClass::Short, Urgency::Batch);
            CPPUNIT_ASSERT(pool.offer("b", WorkClass::Short, Urgency::Urgent).displaced);
            CPPUNIT_ASSERT(pool.offer("a", WorkClass::Short, Urgency::Batch).reason
                           == AdmissionReason::QueueFull);
        });
    }

    /// Guards against declared run times: the class follows what was observed.
    void runTimes()
    {
        const RunTimeLimits limits;
        ServiceRunTimes times;
        for (int number = 0; number < 200; ++number) {
            observeRunTime(times, "GET /quote", 20, limits);
            if (number % 10 == 0) {
                observeRunTime(times, "POST /night", 2000, limits);
            }
        }
        CPPUNIT_ASSERT(classify(times, "GET /quote", limits) == WorkClass::Short);
        CPPUNIT_ASSERT(classify(times, "POST /night", limits) == WorkClass::Long);
        CPPUNIT_ASSERT(classify(times, "GET /new", limits) == WorkClass::Short);
        CPPUNIT_ASSERT(hasOverrun(times, 1000, limits));
        CPPUNIT_ASSERT(!hasOverrun(times, 40, limits));
        CPPUNIT_ASSERT_EQUAL(std::string("GET /slot/#"), requestKind("GET", "/slot/17/x?y=1"));
    }

    /// Guards against shares that add up to more than an endpoint's slots.
    void slotShares()
    {
        std::uint32_t extra = 0;
        for (int endpoint = 0; endpoint < 200; ++endpoint) {
            const auto shares = divideSlots("e" + std::to_string(endpoint), 8,
                                            {{"a", 30}, {"b", 10}, {"c", 0}, {"d", 0}});
            std::uint32_t total = 0;
            for (const auto &[gateway, slots] : shares) {
                total += slots;
            }
            CPPUNIT_ASSERT_EQUAL(8U, total);
            CPPUNIT_ASSERT(shares.at("a") >= 5);
            extra += shares.at("c");
        }
        CPPUNIT_ASSERT_MESSAGE("an idle gateway gets a slot somewhere in the pool", extra > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

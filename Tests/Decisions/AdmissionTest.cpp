#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Decisions/Admission.h"
#include "Decisions/RunTimes.h"
#include "Decisions/SlotShares.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr PlanShare defaultShare{1, 100, 100000};

/// One service queue with a pool of eight slots.
struct QueueFixture
{
    ServiceQueue queue;
    AdmissionLimits limits;
    std::uint32_t used = 0;
    std::uint64_t next = 1;
    SteadyTimeMs nowMs = 1000;

    AdmissionDecision submit(const std::string &plan, WorkClass workClass = WorkClass::Short,
                             Urgency urgency = Urgency::Normal,
                             const PlanShare &planShare = defaultShare,
                             SteadyTimeMs deadlineMs = 100000)
    {
        const WaitingRequest request{next++, plan, urgency, workClass, nowMs, nowMs + deadlineMs};
        return admit(queue, request, planShare, {8, 8 - used}, nowMs, limits);
    }

    std::optional<WaitingRequest> start()
    {
        std::vector<WaitingRequest> expired;
        auto request = takeNext(queue, {8, 8 - used}, nowMs, limits, expired);
        used += request ? 1 : 0;
        return request;
    }
};

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(shortWorkPriority);
    CPPUNIT_TEST(weightedFairness);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(runTimeClassification);
    CPPUNIT_TEST(slotShares);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against long work that takes all slots while short work waits, and against long work
    /// that never gets one.
    void shortWorkPriority()
    {
        QueueFixture pool;
        pool.submit("b");
        pool.start();
        for (int number = 0; number < 8; ++number) {
            pool.submit("a", WorkClass::Long);
        }
        section("the reserve for short work stays free after a peak was seen", [&] {
            while (pool.start()) { }
            CPPUNIT_ASSERT_EQUAL(2U, pool.queue.longInFlight);
            CPPUNIT_ASSERT_EQUAL(3U, pool.used);
        });
        section("short work of another plan starts at once", [&] {
            pool.submit("b");
            CPPUNIT_ASSERT(pool.start()->workClass == WorkClass::Short);
        });
        section("long work gets its guaranteed share while short work waits", [&] {
            QueueFixture other;
            other.submit("a", WorkClass::Long);
            other.submit("b", WorkClass::Short, Urgency::Normal, {1, 1, 100000});
            other.submit("b", WorkClass::Short, Urgency::Normal, {1, 1, 100000});
            std::uint32_t longStarted = 0;
            while (const auto request = other.start()) {
                longStarted += request->workClass == WorkClass::Long ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(1U, longStarted);
        });
    }

    /// Guards against a burst of one plan that starves another.
    void weightedFairness()
    {
        QueueFixture pool;
        for (int number = 0; number < 40; ++number) {
            pool.submit("flood", WorkClass::Short, Urgency::Normal, {1, 100, 100000});
        }
        for (int number = 0; number < 10; ++number) {
            pool.submit("small", WorkClass::Short, Urgency::Normal, {3, 100, 100000});
        }
        int small = 0;
        for (int number = 0; number < 8; ++number) {
            small += pool.start()->plan == "small" ? 1 : 0;
        }
        CPPUNIT_ASSERT(small == 6);
        section("a full queue displaces the newest request of the flood, not the small plan", [&] {
            pool.limits.queueLength = pool.queue.waiting;
            const auto decision =
                    pool.submit("small", WorkClass::Short, Urgency::Normal, {3, 100, 1e5});
            CPPUNIT_ASSERT(decision.admitted);
            CPPUNIT_ASSERT_EQUAL(std::string("flood"), decision.displaced->plan);
        });
    }

    /// Guards against queueing requests that can't be answered before their deadline.
    void refusals()
    {
        section("a passed deadline and a used rate are refused with their reason", [&] {
            QueueFixture pool;
            CPPUNIT_ASSERT(
                    pool.submit("a", WorkClass::Short, Urgency::Normal, defaultShare, 0).reason
                    == AdmissionReason::DeadlinePassed);
            pool.limits.burstSeconds = 1;
            const PlanShare slow{1, 100, 1};
            CPPUNIT_ASSERT(pool.submit("b", WorkClass::Short, Urgency::Normal, slow).admitted);
            const auto second = pool.submit("b", WorkClass::Short, Urgency::Normal, slow);
            CPPUNIT_ASSERT(second.reason == AdmissionReason::OverRate);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), second.retryAfterMs);
        });
        section("a deadline that the queue cannot meet is refused at once", [&] {
            QueueFixture pool;
            for (int number = 0; number < 100; ++number) {
                pool.submit("a");
            }
            const auto decision =
                    pool.submit("a", WorkClass::Short, Urgency::Normal, defaultShare, 200);
            CPPUNIT_ASSERT(decision.reason == AdmissionReason::DeadlineUnreachable);
            CPPUNIT_ASSERT(decision.retryAfterMs >= 600);
        });
        section("urgent work displaces batch work in a full queue, never the other way", [&] {
            QueueFixture pool;
            pool.limits.queueLength = 1;
            pool.submit("a", WorkClass::Short, Urgency::Batch);
            CPPUNIT_ASSERT(pool.submit("b", WorkClass::Short, Urgency::Urgent).displaced);
            CPPUNIT_ASSERT(pool.submit("a", WorkClass::Short, Urgency::Batch).reason
                           == AdmissionReason::QueueFull);
        });
    }

    /// Guards against classification by declared run times; only observed run times count.
    void runTimeClassification()
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
            const auto shares = allocateSlots("e" + std::to_string(endpoint), 8,
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

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/StepRanking.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// A job of one step of 500 ms, due at 1000 ms: its objective ends at 2400 ms and its use at
/// 5200 ms.
StepAttributes shortJob()
{
    StepAttributes attributes;
    attributes.dueAtMs = 1000;
    attributes.jobPathMs = 500;
    attributes.remainingPathMs = 500;
    attributes.remainingWork = 10;
    attributes.stretch = 1.6;
    attributes.targetLatencyMs = 600;
    return attributes;
}

} // namespace

class StepRankingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StepRankingTest);
    CPPUNIT_TEST(groups);
    CPPUNIT_TEST(rankChanges);
    CPPUNIT_TEST(beyondShare);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against jobs that are of no more use and take the capacity of those that still are
    /// (chamdakam-loom-large scale-1: jobs began after 5.7 s, at objectives of 1.5 s).
    void groups()
    {
        const auto groupAt = [](const StepAttributes &attributes, WallTimeMs now) {
            return stepGroupNames.name(rankStep(attributes, now).group);
        };
        section("a job is on time while it can meet its objective", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string_view("on-time"), groupAt(shortJob(), 1900));
            CPPUNIT_ASSERT_EQUAL(std::string_view("late"), groupAt(shortJob(), 1901));
        });
        section("it is late while it is of use, and overdue after that", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string_view("late"), groupAt(shortJob(), 4700));
            CPPUNIT_ASSERT_EQUAL(std::string_view("overdue"), groupAt(shortJob(), 4701));
        });
        section("an overdue job comes after all others, however small or urgent", [&] {
            StepAttributes overdue = shortJob();
            overdue.remainingWork = 1;
            StepAttributes late = shortJob();
            late.dueAtMs = 2000;
            late.priority = 5;
            StepAttributes filler = shortJob();
            filler.bestEffort = true;
            CPPUNIT_ASSERT(rankStep(late, 5000) < rankStep(overdue, 5000));
            CPPUNIT_ASSERT(rankStep(filler, 5000) < rankStep(overdue, 5000));
        });
    }

    /// Guards against a waiting step that keeps an old rank: it would be placed before others that
    /// can still be in time.
    void rankChanges()
    {
        const StepAttributes job = shortJob();
        section("a rank is the same until the time of its change", [&] {
            for (const WallTimeMs now : {1000, 1900, 1901, 4000, 4700}) {
                const auto change = nextRankChange(job, now);
                CPPUNIT_ASSERT(change.has_value());
                CPPUNIT_ASSERT(rankStep(job, *change - 1).group == rankStep(job, now).group);
                CPPUNIT_ASSERT(rankStep(job, *change).group != rankStep(job, now).group);
            }
        });
        section("overdue, long-running and best-effort steps keep theirs", [&] {
            CPPUNIT_ASSERT(!nextRankChange(job, 4701));
            StepAttributes lasting = shortJob();
            lasting.longRunning = true;
            CPPUNIT_ASSERT(!nextRankChange(lasting, 1000));
            lasting.bestEffort = true;
            CPPUNIT_ASSERT(!nextRankChange(lasting, 1000));
        });
    }

    /// Guards against jobs beyond a team's share that take the capacity of jobs within one, and
    /// against those that never come before overdue ones.
    void beyondShare()
    {
        StepAttributes beyond = shortJob();
        beyond.beyondShare = true;
        beyond.remainingWork = 1;
        beyond.priority = -1;
        const auto groupAt = [&](WallTimeMs now) { return rankStep(beyond, now).group; };
        section("it follows late jobs, however small or urgent, and precedes best effort", [&] {
            CPPUNIT_ASSERT(rankStep(shortJob(), 4000).group == StepGroup::Late);
            CPPUNIT_ASSERT(rankStep(shortJob(), 4000) < rankStep(beyond, 4000));
            StepAttributes filler = shortJob();
            filler.bestEffort = true;
            CPPUNIT_ASSERT(rankStep(beyond, 4000) < rankStep(filler, 4000));
        });
        section("it has one rank until it is overdue like any other", [&] {
            CPPUNIT_ASSERT(groupAt(1000) == StepGroup::BeyondShare);
            CPPUNIT_ASSERT(groupAt(4700) == StepGroup::BeyondShare);
            CPPUNIT_ASSERT(groupAt(4701) == StepGroup::Overdue);
            CPPUNIT_ASSERT_EQUAL(WallTimeMs(4701), nextRankChange(beyond, 1000).value_or(0));
            CPPUNIT_ASSERT(!nextRankChange(beyond, 4701));
        });
        section("long-running and best-effort steps keep their groups", [&] {
            beyond.longRunning = true;
            CPPUNIT_ASSERT(groupAt(1000) == StepGroup::LongRunning);
            beyond.bestEffort = true;
            CPPUNIT_ASSERT(groupAt(1000) == StepGroup::BestEffort);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepRankingTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/ShareMeter.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Submits `jobs` evenly from `from` to `until` and returns how many lie within the share.
int submitEvenly(ShareMeter &meter, const std::string &team, std::int64_t weight, int jobs,
                 SteadyTimeMs from, SteadyTimeMs until)
{
    int within = 0;
    for (int job = 0; job < jobs; ++job) {
        const SteadyTimeMs now = from + (until - from) * job / jobs;
        if (meter.isWithinShare(team, weight, now)) {
            meter.record(team, now);
            ++within;
        }
    }
    return within;
}

} // namespace

class ShareMeterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareMeterTest);
    CPPUNIT_TEST(slidingWindow);
    CPPUNIT_TEST(hotTeam);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a window that begins anew at fixed times: a team could submit two windows'
    /// jobs around the border.
    void slidingWindow()
    {
        ShareMeter meter;
        section("the jobs of a window may come at once, and one more is beyond", [&] {
            for (int job = 0; job < 10; ++job) {
                CPPUNIT_ASSERT(meter.isWithinShare("t", 2, 4000));
                meter.record("t", 4000);
            }
            CPPUNIT_ASSERT(!meter.isWithinShare("t", 2, 4000));
            CPPUNIT_ASSERT(!meter.isWithinShare("t", 2, 8999));
        });
        section("it ends when the first job leaves the window", [&] {
            CPPUNIT_ASSERT_EQUAL(std::int64_t(5000), meter.msUntilWithinShare("t", 2, 4000));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), meter.msUntilWithinShare("t", 2, 8999));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), meter.msUntilWithinShare("t", 2, 9000));
            CPPUNIT_ASSERT(meter.isWithinShare("t", 2, 9000));
        });
        section("a lowered weight waits for enough jobs to leave", [&] {
            meter.clear();
            for (int job = 0; job < 10; ++job) {
                meter.record("t", 1000 + job * 100);
            }
            CPPUNIT_ASSERT_EQUAL(std::int64_t(4500), meter.msUntilWithinShare("t", 1, 2000));
        });
        section("weight 0 and other teams have no limit here", [&] {
            CPPUNIT_ASSERT(meter.isWithinShare("t", 0, 2000));
            CPPUNIT_ASSERT(meter.isWithinShare("u", 1, 2000));
        });
    }

    /// Guards against a team that sends seven times its share and takes more than its share, and
    /// against teams within theirs that are held for it.
    void hotTeam()
    {
        ShareMeter meter;
        const int usual = submitEvenly(meter, "usual", 20, 20 * 20, 0, 20000);
        CPPUNIT_ASSERT_EQUAL(400, usual);
        const int hot = submitEvenly(meter, "hot", 20, 7 * 20 * 20, 0, 20000);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(hot), hot >= 400 && hot <= 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareMeterTest);

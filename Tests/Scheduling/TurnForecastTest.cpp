#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

#include "Scheduling/PoolDemand.h"
#include "Scheduling/TurnForecast.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

const std::vector<std::string> services{"a", "b", "c", "d"};
constexpr std::int64_t turnMs = 9000;
constexpr std::int64_t peakMs = 6000;

/// Records turns of the services in order, each of `peakMs` with jobs of 1,000 core-milliseconds at
/// the rate, and a twentieth of it elsewhere.
TurnHistory historyOf(int turns, double jobsPerSecond, std::uint64_t seed)
{
    TurnHistory history;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    for (SteadyTimeMs now = 0; now < turns * turnMs; ++now) {
        const auto turn = static_cast<std::size_t>(now / turnMs) % services.size();
        for (std::size_t service = 0; service < services.size(); ++service) {
            const bool peaks = service == turn && now % turnMs < peakMs;
            if (draw(random) < jobsPerSecond / 1000 * (peaks ? 1 : 0.0125)) {
                recordArrival(history, services[service], 1000, now);
            }
        }
    }
    return history;
}

std::string namesOf(const std::vector<TurnForecast> &forecasts)
{
    std::string names;
    for (const TurnForecast &forecast : forecasts) {
        names += forecast.service;
    }
    return names;
}

/// A pool of instances with 16 cores.
PoolStatus poolOf(const std::string &name, std::uint32_t instances, std::uint32_t empty)
{
    PoolStatus pool;
    pool.pool = name;
    pool.instances = instances;
    pool.empty = empty;
    pool.instanceMilli = 16000;
    return pool;
}

} // namespace

class TurnForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TurnForecastTest);
    CPPUNIT_TEST(order);
    CPPUNIT_TEST(lengthAndSize);
    CPPUNIT_TEST(noTurns);
    CPPUNIT_TEST(transfers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against pools that are prepared for a turn of another one.
    void order()
    {
        for (const double rate : {5.0, 300.0}) {
            section("in the first turn its end is unknown", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     namesOf(nextTurn(historyOf(1, rate, 1), services)));
            });
            section("then any that had none may be next", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string("cd"),
                                     namesOf(nextTurn(historyOf(2, rate, 1), services)));
                CPPUNIT_ASSERT_EQUAL(std::string("d"),
                                     namesOf(nextTurn(historyOf(3, rate, 1), services)));
            });
            section("then the one whose turn is longest ago, and those that follow it", [&] {
                CPPUNIT_ASSERT(!isOrderKnown(historyOf(4, rate, 1)));
                CPPUNIT_ASSERT_EQUAL(std::string("a"),
                                     namesOf(nextTurn(historyOf(4, rate, 1), services)));
                CPPUNIT_ASSERT(isOrderKnown(historyOf(5, rate, 1)));
                CPPUNIT_ASSERT_EQUAL(std::string("b"),
                                     namesOf(nextTurn(historyOf(5, rate, 1), services)));
                CPPUNIT_ASSERT_EQUAL(std::string("c"),
                                     namesOf(nextTurn(historyOf(6, rate, 1), services)));
            });
        }
    }

    /// Guards against preparations that come too late, or for a part of the work only.
    void lengthAndSize()
    {
        const TurnHistory history = historyOf(6, 300, 2);
        const TurnForecast forecast = nextTurn(history, services).front();
        const SteadyTimeMs expected = 6 * turnMs;
        CPPUNIT_ASSERT(std::abs(forecast.startsAt - expected) < 600);
        // 300 jobs a second of one core-second each, while they arrive.
        const double expectedMilli = 300.0 * 1000;
        CPPUNIT_ASSERT(std::abs(static_cast<double>(forecast.milli) / expectedMilli - 1) < 0.1);
        CPPUNIT_ASSERT(!isDue(forecast, forecast.startsAt - 3000));
        CPPUNIT_ASSERT(isDue(forecast, forecast.startsAt - 1800));
        CPPUNIT_ASSERT(!isDue(forecast, forecast.startsAt + 2000));
    }

    /// Guards against a forecast from even load, from a burst or from a few jobs.
    void noTurns()
    {
        TurnHistory even;
        for (SteadyTimeMs now = 0; now < 20000; now += 10) {
            recordArrival(even, services[static_cast<std::size_t>(now / 10) % 4], 1000, now);
        }
        CPPUNIT_ASSERT(even.turns.empty());
        TurnHistory sparse;
        for (SteadyTimeMs now = 0; now < 60000; now += 2000) {
            recordArrival(sparse, services[static_cast<std::size_t>(now / 2000) % 4], 1000, now);
        }
        CPPUNIT_ASSERT(nextTurn(sparse, services).empty());
        section("a burst of a second is no turn", [] {
            TurnHistory history;
            for (SteadyTimeMs now = 0; now < 9000; now += 10) {
                const bool burst = now >= 3000 && now < 4000;
                recordArrival(history, "a", 1000, now);
                if (burst) {
                    recordArrival(history, "b", 20000, now);
                }
            }
            CPPUNIT_ASSERT(!hadTurn(history, "b"));
        });
    }

    /// Guards against instances that are taken from a pool whose turn is about to begin, and
    /// against pools that are switched off before their first turn.
    void transfers()
    {
        const PoolDemandOptions options;
        PoolStatus ready = poolOf("ready", 20, 20);
        ready.foreseenMilli = 16 * 16000;
        PoolStatus busy = poolOf("busy", 4, 0);
        PoolStatus spare = poolOf("spare", 2, 0);
        spare.standby = true;
        section("a foreseen turn is prepared from the standby pool", [&] {
            PoolStatus next = poolOf("next", 10, 10);
            next.foreseenMilli = 12 * 16000;
            CPPUNIT_ASSERT((planTransfers({next, spare}, options, 0)
                            == std::vector<PoolTransfer>{{"spare", "next", 2}}));
        });
        section("present demand takes what is over, then standby, and never the reserve", [&] {
            busy.arrivingMilli = static_cast<std::int64_t>(14 * 16000 / options.arrivalHeadroom);
            const auto transfers = planTransfers({ready, busy, spare}, options, 0);
            CPPUNIT_ASSERT(
                    (transfers
                     == std::vector<PoolTransfer>{{"ready", "busy", 4}, {"spare", "busy", 2}}));
        });
        section("a pool whose turn is unknown stays on, and still helps others", [&] {
            PoolStatus unknown = poolOf("unknown", 10, 10);
            unknown.turnUnknown = true;
            CPPUNIT_ASSERT(planTransfers({unknown, spare}, options, 60000).empty());
            busy.arrivingMilli = static_cast<std::int64_t>(8 * 16000 / options.arrivalHeadroom);
            CPPUNIT_ASSERT((planTransfers({unknown, busy}, options, 60000)
                            == std::vector<PoolTransfer>{{"unknown", "busy", 4}}));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TurnForecastTest);

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

/// Value of the sample of a series. Fails if there is none.
double sampleValue(const std::string &text, const std::string &series)
{
    const std::size_t position = text.find("\n" + series + " ");
    CPPUNIT_ASSERT_MESSAGE("no sample " + series + " in\n" + text, position != std::string::npos);
    return std::stod(text.substr(position + series.size() + 2));
}

} // namespace

class PrometheusMetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrometheusMetricsTest);
    CPPUNIT_TEST(textFormat);
    CPPUNIT_TEST(quantileEstimates);
    CPPUNIT_TEST(labelSetLimit);
    CPPUNIT_TEST(concurrentUpdates);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against output that violates the Prometheus text format.
    void textFormat()
    {
        PrometheusMetrics metrics;
        metrics.describe("loom_requests_total", "Requests by\noutcome.");
        metrics.count("loom_requests_total", metricLabel("outcome", "done"), 2);
        metrics.count("loom_requests_total", metricLabel("outcome", "do\"ne\\\n"), 1);
        metrics.gauge("loom_queue", "", 2.5);
        metrics.observe("loom_wait_ms", metricLabel("service", "dues"), 10);
        metrics.observe("loom_wait_ms", metricLabel("service", "dues"), 30);
        CPPUNIT_ASSERT_EQUAL(std::string("# HELP loom_queue loom_queue\n"
                                         "# TYPE loom_queue gauge\n"
                                         "loom_queue 2.5\n"
                                         "# HELP loom_requests_total Requests by\\noutcome.\n"
                                         "# TYPE loom_requests_total counter\n"
                                         "loom_requests_total{outcome=\"do\\\"ne\\\\\\n\"} 1\n"
                                         "loom_requests_total{outcome=\"done\"} 2\n"
                                         "# HELP loom_wait_ms loom_wait_ms\n"
                                         "# TYPE loom_wait_ms summary\n"
                                         "loom_wait_ms{service=\"dues\",quantile=\"0.5\"} 10\n"
                                         "loom_wait_ms{service=\"dues\",quantile=\"0.9\"} 30\n"
                                         "loom_wait_ms{service=\"dues\",quantile=\"0.99\"} 30\n"
                                         "loom_wait_ms_sum{service=\"dues\"} 40\n"
                                         "loom_wait_ms_count{service=\"dues\"} 2\n"),
                             metrics.render());
    }

    /// Guards against quantile estimates that differ much from the quantiles of the distribution.
    void quantileEstimates()
    {
        constexpr unsigned seed = 20261204;
        std::cout << " seed " << seed << std::flush;
        std::mt19937 random(seed);
        std::exponential_distribution<double> waitTime(1.0 / 50);
        PrometheusMetrics metrics;
        for (int index = 0; index < 20000; ++index) {
            metrics.observe("wait", "", waitTime(random));
        }
        const std::string text = "\n" + metrics.render();
        const auto expected = [](double quantile) { return -50 * std::log(1 - quantile); };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected(0.5), sampleValue(text, "wait{quantile=\"0.5\"}"), 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected(0.9), sampleValue(text, "wait{quantile=\"0.9\"}"), 6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected(0.99), sampleValue(text, "wait{quantile=\"0.99\"}"),
                                     20);
        CPPUNIT_ASSERT_EQUAL(20000.0, sampleValue(text, "wait_count"));
    }

    /// Guards against unbounded memory use through label values that callers supply.
    void labelSetLimit()
    {
        PrometheusMetrics metrics(2);
        for (const char *plan : {"a", "b", "c", "d", "a"}) {
            metrics.count("requests", metricLabel("plan", plan), 1);
        }
        metrics.gauge("requests", "", 5);
        const std::string text = "\n" + metrics.render();
        section("known label sets are still updated", [&] {
            CPPUNIT_ASSERT_EQUAL(2.0, sampleValue(text, "requests{plan=\"a\"}"));
            CPPUNIT_ASSERT(text.find("plan=\"c\"") == std::string::npos);
        });
        section("updates with new label sets or another metric type are counted as dropped", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    3.0,
                    sampleValue(text,
                                "dandelionloom_metric_updates_dropped_total{metric=\"requests\"}"));
        });
    }

    /// Guards against lost updates of concurrent threads.
    void concurrentUpdates()
    {
        PrometheusMetrics metrics;
        std::vector<std::thread> threads;
        for (int index = 0; index < 4; ++index) {
            threads.emplace_back([&metrics] {
                for (int update = 0; update < 1000; ++update) {
                    metrics.count("requests", "", 1);
                    metrics.observe("wait", "", update);
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        const std::string text = "\n" + metrics.render();
        CPPUNIT_ASSERT_EQUAL(4000.0, sampleValue(text, "requests"));
        CPPUNIT_ASSERT_EQUAL(4000.0, sampleValue(text, "wait_count"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrometheusMetricsTest);

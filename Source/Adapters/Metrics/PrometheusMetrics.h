#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Ports/MetricSink.h"

namespace dandelionloom {

/// Keeps metrics in memory and renders them in the Prometheus text format. Metrics are sharded by
/// name, with one lock for each shard. Quantiles cover the whole life of the process.
class PrometheusMetrics : public MetricSink
{
public:
    /// Updates with label sets beyond the limit of a metric are dropped and counted in
    /// dandelionloom_metric_updates_dropped_total, so that label values from requests cannot
    /// exhaust memory.
    explicit PrometheusMetrics(std::size_t maxLabelSetsPerMetric = defaultMaxLabelSetsPerMetric);
    ~PrometheusMetrics() override;

    void count(const std::string &name, const std::string &labels, double amount) override;
    void gauge(const std::string &name, const std::string &labels, double value) override;
    void observe(const std::string &name, const std::string &labels, double value) override;

    /// Sets the HELP text of a metric. It defaults to the metric's name.
    void describe(const std::string &name, const std::string &help);

    std::string render() const;

    /// A metric by pool and outcome has 320 label sets with 64 pools and 5 outcomes.
    static constexpr std::size_t defaultMaxLabelSetsPerMetric = 1000;

private:
    enum class Type { Counter, Gauge, Summary };
    struct Distribution;
    struct Series;
    struct Metric;
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<std::string, std::unique_ptr<Metric>> metrics;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const std::string &name);
    /// Returns the series to update, or null if the update must be dropped. The caller holds the
    /// shard's lock.
    Series *findOrCreateSeries(Shard &shard, const std::string &name, const std::string &labels,
                               Type type);

    const std::size_t m_maxLabelSetsPerMetric;
    std::array<Shard, shardCount> m_shards;
    mutable std::mutex m_helpMutex;
    std::map<std::string, std::string> m_help;
};

/// Returns a `name="value"` pair with the value escaped for the text format.
std::string metricLabel(const std::string &name, const std::string &value);

} // namespace dandelionloom

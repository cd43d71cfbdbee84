#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Ports/MetricSink.h"

namespace dandelionloom {

/// Metrics in memory, rendered in the Prometheus text format. Metrics are spread over shards by
/// name, each under its own lock. Quantiles are estimated over the life of the process.
class PrometheusMetrics : public MetricSink
{
public:
    /// Label sets beyond the limit of a metric are dropped and counted in
    /// dandelionloom_metric_updates_dropped_total: labels from outside must not grow the process.
    explicit PrometheusMetrics(std::size_t labelSetsPerMetric = defaultLabelSetsPerMetric);
    ~PrometheusMetrics() override;

    void count(const std::string &name, const std::string &labels, double amount) override;
    void gauge(const std::string &name, const std::string &labels, double value) override;
    void observe(const std::string &name, const std::string &labels, double value) override;

    /// Sets the HELP text of a metric. Without one the name stands in.
    void describe(const std::string &name, const std::string &help);

    std::string render() const;

    /// 64 pools of 5 outcomes are 320 label sets.
    static constexpr std::size_t defaultLabelSetsPerMetric = 1000;

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
    /// The series to update, or null if the update is to be dropped. Needs the shard's lock.
    Series *seriesFor(Shard &shard, const std::string &name, const std::string &labels, Type type);

    const std::size_t m_labelSetsPerMetric;
    std::array<Shard, shardCount> m_shards;
    mutable std::mutex m_helpMutex;
    std::map<std::string, std::string> m_help;
};

/// One `name="value"` pair with the value escaped for the text format.
std::string metricLabel(const std::string &name, const std::string &value);

} // namespace dandelionloom

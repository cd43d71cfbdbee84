#include "Adapters/Metrics/PrometheusMetrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace dandelionloom {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

/// Up to this count, quantiles are computed from the samples themselves: the P-square estimator
/// starts from its first five samples and is inaccurate for the next few.
constexpr std::size_t maxExactSamples = 32;

constexpr const char *droppedUpdatesMetric = "dandelionloom_metric_updates_dropped_total";

using QuantileEstimator =
        accumulators::accumulator_set<double,
                                      accumulators::stats<accumulators::tag::p_square_quantile>>;
using Moments = accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean>>;

std::string formatValue(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 64> text = {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end.ptr};
}

std::string escapeHelp(const std::string &help)
{
    std::string text;
    for (const char character : help) {
        if (character == '\\') {
            text += "\\\\";
        } else if (character == '\n') {
            text += "\\n";
        } else {
            text += character;
        }
    }
    return text;
}

/// Appends one sample line of the Prometheus text format.
void appendSample(std::string &text, const std::string &name, const std::string &labels,
                  const std::string &value)
{
    text += name;
    if (!labels.empty()) {
        text += "{" + labels + "}";
    }
    text += " " + value + "\n";
}

std::string addLabel(const std::string &labels, const std::string &added)
{
    return labels.empty() ? added : labels + "," + added;
}

} // namespace

struct PrometheusMetrics::Distribution
{
    Moments moments;
    std::vector<QuantileEstimator> estimators;
    std::vector<double> firstSamples;

    Distribution()
    {
        for (const double quantile : quantiles) {
            estimators.emplace_back(accumulators::quantile_probability = quantile);
        }
    }

    void add(double value)
    {
        moments(value);
        for (QuantileEstimator &estimator : estimators) {
            estimator(value);
        }
        if (firstSamples.size() < maxExactSamples) {
            firstSamples.push_back(value);
        }
    }

    std::size_t count() const { return accumulators::count(moments); }

    double quantile(std::size_t index) const
    {
        if (count() > maxExactSamples) {
            return accumulators::p_square_quantile(estimators[index]);
        }
        std::vector<double> sorted = firstSamples;
        std::sort(sorted.begin(), sorted.end());
        const auto rank = static_cast<std::size_t>(
                std::ceil(quantiles[index] * static_cast<double>(sorted.size())));
        return sorted[std::max<std::size_t>(rank, 1) - 1];
    }
};

struct PrometheusMetrics::Series
{
    double value = 0;
    std::unique_ptr<Distribution> distribution;
};

struct PrometheusMetrics::Metric
{
    Type type = Type::Counter;
    std::map<std::string, Series> series;
    double dropped = 0;
};

PrometheusMetrics::PrometheusMetrics(std::size_t maxLabelSetsPerMetric)
    : m_maxLabelSetsPerMetric(maxLabelSetsPerMetric)
{ }

PrometheusMetrics::~PrometheusMetrics() = default;

PrometheusMetrics::Shard &PrometheusMetrics::shardOf(const std::string &name)
{
    return m_shards[std::hash<std::string>{}(name) % shardCount];
}

PrometheusMetrics::Series *PrometheusMetrics::findOrCreateSeries(Shard &shard,
                                                                 const std::string &name,
                                                                 const std::string &labels,
                                                                 Type type)
{
    std::unique_ptr<Metric> &metric = shard.metrics[name];
    if (metric == nullptr) {
        metric = std::make_unique<Metric>();
        metric->type = type;
    }
    // The text format allows one type for each metric name, so an update of another type is
    // dropped.
    if (metric->type != type) {
        ++metric->dropped;
        return nullptr;
    }
    const auto found = metric->series.find(labels);
    if (found != metric->series.end()) {
        return &found->second;
    }
    if (metric->series.size() >= m_maxLabelSetsPerMetric) {
        ++metric->dropped;
        return nullptr;
    }
    return &metric->series[labels];
}

void PrometheusMetrics::count(const std::string &name, const std::string &labels, double amount)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    if (Series *series = findOrCreateSeries(shard, name, labels, Type::Counter)) {
        series->value += amount;
    }
}

void PrometheusMetrics::gauge(const std::string &name, const std::string &labels, double value)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    if (Series *series = findOrCreateSeries(shard, name, labels, Type::Gauge)) {
        series->value = value;
    }
}

void PrometheusMetrics::observe(const std::string &name, const std::string &labels, double value)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    Series *series = findOrCreateSeries(shard, name, labels, Type::Summary);
    if (series == nullptr) {
        return;
    }
    if (series->distribution == nullptr) {
        series->distribution = std::make_unique<Distribution>();
    }
    series->distribution->add(value);
}

void PrometheusMetrics::describe(const std::string &name, const std::string &help)
{
    const std::lock_guard lock(m_helpMutex);
    m_help[name] = help;
}

std::string PrometheusMetrics::render() const
{
    constexpr std::array<const char *, 3> typeNames = {"counter", "gauge", "summary"};
    std::map<std::string, std::string> help;
    {
        const std::lock_guard lock(m_helpMutex);
        help = m_help;
    }
    std::map<std::string, std::string> texts;
    std::string dropped;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[name, metric] : shard.metrics) {
            const auto described = help.find(name);
            std::string &text = texts[name];
            text += "# HELP " + name + " "
                    + escapeHelp(described == help.end() ? name : described->second) + "\n";
            text += "# TYPE " + name + " " + typeNames[static_cast<std::size_t>(metric->type)]
                    + "\n";
            for (const auto &[labels, series] : metric->series) {
                if (series.distribution == nullptr) {
                    appendSample(text, name, labels, formatValue(series.value));
                    continue;
                }
                const Distribution &distribution = *series.distribution;
                for (std::size_t index = 0; index < quantiles.size(); ++index) {
                    appendSample(text, name,
                                 addLabel(labels,
                                          metricLabel("quantile", formatValue(quantiles[index]))),
                                 formatValue(distribution.quantile(index)));
                }
                const auto count = static_cast<double>(distribution.count());
                appendSample(text, name + "_sum", labels,
                             formatValue(accumulators::mean(distribution.moments) * count));
                appendSample(text, name + "_count", labels, formatValue(count));
            }
            if (metric->dropped > 0) {
                appendSample(dropped, droppedUpdatesMetric, metricLabel("metric", name),
                             formatValue(metric->dropped));
            }
        }
    }
    std::string all;
    for (const auto &[name, text] : texts) {
        all += text;
    }
    if (!dropped.empty()) {
        all += std::string("# HELP ") + droppedUpdatesMetric
                + " Updates dropped because the metric has too many label sets or another type.\n"
                + "# TYPE " + droppedUpdatesMetric + " counter\n" + dropped;
    }
    return all;
}

std::string metricLabel(const std::string &name, const std::string &value)
{
    std::string text = name + "=\"";
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
            text += character;
        } else if (character == '\n') {
            text += "\\n";
        } else {
            text += character;
        }
    }
    return text + "\"";
}

} // namespace dandelionloom

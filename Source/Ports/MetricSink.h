#pragma once

#include <string>

namespace dandelionloom {

/// Metrics of the process. Thread-safe. `labels` is empty or a comma-separated list of
/// `name="value"` pairs in the Prometheus text exposition format.
class MetricSink
{
public:
    virtual ~MetricSink() = default;

    virtual void count(const std::string &name, const std::string &labels, double amount) = 0;
    virtual void gauge(const std::string &name, const std::string &labels, double value) = 0;
    /// Adds an observation to a summary, which is exported with quantiles, sum and count.
    virtual void observe(const std::string &name, const std::string &labels, double value) = 0;
};

} // namespace dandelionloom

#pragma once

#include <string>

namespace dandelionloom {

/// Metrics of the process. Thread-safe. `labels` is empty or `name="value"` pairs joined by commas
/// in the text exposition format.
class MetricSink
{
public:
    virtual ~MetricSink() = default;

    virtual void count(const std::string &name, const std::string &labels, double amount) = 0;
    virtual void gauge(const std::string &name, const std::string &labels, double value) = 0;
    /// Adds an observation to a distribution, exported with quantiles, sum and count.
    virtual void observe(const std::string &name, const std::string &labels, double value) = 0;
};

} // namespace dandelionloom

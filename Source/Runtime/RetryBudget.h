#pragma once

#include <algorithm>
#include <mutex>

namespace dandelionloom {

struct RetryBudgetOptions
{
    /// Retries per request that a gateway may add, see the goals of the design.
    double share = 0.1;
    /// Unspent retries that are kept, for a short burst of failures.
    double highest = 50;
    /// So that the first requests after a start can be retried.
    double initial = 3;
};

/// Retries that a gateway may still send. Thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : m_options(options), m_retries(options.initial)
    { }

    void addRequest()
    {
        const std::lock_guard lock(m_mutex);
        m_retries = std::min(m_retries + m_options.share, m_options.highest);
    }

    bool hasRetry() const
    {
        const std::lock_guard lock(m_mutex);
        return m_retries >= 1;
    }

    /// Takes one retry; false if none is left.
    bool spend()
    {
        const std::lock_guard lock(m_mutex);
        if (m_retries < 1) {
            return false;
        }
        m_retries -= 1;
        return true;
    }

private:
    const RetryBudgetOptions m_options;
    mutable std::mutex m_mutex;
    double m_retries;
};

} // namespace dandelionloom

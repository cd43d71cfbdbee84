#pragma once

#include <algorithm>
#include <mutex>

namespace dandelionloom {

struct RetryBudgetOptions
{
    /// Tokens added for each request: bounds retries to this fraction of the requests.
    double tokensPerRequest = 0.1;
    /// Capacity of the bucket, for a short burst of failures.
    double maxTokens = 50;
    /// Tokens at the start, so that the first requests can be retried.
    double initialTokens = 3;
};

/// Token bucket that bounds the retries of a gateway: each request adds a fraction of a token and
/// each retry takes one. Thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : m_options(options), m_tokens(options.initialTokens)
    { }

    void recordRequest()
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = std::min(m_tokens + m_options.tokensPerRequest, m_options.maxTokens);
    }

    bool hasToken() const
    {
        const std::lock_guard lock(m_mutex);
        return m_tokens >= 1;
    }

    /// Takes one token for a retry. False if there is none.
    bool trySpend()
    {
        const std::lock_guard lock(m_mutex);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    const RetryBudgetOptions m_options;
    mutable std::mutex m_mutex;
    double m_tokens;
};

} // namespace dandelionloom

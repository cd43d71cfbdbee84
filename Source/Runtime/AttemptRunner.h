#pragma once

#include <string>

#include "Decisions/Retry.h"
#include "Ports/DecisionLog.h"
#include "Ports/EndpointClient.h"
#include "Ports/MetricSink.h"
#include "Runtime/RequestChecks.h"
#include "Runtime/RequestOutcome.h"
#include "Runtime/RetryBudget.h"
#include "Runtime/SlotQueue.h"

namespace dandelionloom {

struct AttemptRunnerOptions
{
    std::uint32_t maxAttempts = 3;
    RetryBudgetOptions budget;
};

/// Runs a request on endpoints: acquires a slot, sends an attempt and retries where that can't run
/// non-idempotent work twice. Thread-safe.
class AttemptRunner
{
public:
    AttemptRunner(const AttemptRunnerOptions &options, SlotQueue &queue, EndpointClient &client,
                  DecisionLog &log, MetricSink &metrics);

    /// Returns at the request's deadline at the latest. The outcome is NotRun only if it is certain
    /// that no endpoint ran an attempt.
    RequestEnd run(const CheckedRequest &request);

private:
    RequestEnd runAttempts(const CheckedRequest &request, std::vector<CompletedAttempt> &attempts);
    AttemptResult attempt(const CheckedRequest &request, const Slot &slot, std::uint32_t number,
                          const HttpHeaders &headers);
    bool shouldRetry(const CheckedRequest &request, const Slot &slot, std::uint32_t attempts,
                     bool provablyNotRun, AttemptFault fault);

    const AttemptRunnerOptions m_options;
    SlotQueue &m_queue;
    EndpointClient &m_client;
    DecisionLog &m_log;
    MetricSink &m_metrics;
    RetryBudget m_budget;
};

/// Labels of the metrics of a request.
std::string metricLabels(const std::string &plan, const std::string &service);

} // namespace dandelionloom

#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "Ports/DecisionLog.h"
#include "Ports/Handlers.h"
#include "Ports/MetricSink.h"
#include "Ports/ReplicatedLog.h"
#include "Runtime/AttemptRunner.h"
#include "Runtime/KeyedRequests.h"
#include "Runtime/RequestOutcome.h"

namespace dandelionloom {

struct GatewayOptions
{
    GatewayIdentity identity;
    /// Age of the last contact with the quorum from which on the lists count as stale.
    Milliseconds listsLease{10000};
    /// What a caller is told to wait after a not-run answer.
    std::uint32_t retryAfterSeconds = 1;
};

/// Serves callers: from a request to its one answer.
class Gateway : public CallerHandler
{
public:
    Gateway(GatewayOptions options, ReplicatedLog &log, AttemptRunner &runner,
            KeyedRequests &keyedRequests, DecisionLog &decisions, MetricSink &metrics);

    HttpAnswer serve(CallerRequest request) override;
    HttpAnswer refuse(int status, const std::string &reason) override;

private:
    enum class ListsAge { NeverReady, Stale, Fresh };

    ListsAge listsAge();
    std::string newRequestId();
    void noteRefused(const std::string &id, const std::string &plan, const RequestEnd &end);
    RequestEnd run(const CheckedRequest &request, ListsAge age);
    HttpAnswer answerFrom(RequestEnd end, const std::string &id, ListsAge age) const;
    void count(const std::string &plan, const std::string &service, RequestOutcome outcome);

    const GatewayOptions m_options;
    ReplicatedLog &m_log;
    AttemptRunner &m_runner;
    KeyedRequests &m_keyedRequests;
    DecisionLog &m_decisions;
    MetricSink &m_metrics;
    std::atomic<std::uint64_t> m_nextRequest = 1;
    std::atomic<bool> m_wasReady = false;
    std::atomic<bool> m_wasStale = false;
};

} // namespace dandelionloom

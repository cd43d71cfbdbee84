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
    /// The lists are stale when the last contact with the quorum is older than this.
    Milliseconds listsLease{10000};
    /// Value of the Retry-After header of a 503 or 409 answer.
    std::uint32_t retryAfterSeconds = 1;
};

/// Serves callers: checks each request against the lists, runs it and gives exactly one answer.
/// While the lists are stale, only idempotent requests run.
class Gateway : public CallerHandler
{
public:
    Gateway(GatewayOptions options, ReplicatedLog &log, AttemptRunner &runner,
            KeyedRequests &keyedRequests, DecisionLog &decisions, MetricSink &metrics);

    HttpResponse serve(CallerRequest request) override;
    HttpResponse refuse(int status, const std::string &reason) override;

private:
    enum class ListsFreshness { NeverConfirmed, Stale, Fresh };

    /// Also writes a decision when the lists become stale or fresh again.
    ListsFreshness listsFreshness();
    std::string newRequestId();
    void recordRefusal(const std::string &id, const std::string &plan, const RequestEnd &end);
    RequestEnd run(const CheckedRequest &request, ListsFreshness freshness);
    HttpResponse answerFrom(RequestEnd end, const std::string &id, ListsFreshness freshness) const;
    void count(const std::string &plan, const std::string &service, RequestOutcome outcome);

    const GatewayOptions m_options;
    ReplicatedLog &m_log;
    AttemptRunner &m_runner;
    KeyedRequests &m_keyedRequests;
    DecisionLog &m_decisions;
    MetricSink &m_metrics;
    std::atomic<std::uint64_t> m_nextRequestNumber = 1;
    std::atomic<bool> m_everReady = false;
    std::atomic<bool> m_wasStale = false;
};

} // namespace dandelionloom

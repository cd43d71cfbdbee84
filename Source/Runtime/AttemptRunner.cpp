#include "Runtime/AttemptRunner.h"

#include <algorithm>

#include "Decisions/RunTimes.h"

namespace dandelionloom {

namespace {

constexpr double millisecondsPerSecond = 1000;

Decision decisionFor(const CheckedRequest &request, DecisionKind kind, std::string reason)
{
    Decision decision;
    decision.kind = kind;
    decision.request = request.id;
    decision.plan = request.request.plan;
    decision.service = request.service;
    decision.listsRevision = request.listsRevision;
    decision.reason = std::move(reason);
    return decision;
}

/// From this number of busy refusals on, a request needs retry budget for another attempt. Fewer
/// cost a round trip each but no budget, as the endpoints started nothing.
constexpr std::uint32_t maxBusyRefusals = 20;

AttemptOutcome classifyAttempt(const AttemptResult &result)
{
    constexpr int firstServerError = 500;
    switch (result.verdict) {
    case AttemptVerdict::Answered:
        return result.answer.status >= firstServerError ? AttemptOutcome::ServerError
                                                        : AttemptOutcome::Succeeded;
    case AttemptVerdict::Refused:
        return AttemptOutcome::RefusedBusy;
    default:
        return AttemptOutcome::TransportError;
    }
}

/// Releases the slot at the end of the scope, also when sending throws.
class SlotGuard
{
public:
    SlotGuard(SlotQueue &queue, const Slot &slot) : m_queue(queue), m_slot(slot) { }
    ~SlotGuard() { m_queue.release(m_slot, m_result); }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

    void setResult(AttemptOutcome result) { m_result = result; }

private:
    SlotQueue &m_queue;
    const Slot &m_slot;
    AttemptOutcome m_result = AttemptOutcome::TransportError;
};

SlotRequest slotRequestOf(const CheckedRequest &request)
{
    SlotRequest slotRequest;
    slotRequest.requestId = request.id;
    slotRequest.plan = request.request.plan;
    slotRequest.service = request.service;
    slotRequest.kind = requestKind(request.request.method, request.request.target);
    slotRequest.deadlineAt = request.deadlineAt;
    return slotRequest;
}

} // namespace

std::string metricLabels(const std::string &plan, const std::string &service)
{
    return "plan=\"" + plan + "\",service=\"" + service + "\"";
}

AttemptRunner::AttemptRunner(const AttemptRunnerOptions &options, SlotQueue &queue,
                             EndpointClient &client, DecisionLog &log, MetricSink &metrics)
    : m_options(options), m_queue(queue), m_client(client), m_log(log), m_metrics(metrics),
      m_budget(options.budget)
{ }

RequestEnd AttemptRunner::run(const CheckedRequest &request)
{
    std::vector<CompletedAttempt> attempts;
    RequestEnd end = runAttempts(request, attempts);
    if (!attempts.empty()) {
        m_queue.requestEnded(request.service, attempts);
    }
    return end;
}

RequestEnd AttemptRunner::runAttempts(const CheckedRequest &request,
                                      std::vector<CompletedAttempt> &attempts)
{
    m_budget.recordRequest();
    const HttpHeaders headers = forwardedHeaders(request.request);
    SlotRequest slotRequest = slotRequestOf(request);
    bool mayHaveRun = false;
    std::uint32_t busyRefusals = 0;
    for (std::uint32_t number = 1;; ++number) {
        const SteadyTimeMs waitingSince = steadyTimeNow();
        const Result<Slot, SlotRefusal> granted = m_queue.acquire(slotRequest);
        m_metrics.observe(
                "dandelionloom_wait_seconds", metricLabels(slotRequest.plan, slotRequest.service),
                static_cast<double>(steadyTimeNow() - waitingSince) / millisecondsPerSecond);
        if (!isOk(granted)) {
            const std::string &reason = errorOf(granted).reason;
            m_log.write(decisionFor(request, DecisionKind::Shed, reason));
            return {mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun, reason};
        }
        const Slot &slot = valueOf(granted);
        AttemptResult result;
        {
            SlotGuard guard(m_queue, slot);
            result = attempt(request, slot, number, headers);
            guard.setResult(classifyAttempt(result));
        }
        attempts.push_back({slot.instance, classifyAttempt(result)});
        if (result.verdict == AttemptVerdict::Answered) {
            return {RequestOutcome::Done, {}, std::move(result.answer)};
        }
        slotRequest.triedInstances.push_back(slot.instance);
        slotRequest.triedRacks.push_back(slot.rack);
        if (result.verdict == AttemptVerdict::Refused && ++busyRefusals < maxBusyRefusals) {
            continue;
        }
        const bool provablyNotRun = result.verdict != AttemptVerdict::MaybeRun;
        mayHaveRun = mayHaveRun || !provablyNotRun;
        if (!shouldRetry(request, slot, number - busyRefusals, provablyNotRun, result.fault)) {
            const std::string reason = result.verdict == AttemptVerdict::Refused
                    ? "refused-by-endpoint"
                    : std::string(attemptFaultNames.name(result.fault));
            return {mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun, reason};
        }
    }
}

AttemptResult AttemptRunner::attempt(const CheckedRequest &request, const Slot &slot,
                                     std::uint32_t number, const HttpHeaders &headers)
{
    EndpointAttempt attempt;
    attempt.instance = slot.instance;
    attempt.address = slot.address;
    attempt.requestId = request.id;
    attempt.attemptId = request.id + "." + std::to_string(number);
    attempt.method = request.request.method;
    attempt.target = request.request.target;
    attempt.headers = headers;
    attempt.body = request.request.body;
    attempt.deadlineAt = request.deadlineAt;
    attempt.idempotent = request.idempotent;
    Decision decision = decisionFor(request, DecisionKind::Route,
                                    std::string(routingReasonNames.name(slot.reason)));
    decision.attempt = attempt.attemptId;
    decision.endpoint = slot.address;
    decision.instance = slot.instance;
    m_log.write(decision);
    const SteadyTimeMs startedAt = steadyTimeNow();
    AttemptResult result = m_client.run(attempt);
    m_metrics.observe("dandelionloom_run_seconds",
                      metricLabels(request.request.plan, request.service),
                      static_cast<double>(steadyTimeNow() - startedAt) / millisecondsPerSecond);
    if (isDiscardedResponse(result.fault)) {
        m_metrics.count("dandelionloom_dropped_answers_total",
                        metricLabels(request.request.plan, request.service) + ",reason=\""
                                + std::string(attemptFaultNames.name(result.fault)) + "\"",
                        1);
    }
    return result;
}

bool AttemptRunner::shouldRetry(const CheckedRequest &request, const Slot &slot,
                                std::uint32_t attempts, bool provablyNotRun, AttemptFault fault)
{
    RetryFacts facts;
    facts.idempotent = request.idempotent;
    facts.provablyNotRun = provablyNotRun;
    facts.attempts = attempts;
    facts.maxAttempts = m_options.maxAttempts;
    facts.timeLeft = Milliseconds(request.deadlineAt - steadyTimeNow());
    facts.budgetLeft = m_budget.hasToken();
    RetryDecision decision = decideRetry(facts);
    if (decision.retry && !m_budget.trySpend()) {
        decision = {false, RetryReason::BudgetSpent};
    }
    Decision record = decisionFor(request, DecisionKind::Retry,
                                  std::string(retryReasonNames.name(decision.reason)) + " after "
                                          + std::string(attemptFaultNames.name(fault)));
    record.attempt = request.id + "." + std::to_string(attempts);
    record.endpoint = slot.address;
    record.instance = slot.instance;
    m_log.write(record);
    if (decision.retry) {
        m_metrics.count("dandelionloom_retries_total",
                        metricLabels(request.request.plan, request.service), 1);
    }
    return decision.retry;
}

} // namespace dandelionloom

#include "Runtime/Gateway.h"

#include <exception>
#include <utility>

namespace dandelionloom {

namespace {

/// Service label in the metrics of requests that were refused before their service was known.
constexpr const char *noService = "none";

int statusOf(const RequestEnd &end)
{
    if (end.answer.status != 0) {
        return end.answer.status;
    }
    switch (end.outcome) {
    case RequestOutcome::Unknown:
        return 504;
    case RequestOutcome::InProgress:
        return 409;
    default:
        return 503;
    }
}

} // namespace

Gateway::Gateway(GatewayOptions options, ReplicatedLog &log, AttemptRunner &runner,
                 KeyedRequests &keyedRequests, DecisionLog &decisions, MetricSink &metrics)
    : m_options(std::move(options)), m_log(log), m_runner(runner), m_keyedRequests(keyedRequests),
      m_decisions(decisions), m_metrics(metrics)
{ }

HttpResponse Gateway::serve(CallerRequest request)
{
    const std::string id = newRequestId();
    const std::string plan = request.plan;
    const ListsFreshness freshness = listsFreshness();
    if (freshness == ListsFreshness::NeverConfirmed) {
        const RequestEnd refused{RequestOutcome::NotRun, "lists-never-confirmed"};
        recordRefusal(id, plan, refused);
        return answerFrom(refused, id, freshness);
    }
    Result<CheckedRequest, RequestEnd> checked =
            checkRequest(std::move(request), id, *m_log.state().lists());
    if (!isOk(checked)) {
        recordRefusal(id, plan, errorOf(checked));
        return answerFrom(errorOf(checked), id, freshness);
    }
    const CheckedRequest &checkedRequest = valueOf(checked);
    RequestEnd end;
    try {
        end = run(checkedRequest, freshness);
    } catch (const std::exception &exception) {
        // An attempt may have been sent before the exception, so the outcome is unknown.
        m_decisions.event(LogSeverity::Error, "gateway", "request " + id + ": " + exception.what());
        end = {RequestOutcome::Unknown, "gateway-fault"};
    }
    count(plan, checkedRequest.service, end.outcome);
    return answerFrom(std::move(end), id, freshness);
}

void Gateway::recordRefusal(const std::string &id, const std::string &plan, const RequestEnd &end)
{
    count(plan, noService, RequestOutcome::NotRun);
    Decision decision;
    decision.kind = DecisionKind::Shed;
    decision.request = id;
    decision.plan = plan;
    decision.reason = end.reason;
    decision.listsRevision = m_log.state().lists()->revision;
    m_decisions.write(decision);
}

HttpResponse Gateway::refuse(int status, const std::string &reason)
{
    m_metrics.count("dandelionloom_bad_requests_total", "reason=\"" + reason + "\"", 1);
    return answerFrom(refusedEnd(status, reason), newRequestId(), ListsFreshness::Fresh);
}

RequestEnd Gateway::run(const CheckedRequest &request, ListsFreshness freshness)
{
    // Another gateway with newer lists and claims may be serving the same plan, so a
    // non-idempotent request could run twice.
    if (freshness == ListsFreshness::Stale && !request.idempotent) {
        return {RequestOutcome::NotRun, "lists-stale"};
    }
    return request.key.empty() ? m_runner.run(request) : m_keyedRequests.run(request);
}

Gateway::ListsFreshness Gateway::listsFreshness()
{
    const LogStatus status = m_log.status();
    if (status.ready) {
        m_everReady = true;
    }
    if (!m_everReady) {
        return ListsFreshness::NeverConfirmed;
    }
    const bool stale = !status.ready || status.quorumContactAgeMs < 0
            || status.quorumContactAgeMs > m_options.listsLease.count();
    if (m_wasStale.exchange(stale) != stale) {
        Decision decision;
        decision.kind = DecisionKind::Lease;
        decision.reason = stale ? "lists-lease-ended" : "lists-lease-renewed";
        decision.listsRevision = m_log.state().lists()->revision;
        m_decisions.write(decision);
    }
    return stale ? ListsFreshness::Stale : ListsFreshness::Fresh;
}

std::string Gateway::newRequestId()
{
    return m_options.identity.name + "-" + std::to_string(m_options.identity.incarnation) + "-"
            + std::to_string(m_nextRequestNumber++);
}

HttpResponse Gateway::answerFrom(RequestEnd end, const std::string &id,
                                 ListsFreshness freshness) const
{
    HttpResponse answer;
    answer.status = statusOf(end);
    if (end.outcome == RequestOutcome::Done) {
        answer.headers = std::move(end.answer.headers);
        answer.body = std::move(end.answer.body);
        for (const char *name : {headerNames::outcome, headerNames::requestId, headerNames::lists,
                                 headerNames::reason, headerNames::attemptId}) {
            removeHeader(answer.headers, name);
        }
    } else {
        const std::string outcome(requestOutcomeNames.name(end.outcome));
        answer.headers.emplace_back("Content-Type", "application/json");
        answer.body = R"({"outcome":")" + outcome + R"(","reason":")" + end.reason + R"("})";
        if (answer.status == 503 || answer.status == 409) {
            answer.headers.emplace_back("Retry-After", std::to_string(m_options.retryAfterSeconds));
        }
    }
    answer.headers.emplace_back(headerNames::outcome, requestOutcomeNames.name(end.outcome));
    answer.headers.emplace_back(headerNames::requestId, id);
    if (!end.reason.empty()) {
        answer.headers.emplace_back(headerNames::reason, end.reason);
    }
    if (freshness == ListsFreshness::Stale) {
        answer.headers.emplace_back(headerNames::lists, "stale");
    }
    return answer;
}

void Gateway::count(const std::string &plan, const std::string &service, RequestOutcome outcome)
{
    m_metrics.count("dandelionloom_requests_total",
                    metricLabels(plan, service) + ",outcome=\""
                            + std::string(requestOutcomeNames.name(outcome)) + "\"",
                    1);
}

} // namespace dandelionloom

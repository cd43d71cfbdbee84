#include "Runtime/KeyedRequests.h"

#include <algorithm>
#include <utility>

namespace dandelionloom {

namespace {

/// How long a not-run answer is delayed for the commit of its settlement, so that an immediate
/// resend finds the key free.
constexpr Milliseconds notRunSettleWait{500};

/// How long an answer is delayed for the commit of its settlement. A done answer leaves once a
/// resend finds it at every gateway, or, without a quorum, after half of the time that its caller
/// still waits: an answer that a resend may not confirm is better than none.
Milliseconds settleWait(const RequestEnd &end, SteadyTimeMs deadlineAt)
{
    switch (end.outcome) {
    case RequestOutcome::Done:
        return Milliseconds(std::max<SteadyTimeMs>(deadlineAt - steadyTimeNow(), 0) / 2);
    case RequestOutcome::NotRun:
        return notRunSettleWait;
    default:
        return Milliseconds(0);
    }
}

RequestEnd replayedEnd(const RequestClaim &claim)
{
    RequestEnd end;
    end.outcome = RequestOutcome::Done;
    end.reason = claim.bodyKept ? "replayed" : "replayed-body-not-kept";
    end.answer.status = static_cast<int>(claim.status);
    if (!claim.contentType.empty()) {
        end.answer.headers.emplace_back("Content-Type", claim.contentType);
    }
    end.answer.body = claim.body;
    return end;
}

} // namespace

RequestEnd resultOfClaim(const RequestClaim &claim, const GatewayIdentity &reader,
                         const IsGatewayGone &isGone, WallTimeMs now)
{
    switch (claim.state) {
    case ClaimState::Done:
        return replayedEnd(claim);
    case ClaimState::NotRun:
        return {RequestOutcome::NotRun, "not-run-before"};
    case ClaimState::Unknown:
        return {RequestOutcome::Unknown, "unknown-before"};
    case ClaimState::Claimed:
        break;
    }
    if (now >= claim.deadlineAtMs) {
        return {RequestOutcome::Unknown, "claim-past-deadline"};
    }
    const bool ownEarlierProcess =
            claim.gateway == reader.name && claim.gatewayIncarnation != reader.incarnation;
    if (ownEarlierProcess || (isGone && isGone(claim.gateway, claim.gatewayIncarnation))) {
        return {RequestOutcome::Unknown, "claimed-by-ended-process"};
    }
    return {RequestOutcome::InProgress, "claimed"};
}

RequestClaim settledClaim(const RequestClaim &claim, const RequestEnd &end)
{
    RequestClaim settled = claim;
    switch (end.outcome) {
    case RequestOutcome::Done:
        settled.state = ClaimState::Done;
        settled.status = static_cast<std::uint32_t>(end.answer.status);
        settled.contentType = headerValue(end.answer.headers, "Content-Type").value_or("");
        settled.bodyKept = end.answer.body.size() <= maxStoredBodyBytes;
        settled.body = settled.bodyKept ? end.answer.body : "";
        break;
    case RequestOutcome::NotRun:
        settled.state = ClaimState::NotRun;
        break;
    default:
        settled.state = ClaimState::Unknown;
        break;
    }
    return settled;
}

KeyedRequests::KeyedRequests(GatewayIdentity identity, IsGatewayGone isGone, ClaimBatcher &claims,
                             SettleQueue &settlements, AttemptRunner &runner, DecisionLog &log)
    : m_identity(std::move(identity)), m_isGone(std::move(isGone)), m_claims(claims),
      m_settlements(settlements), m_runner(runner), m_log(log)
{ }

RequestEnd KeyedRequests::run(const CheckedRequest &request)
{
    RequestClaim newClaim;
    newClaim.plan = request.request.plan;
    newClaim.key = request.key;
    newClaim.digest = requestDigest(request.request);
    newClaim.gateway = m_identity.name;
    newClaim.gatewayIncarnation = m_identity.incarnation;
    newClaim.deadlineAtMs = wallTimeNow() + (request.deadlineAt - steadyTimeNow());
    newClaim.requestId = request.id;
    const auto claimed = m_claims.claim(std::move(newClaim), request.deadlineAt);
    if (!isOk(claimed)) {
        logClaimDecision(request, errorOf(claimed).reason);
        return {RequestOutcome::NotRun, errorOf(claimed).reason};
    }
    const ClaimResponse &answer = valueOf(claimed);
    logClaimDecision(request, std::string(claimVerdictNames.name(answer.verdict)));
    switch (answer.verdict) {
    case ClaimVerdict::Granted:
        return runClaimed(request, answer.claim);
    case ClaimVerdict::Exists:
        return resultOfClaim(answer.claim, m_identity, m_isGone, wallTimeNow());
    case ClaimVerdict::KeyReused:
        return refusedEnd(422, "key-reused-with-other-request");
    case ClaimVerdict::Full:
        break;
    }
    return {RequestOutcome::NotRun, "claim-table-full"};
}

RequestEnd KeyedRequests::runClaimed(const CheckedRequest &request, const RequestClaim &claim)
{
    RequestEnd end = m_runner.run(request);
    m_settlements.settle(settledClaim(claim, end), settleWait(end, request.deadlineAt));
    return end;
}

void KeyedRequests::logClaimDecision(const CheckedRequest &request, const std::string &reason)
{
    Decision decision;
    decision.kind = DecisionKind::Claim;
    decision.request = request.id;
    decision.plan = request.request.plan;
    decision.service = request.service;
    decision.reason = reason;
    decision.listsRevision = request.listsRevision;
    m_log.write(decision);
}

} // namespace dandelionloom

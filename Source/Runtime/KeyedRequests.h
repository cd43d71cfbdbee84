#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Model/Claims.h"
#include "Ports/DecisionLog.h"
#include "Runtime/AttemptRunner.h"
#include "Runtime/ClaimBatcher.h"
#include "Runtime/RequestChecks.h"
#include "Runtime/RequestOutcome.h"
#include "Runtime/SettleQueue.h"

namespace dandelionloom {

/// Answer bodies up to this size are stored with the outcome and replayed. With 100,000 claims most
/// bodies must be far smaller than this to fit the memory of an instance.
inline constexpr std::size_t maxStoredBodyBytes = 16 * 1024;

/// A gateway process, as recorded in the claims that it makes.
struct GatewayIdentity
{
    std::string name;
    /// Increases with every start of the process.
    std::uint64_t incarnation = 0;
};

/// True if the gateway process with this name and incarnation is known to have ended.
using IsGatewayGone = std::function<bool(const std::string &name, std::uint64_t incarnation)>;

/// Result for a resend, read from the claim of the earlier request with the same key and digest. A
/// claim whose deadline has passed or whose process has ended gives Unknown.
RequestEnd resultOfClaim(const RequestClaim &claim, const GatewayIdentity &reader,
                         const IsGatewayGone &isGone, WallTimeMs now);

/// The claim with the outcome and stored answer of its finished request.
RequestClaim settledClaim(const RequestClaim &claim, const RequestEnd &end);

/// Runs non-idempotent requests with an idempotency key at most once: a request is sent only after
/// its claim is committed to the log.
class KeyedRequests
{
public:
    KeyedRequests(GatewayIdentity identity, IsGatewayGone isGone, ClaimBatcher &claims,
                  SettleQueue &settlements, AttemptRunner &runner, DecisionLog &log);

    RequestEnd run(const CheckedRequest &request);

private:
    RequestEnd runClaimed(const CheckedRequest &request, const RequestClaim &claim);
    void logClaimDecision(const CheckedRequest &request, const std::string &reason);

    const GatewayIdentity m_identity;
    const IsGatewayGone m_isGone;
    ClaimBatcher &m_claims;
    SettleQueue &m_settlements;
    AttemptRunner &m_runner;
    DecisionLog &m_log;
};

} // namespace dandelionloom

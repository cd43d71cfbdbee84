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

/// Bodies up to this size are stored with the outcome and replayed: at 100,000 claims most bodies
/// must be far smaller to fit a node's memory.
inline constexpr std::size_t keptBodyBytes = 16 * 1024;

/// The process that reads or makes claims.
struct GatewayIdentity
{
    std::string name;
    /// Grows with every start of the process.
    std::uint64_t incarnation = 0;
};

/// True if a process that made a claim is known to have ended.
using GatewayGone = std::function<bool(const std::string &name, std::uint64_t incarnation)>;

/// What the claim of an earlier request with the same key and digest says of it.
RequestEnd readClaim(const RequestClaim &claim, const GatewayIdentity &reader,
                     const GatewayGone &isGone, WallTimeMs now);

/// The claim as its request left it.
RequestClaim settledClaim(const RequestClaim &claim, const RequestEnd &end);

/// Runs non-idempotent requests with a key at most once.
class KeyedRequests
{
public:
    KeyedRequests(GatewayIdentity identity, GatewayGone isGone, ClaimBatcher &claims,
                  SettleQueue &settlements, AttemptRunner &runner, DecisionLog &log);

    RequestEnd run(const CheckedRequest &request);

private:
    RequestEnd runClaimed(const CheckedRequest &request, const RequestClaim &claim);
    void writeLine(const CheckedRequest &request, const std::string &reason);

    const GatewayIdentity m_identity;
    const GatewayGone m_isGone;
    ClaimBatcher &m_claims;
    SettleQueue &m_settlements;
    AttemptRunner &m_runner;
    DecisionLog &m_log;
};

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "Model/EnumNames.h"

namespace dandelionloom {

/// State of a non-idempotent request with an idempotency key. Claimed: the request is in progress
/// or its outcome is unknown. NotRun: the request did not run and may be claimed again. Done and
/// Unknown are final.
enum class ClaimState { Claimed, Done, NotRun, Unknown };
inline constexpr EnumNames<ClaimState, 4> claimStateNames{
        {"claimed", "done", "not-run", "unknown"}};

struct RequestClaim
{
    std::string plan;
    std::string key;
    /// Digest of method, path and body. A retry with the same key must match it.
    std::string digest;
    /// Entry instance that runs the request, and its process incarnation.
    std::string gateway;
    std::uint64_t gatewayIncarnation = 0;
    std::int64_t claimedAtMs = 0;
    std::int64_t deadlineAtMs = 0;
    ClaimState state = ClaimState::Claimed;
    /// Stored response of a Done request. `bodyKept` is false if the body exceeded the size limit.
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = false;
    /// Id of the request that made the claim. A settlement must carry the same id.
    std::string requestId;

    bool operator==(const RequestClaim &) const = default;
    MSGPACK_DEFINE_ARRAY(plan, key, digest, gateway, gatewayIncarnation, claimedAtMs, deadlineAtMs,
                         state, status, contentType, body, bodyKept, requestId)
};

/// Result of an attempt to claim a request.
enum class ClaimVerdict {
    /// The claimant owns the request and may send it.
    Granted,
    /// A claim with the same digest exists already; its state gives the outcome.
    Exists,
    /// The key was used before with another digest.
    KeyReused,
    /// The claim table is full. The request was not run.
    Full
};
inline constexpr EnumNames<ClaimVerdict, 4> claimVerdictNames{
        {"granted", "exists", "key-reused", "full"}};

struct ClaimResponse
{
    ClaimVerdict verdict = ClaimVerdict::Full;
    RequestClaim claim;

    MSGPACK_DEFINE_ARRAY(verdict, claim)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::ClaimState)
MSGPACK_ADD_ENUM(dandelionloom::ClaimVerdict)

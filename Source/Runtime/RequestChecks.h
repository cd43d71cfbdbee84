#pragma once

#include <string>
#include <variant>

#include "Model/Lists.h"
#include "Model/Result.h"
#include "Ports/Handlers.h"
#include "Runtime/RequestOutcome.h"

namespace dandelionloom {

/// A caller's request that passed the checks, with the values derived from its head and the lists.
struct CheckedRequest
{
    CallerRequest request;
    std::string id;
    std::string service;
    bool idempotent = false;
    /// Idempotency key; empty if there is none. Ignored for idempotent methods, which need no
    /// claim.
    std::string key;
    /// On this process's monotonic clock.
    SteadyTimeMs deadlineAt = 0;
    std::uint64_t listsRevision = 0;
};

/// Checks a request against the lists. The error has the outcome NotRun and an HTTP status.
Result<CheckedRequest, RequestEnd> checkRequest(CallerRequest request, std::string id,
                                                const Lists &lists);

/// Digest of method, target and body, in hexadecimal: 128 bits of XXH3.
std::string requestDigest(const CallerRequest &request);

/// Header fields to forward to an endpoint: the end-to-end fields without the caller's credentials
/// and without the fields that the gateway sets itself.
HttpHeaders forwardedHeaders(const CallerRequest &request);

} // namespace dandelionloom

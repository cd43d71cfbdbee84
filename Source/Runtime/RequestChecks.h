#pragma once

#include <string>
#include <variant>

#include "Model/Lists.h"
#include "Model/Result.h"
#include "Ports/Handlers.h"
#include "Runtime/RequestOutcome.h"

namespace dandelionloom {

/// A caller's request with all that its head and the lists say of it.
struct CheckedRequest
{
    CallerRequest request;
    std::string id;
    std::string service;
    bool idempotent = false;
    /// Empty without one. Idempotent requests have none.
    std::string key;
    /// On this process's monotonic clock.
    SteadyTimeMs deadlineAt = 0;
    std::uint64_t listsRevision = 0;
};

/// Checks a request against the lists. The error is a not-run end with its status.
Result<CheckedRequest, RequestEnd> checkRequest(CallerRequest request, std::string id,
                                                const Lists &lists);

/// Digest of method, target and body, in hexadecimal: 128 bits of XXH3.
std::string requestDigest(const CallerRequest &request);

/// Header fields that an endpoint gets: end-to-end ones without credentials and the fields that
/// the gateway writes itself.
HttpHeaders forwardedHeaders(const CallerRequest &request);

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Http/OperatorApi.h"

namespace dandelionloom {

// Responses of the administration API. Every response to a change has the header
// Dandelionloom-Outcome with the value done, not-run or unknown.

/// Error response for a request that changed nothing. The outcome is not-run.
OperatorResponse errorResponse(int status, const std::string &message,
                               const std::vector<std::string> &faults = {},
                               std::optional<std::uint64_t> foundRevision = std::nullopt);

OperatorResponse methodNotAllowed(const std::string &allowed, const std::string &found);

/// Error response for a command that was not committed, or whose outcome is unknown.
OperatorResponse logErrorResponse(const LogError &error);

/// Response with `status` and a JSON body.
OperatorResponse jsonResponse(int status, std::string body);

/// Error response if the Dandelionloom-Change-Id header is missing or invalid.
std::optional<OperatorResponse> checkChangeId(const std::string &changeId);

/// Entity tag of a list revision, with quotes.
std::string entityTag(std::uint64_t revision);

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Http/OperatorApi.h"

namespace dandelionloom {

// Responses of the administration API. Every response to a change has the header
// Dandelionloom-Outcome: done, not-run or unknown.

/// An error with its JSON body. The request changed nothing.
OperatorResponse errorResponse(int status, const std::string &message,
                               const std::vector<std::string> &faults = {},
                               std::optional<std::uint64_t> foundRevision = std::nullopt);

OperatorResponse methodNotAllowed(const std::string &allowed, const std::string &found);

/// A command that the replicated log could not order.
OperatorResponse logErrorResponse(const LogError &error);

/// `status` with a JSON body.
OperatorResponse jsonResponse(int status, std::string body);

/// The fault of a Dandelionloom-Change-Id header, if any.
std::optional<OperatorResponse> changeIdFault(const std::string &changeId);

/// The tag of a list revision, with its quotes.
std::string entityTag(std::uint64_t revision);

} // namespace dandelionloom

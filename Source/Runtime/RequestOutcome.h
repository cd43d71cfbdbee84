#pragma once

#include <string>

#include "Model/EnumNames.h"
#include "Model/HttpMessage.h"

namespace dandelionloom {

/// What a caller is told about its request.
enum class RequestOutcome { Done, NotRun, Unknown, InProgress };
inline constexpr EnumNames<RequestOutcome, 4> requestOutcomeNames{
        {"done", "not-run", "unknown", "in-progress"}};

/// End of a request.
struct RequestEnd
{
    RequestOutcome outcome = RequestOutcome::NotRun;
    /// Why it is not done; empty for Done.
    std::string reason;
    /// The endpoint's answer, for Done. For the others only its status is used, if not 0.
    HttpAnswer answer{0, {}, {}};
};

/// The end of a request that was refused with a status of its own.
inline RequestEnd refusedEnd(int status, std::string reason)
{
    return {RequestOutcome::NotRun, std::move(reason), {status, {}, {}}};
}

} // namespace dandelionloom

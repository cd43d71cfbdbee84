#pragma once

#include <string>

#include "Model/EnumNames.h"
#include "Model/HttpMessage.h"

namespace dandelionloom {

/// Outcome of a request as reported to its caller.
enum class RequestOutcome { Done, NotRun, Unknown, InProgress };
inline constexpr EnumNames<RequestOutcome, 4> requestOutcomeNames{
        {"done", "not-run", "unknown", "in-progress"}};

/// How a request ended.
struct RequestEnd
{
    RequestOutcome outcome = RequestOutcome::NotRun;
    /// Why the outcome is not Done. For Done it is empty, or tells that a stored answer was
    /// replayed.
    std::string reason;
    /// The endpoint's answer, for Done. Otherwise only a status other than 0 is used; 0 stands for
    /// the default status of the outcome.
    HttpResponse answer{0, {}, {}};
};

/// The end of a request that the gateway refused with this HTTP status.
inline RequestEnd refusedEnd(int status, std::string reason)
{
    return {RequestOutcome::NotRun, std::move(reason), {status, {}, {}}};
}

} // namespace dandelionloom

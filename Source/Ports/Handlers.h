#pragma once

#include <string>

#include "Model/Endpoint.h"
#include "Model/HttpMessage.h"
#include "Model/Time.h"

namespace dandelionloom {

/// An authenticated request of a caller, read to its end.
struct CallerRequest
{
    std::string plan;
    std::string method;
    /// Path and query as sent.
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// When the body was complete, on this process's monotonic clock.
    SteadyTimeMs receivedAt = 0;
};

/// Serves callers. Called by many threads at once; serve() blocks until the answer is known.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;

    virtual HttpAnswer serve(CallerRequest request) = 0;
    /// Answer to a request that failed before it could be served: not run, for `reason`.
    virtual HttpAnswer refuse(int status, const std::string &reason) = 0;
};

/// What an endpoint is told about its announcement.
struct AnnouncementAnswer
{
    bool accepted = false;
    /// Name of the verdict.
    std::string verdict;
    Milliseconds lease{0};
    /// Agreed pool of the instance; the announced service while there is no agreed record.
    std::string pool;
};

/// Takes announcements of endpoints. Thread-safe, doesn't block.
class AnnouncementHandler
{
public:
    virtual ~AnnouncementHandler() = default;

    virtual AnnouncementAnswer announce(const Announcement &announcement) = 0;
};

} // namespace dandelionloom

#pragma once

#include <string>

#include "Model/Endpoint.h"
#include "Model/HttpMessage.h"
#include "Model/Time.h"

namespace dandelionloom {

/// A complete authenticated request of a caller.
struct CallerRequest
{
    std::string plan;
    std::string method;
    /// Path and query as sent.
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// Time at which the body was complete, on this process's monotonic clock.
    SteadyTimeMs receivedAt = 0;
};

/// Serves requests of callers. Thread-safe; serve() blocks until the response is available.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;

    virtual HttpResponse serve(CallerRequest request) = 0;
    /// Response to a request that was rejected before it was served. Its outcome is "not run", with
    /// `reason`.
    virtual HttpResponse refuse(int status, const std::string &reason) = 0;
};

/// Response to an endpoint's announcement.
struct AnnouncementResponse
{
    bool accepted = false;
    /// Name of the verdict.
    std::string verdict;
    Milliseconds lease{0};
    /// Pool of the instance in its replicated record; the announced service if there is no record.
    std::string pool;
};

/// Receives announcements of endpoints. Thread-safe and non-blocking.
class AnnouncementHandler
{
public:
    virtual ~AnnouncementHandler() = default;

    virtual AnnouncementResponse announce(const Announcement &announcement) = 0;
};

} // namespace dandelionloom

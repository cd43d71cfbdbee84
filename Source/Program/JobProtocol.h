#pragma once

#include <cstdint>
#include <variant>

#include "Adapters/Http/EventedHttpServer.h"
#include "Runtime/JobCalls.h"

namespace dandelionloom {

/// A call and the time limit of its sender.
struct TimedJobCall
{
    JobCall call;
    std::int64_t callTimeoutMs = 0;
};

/// An HTTP API for external callers: decodes requests into calls and encodes the responses.
/// Implementations only map names and formats.
class JobProtocol
{
public:
    virtual ~JobProtocol() = default;

    /// The call, or the response to an invalid request.
    virtual std::variant<TimedJobCall, HttpResponse> decode(const HttpRequest &request) = 0;
    virtual HttpResponse encode(const JobCall &call, const JobCallAnswer &answer) = 0;
};

} // namespace dandelionloom

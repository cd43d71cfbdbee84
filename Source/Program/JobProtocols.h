#pragma once

#include <cstdint>
#include <variant>

#include "Adapters/Http/EventedHttpServer.h"
#include "Runtime/JobCalls.h"

namespace dandelionloom {

/// A call with the time that its sender waits.
struct TimedJobCall
{
    JobCall call;
    std::int64_t waitMs = 0;
};

/// How outside callers speak: decodes requests into calls and encodes the answers. Implementations
/// hold names and formats only.
class JobProtocol
{
public:
    virtual ~JobProtocol() = default;

    /// The call, or the answer to a request that is none.
    virtual std::variant<TimedJobCall, HttpResponse> decode(const HttpRequest &request) = 0;
    virtual HttpResponse encode(const JobCall &call, const JobCallAnswer &answer) = 0;
    /// Tells the protocol where the leader is, for answers that name it; empty if unknown.
    virtual void setLeader(const std::string &name) = 0;
};

} // namespace dandelionloom

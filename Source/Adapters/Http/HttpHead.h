#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "Adapters/Http/ByteReader.h"
#include "Adapters/Http/HttpLimits.h"
#include "Model/HttpMessage.h"
#include "Model/Result.h"

namespace dandelionloom {

/// Request line and header fields of a request.
struct HttpHead
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    HttpHeaders headers;
    /// Length of the body; empty for a chunked one.
    std::optional<std::size_t> contentLength = 0;
    bool keepAlive = true;
    bool expectsContinue = false;

    /// Request target without its query.
    std::string path() const { return target.substr(0, target.find('?')); }
};

/// Why a request is rejected. The connection is closed after the response.
struct HttpRequestError
{
    /// 0 to close without a response.
    int status = 400;
    std::string reason;
};

/// Reads and validates a request head. Stricter than POCO's parser, which accepts bare line feeds,
/// folded fields, and Content-Length next to Transfer-Encoding: these allow request smuggling, as
/// other HTTP implementations could delimit the requests of the connection differently.
Result<HttpHead, HttpRequestError> readHead(ByteReader &reader, const HttpLimits &limits);

/// Reads the body with the framing that the head specifies.
Result<std::string, HttpRequestError> readBody(ByteReader &reader, const HttpHead &head,
                                               const HttpLimits &limits);

} // namespace dandelionloom

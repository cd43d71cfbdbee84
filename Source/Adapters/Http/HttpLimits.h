#pragma once

#include <cstddef>
#include <string>

#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Limits of one HTTP listener.
struct HttpLimits
{
    std::size_t maxRequestLineBytes = 8192;
    /// All header lines together.
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxHeaderCount = 100;
    std::size_t maxBodyBytes = 1024 * 1024;
    /// From the first byte of a request to the end of its head. Also bounds the wait for the first
    /// request of a connection.
    Milliseconds headTimeout{10000};
    /// From the end of the head to the end of the body.
    Milliseconds bodyTimeout{30000};
    /// For the client to receive the response.
    Milliseconds responseSendTimeout{30000};
    /// For the next request on a connection to arrive.
    Milliseconds keepAliveTimeout{15000};
    /// HttpListener uses one thread for each connection.
    std::size_t maxConnections = 512;
    std::size_t maxRequestsPerConnection = 100000;
    /// Bytes of requests and responses that all connections together may hold; 0 for no limit.
    std::size_t maxBufferedBytes = 0;
    /// Buffer sizes that the kernel is asked for on accepted connections of an EventedHttpServer; 0
    /// for the system's default. A platform that refuses them keeps its own.
    std::size_t receiveBufferBytes = 0;
    std::size_t sendBufferBytes = 0;
    /// Receive buffer size from the moment on at which a client sends ahead of its responses; 0 for
    /// no change.
    std::size_t sentAheadBufferBytes = 0;
    /// How long stop() waits for requests in progress.
    Milliseconds stopTimeout{5000};
};

struct HttpLimitsError
{
    /// Names the setting, what was expected and what was found.
    std::string message;
};

Result<Done, HttpLimitsError> validateHttpLimits(const HttpLimits &limits);

} // namespace dandelionloom

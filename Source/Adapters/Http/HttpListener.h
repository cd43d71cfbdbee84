#pragma once

#include <memory>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "Adapters/Http/ConnectionSet.h"
#include "Adapters/Http/HttpHead.h"
#include "Adapters/Http/HttpLimits.h"
#include "Model/HttpMessage.h"
#include "Model/Result.h"

namespace dandelionloom {

/// Handles the requests of a listener. Called by several threads concurrently.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Called before the body is read. Returns the name of the authenticated principal, or an
    /// error response, after which the connection is closed.
    virtual Result<std::string, HttpResponse> authorize(const HttpHead &head) = 0;
    virtual HttpResponse handle(const std::string &principal, HttpHead head, std::string body) = 0;
    /// Builds the response to an invalid request.
    virtual HttpResponse makeErrorResponse(const HttpRequestError &error) = 0;
};

/// HTTP/1.1 server based on Poco::Net::TCPServer. Unlike Poco::Net::HTTPServer, it bounds the total
/// time and size of requests and validates their framing strictly. Uses one thread for each
/// connection. At the limit of connections or of buffered bytes, it closes connections as
/// EventedHttpServer does; a new connection or request gets 503 while requests that are handled
/// take the whole limit.
class HttpListener
{
public:
    /// Listens on `address` ("127.0.0.1:0" selects a free port). Throws Poco::Exception if the
    /// address can't be bound.
    HttpListener(const std::string &address, const HttpLimits &limits, HttpHandler &handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    void start();
    /// Stops accepting connections and closes the open ones: idle ones immediately, the others
    /// after the request in progress. After the stop timeout, incomplete requests and responses
    /// without progress are closed too; requests that are handled still get their response.
    void stop();
    /// IP address and port.
    std::string address() const;

private:
    const HttpLimits m_limits;
    ConnectionSet m_connections;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace dandelionloom

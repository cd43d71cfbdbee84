#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

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

namespace detail {

/// Open connections of a listener. stop() closes them.
class ConnectionSet
{
public:
    /// Returns false if the limit is reached or the listener is stopping.
    bool add(const Poco::Net::StreamSocket &socket, std::size_t limit);
    void remove(const Poco::Net::StreamSocket &socket);
    /// Sets whether the connection is waiting for a request. Returns false if the listener is
    /// stopping.
    bool setIdle(const Poco::Net::StreamSocket &socket, bool idle);
    void stop(Milliseconds limit);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<Poco::Net::StreamSocket> m_sockets;
    std::set<Poco::Net::StreamSocket> m_idle;
    bool m_stopping = false;
};

} // namespace detail

/// HTTP/1.1 server based on Poco::Net::TCPServer. Unlike Poco::Net::HTTPServer, it bounds the total
/// time and size of requests and validates their framing strictly. Uses one thread for each
/// connection.
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
    /// after the request in progress, at the latest after the stop timeout.
    void stop();
    /// IP address and port.
    std::string address() const;

private:
    const HttpLimits m_limits;
    detail::ConnectionSet m_connections;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace dandelionloom

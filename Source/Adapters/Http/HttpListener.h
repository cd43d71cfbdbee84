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

/// What a listener serves. Called by many threads at once.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Decides before the body is read. Gives the name of the authenticated principal, or the
    /// answer that refuses the request, after which the connection is closed.
    virtual Result<std::string, HttpResponse> authorize(const HttpHead &head) = 0;
    virtual HttpResponse answer(const std::string &principal, HttpHead head, std::string body) = 0;
    /// Answer to a request that can't be read.
    virtual HttpResponse faultAnswer(const HttpFault &fault) = 0;
};

namespace detail {

/// Connections of a listener, so that stop() can end them.
class ConnectionSet
{
public:
    /// False if the limit is reached or the listener stops.
    bool add(const Poco::Net::StreamSocket &socket, std::size_t limit);
    void remove(const Poco::Net::StreamSocket &socket);
    /// Marks a connection that waits for a request; false if the listener stops.
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

/// HTTP/1.1 server on POCO's TCP server with the limits that POCO's HTTP server lacks: total times
/// and sizes, and strict framing. One thread serves one connection.
class HttpListener
{
public:
    /// Listens on `address` ("127.0.0.1:0" takes a free port). Throws Poco::Exception if the
    /// address can't be bound.
    HttpListener(const std::string &address, const HttpLimits &limits, HttpHandler &handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    void start();
    /// Accepts no more connections and ends those that are open: idle ones at once, the others
    /// after their request or the stop time.
    void stop();
    /// IP number and port.
    std::string address() const;

private:
    const HttpLimits m_limits;
    detail::ConnectionSet m_connections;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace dandelionloom

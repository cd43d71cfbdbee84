#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Adapters/Http/HttpHead.h"
#include "Adapters/Http/HttpLimits.h"
#include "Adapters/Peers/EventLoop.h"
#include "Model/HttpMessage.h"
#include "Model/Result.h"

namespace dandelionloom {

struct HttpRequest
{
    std::string method;
    /// Request target without its query.
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
};

struct HttpListenError
{
    std::string message;
};

/// HTTP/1.1 server on an event loop. Used on the loop's thread only. A connection takes buffers but
/// no thread; the requests of a connection are handled in sequence.
class EventedHttpServer
{
public:
    /// Sends the response to a request. Called once by the handler or later; a response to a closed
    /// connection is discarded.
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    EventedHttpServer(EventLoop &loop, HttpLimits limits, Handler handler);
    ~EventedHttpServer();
    EventedHttpServer(const EventedHttpServer &) = delete;
    EventedHttpServer &operator=(const EventedHttpServer &) = delete;

    /// Listens on an IP address and port.
    Result<Done, HttpListenError> listen(const std::string &address);
    /// Stops accepting, closes idle connections, and closes the others after their response.
    void drain();
    /// Requests that were read and not answered yet.
    std::size_t pendingRequests() const { return m_pendingRequests; }
    std::uint16_t port() const { return m_port; }

private:
    struct Connection
    {
        int descriptor = -1;
        EventLoop::WatchId watch = 0;
        EventLoop::TimerId timer;
        std::string input;
        std::string output;
        /// Number of the request in progress, counted from 1; 0 between requests.
        std::uint64_t activeRequest = 0;
        std::uint64_t requestCount = 0;
        bool keepAlive = true;
        bool inputEnded = false;
    };

    void acceptConnections();
    void onEvent(std::uint64_t id, std::uint32_t events);
    void readInput(std::uint64_t id);
    void parseInput(std::uint64_t id);
    void sendResponse(std::uint64_t id, std::uint64_t request, const HttpResponse &response);
    void reject(std::uint64_t id, const HttpRequestError &error);
    void flush(std::uint64_t id);
    void armTimer(std::uint64_t id, Milliseconds timeout);
    void close(std::uint64_t id);

    EventLoop &m_loop;
    const HttpLimits m_limits;
    const Handler m_handler;
    /// Respond functions hold a weak pointer to it, to detect that the server was destroyed.
    std::shared_ptr<EventedHttpServer *> m_self;
    int m_listener = -1;
    EventLoop::WatchId m_listenerWatch = 0;
    std::uint16_t m_port = 0;
    bool m_draining = false;
    std::size_t m_pendingRequests = 0;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
};

} // namespace dandelionloom

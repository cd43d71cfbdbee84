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
    /// Target without its query.
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
};

struct HttpListenError
{
    std::string message;
};

/// An HTTP/1.1 listener on an event loop. Used on the loop's thread only. One connection costs its
/// buffers and no thread; requests of one connection are answered one after the other.
class EventedHttpServer
{
public:
    /// Calls its argument once, now or later. Answers to connections that ended are dropped.
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    EventedHttpServer(EventLoop &loop, HttpLimits limits, Handler handler);
    ~EventedHttpServer();
    EventedHttpServer(const EventedHttpServer &) = delete;
    EventedHttpServer &operator=(const EventedHttpServer &) = delete;

    /// Listens on an IP number and port.
    Result<Done, HttpListenError> listen(const std::string &address);
    /// Stops accepting, closes idle connections, and closes the others after their answer.
    void drain();
    /// Requests that were read and not answered yet.
    std::size_t pendingRequests() const { return m_pending; }
    std::uint16_t port() const { return m_port; }

private:
    struct Connection
    {
        int descriptor = -1;
        EventLoop::WatchId watch = 0;
        EventLoop::TimerId timer;
        std::string input;
        std::string output;
        /// Number of the request that is being handled, counted from 1; 0 between requests.
        std::uint64_t handling = 0;
        std::uint64_t requests = 0;
        bool keepAlive = true;
        bool inputEnded = false;
    };

    void acceptAll();
    void onEvent(std::uint64_t id, std::uint32_t events);
    void readInput(std::uint64_t id);
    void parse(std::uint64_t id);
    void answer(std::uint64_t id, std::uint64_t request, const HttpResponse &answer);
    void refuse(std::uint64_t id, const HttpFault &fault);
    void flush(std::uint64_t id);
    void armTimer(std::uint64_t id, Milliseconds time);
    void close(std::uint64_t id);

    EventLoop &m_loop;
    const HttpLimits m_limits;
    const Handler m_handler;
    /// Answers hold it weakly, to learn that the server has ended.
    std::shared_ptr<EventedHttpServer *> m_alive;
    int m_listener = -1;
    EventLoop::WatchId m_listenerWatch = 0;
    std::uint16_t m_port = 0;
    bool m_draining = false;
    std::size_t m_pending = 0;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
};

} // namespace dandelionloom

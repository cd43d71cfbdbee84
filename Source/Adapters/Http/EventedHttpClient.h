#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Adapters/Http/IdleConnections.h"
#include "Adapters/Peers/EventLoop.h"
#include "Model/HttpMessage.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class HttpCallErrorKind {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been carried out.
    NoAnswer
};

struct HttpCallError
{
    HttpCallErrorKind kind = HttpCallErrorKind::NotSent;
    std::string message;
};

struct HttpCall
{
    /// IP address and port.
    std::string address;
    std::string method = "POST";
    std::string path;
    /// The Host field is added with the address if it is missing.
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout{1000};
    /// Time after which the call is not sent any more but ends as not sent; 0 for none. For calls
    /// that need a permission which runs out.
    SteadyTimeMs sendUntil = 0;
};

struct HttpClientLimits
{
    /// Limit for each address. A long poll occupies a connection until it is answered.
    std::size_t maxConnectionsPerAddress = 4;
    std::size_t maxResponseBytes = 4 * 1024 * 1024;
};

/// HTTP/1.1 client with persistent connections on an event loop. Used on the loop's thread only.
/// Never retries a call: that is the caller's decision.
class EventedHttpClient
{
public:
    using Result = dandelionloom::Result<HttpResponse, HttpCallError>;
    using Callback = std::function<void(Result)>;

    /// Clients of one process should share `idleConnections`: each of them can then use the
    /// descriptors that the others do not need.
    EventedHttpClient(
            EventLoop &loop, HttpClientLimits limits,
            std::shared_ptr<IdleConnections> idleConnections = std::make_shared<IdleConnections>());
    ~EventedHttpClient();
    EventedHttpClient(const EventedHttpClient &) = delete;
    EventedHttpClient &operator=(const EventedHttpClient &) = delete;

    /// Invokes `callback` exactly once, unless the client is destroyed first. Calls above the
    /// connection limit wait for a free connection until their timeout.
    void call(HttpCall call, Callback callback);
    /// Closes the idle connections to an address.
    void closeConnectionsTo(const std::string &address);
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    struct Pending
    {
        HttpCall call;
        Callback callback;
        EventLoop::TimerId timer;
        /// Connection that makes the call; 0 while the call waits for one.
        std::uint64_t connection = 0;
    };
    struct Connection
    {
        std::string address;
        int descriptor = -1;
        EventLoop::WatchId watch = 0;
        bool connected = false;
        std::string output;
        std::string input;
        bool anySent = false;
        /// Id of the call in progress; 0 when idle.
        std::uint64_t call = 0;
        /// 0 while a call is in progress.
        IdleConnections::Ticket idleTicket = 0;
    };
    struct ConnectionPool
    {
        std::deque<std::uint64_t> idle;
        std::deque<std::uint64_t> waiting;
        std::size_t openConnections = 0;
    };

    bool isTooLate(std::uint64_t call) const;
    void dispatchWaiting(const std::string &address);
    bool openConnection(const std::string &address);
    void addIdle(std::uint64_t connection);
    void assignCall(std::uint64_t connection, std::uint64_t call);
    void onEvent(std::uint64_t connection, std::uint32_t events);
    void sendRequest(std::uint64_t connection);
    void receiveResponse(std::uint64_t connection);
    void onTimeout(std::uint64_t call);
    void completeCall(std::uint64_t call, Result result);
    void closeConnection(std::uint64_t connection, const std::string &reason);

    EventLoop &m_loop;
    const HttpClientLimits m_limits;
    const std::shared_ptr<IdleConnections> m_idleConnections;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_connectionsOpened = 0;
    std::map<std::uint64_t, Pending> m_calls;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<std::string, ConnectionPool> m_pools;
};

} // namespace dandelionloom

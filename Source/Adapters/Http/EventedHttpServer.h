#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Adapters/Http/ConnectionPressure.h"
#include "Adapters/Http/HttpLimits.h"
#include "Adapters/Http/HttpRequestParser.h"
#include "Adapters/Peers/EventLoop.h"
#include "Model/EnumNames.h"
#include "Model/HttpMessage.h"
#include "Model/Result.h"

namespace dandelionloom {

struct HttpListenError
{
    std::string message;
};

/// Why the server closed a connection before its client did, or did not accept it.
enum class ConnectionCloseReason {
    /// A request did not arrive in time.
    RequestTimeout,
    /// The client did not take a response in time.
    ResponseTimeout,
    /// The limit of connections was reached.
    ConnectionLimit,
    /// The limit of buffered bytes was reached.
    BufferLimit,
    /// The process has no free descriptors.
    DescriptorLimit
};
inline constexpr EnumNames<ConnectionCloseReason, 5> connectionCloseReasonNames{
        {"request-timeout", "response-timeout", "connection-limit", "buffer-limit",
         "descriptor-limit"}};

/// HTTP/1.1 server on an event loop. Used on the loop's thread only. A connection takes buffers but
/// no thread; the requests of a connection are handled in sequence. Nothing is read from a
/// connection while its request is handled or a response is unsent, so that a client that sends
/// ahead fills at most one read.
class EventedHttpServer
{
public:
    /// Sends the response to a request. Called once by the handler or later; a response to a closed
    /// connection is discarded.
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    using CloseObserver = std::function<void(ConnectionCloseReason)>;

    EventedHttpServer(EventLoop &loop, HttpLimits limits, Handler handler);
    ~EventedHttpServer();
    EventedHttpServer(const EventedHttpServer &) = delete;
    EventedHttpServer &operator=(const EventedHttpServer &) = delete;

    /// Listens on an IP address and port.
    Result<Done, HttpListenError> listen(const std::string &address);
    /// Sets the function that is told of connections closed because of a limit. Must be called
    /// before listen().
    void setCloseObserver(CloseObserver observer) { m_closeObserver = std::move(observer); }
    /// Stops accepting, closes idle connections, and closes the others after their response.
    void drain();
    /// Requests that were read and not answered yet.
    std::size_t pendingRequests() const { return m_pendingRequests; }
    std::size_t connectionCount() const { return m_connections.size(); }
    /// Bytes of requests and responses that all connections hold.
    std::size_t bufferedBytes() const { return m_bufferedBytes; }
    std::uint16_t port() const { return m_port; }

private:
    enum class Phase {
        /// No byte of the next request has arrived.
        Idle,
        ReadingHead,
        ReadingBody,
        Handling,
        /// The kernel did not take all of a response.
        Sending,
        /// The last response is sent; input is discarded, so that closing does not reset the
        /// connection before the client has read it.
        Lingering
    };

    struct Connection
    {
        explicit Connection(const HttpLimits &limits) : parser(limits) { }

        int descriptor = -1;
        EventLoop::WatchId watch = 0;
        EventLoop::TimerId timer;
        Phase phase = Phase::Idle;
        HttpRequestParser parser;
        std::string output;
        std::size_t outputOffset = 0;
        /// Size of the request that is handled.
        std::size_t requestBytes = 0;
        /// Share of this connection in the server's buffered bytes.
        std::size_t bufferedBytes = 0;
        std::size_t lingeredBytes = 0;
        /// Number of the last request that was passed to the handler, counted from 1.
        std::uint64_t requestCount = 0;
        SteadyTimeMs progressAt = 0;
        bool keepAlive = true;
        bool continueSent = false;
        bool rejected = false;
        /// The client has sent bytes before it got its response; its receive buffer is limited.
        bool sentAhead = false;
        /// The kernel has refused part of the response; its time limit runs.
        bool sendBlocked = false;
    };

    enum class SendOutcome { Sent, Blocked, Failed };

    void acceptConnections();
    void addConnection(int descriptor);
    /// Without free descriptors the listener would report its waiting connections endlessly.
    void pauseAccepting();
    void onEvent(std::uint64_t id, std::uint32_t events);
    void readInput(std::uint64_t id);
    void discardInput(std::uint64_t id);
    /// Handles the request at the start of the input. Returns true if it is incomplete.
    bool parseInput(std::uint64_t id);
    void handleRequest(std::uint64_t id, HttpRequest request);
    void sendResponse(std::uint64_t id, std::uint64_t request, const HttpResponse &response);
    void reject(std::uint64_t id, const HttpRequestError &error);
    void sendOutput(std::uint64_t id);
    static SendOutcome flush(Connection &connection);
    void finishResponse(std::uint64_t id);
    void finishConnection(std::uint64_t id);
    /// Updates the sum of buffered bytes after a change of the connection's buffers.
    void countBytes(Connection &connection);
    void enforceBufferLimit();
    /// Returns false if no connection may be closed.
    bool closeOne(ConnectionCloseReason reason);
    void armTimer(std::uint64_t id, Milliseconds timeout,
                  std::optional<ConnectionCloseReason> reason);
    void close(std::uint64_t id);
    void closeFor(std::uint64_t id, ConnectionCloseReason reason);
    void reportClose(ConnectionCloseReason reason) const;
    static ConnectionActivity activityOf(const Connection &connection);

    EventLoop &m_loop;
    const HttpLimits m_limits;
    const Handler m_handler;
    /// Respond functions hold a weak pointer to it, to detect that the server was destroyed.
    std::shared_ptr<EventedHttpServer *> m_self;
    int m_listener = -1;
    EventLoop::WatchId m_listenerWatch = 0;
    EventLoop::TimerId m_acceptTimer;
    std::uint16_t m_port = 0;
    bool m_draining = false;
    CloseObserver m_closeObserver;
    std::size_t m_pendingRequests = 0;
    std::size_t m_bufferedBytes = 0;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
};

} // namespace dandelionloom

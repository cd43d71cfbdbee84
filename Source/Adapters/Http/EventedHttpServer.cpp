#include "Adapters/Http/EventedHttpServer.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <string_view>
#include <variant>

#include "Adapters/Http/HttpResponseText.h"
#include "Adapters/Peers/PeerSockets.h"

namespace dandelionloom {

namespace {

constexpr std::size_t readBytes = 16 * 1024;
/// Other connections of the event loop wait while connections are accepted.
constexpr int maxAcceptsPerEvent = 64;
constexpr Milliseconds acceptPause{100};

/// Limits of the lingering close: closing a connection with unread input resets it, and the client
/// could lose the response.
constexpr Milliseconds lingerTimeout{500};
constexpr std::size_t maxLingerBytes = 256 * 1024;

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

void setBufferSize(int descriptor, int option, std::size_t bytes)
{
    const int value = static_cast<int>(bytes);
    if (bytes != 0) {
        ::setsockopt(descriptor, SOL_SOCKET, option, &value, sizeof value);
    }
}

} // namespace

EventedHttpServer::EventedHttpServer(EventLoop &loop, HttpLimits limits, Handler handler)
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler)),
      m_self(std::make_shared<EventedHttpServer *>(this))
{ }

EventedHttpServer::~EventedHttpServer()
{
    m_self.reset();
    m_loop.cancelTimer(m_acceptTimer);
    if (m_listener >= 0) {
        m_loop.unwatch(m_listenerWatch);
        ::close(m_listener);
    }
    for (const auto &[id, connection] : m_connections) {
        m_loop.cancelTimer(connection->timer);
        m_loop.unwatch(connection->watch);
        ::close(connection->descriptor);
    }
}

Result<Done, HttpListenError> EventedHttpServer::listen(const std::string &address)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    if (!parsed) {
        return HttpListenError{"expected an IP number and port to listen on, found \"" + address
                               + "\""};
    }
    const auto listener = listenOn(*parsed);
    if (!isOk(listener)) {
        return HttpListenError{errorOf(listener).message};
    }
    m_listener = valueOf(listener);
    // Accepted sockets inherit the sizes from their listener.
    setBufferSize(m_listener, SO_RCVBUF, m_limits.receiveBufferBytes);
    setBufferSize(m_listener, SO_SNDBUF, m_limits.sendBufferBytes);
    m_port = portOf(localAddress(m_listener));
    m_listenerWatch =
            m_loop.watch(m_listener, EPOLLIN, [this](std::uint32_t) { acceptConnections(); });
    return Done{};
}

void EventedHttpServer::drain()
{
    m_draining = true;
    if (m_listener >= 0) {
        m_loop.cancelTimer(m_acceptTimer);
        m_loop.unwatch(m_listenerWatch);
        ::close(m_listener);
        m_listener = -1;
    }
    std::vector<std::uint64_t> idle;
    for (const auto &[id, connection] : m_connections) {
        if (connection->phase == Phase::Idle && connection->parser.empty()) {
            idle.push_back(id);
        }
    }
    for (const std::uint64_t id : idle) {
        close(id);
    }
}

void EventedHttpServer::acceptConnections()
{
    for (int count = 0; count < maxAcceptsPerEvent; ++count) {
        const int descriptor =
                ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            addConnection(descriptor);
            continue;
        }
        if (errno != EMFILE && errno != ENFILE) {
            return;
        }
        if (!closeOne(ConnectionCloseReason::DescriptorLimit)) {
            pauseAccepting();
            return;
        }
    }
}

void EventedHttpServer::addConnection(int descriptor)
{
    if (m_connections.size() >= m_limits.maxConnections
        && !closeOne(ConnectionCloseReason::ConnectionLimit)) {
        ::close(descriptor);
        reportClose(ConnectionCloseReason::ConnectionLimit);
        return;
    }
    setNoDelay(descriptor);
    const std::uint64_t id = m_nextId++;
    auto connection = std::make_unique<Connection>(m_limits);
    connection->descriptor = descriptor;
    connection->progressAt = steadyTimeNow();
    connection->watch = m_loop.watch(descriptor, EPOLLIN,
                                     [this, id](std::uint32_t events) { onEvent(id, events); });
    m_connections.emplace(id, std::move(connection));
    armTimer(id, m_limits.keepAliveTimeout, std::nullopt);
}

void EventedHttpServer::pauseAccepting()
{
    m_loop.changeEvents(m_listenerWatch, 0);
    m_loop.cancelTimer(m_acceptTimer);
    m_acceptTimer = m_loop.startTimer(acceptPause,
                                      [this] { m_loop.changeEvents(m_listenerWatch, EPOLLIN); });
}

void EventedHttpServer::onEvent(std::uint64_t id, std::uint32_t events)
{
    // Also reported while nothing is read: the client has reset the connection, or both sides have
    // ended it.
    if ((events & (EPOLLHUP | EPOLLERR)) != 0) {
        close(id);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        sendOutput(id);
    }
    if ((events & EPOLLIN) != 0 && m_connections.contains(id)) {
        readInput(id);
    }
}

void EventedHttpServer::readInput(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    if (connection.phase == Phase::Handling || connection.phase == Phase::Sending) {
        // The client sends ahead or has closed its sending side. A client that does neither costs
        // no change of the events, and keeps the receive buffer that the system gives it.
        if (!connection.sentAhead) {
            connection.sentAhead = true;
            setBufferSize(connection.descriptor, SO_RCVBUF, m_limits.sentAheadBufferBytes);
        }
        m_loop.changeEvents(connection.watch,
                            connection.phase == Phase::Sending ? std::uint32_t{EPOLLOUT} : 0U);
        return;
    }
    if (connection.phase == Phase::Lingering) {
        discardInput(id);
        return;
    }
    if (connection.phase == Phase::Idle && !connection.parser.empty() && !parseInput(id)) {
        return;
    }
    std::array<char, readBytes> buffer;
    for (;;) {
        const ssize_t count = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            close(id);
            return;
        }
        connection.parser.append({buffer.data(), static_cast<std::size_t>(count)});
        if (connection.phase == Phase::Idle) {
            // Otherwise a new request would be the first one that gives way at the buffer limit.
            connection.phase = Phase::ReadingHead;
            // The first request of a connection begins when the connection is accepted.
            if (connection.requestCount != 0) {
                connection.progressAt = steadyTimeNow();
            }
            armTimer(id, m_limits.headTimeout, ConnectionCloseReason::RequestTimeout);
        }
        countBytes(connection);
        enforceBufferLimit();
        if (!m_connections.contains(id)) {
            return;
        }
        if (connection.parser.canParse() && !parseInput(id)) {
            return;
        }
        if (static_cast<std::size_t>(count) < buffer.size()) {
            return;
        }
    }
}

void EventedHttpServer::discardInput(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    std::array<char, readBytes> buffer;
    const ssize_t count = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    connection.lingeredBytes += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    if (count <= 0 || connection.lingeredBytes > maxLingerBytes) {
        close(id);
    }
}

bool EventedHttpServer::parseInput(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    HttpRequestParser::Result result = connection.parser.parse();
    if (const auto *error = std::get_if<HttpRequestError>(&result)) {
        reject(id, *error);
        return false;
    }
    if (auto *parsed = std::get_if<HttpRequestParser::Complete>(&result)) {
        connection.requestBytes = parsed->bytes;
        connection.keepAlive = parsed->keepAlive;
        handleRequest(id, std::move(parsed->request));
        return false;
    }
    const auto &incomplete = std::get<HttpRequestParser::Incomplete>(result);
    const Phase phase = incomplete.headComplete ? Phase::ReadingBody : Phase::ReadingHead;
    if (connection.phase != phase) {
        connection.phase = phase;
        armTimer(id, incomplete.headComplete ? m_limits.bodyTimeout : m_limits.headTimeout,
                 ConnectionCloseReason::RequestTimeout);
    }
    if (incomplete.expectsContinue && !connection.continueSent) {
        connection.continueSent = true;
        const ssize_t count = ::send(connection.descriptor, continueResponse.data(),
                                     continueResponse.size(), MSG_NOSIGNAL);
        if (count != static_cast<ssize_t>(continueResponse.size())) {
            // The client has not read its earlier responses.
            close(id);
            return false;
        }
    }
    return true;
}

void EventedHttpServer::handleRequest(std::uint64_t id, HttpRequest request)
{
    Connection &connection = *m_connections.at(id);
    connection.phase = Phase::Handling;
    connection.continueSent = false;
    connection.progressAt = steadyTimeNow();
    countBytes(connection);
    ++m_pendingRequests;
    m_loop.cancelTimer(connection.timer);
    const std::weak_ptr<EventedHttpServer *> self = m_self;
    const std::uint64_t number = ++connection.requestCount;
    m_handler(std::move(request), [self, id, number](HttpResponse response) {
        if (const auto server = self.lock()) {
            (*server)->sendResponse(id, number, response);
        }
    });
}

void EventedHttpServer::sendResponse(std::uint64_t id, std::uint64_t request,
                                     const HttpResponse &response)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second->phase != Phase::Handling
        || found->second->requestCount != request) {
        return;
    }
    Connection &connection = *found->second;
    --m_pendingRequests;
    connection.requestBytes = 0;
    connection.keepAlive = connection.keepAlive && !m_draining;
    connection.output = renderResponse(response, connection.keepAlive);
    connection.progressAt = steadyTimeNow();
    connection.phase = Phase::Sending;
    sendOutput(id);
}

void EventedHttpServer::reject(std::uint64_t id, const HttpRequestError &error)
{
    if (error.status == 0) {
        close(id);
        return;
    }
    Connection &connection = *m_connections.at(id);
    connection.keepAlive = false;
    connection.rejected = true;
    connection.parser.clear();
    connection.output = renderResponse({error.status, {}, error.reason}, false);
    connection.phase = Phase::Sending;
    sendOutput(id);
}

EventedHttpServer::SendOutcome EventedHttpServer::flush(Connection &connection)
{
    while (connection.outputOffset < connection.output.size()) {
        const ssize_t count =
                ::send(connection.descriptor, connection.output.data() + connection.outputOffset,
                       connection.output.size() - connection.outputOffset, MSG_NOSIGNAL);
        if (count > 0) {
            connection.outputOffset += static_cast<std::size_t>(count);
        } else if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return SendOutcome::Blocked;
        } else {
            return SendOutcome::Failed;
        }
    }
    return SendOutcome::Sent;
}

void EventedHttpServer::sendOutput(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    switch (flush(connection)) {
    case SendOutcome::Sent:
        finishResponse(id);
        return;
    case SendOutcome::Failed:
        close(id);
        return;
    case SendOutcome::Blocked:
        break;
    }
    if (!connection.sendBlocked) {
        connection.sendBlocked = true;
        armTimer(id, m_limits.responseSendTimeout, ConnectionCloseReason::ResponseTimeout);
        m_loop.changeEvents(connection.watch, EPOLLOUT);
        countBytes(connection);
        enforceBufferLimit();
    }
}

void EventedHttpServer::finishResponse(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    clearBuffer(connection.output);
    connection.outputOffset = 0;
    connection.sendBlocked = false;
    countBytes(connection);
    if (!connection.keepAlive) {
        finishConnection(id);
        return;
    }
    connection.phase = Phase::Idle;
    connection.progressAt = steadyTimeNow();
    armTimer(id, m_limits.keepAliveTimeout, std::nullopt);
    m_loop.changeEvents(connection.watch, EPOLLIN);
    if (!connection.parser.empty()) {
        m_loop.post([self = std::weak_ptr(m_self), id] {
            const auto server = self.lock();
            if (!server) {
                return;
            }
            const auto found = (*server)->m_connections.find(id);
            if (found != (*server)->m_connections.end() && found->second->phase == Phase::Idle
                && !found->second->parser.empty()) {
                (*server)->parseInput(id);
            }
        });
    }
}

void EventedHttpServer::finishConnection(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    char next = 0;
    const bool hasUnreadInput =
            ::recv(connection.descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (!connection.rejected && !hasUnreadInput) {
        close(id);
        return;
    }
    connection.parser.clear();
    countBytes(connection);
    ::shutdown(connection.descriptor, SHUT_WR);
    connection.phase = Phase::Lingering;
    armTimer(id, lingerTimeout, std::nullopt);
    m_loop.changeEvents(connection.watch, EPOLLIN);
}

void EventedHttpServer::countBytes(Connection &connection)
{
    const std::size_t bytes =
            connection.parser.bufferedBytes() + connection.output.size() + connection.requestBytes;
    m_bufferedBytes += bytes - connection.bufferedBytes;
    connection.bufferedBytes = bytes;
}

void EventedHttpServer::enforceBufferLimit()
{
    while (m_limits.maxBufferedBytes != 0 && m_bufferedBytes > m_limits.maxBufferedBytes
           && closeOne(ConnectionCloseReason::BufferLimit)) { }
}

bool EventedHttpServer::closeOne(ConnectionCloseReason reason)
{
    std::vector<ConnectionFacts> facts;
    facts.reserve(m_connections.size());
    for (const auto &[id, connection] : m_connections) {
        // Closing a connection without buffered bytes frees none.
        if (reason != ConnectionCloseReason::BufferLimit || connection->bufferedBytes > 0) {
            facts.push_back({id, activityOf(*connection), connection->bufferedBytes,
                             connection->progressAt});
        }
    }
    const std::optional<std::uint64_t> id = chooseConnectionToClose(facts);
    if (id) {
        closeFor(*id, reason);
    }
    return id.has_value();
}

ConnectionActivity EventedHttpServer::activityOf(const Connection &connection)
{
    switch (connection.phase) {
    case Phase::Idle:
        // A client that has just connected must not give way before older incomplete requests.
        return connection.requestCount == 0 ? ConnectionActivity::RequestIncomplete
                                            : ConnectionActivity::Idle;
    case Phase::ReadingHead:
    case Phase::ReadingBody:
        return ConnectionActivity::RequestIncomplete;
    case Phase::Handling:
        return ConnectionActivity::RequestActive;
    case Phase::Sending:
    case Phase::Lingering:
        break;
    }
    return ConnectionActivity::ResponseUnread;
}

void EventedHttpServer::armTimer(std::uint64_t id, Milliseconds timeout,
                                 std::optional<ConnectionCloseReason> reason)
{
    Connection &connection = *m_connections.at(id);
    m_loop.cancelTimer(connection.timer);
    connection.timer = m_loop.startTimer(
            timeout, [this, id, reason] { reason ? closeFor(id, *reason) : close(id); });
}

void EventedHttpServer::close(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = *found->second;
    if (connection.phase == Phase::Handling) {
        --m_pendingRequests;
    }
    m_bufferedBytes -= connection.bufferedBytes;
    m_loop.cancelTimer(connection.timer);
    m_loop.unwatch(connection.watch);
    ::close(connection.descriptor);
    m_connections.erase(found);
}

void EventedHttpServer::closeFor(std::uint64_t id, ConnectionCloseReason reason)
{
    close(id);
    reportClose(reason);
}

void EventedHttpServer::reportClose(ConnectionCloseReason reason) const
{
    if (m_closeObserver) {
        m_closeObserver(reason);
    }
}

} // namespace dandelionloom

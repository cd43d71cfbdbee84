#include "Adapters/Http/EventedHttpClient.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include "Adapters/Peers/PeerSockets.h"

namespace dandelionloom {

namespace {

constexpr std::size_t readBytes = 16 * 1024;

/// Connections that are closed together when no descriptor is free. The listeners, the peers and
/// the journal need some as well.
constexpr std::size_t closedTogether = 32;

constexpr const char *tooLateMessage = "the time for sending the call is over";

std::string renderRequest(const HttpCall &call)
{
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\n";
    if (!headerValue(call.headers, "Host")) {
        text += "Host: " + call.address + "\r\n";
    }
    for (const auto &[name, value] : call.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
    return text + call.body;
}

struct ParsedResponse
{
    HttpResponse response;
    bool keepAlive = true;
};

struct ResponseError
{
    std::string message;
};

/// Empty while the response is incomplete.
std::optional<dandelionloom::Result<ParsedResponse, ResponseError>>
parseResponse(const std::string &input)
{
    const std::size_t headEnd = input.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return std::nullopt;
    }
    try {
        std::istringstream head(input.substr(0, headEnd + 4));
        Poco::Net::HTTPResponse response;
        response.read(head);
        if (response.getChunkedTransferEncoding()) {
            return ResponseError{
                    "expected a response with Content-Length, found chunked transfer coding"};
        }
        const std::size_t length = response.hasContentLength()
                ? static_cast<std::size_t>(response.getContentLength64())
                : 0;
        if (input.size() - headEnd - 4 < length) {
            return std::nullopt;
        }
        ParsedResponse parsed;
        parsed.response.status = response.getStatus();
        for (const auto &[name, value] : response) {
            parsed.response.headers.emplace_back(name, value);
        }
        parsed.response.body = input.substr(headEnd + 4, length);
        parsed.keepAlive = response.getKeepAlive();
        return parsed;
    } catch (const Poco::Exception &error) {
        return ResponseError{error.displayText()};
    }
}

} // namespace

EventedHttpClient::EventedHttpClient(EventLoop &loop, HttpClientLimits limits,
                                     std::shared_ptr<IdleConnections> idleConnections)
    : m_loop(loop), m_limits(limits), m_idleConnections(std::move(idleConnections))
{ }

EventedHttpClient::~EventedHttpClient()
{
    for (const auto &[id, connection] : m_connections) {
        m_idleConnections->remove(connection->idleTicket);
        ::close(connection->descriptor);
    }
}

void EventedHttpClient::call(HttpCall call, Callback callback)
{
    const std::uint64_t id = m_nextId++;
    const std::string address = call.address;
    const Milliseconds timeout = call.timeout;
    Pending pending{std::move(call), std::move(callback), {}, 0};
    pending.timer = m_loop.startTimeout(timeout, [this, id] { onTimeout(id); });
    m_calls.emplace(id, std::move(pending));
    m_pools[address].waiting.push_back(id);
    dispatchWaiting(address);
}

void EventedHttpClient::closeConnectionsTo(const std::string &address)
{
    const auto found = m_pools.find(address);
    if (found == m_pools.end()) {
        return;
    }
    const std::deque<std::uint64_t> idle = found->second.idle;
    for (const std::uint64_t connection : idle) {
        closeConnection(connection, "forgotten");
    }
}

bool EventedHttpClient::isTooLate(std::uint64_t call) const
{
    const SteadyTimeMs sendUntil = m_calls.at(call).call.sendUntil;
    return sendUntil != 0 && steadyTimeNow() > sendUntil;
}

void EventedHttpClient::dispatchWaiting(const std::string &address)
{
    ConnectionPool &pool = m_pools[address];
    while (!pool.waiting.empty()) {
        if (isTooLate(pool.waiting.front())) {
            const std::uint64_t late = pool.waiting.front();
            pool.waiting.pop_front();
            m_loop.post([this, late] {
                completeCall(late, HttpCallError{HttpCallErrorKind::NotSent, tooLateMessage});
            });
            continue;
        }
        if (!pool.idle.empty()) {
            const std::uint64_t connection = pool.idle.back();
            pool.idle.pop_back();
            const std::uint64_t call = pool.waiting.front();
            pool.waiting.pop_front();
            assignCall(connection, call);
            continue;
        }
        if (pool.openConnections >= m_limits.maxConnectionsPerAddress || !openConnection(address)) {
            return;
        }
    }
}

bool EventedHttpClient::openConnection(const std::string &address)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    dandelionloom::Result<int, SocketError> connecting =
            SocketError{"expected an IP number and port, found \"" + address + "\""};
    if (parsed) {
        do {
            connecting = startConnect(*parsed);
        } while (!isOk(connecting) && errorOf(connecting).outOfDescriptors
                 && m_idleConnections->closeOldest(closedTogether));
    }
    if (!isOk(connecting)) {
        std::deque<std::uint64_t> waiting;
        waiting.swap(m_pools[address].waiting);
        const std::string message = errorOf(connecting).message;
        for (const std::uint64_t call : waiting) {
            // Posted, so that call() never invokes the callback before it returns.
            m_loop.post([this, call, message] {
                completeCall(call, HttpCallError{HttpCallErrorKind::NotSent, message});
            });
        }
        return false;
    }
    ++m_connectionsOpened;
    const std::uint64_t id = m_nextId++;
    auto connection = std::make_unique<Connection>();
    connection->address = address;
    connection->descriptor = valueOf(connecting);
    setNoDelay(connection->descriptor);
    connection->watch = m_loop.watch(connection->descriptor, EPOLLOUT,
                                     [this, id](std::uint32_t events) { onEvent(id, events); });
    m_connections.emplace(id, std::move(connection));
    ConnectionPool &pool = m_pools[address];
    ++pool.openConnections;
    pool.idle.push_back(id);
    return true;
}

void EventedHttpClient::addIdle(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    m_pools[connection.address].idle.push_back(id);
    connection.idleTicket = m_idleConnections->add(
            [this, id] { closeConnection(id, "its descriptor is needed elsewhere"); });
}

void EventedHttpClient::assignCall(std::uint64_t id, std::uint64_t call)
{
    Connection &connection = *m_connections.at(id);
    m_idleConnections->remove(std::exchange(connection.idleTicket, 0));
    connection.call = call;
    m_calls.at(call).connection = id;
    connection.input.clear();
    connection.anySent = false;
    connection.output = renderRequest(m_calls.at(call).call);
    if (connection.connected) {
        sendRequest(id);
    }
}

void EventedHttpClient::onEvent(std::uint64_t id, std::uint32_t events)
{
    Connection &connection = *m_connections.at(id);
    if (!connection.connected) {
        if (const auto error = connectError(connection.descriptor)) {
            closeConnection(id, *error);
            return;
        }
        connection.connected = true;
        m_loop.changeEvents(connection.watch, EPOLLIN);
        sendRequest(id);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        sendRequest(id);
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && m_connections.contains(id)) {
        receiveResponse(id);
    }
}

void EventedHttpClient::sendRequest(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    if (connection.call != 0 && !connection.anySent && isTooLate(connection.call)) {
        closeConnection(id, tooLateMessage);
        return;
    }
    while (!connection.output.empty()) {
        const ssize_t count = ::send(connection.descriptor, connection.output.data(),
                                     connection.output.size(), MSG_NOSIGNAL);
        if (count > 0) {
            connection.anySent = true;
            connection.output.erase(0, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            m_loop.changeEvents(connection.watch, EPOLLIN | EPOLLOUT);
            return;
        }
        closeConnection(id, std::strerror(errno));
        return;
    }
    m_loop.changeEvents(connection.watch, EPOLLIN);
}

void EventedHttpClient::receiveResponse(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    std::array<char, readBytes> buffer;
    bool closed = false;
    for (;;) {
        const ssize_t count = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            connection.input.append(buffer.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < buffer.size()) {
                break;
            }
            continue;
        }
        closed = count == 0 || (errno != EAGAIN && errno != EINTR);
        break;
    }
    if (connection.call != 0) {
        auto parsed = parseResponse(connection.input);
        if (parsed && isOk(*parsed)) {
            ParsedResponse complete = takeValue(std::move(*parsed));
            const std::uint64_t call = connection.call;
            const std::string address = connection.address;
            connection.call = 0;
            connection.input.clear();
            if (closed || !complete.keepAlive) {
                closeConnection(id, "closed");
            } else {
                addIdle(id);
            }
            dispatchWaiting(address);
            completeCall(call, std::move(complete.response));
            return;
        }
        if (parsed) {
            closeConnection(id, errorOf(*parsed).message);
            return;
        }
    }
    if (closed || connection.input.size() > m_limits.maxResponseBytes || connection.call == 0) {
        closeConnection(id, closed ? "connection closed by the server" : "unexpected bytes");
    }
}

void EventedHttpClient::onTimeout(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    if (found->second.connection != 0) {
        closeConnection(found->second.connection, "timeout");
        return;
    }
    std::erase(m_pools[found->second.call.address].waiting, call);
    completeCall(call,
                 HttpCallError{HttpCallErrorKind::NotSent,
                               "timeout while waiting for a free connection"});
}

void EventedHttpClient::completeCall(std::uint64_t call, Result result)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    m_loop.cancelTimer(found->second.timer);
    const Callback callback = std::move(found->second.callback);
    m_calls.erase(found);
    callback(std::move(result));
}

void EventedHttpClient::closeConnection(std::uint64_t id, const std::string &reason)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const std::unique_ptr<Connection> connection = std::move(found->second);
    m_connections.erase(found);
    m_idleConnections->remove(connection->idleTicket);
    m_loop.unwatch(connection->watch);
    ::close(connection->descriptor);
    ConnectionPool &pool = m_pools[connection->address];
    --pool.openConnections;
    std::erase(pool.idle, id);
    if (connection->call != 0) {
        completeCall(connection->call,
                     HttpCallError{connection->anySent ? HttpCallErrorKind::NoAnswer
                                                       : HttpCallErrorKind::NotSent,
                                   reason});
    }
    if (!pool.waiting.empty()) {
        m_loop.post([this, address = connection->address] { dispatchWaiting(address); });
    }
}

} // namespace dandelionloom

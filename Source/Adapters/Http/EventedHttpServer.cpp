#include "Adapters/Http/EventedHttpServer.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <optional>

#include "Adapters/Http/ByteReader.h"
#include "Adapters/Peers/PeerSockets.h"

namespace dandelionloom {

namespace {

constexpr std::size_t readBytes = 16 * 1024;

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string renderResponse(const HttpResponse &response, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
            + reasonPhrase(response.status) + "\r\n";
    for (const auto &[name, value] : response.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!keepAlive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text + response.body;
}

struct ParsedRequest
{
    HttpRequest request;
    bool keepAlive = true;
    std::size_t consumed = 0;
};

/// Empty while the request is incomplete.
std::optional<Result<ParsedRequest, HttpRequestError>> parseRequest(const std::string &input,
                                                                    const HttpLimits &limits)
{
    const std::size_t headEnd = input.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        if (input.size() > limits.maxHeaderBytes + limits.maxRequestLineBytes) {
            return HttpRequestError{431, "the head is longer than the limit"};
        }
        return std::nullopt;
    }
    std::size_t copied = 0;
    ByteReader reader([&input, &copied](char *buffer, int size) {
        const std::size_t count = std::min(static_cast<std::size_t>(size), input.size() - copied);
        std::memcpy(buffer, input.data() + copied, count);
        copied += count;
        return static_cast<int>(count);
    });
    auto head = readHead(reader, limits);
    if (!isOk(head)) {
        return errorOf(head);
    }
    const HttpHead &requestHead = valueOf(head);
    if (requestHead.contentLength && *requestHead.contentLength > limits.maxBodyBytes) {
        return HttpRequestError{413, "the body is longer than the limit"};
    }
    if (requestHead.contentLength && input.size() - headEnd - 4 < *requestHead.contentLength) {
        return std::nullopt;
    }
    auto body = readBody(reader, requestHead, limits);
    if (!isOk(body)) {
        const bool incomplete = !requestHead.contentLength && errorOf(body).status == 0
                && input.size() < limits.maxBodyBytes * 2;
        if (incomplete) {
            return std::nullopt;
        }
        return errorOf(body);
    }
    ParsedRequest parsed;
    parsed.request.method = requestHead.method;
    const std::size_t query = requestHead.target.find('?');
    parsed.request.path = requestHead.target.substr(0, query);
    if (query != std::string::npos) {
        parsed.request.query = requestHead.target.substr(query + 1);
    }
    parsed.request.headers = requestHead.headers;
    parsed.request.body = takeValue(std::move(body));
    parsed.keepAlive = requestHead.keepAlive;
    parsed.consumed = copied - reader.buffered();
    return parsed;
}

} // namespace

EventedHttpServer::EventedHttpServer(EventLoop &loop, HttpLimits limits, Handler handler)
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler)),
      m_self(std::make_shared<EventedHttpServer *>(this))
{ }

EventedHttpServer::~EventedHttpServer()
{
    m_self.reset();
    if (m_listener >= 0) {
        ::close(m_listener);
    }
    for (const auto &[id, connection] : m_connections) {
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
    m_port = portOf(localAddress(m_listener));
    m_listenerWatch =
            m_loop.watch(m_listener, EPOLLIN, [this](std::uint32_t) { acceptConnections(); });
    return Done{};
}

void EventedHttpServer::drain()
{
    m_draining = true;
    if (m_listener >= 0) {
        m_loop.unwatch(m_listenerWatch);
        ::close(m_listener);
        m_listener = -1;
    }
    std::vector<std::uint64_t> idle;
    for (const auto &[id, connection] : m_connections) {
        if (connection->activeRequest == 0 && connection->input.empty()
            && connection->output.empty()) {
            idle.push_back(id);
        }
    }
    for (const std::uint64_t id : idle) {
        close(id);
    }
}

void EventedHttpServer::acceptConnections()
{
    for (;;) {
        const int descriptor =
                ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        if (m_connections.size() >= m_limits.maxConnections) {
            ::close(descriptor);
            continue;
        }
        setNoDelay(descriptor);
        const std::uint64_t id = m_nextId++;
        auto connection = std::make_unique<Connection>();
        connection->descriptor = descriptor;
        connection->watch = m_loop.watch(descriptor, EPOLLIN,
                                         [this, id](std::uint32_t events) { onEvent(id, events); });
        m_connections.emplace(id, std::move(connection));
        armTimer(id, m_limits.keepAliveTimeout);
    }
}

void EventedHttpServer::onEvent(std::uint64_t id, std::uint32_t events)
{
    if ((events & EPOLLOUT) != 0) {
        flush(id);
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && m_connections.contains(id)) {
        readInput(id);
    }
}

void EventedHttpServer::readInput(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    std::array<char, readBytes> buffer;
    for (;;) {
        const ssize_t count = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            connection.input.append(buffer.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < buffer.size()) {
                break;
            }
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (count < 0 || connection.activeRequest == 0) {
            close(id);
            return;
        }
        // The client has closed its sending side but may still read the response.
        connection.inputEnded = true;
        m_loop.changeEvents(connection.watch, 0);
        return;
    }
    parseInput(id);
}

void EventedHttpServer::parseInput(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    if (connection.activeRequest != 0 || connection.input.empty()) {
        return;
    }
    auto parsed = parseRequest(connection.input, m_limits);
    if (!parsed) {
        armTimer(id, m_limits.headTimeout);
        return;
    }
    if (!isOk(*parsed)) {
        reject(id, errorOf(*parsed));
        return;
    }
    ParsedRequest parsedRequest = takeValue(std::move(*parsed));
    connection.input.erase(0, parsedRequest.consumed);
    connection.keepAlive = parsedRequest.keepAlive;
    connection.activeRequest = ++connection.requestCount;
    ++m_pendingRequests;
    m_loop.cancelTimer(connection.timer);
    const std::weak_ptr<EventedHttpServer *> self = m_self;
    const std::uint64_t request = connection.activeRequest;
    m_handler(std::move(parsedRequest.request), [self, id, request](HttpResponse response) {
        if (const auto server = self.lock()) {
            (*server)->sendResponse(id, request, response);
        }
    });
}

void EventedHttpServer::sendResponse(std::uint64_t id, std::uint64_t request,
                                     const HttpResponse &response)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second->activeRequest != request) {
        return;
    }
    Connection &connection = *found->second;
    connection.activeRequest = 0;
    --m_pendingRequests;
    connection.keepAlive = connection.keepAlive && !m_draining && !connection.inputEnded;
    connection.output += renderResponse(response, connection.keepAlive);
    armTimer(id, connection.keepAlive ? m_limits.keepAliveTimeout : m_limits.responseSendTimeout);
    flush(id);
}

void EventedHttpServer::reject(std::uint64_t id, const HttpRequestError &error)
{
    if (error.status == 0) {
        close(id);
        return;
    }
    Connection &connection = *m_connections.at(id);
    connection.keepAlive = false;
    connection.input.clear();
    connection.output += renderResponse({error.status, {}, error.reason}, false);
    flush(id);
}

void EventedHttpServer::flush(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = *found->second;
    while (!connection.output.empty()) {
        const ssize_t count = ::send(connection.descriptor, connection.output.data(),
                                     connection.output.size(), MSG_NOSIGNAL);
        if (count > 0) {
            connection.output.erase(0, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            m_loop.changeEvents(connection.watch, EPOLLIN | EPOLLOUT);
            return;
        }
        close(id);
        return;
    }
    if (!connection.keepAlive && connection.activeRequest == 0) {
        close(id);
        return;
    }
    m_loop.changeEvents(connection.watch, connection.inputEnded ? 0U : std::uint32_t{EPOLLIN});
    if (connection.activeRequest == 0 && !connection.input.empty()) {
        m_loop.post([self = std::weak_ptr(m_self), id] {
            const auto server = self.lock();
            if (server && (*server)->m_connections.contains(id)) {
                (*server)->parseInput(id);
            }
        });
    }
}

void EventedHttpServer::armTimer(std::uint64_t id, Milliseconds timeout)
{
    Connection &connection = *m_connections.at(id);
    m_loop.cancelTimer(connection.timer);
    connection.timer = m_loop.startTimer(timeout, [this, id] { close(id); });
}

void EventedHttpServer::close(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    if (found->second->activeRequest != 0) {
        --m_pendingRequests;
    }
    m_loop.cancelTimer(found->second->timer);
    m_loop.unwatch(found->second->watch);
    ::close(found->second->descriptor);
    m_connections.erase(found);
}

} // namespace dandelionloom

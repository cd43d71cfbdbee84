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

std::string render(const HttpResponse &answer, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " "
            + reasonPhrase(answer.status) + "\r\n";
    for (const auto &[name, value] : answer.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    if (!keepAlive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text + answer.body;
}

struct ParsedRequest
{
    HttpRequest request;
    bool keepAlive = true;
    std::size_t consumed = 0;
};

/// None while the request is not whole yet.
std::optional<Result<ParsedRequest, HttpFault>> parseRequest(const std::string &input,
                                                             const HttpLimits &limits)
{
    const std::size_t headEnd = input.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        if (input.size() > limits.maxHeaderBytes + limits.maxRequestLineBytes) {
            return HttpFault{431, "the head is longer than the limit"};
        }
        return std::nullopt;
    }
    std::size_t given = 0;
    ByteReader reader([&input, &given](char *buffer, int size) {
        const std::size_t count = std::min(static_cast<std::size_t>(size), input.size() - given);
        std::memcpy(buffer, input.data() + given, count);
        given += count;
        return static_cast<int>(count);
    });
    auto head = readHead(reader, limits);
    if (!isOk(head)) {
        return errorOf(head);
    }
    const HttpHead &read = valueOf(head);
    if (read.contentLength && *read.contentLength > limits.maxBodyBytes) {
        return HttpFault{413, "the body is longer than the limit"};
    }
    if (read.contentLength && input.size() - headEnd - 4 < *read.contentLength) {
        return std::nullopt;
    }
    auto body = readBody(reader, read, limits);
    if (!isOk(body)) {
        const bool incomplete = !read.contentLength && errorOf(body).status == 0
                && input.size() < limits.maxBodyBytes * 2;
        if (incomplete) {
            return std::nullopt;
        }
        return errorOf(body);
    }
    ParsedRequest parsed;
    parsed.request.method = read.method;
    const std::size_t query = read.target.find('?');
    parsed.request.path = read.target.substr(0, query);
    if (query != std::string::npos) {
        parsed.request.query = read.target.substr(query + 1);
    }
    parsed.request.headers = read.headers;
    parsed.request.body = takeValue(std::move(body));
    parsed.keepAlive = read.keepAlive;
    parsed.consumed = given - reader.buffered();
    return parsed;
}

} // namespace

EventedHttpServer::EventedHttpServer(EventLoop &loop, HttpLimits limits, Handler handler)
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler)),
      m_alive(std::make_shared<EventedHttpServer *>(this))
{ }

EventedHttpServer::~EventedHttpServer()
{
    m_alive.reset();
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
    m_listenerWatch = m_loop.watch(m_listener, EPOLLIN, [this](std::uint32_t) { acceptAll(); });
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
        if (connection->handling == 0 && connection->input.empty() && connection->output.empty()) {
            idle.push_back(id);
        }
    }
    for (const std::uint64_t id : idle) {
        close(id);
    }
}

void EventedHttpServer::acceptAll()
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
        armTimer(id, m_limits.keepAliveTime);
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
        if (count < 0 || connection.handling == 0) {
            close(id);
            return;
        }
        // The caller sends no more but may still read its answer.
        connection.inputEnded = true;
        m_loop.changeEvents(connection.watch, 0);
        return;
    }
    parse(id);
}

void EventedHttpServer::parse(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    if (connection.handling != 0 || connection.input.empty()) {
        return;
    }
    auto parsed = parseRequest(connection.input, m_limits);
    if (!parsed) {
        armTimer(id, m_limits.headTime);
        return;
    }
    if (!isOk(*parsed)) {
        refuse(id, errorOf(*parsed));
        return;
    }
    ParsedRequest whole = takeValue(std::move(*parsed));
    connection.input.erase(0, whole.consumed);
    connection.keepAlive = whole.keepAlive;
    connection.handling = ++connection.requests;
    ++m_pending;
    m_loop.cancelTimer(connection.timer);
    const std::weak_ptr<EventedHttpServer *> alive = m_alive;
    const std::uint64_t request = connection.handling;
    m_handler(std::move(whole.request), [alive, id, request](HttpResponse given) {
        if (const auto server = alive.lock()) {
            (*server)->answer(id, request, given);
        }
    });
}

void EventedHttpServer::answer(std::uint64_t id, std::uint64_t request, const HttpResponse &answer)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second->handling != request) {
        return;
    }
    Connection &connection = *found->second;
    connection.handling = 0;
    --m_pending;
    connection.keepAlive = connection.keepAlive && !m_draining && !connection.inputEnded;
    connection.output += render(answer, connection.keepAlive);
    armTimer(id, connection.keepAlive ? m_limits.keepAliveTime : m_limits.answerTime);
    flush(id);
}

void EventedHttpServer::refuse(std::uint64_t id, const HttpFault &fault)
{
    if (fault.status == 0) {
        close(id);
        return;
    }
    Connection &connection = *m_connections.at(id);
    connection.keepAlive = false;
    connection.input.clear();
    connection.output += render({fault.status, {}, fault.reason}, false);
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
    if (!connection.keepAlive && connection.handling == 0) {
        close(id);
        return;
    }
    m_loop.changeEvents(connection.watch, connection.inputEnded ? 0U : std::uint32_t{EPOLLIN});
    if (connection.handling == 0 && !connection.input.empty()) {
        m_loop.post([alive = std::weak_ptr(m_alive), id] {
            const auto server = alive.lock();
            if (server && (*server)->m_connections.contains(id)) {
                (*server)->parse(id);
            }
        });
    }
}

void EventedHttpServer::armTimer(std::uint64_t id, Milliseconds time)
{
    Connection &connection = *m_connections.at(id);
    m_loop.cancelTimer(connection.timer);
    connection.timer = m_loop.startTimer(time, [this, id] { close(id); });
}

void EventedHttpServer::close(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    if (found->second->handling != 0) {
        --m_pending;
    }
    m_loop.cancelTimer(found->second->timer);
    m_loop.unwatch(found->second->watch);
    ::close(found->second->descriptor);
    m_connections.erase(found);
}

} // namespace dandelionloom

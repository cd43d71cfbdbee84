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

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include "Adapters/Peers/PeerSockets.h"

namespace dandelionloom {

namespace {

constexpr std::size_t readBytes = 16 * 1024;

std::string render(const HttpCall &call)
{
    std::string text =
            call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.address + "\r\n";
    for (const auto &[name, value] : call.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
    return text + call.body;
}

struct ParsedAnswer
{
    HttpResponse answer;
    bool keepAlive = true;
};

struct AnswerFault
{
    std::string message;
};

/// None while the answer is not whole yet.
std::optional<dandelionloom::Result<ParsedAnswer, AnswerFault>>
parseAnswer(const std::string &input)
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
            return AnswerFault{"expected an answer with a length, found chunked coding"};
        }
        const std::size_t length = response.hasContentLength()
                ? static_cast<std::size_t>(response.getContentLength64())
                : 0;
        if (input.size() - headEnd - 4 < length) {
            return std::nullopt;
        }
        ParsedAnswer parsed;
        parsed.answer.status = response.getStatus();
        for (const auto &[name, value] : response) {
            parsed.answer.headers.emplace_back(name, value);
        }
        parsed.answer.body = input.substr(headEnd + 4, length);
        parsed.keepAlive = response.getKeepAlive();
        return parsed;
    } catch (const Poco::Exception &error) {
        return AnswerFault{error.displayText()};
    }
}

} // namespace

EventedHttpClient::EventedHttpClient(EventLoop &loop, HttpClientLimits limits)
    : m_loop(loop), m_limits(limits)
{ }

EventedHttpClient::~EventedHttpClient()
{
    for (const auto &[id, connection] : m_connections) {
        ::close(connection->descriptor);
    }
}

void EventedHttpClient::call(HttpCall call, Done done)
{
    const std::uint64_t id = m_nextId++;
    const std::string address = call.address;
    const Milliseconds timeout = call.timeout;
    Pending pending{std::move(call), std::move(done), {}};
    pending.timer = m_loop.startTimer(timeout, [this, id] { timedOut(id); });
    m_calls.emplace(id, std::move(pending));
    m_addresses[address].waiting.push_back(id);
    dispatch(address);
}

void EventedHttpClient::closeConnectionsTo(const std::string &address)
{
    const auto found = m_addresses.find(address);
    if (found == m_addresses.end()) {
        return;
    }
    const std::deque<std::uint64_t> idle = found->second.idle;
    for (const std::uint64_t connection : idle) {
        drop(connection, "forgotten");
    }
}

void EventedHttpClient::dispatch(const std::string &address)
{
    Address &entry = m_addresses[address];
    while (!entry.waiting.empty()) {
        if (!entry.idle.empty()) {
            const std::uint64_t connection = entry.idle.back();
            entry.idle.pop_back();
            const std::uint64_t call = entry.waiting.front();
            entry.waiting.pop_front();
            assign(connection, call);
            continue;
        }
        if (entry.connections >= m_limits.connectionsPerAddress || !open(address)) {
            return;
        }
    }
}

bool EventedHttpClient::open(const std::string &address)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    const dandelionloom::Result<int, SocketError> started = parsed
            ? startConnect(*parsed)
            : SocketError{"expected an IP number and port, found \"" + address + "\""};
    if (!isOk(started)) {
        std::deque<std::uint64_t> waiting;
        waiting.swap(m_addresses[address].waiting);
        const std::string message = errorOf(started).message;
        for (const std::uint64_t call : waiting) {
            // Later, so that call() never runs `done` before it returns.
            m_loop.post([this, call, message] {
                finish(call, HttpCallError{HttpCallErrorKind::NotSent, message});
            });
        }
        return false;
    }
    ++m_opened;
    const std::uint64_t id = m_nextId++;
    auto connection = std::make_unique<Connection>();
    connection->address = address;
    connection->descriptor = valueOf(started);
    setNoDelay(connection->descriptor);
    connection->watch = m_loop.watch(connection->descriptor, EPOLLOUT,
                                     [this, id](std::uint32_t events) { onEvent(id, events); });
    m_connections.emplace(id, std::move(connection));
    Address &entry = m_addresses[address];
    ++entry.connections;
    entry.idle.push_back(id);
    return true;
}

void EventedHttpClient::assign(std::uint64_t id, std::uint64_t call)
{
    Connection &connection = *m_connections.at(id);
    connection.call = call;
    connection.input.clear();
    connection.sentAny = false;
    connection.output = render(m_calls.at(call).call);
    if (connection.connected) {
        send(id);
    }
}

void EventedHttpClient::onEvent(std::uint64_t id, std::uint32_t events)
{
    Connection &connection = *m_connections.at(id);
    if (!connection.connected) {
        if (const auto fault = connectFault(connection.descriptor)) {
            drop(id, *fault);
            return;
        }
        connection.connected = true;
        m_loop.changeEvents(connection.watch, EPOLLIN);
        send(id);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        send(id);
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && m_connections.contains(id)) {
        receive(id);
    }
}

void EventedHttpClient::send(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    while (!connection.output.empty()) {
        const ssize_t count = ::send(connection.descriptor, connection.output.data(),
                                     connection.output.size(), MSG_NOSIGNAL);
        if (count > 0) {
            connection.sentAny = true;
            connection.output.erase(0, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            m_loop.changeEvents(connection.watch, EPOLLIN | EPOLLOUT);
            return;
        }
        drop(id, std::strerror(errno));
        return;
    }
    m_loop.changeEvents(connection.watch, EPOLLIN);
}

void EventedHttpClient::receive(std::uint64_t id)
{
    Connection &connection = *m_connections.at(id);
    std::array<char, readBytes> buffer;
    bool ended = false;
    for (;;) {
        const ssize_t count = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            connection.input.append(buffer.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < buffer.size()) {
                break;
            }
            continue;
        }
        ended = count == 0 || (errno != EAGAIN && errno != EINTR);
        break;
    }
    if (connection.call != 0) {
        auto parsed = parseAnswer(connection.input);
        if (parsed && isOk(*parsed)) {
            ParsedAnswer answer = takeValue(std::move(*parsed));
            const std::uint64_t call = connection.call;
            const std::string address = connection.address;
            connection.call = 0;
            connection.input.clear();
            if (ended || !answer.keepAlive) {
                drop(id, "closed");
            } else {
                m_addresses[address].idle.push_back(id);
            }
            dispatch(address);
            finish(call, std::move(answer.answer));
            return;
        }
        if (parsed) {
            drop(id, errorOf(*parsed).message);
            return;
        }
    }
    if (ended || connection.input.size() > m_limits.maxAnswerBytes || connection.call == 0) {
        drop(id, ended ? "the connection was closed" : "unexpected bytes");
    }
}

void EventedHttpClient::timedOut(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    for (const auto &[id, connection] : m_connections) {
        if (connection->call == call) {
            drop(id, "timeout");
            return;
        }
    }
    std::erase(m_addresses[found->second.call.address].waiting, call);
    finish(call, HttpCallError{HttpCallErrorKind::NotSent, "timeout before a connection was free"});
}

void EventedHttpClient::finish(std::uint64_t call, Result result)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    m_loop.cancelTimer(found->second.timer);
    const Done done = std::move(found->second.done);
    m_calls.erase(found);
    done(std::move(result));
}

void EventedHttpClient::drop(std::uint64_t id, const std::string &reason)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const std::unique_ptr<Connection> connection = std::move(found->second);
    m_connections.erase(found);
    m_loop.unwatch(connection->watch);
    ::close(connection->descriptor);
    Address &entry = m_addresses[connection->address];
    --entry.connections;
    std::erase(entry.idle, id);
    if (connection->call != 0) {
        finish(connection->call,
               HttpCallError{connection->sentAny ? HttpCallErrorKind::NoAnswer
                                                 : HttpCallErrorKind::NotSent,
                             reason});
    }
    if (!entry.waiting.empty()) {
        m_loop.post([this, address = connection->address] { dispatch(address); });
    }
}

} // namespace dandelionloom

#include "Adapters/Http/HttpListener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include <algorithm>
#include <array>

namespace dandelionloom {

namespace {

/// Connections above the limit that get an answer before they are closed.
constexpr std::size_t overflowThreads = 8;
constexpr int listenBacklog = 256;

/// How long and how much a refused caller may still send before the connection is reset. A close
/// with unread input would reset the connection and destroy the answer on its way.
constexpr Milliseconds lingerTime{500};
constexpr std::size_t lingerBytes = 256 * 1024;

Poco::Timespan timespan(Milliseconds duration)
{
    return {duration.count() * Poco::Timespan::MILLISECONDS};
}

/// Reads from a socket until a deadline.
class DeadlineSource
{
public:
    explicit DeadlineSource(Poco::Net::StreamSocket &socket) : m_socket(socket) { }

    void setLimit(Milliseconds limit) { m_deadline = steadyTimeNow() + limit.count(); }

    int read(char *buffer, int size)
    {
        const SteadyTimeMs left = m_deadline - steadyTimeNow();
        if (left <= 0
            || !m_socket.poll(timespan(Milliseconds(left)), Poco::Net::Socket::SELECT_READ)) {
            throw Poco::TimeoutException();
        }
        return m_socket.receiveBytes(buffer, size);
    }

private:
    Poco::Net::StreamSocket &m_socket;
    SteadyTimeMs m_deadline = 0;
};

class Connection : public Poco::Net::TCPServerConnection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, const HttpLimits &limits,
               HttpHandler &handler, detail::ConnectionSet &connections)
        : TCPServerConnection(socket), m_limits(limits), m_handler(handler),
          m_connections(connections)
    { }

    void run() override
    {
        try {
            if (!m_connections.add(socket(), m_limits.maxConnections)) {
                refuse(m_handler.faultAnswer({503, "too-many-connections"}));
                return;
            }
            socket().setNoDelay(true);
            serve();
        } catch (const std::exception &) {
            // The caller closed or reset the connection. There is nobody left to answer.
        }
        m_connections.remove(socket());
    }

private:
    void serve()
    {
        DeadlineSource source(socket());
        ByteReader reader([&](char *buffer, int size) { return source.read(buffer, size); });
        for (std::size_t count = 0; count < m_limits.maxRequestsPerConnection; ++count) {
            source.setLimit(count == 0 ? m_limits.headTime : m_limits.keepAliveTime);
            if (!m_connections.setIdle(socket(), true)) {
                return;
            }
            const ReadStatus status = reader.waitForByte();
            if (!m_connections.setIdle(socket(), false) || status != ReadStatus::Ok) {
                return;
            }
            const bool last = count + 1 == m_limits.maxRequestsPerConnection;
            if (!serveRequest(source, reader, last)) {
                return;
            }
        }
    }

    /// True if the connection can take another request.
    bool serveRequest(DeadlineSource &source, ByteReader &reader, bool last)
    {
        source.setLimit(m_limits.headTime);
        Result<HttpHead, HttpFault> head = readHead(reader, m_limits);
        if (!isOk(head)) {
            refuse(m_handler.faultAnswer(errorOf(head)));
            return false;
        }
        HttpHead request = takeValue(std::move(head));
        const Result<std::string, HttpResponse> principal = m_handler.authorize(request);
        if (!isOk(principal)) {
            refuse(errorOf(principal));
            return false;
        }
        source.setLimit(m_limits.bodyTime);
        if (request.expectsContinue && request.contentLength != 0) {
            sendAll("HTTP/1.1 100 Continue\r\n\r\n");
        }
        Result<std::string, HttpFault> body = readBody(reader, request, m_limits);
        if (!isOk(body)) {
            refuse(m_handler.faultAnswer(errorOf(body)));
            return false;
        }
        const bool keepAlive = request.keepAlive && !last;
        const bool headOnly = request.method == "HEAD";
        const HttpResponse answer = m_handler.answer(valueOf(principal), std::move(request),
                                                     takeValue(std::move(body)));
        sendAnswer(answer, keepAlive, headOnly);
        return keepAlive;
    }

    /// Answers, then closes so that the answer still reaches the caller.
    void refuse(const HttpResponse &answer)
    {
        if (answer.status == 0) {
            return;
        }
        sendAnswer(answer, false, false);
        socket().shutdownSend();
        DeadlineSource source(socket());
        source.setLimit(lingerTime);
        std::array<char, 4096> dropped;
        for (std::size_t bytes = 0; bytes < lingerBytes;) {
            const int count = source.read(dropped.data(), static_cast<int>(dropped.size()));
            if (count <= 0) {
                return;
            }
            bytes += static_cast<std::size_t>(count);
        }
    }

    void sendAnswer(const HttpResponse &answer, bool keepAlive, bool headOnly)
    {
        const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status);
        std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " "
                + Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
        for (const auto &[name, value] : answer.headers) {
            bytes += name + ": " + value + "\r\n";
        }
        // RFC 9110 section 8.6: no length in answers that never have a body.
        const bool bodiless = answer.status == 204 || answer.status == 304;
        if (!bodiless && !(headOnly && headerValue(answer.headers, "Content-Length"))) {
            bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
        }
        bytes += keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
        if (!headOnly && !bodiless) {
            bytes += answer.body;
        }
        sendAll(bytes);
    }

    void sendAll(const std::string &bytes)
    {
        const SteadyTimeMs deadline = steadyTimeNow() + m_limits.answerTime.count();
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const SteadyTimeMs left = deadline - steadyTimeNow();
            if (left <= 0) {
                throw Poco::TimeoutException();
            }
            socket().setSendTimeout(timespan(Milliseconds(left)));
            constexpr std::size_t sendBytes = 65536;
            const std::size_t part = std::min(bytes.size() - sent, sendBytes);
            const int count =
                    socket().sendBytes(bytes.data() + sent, static_cast<int>(part), MSG_NOSIGNAL);
            if (count <= 0) {
                throw Poco::TimeoutException();
            }
            sent += static_cast<std::size_t>(count);
        }
    }

    const HttpLimits &m_limits;
    HttpHandler &m_handler;
    detail::ConnectionSet &m_connections;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(const HttpLimits &limits, HttpHandler &handler,
                      detail::ConnectionSet &connections)
        : m_limits(limits), m_handler(handler), m_connections(connections)
    { }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new Connection(socket, m_limits, m_handler, m_connections);
    }

private:
    const HttpLimits &m_limits;
    HttpHandler &m_handler;
    detail::ConnectionSet &m_connections;
};

} // namespace

namespace detail {

bool ConnectionSet::add(const Poco::Net::StreamSocket &socket, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping || m_sockets.size() >= limit) {
        return false;
    }
    m_sockets.insert(socket);
    return true;
}

void ConnectionSet::remove(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase(socket);
    m_sockets.erase(socket);
    m_changed.notify_all();
}

bool ConnectionSet::setIdle(const Poco::Net::StreamSocket &socket, bool idle)
{
    const std::lock_guard lock(m_mutex);
    if (idle) {
        m_idle.insert(socket);
    } else {
        m_idle.erase(socket);
    }
    return !m_stopping;
}

void ConnectionSet::stop(Milliseconds limit)
{
    const auto shutDown = [](const std::set<Poco::Net::StreamSocket> &sockets) {
        for (Poco::Net::StreamSocket socket : sockets) {
            try {
                socket.shutdown();
            } catch (const Poco::Exception &) {
                // The caller closed it first.
            }
        }
    };
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    shutDown(m_idle);
    const auto empty = [&] { return m_sockets.empty(); };
    if (!m_changed.wait_for(lock, limit, empty)) {
        shutDown(m_sockets);
        m_changed.wait(lock, empty);
    }
}

} // namespace detail

HttpListener::HttpListener(const std::string &address, const HttpLimits &limits,
                           HttpHandler &handler)
    : m_limits(limits), m_threads(2, static_cast<int>(limits.maxConnections + overflowThreads))
{
    m_socket.bind(Poco::Net::SocketAddress(address), true, false);
    m_socket.listen(listenBacklog);
    auto *parameters = new Poco::Net::TCPServerParams;
    parameters->setMaxThreads(static_cast<int>(limits.maxConnections + overflowThreads));
    parameters->setMaxQueued(listenBacklog);
    m_server = std::make_unique<Poco::Net::TCPServer>(
            new ConnectionFactory(m_limits, handler, m_connections), m_threads, m_socket,
            parameters);
}

HttpListener::~HttpListener()
{
    stop();
}

void HttpListener::start()
{
    m_server->start();
}

void HttpListener::stop()
{
    m_server->stop();
    m_connections.stop(m_limits.stopTime);
    m_threads.joinAll();
}

std::string HttpListener::address() const
{
    return m_socket.address().toString();
}

} // namespace dandelionloom

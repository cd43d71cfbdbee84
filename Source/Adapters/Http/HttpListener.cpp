#include "Adapters/Http/HttpListener.h"

#include <algorithm>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include "Adapters/Http/SocketInput.h"

namespace dandelionloom {

namespace {

/// Threads for connections above the limit: they close another one, or get an error response.
constexpr std::size_t rejectionThreads = 8;
constexpr int listenBacklog = 256;
/// Accepted connections that wait for a thread. They hold descriptors, so a listener with few
/// connections has a short queue.
constexpr std::size_t connectionsPerQueued = 4;
constexpr std::size_t minQueued = 8;

Poco::Timespan timespan(Milliseconds duration)
{
    return {duration.count() * Poco::Timespan::MILLISECONDS};
}

/// Reads from a socket until a deadline, and counts the bytes read.
class DeadlineSource
{
public:
    DeadlineSource(Poco::Net::StreamSocket &socket, ConnectionSet &connections)
        : m_socket(socket), m_connections(connections)
    { }

    void setTimeout(Milliseconds timeout) { m_deadline = steadyTimeNow() + timeout.count(); }

    int read(char *buffer, int size)
    {
        const SteadyTimeMs remainingMs = m_deadline - steadyTimeNow();
        if (remainingMs <= 0 || !waitForInput(m_socket, remainingMs)) {
            throw Poco::TimeoutException();
        }
        const int count = m_socket.receiveBytes(buffer, size);
        if (count <= 0) {
            return count;
        }
        const AddBytesResult result =
                m_connections.addBytes(m_socket, static_cast<std::size_t>(count));
        m_withoutRoom = result == AddBytesResult::NoRoom;
        return result == AddBytesResult::Added ? count : 0;
    }

    /// True if reading has ended because requests that are handled hold all bytes of the limit.
    bool withoutRoom() const { return m_withoutRoom; }

private:
    Poco::Net::StreamSocket &m_socket;
    ConnectionSet &m_connections;
    SteadyTimeMs m_deadline = 0;
    bool m_withoutRoom = false;
};

class Connection : public Poco::Net::TCPServerConnection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, const HttpLimits &limits,
               HttpHandler &handler, ConnectionSet &connections)
        : TCPServerConnection(socket), m_limits(limits), m_handler(handler),
          m_connections(connections)
    { }

    void run() override
    {
        try {
            if (!m_connections.add(socket(), Milliseconds(0))) {
                reject(m_handler.makeErrorResponse({503, "too-many-connections"}));
                return;
            }
            socket().setNoDelay(true);
            serve();
        } catch (const std::exception &) {
            // The client closed or reset the connection, so that no response can be sent.
        }
        m_connections.remove(socket());
    }

private:
    void serve()
    {
        DeadlineSource source(socket(), m_connections);
        ByteReader reader([&](char *buffer, int size) { return source.read(buffer, size); });
        for (std::size_t count = 0; count < m_limits.maxRequestsPerConnection; ++count) {
            source.setTimeout(count == 0 ? m_limits.headTimeout : m_limits.keepAliveTimeout);
            if (count != 0 && !setPhase(ConnectionPhase::Idle)) {
                return;
            }
            const ReadStatus status = reader.waitForByte();
            if (source.withoutRoom()) {
                reject(tooManyBytes());
                return;
            }
            if (!setPhase(ConnectionPhase::Reading) || status != ReadStatus::Ok) {
                return;
            }
            const bool last = count + 1 == m_limits.maxRequestsPerConnection;
            if (!serveRequest(source, reader, last)) {
                return;
            }
        }
    }

    HttpResponse tooManyBytes()
    {
        return m_handler.makeErrorResponse({503, "too-many-buffered-bytes"});
    }

    HttpResponse refusal(const DeadlineSource &source, const HttpRequestError &error)
    {
        return source.withoutRoom() ? tooManyBytes() : m_handler.makeErrorResponse(error);
    }

    bool setPhase(ConnectionPhase phase) { return m_connections.setPhase(socket(), phase); }

    /// Returns true if the connection accepts another request.
    bool serveRequest(DeadlineSource &source, ByteReader &reader, bool last)
    {
        source.setTimeout(m_limits.headTimeout);
        Result<HttpHead, HttpRequestError> head = readHead(reader, m_limits);
        if (!isOk(head)) {
            reject(refusal(source, errorOf(head)));
            return false;
        }
        HttpHead request = takeValue(std::move(head));
        const Result<std::string, HttpResponse> principal = m_handler.authorize(request);
        if (!isOk(principal)) {
            reject(errorOf(principal));
            return false;
        }
        source.setTimeout(m_limits.bodyTimeout);
        if (request.expectsContinue && request.contentLength != 0) {
            sendAll("HTTP/1.1 100 Continue\r\n\r\n");
        }
        Result<std::string, HttpRequestError> body = readBody(reader, request, m_limits);
        if (!isOk(body)) {
            reject(refusal(source, errorOf(body)));
            return false;
        }
        const bool keepAlive = request.keepAlive && !last;
        const bool isHeadRequest = request.method == "HEAD";
        if (!setPhase(ConnectionPhase::Handling)) {
            return false;
        }
        const HttpResponse response = m_handler.handle(valueOf(principal), std::move(request),
                                                       takeValue(std::move(body)));
        sendResponse(response, keepAlive, isHeadRequest);
        return keepAlive;
    }

    /// Sends the response and lingers, so that the client receives it before the connection is
    /// closed.
    void reject(const HttpResponse &response)
    {
        if (response.status == 0) {
            return;
        }
        sendResponse(response, false, false);
        socket().shutdownSend();
        setPhase(ConnectionPhase::Lingering);
        discardInput(socket());
    }

    void sendResponse(const HttpResponse &response, bool keepAlive, bool isHeadRequest)
    {
        const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status);
        std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " "
                + Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
        for (const auto &[name, value] : response.headers) {
            bytes += name + ": " + value + "\r\n";
        }
        // RFC 9110 section 8.6: no Content-Length in responses that never have a body.
        const bool bodiless = response.status == 204 || response.status == 304;
        if (!bodiless && !(isHeadRequest && headerValue(response.headers, "Content-Length"))) {
            bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
        }
        bytes += keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
        if (!isHeadRequest && !bodiless) {
            bytes += response.body;
        }
        setPhase(ConnectionPhase::Sending);
        m_connections.addBytes(socket(), bytes.size());
        sendAll(bytes);
    }

    void sendAll(const std::string &bytes)
    {
        const SteadyTimeMs deadline = steadyTimeNow() + m_limits.responseSendTimeout.count();
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const SteadyTimeMs remainingMs = deadline - steadyTimeNow();
            if (remainingMs <= 0) {
                throw Poco::TimeoutException();
            }
            socket().setSendTimeout(timespan(Milliseconds(remainingMs)));
            constexpr std::size_t maxSendBytes = 65536;
            const std::size_t partSize = std::min(bytes.size() - sent, maxSendBytes);
            const int count = socket().sendBytes(bytes.data() + sent, static_cast<int>(partSize),
                                                 MSG_NOSIGNAL);
            if (count <= 0) {
                throw Poco::TimeoutException();
            }
            sent += static_cast<std::size_t>(count);
            m_connections.noteProgress(socket());
        }
    }

    const HttpLimits &m_limits;
    HttpHandler &m_handler;
    ConnectionSet &m_connections;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(const HttpLimits &limits, HttpHandler &handler, ConnectionSet &connections)
        : m_limits(limits), m_handler(handler), m_connections(connections)
    { }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new Connection(socket, m_limits, m_handler, m_connections);
    }

private:
    const HttpLimits &m_limits;
    HttpHandler &m_handler;
    ConnectionSet &m_connections;
};

} // namespace

HttpListener::HttpListener(const std::string &address, const HttpLimits &limits,
                           HttpHandler &handler)
    : m_limits(limits), m_connections({limits.maxConnections, limits.maxBufferedBytes}),
      m_threads(2, static_cast<int>(limits.maxConnections + rejectionThreads))
{
    m_socket.bind(Poco::Net::SocketAddress(address), true, false);
    m_socket.listen(listenBacklog);
    auto *parameters = new Poco::Net::TCPServerParams;
    parameters->setMaxThreads(static_cast<int>(limits.maxConnections + rejectionThreads));
    parameters->setMaxQueued(
            static_cast<int>(std::max(limits.maxConnections / connectionsPerQueued, minQueued)));
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
    m_connections.stop(m_limits.stopTimeout);
    m_threads.joinAll();
}

std::string HttpListener::address() const
{
    return m_socket.address().toString();
}

} // namespace dandelionloom

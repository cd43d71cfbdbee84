#include "Adapters/Peers/PeerServer.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <functional>
#include <utility>

#include "Adapters/Peers/PeerEnvelope.h"

namespace dandelionloom {

namespace {

/// Delay before accepting again after the system ran out of descriptors or memory.
constexpr Milliseconds acceptRetryDelay{100};
constexpr SteadyTimeMs refusalLogIntervalMs = 60000;
constexpr std::size_t maxTrackedRefusals = 256;
/// Limits the memory that an unauthenticated peer can make the process use.
constexpr std::size_t maxHelloBytes = 4096;

/// Host part of an address. Refusals are tracked by host, as a client's port differs at each
/// attempt.
std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

/// Counts the bytes of a request until its handler has replied, or has dropped the reply function.
class PeerServer::UnansweredRequest
{
public:
    UnansweredRequest(std::weak_ptr<PeerServer *> server, std::shared_ptr<EventLoop> loop,
                      std::size_t bytes)
        : m_server(std::move(server)), m_loop(std::move(loop)), m_bytes(bytes)
    { }
    ~UnansweredRequest()
    {
        finish([](PeerServer &) {});
    }
    UnansweredRequest(const UnansweredRequest &) = delete;
    UnansweredRequest &operator=(const UnansweredRequest &) = delete;

    /// Ends the count and runs the function on the loop's thread. Only the first call has an
    /// effect. Thread-safe.
    void finish(std::function<void(PeerServer &)> reply)
    {
        if (m_finished.exchange(true)) {
            return;
        }
        m_loop->post([server = m_server, bytes = m_bytes, reply = std::move(reply)] {
            if (const std::shared_ptr<PeerServer *> self = server.lock()) {
                (*self)->m_unansweredBytes -= bytes;
                reply(**self);
            }
        });
    }

private:
    const std::weak_ptr<PeerServer *> m_server;
    const std::shared_ptr<EventLoop> m_loop;
    const std::size_t m_bytes;
    std::atomic<bool> m_finished = false;
};

PeerServer::PeerServer(std::shared_ptr<EventLoop> loop, PeerContext context,
                       const Handlers &handlers)
    : m_loop(std::move(loop)), m_context(context), m_handlers(handlers),
      m_alive(std::make_shared<PeerServer *>(this))
{ }

void PeerServer::start(int listener)
{
    m_listener = listener;
    watchListener();
}

void PeerServer::stop()
{
    m_stopped = true;
    m_alive.reset();
    if (m_listener >= 0) {
        m_loop->unwatch(m_listenerWatch);
        m_loop->cancelTimer(m_acceptRetryTimer);
        ::close(m_listener);
        m_listener = -1;
    }
    while (!m_connections.empty()) {
        const std::shared_ptr<Http2Connection> connection =
                m_connections.begin()->second.connection;
        connection->close("the transport is stopped");
    }
}

void PeerServer::watchListener()
{
    m_listenerWatch =
            m_loop->watch(m_listener, EPOLLIN, [this](std::uint32_t) { acceptConnections(); });
}

void PeerServer::acceptConnections()
{
    for (;;) {
        SocketAddress remote;
        remote.length = sizeof remote.storage;
        const int descriptor = ::accept4(m_listener, reinterpret_cast<sockaddr *>(&remote.storage),
                                         &remote.length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            addConnection(descriptor, formatSocketAddress(remote));
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS) {
            m_context.log.event(LogSeverity::Error, "peers",
                                std::string("accept failed, pausing: ") + std::strerror(errno));
            m_loop->unwatch(m_listenerWatch);
            m_acceptRetryTimer = m_loop->startTimer(acceptRetryDelay, [this] { watchListener(); });
        }
        if (errno == EINTR || errno == ECONNABORTED) {
            continue;
        }
        return;
    }
}

void PeerServer::addConnection(int descriptor, const std::string &address)
{
    if (!makeRoom()) {
        logRefusal(address,
                   "expected at most " + std::to_string(m_context.options.maxConnections)
                           + " connections, found one more");
        ::close(descriptor);
        return;
    }
    setNoDelay(descriptor);
    const std::uint64_t id = m_nextId++;
    Http2Events events;
    events.message = [this, id](std::int32_t stream, std::string body) {
        onMessage(id, stream, std::move(body));
    };
    events.streamClosed = [this, id](std::int32_t stream) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && found->second.refusedHelloStream == stream) {
            found->second.connection->terminate();
        }
    };
    events.bytesTransferred = [this](std::size_t received, std::size_t sent) {
        m_context.traffic.wireBytes(received, sent);
    };
    events.heldBytesChanged = [this, id](std::size_t bytes) { onHeldBytes(id, bytes); };
    events.outputDrained = [] {};
    events.closed = [this, id](const std::string &reason) { onClosed(id, reason); };
    Http2Limits limits = http2Limits(m_context.options);
    limits.maxBodyBytes = maxHelloBytes;
    limits.maxBufferedBytes = maxHelloBytes;
    m_withoutHello.insert(id);
    InboundConnection &inbound = m_connections[id];
    inbound.address = address;
    inbound.connection = std::make_shared<Http2Connection>(*m_loop, descriptor, Http2Role::Server,
                                                           limits, std::move(events));
    inbound.timer = m_loop->startTimer(m_context.options.helloTimeout, [this, id] {
        m_connections.at(id).connection->close(
                "expected a hello within " + std::to_string(m_context.options.helloTimeout.count())
                + " ms, found none that was accepted");
    });
    const std::shared_ptr<Http2Connection> connection = inbound.connection;
    connection->open();
}

bool PeerServer::makeRoom()
{
    if (m_connections.size() < m_context.options.maxConnections) {
        return true;
    }
    if (m_withoutHello.empty()) {
        return false;
    }
    const std::shared_ptr<Http2Connection> oldest =
            m_connections.at(*m_withoutHello.begin()).connection;
    oldest->close("expected a hello before the limit of connections was reached, found none that "
                  "was accepted");
    return true;
}

void PeerServer::onHeldBytes(std::uint64_t id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    m_heldBytes = m_heldBytes - found->second.heldBytes + bytes;
    found->second.heldBytes = bytes;
    if (m_context.options.maxHeldBytes == 0 || m_discarding) {
        return;
    }
    m_discarding = true;
    while (m_heldBytes > heldBytesLimit() && discardMessage()) { }
    m_discarding = false;
}

std::size_t PeerServer::heldBytesLimit() const
{
    // Unanswered requests alone must not make all other messages be discarded.
    const std::size_t limit = m_context.options.maxHeldBytes;
    const std::size_t reserved = std::min(limit, 2 * m_context.options.maxMessageBytes);
    return std::max(limit - std::min(limit, m_unansweredBytes), reserved);
}

bool PeerServer::discardMessage()
{
    const auto largest = std::max_element(
            m_connections.begin(), m_connections.end(), [](const auto &left, const auto &right) {
                return left.second.connection->heldBytes() < right.second.connection->heldBytes();
            });
    if (largest == m_connections.end()) {
        return false;
    }
    const std::string address = largest->second.address;
    const std::shared_ptr<Http2Connection> connection = largest->second.connection;
    const std::uint64_t id = largest->first;
    if (!connection->discardLargestMessage()) {
        return false;
    }
    // A connection that delivers messages reports its bytes only afterwards.
    onHeldBytes(id, connection->heldBytes());
    logRefusal(address,
               "expected at most " + std::to_string(m_context.options.maxHeldBytes)
                       + " bytes of messages on all connections, found more");
    return true;
}

void PeerServer::onMessage(std::uint64_t id, std::int32_t stream, std::string body)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.refusedHelloStream != 0) {
        return;
    }
    InboundConnection &inbound = found->second;
    if (!inbound.name.empty()) {
        onRequest(id, inbound, stream, body);
        return;
    }
    onHello(inbound, stream, body);
    // The hello may have closed the connection.
    const auto accepted = m_connections.find(id);
    if (accepted != m_connections.end() && !accepted->second.name.empty()) {
        m_withoutHello.erase(id);
        m_loop->cancelTimer(accepted->second.timer);
        checkIdleTimeout(id);
    }
}

void PeerServer::onHello(InboundConnection &inbound, std::int32_t stream, const std::string &body)
{
    m_context.traffic.received(PeerMessageKind::Hello, body.size());
    const std::optional<PeerHello> hello = decodeEnvelope<PeerHello>(body);
    if (!hello) {
        inbound.connection->close("expected a hello, found other bytes");
        return;
    }
    const std::optional<std::string> refusal = helloRefusal(*hello, m_context.self);
    PeerHelloReply reply;
    reply.version = peerProtocolVersion;
    reply.accepted = !refusal;
    reply.message = refusal.value_or("");
    reply.clusterId = m_context.self.clusterId;
    reply.name = m_context.self.name;
    if (refusal) {
        logRefusal(inbound.address,
                   "peer \"" + toPrintable(hello->name) + "\" refused: " + *refusal);
        inbound.refusedHelloStream = stream;
    } else {
        inbound.name = hello->name;
        inbound.connection->setLimits(http2Limits(m_context.options));
    }
    std::string message = encodeEnvelope(reply);
    m_context.traffic.sent(PeerMessageKind::Hello, message.size());
    inbound.connection->respond(stream, std::move(message));
}

void PeerServer::onRequest(std::uint64_t id, const InboundConnection &inbound, std::int32_t stream,
                           const std::string &body)
{
    std::optional<PeerRequest> request = decodeEnvelope<PeerRequest>(body);
    if (!request) {
        const std::shared_ptr<Http2Connection> connection = inbound.connection;
        connection->close("expected a request envelope, found other bytes");
        return;
    }
    if (request->kind >= m_handlers.size() || !m_handlers[request->kind]) {
        respond(id, stream, PeerMessageKind::Hello,
                PeerError{PeerErrorKind::Refused,
                          "unknown message kind " + std::to_string(request->kind)});
        return;
    }
    const auto kind = static_cast<PeerMessageKind>(request->kind);
    m_context.traffic.received(kind, body.size());
    const std::size_t limit = m_context.options.maxHeldBytes;
    if (limit != 0 && m_unansweredBytes + body.size() > limit) {
        logRefusal(inbound.address,
                   "expected at most " + std::to_string(limit)
                           + " bytes of requests that are handled, found more");
        inbound.connection->refuseStream(stream);
        return;
    }
    const PeerTransport::Reply reply = replyTo(id, stream, kind, body.size());
    try {
        m_handlers[request->kind](inbound.name, std::move(request->body), reply);
    } catch (const std::exception &exception) {
        m_context.log.event(LogSeverity::Error, "peers",
                            "the handler of " + std::string(peerMessageKindNames.name(kind))
                                    + " failed: " + exception.what());
        reply(PeerError{PeerErrorKind::NoAnswer, "the handler failed"});
    }
    // The request takes room that other messages may have used.
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        onHeldBytes(id, found->second.connection->heldBytes());
    }
}

PeerTransport::Reply PeerServer::replyTo(std::uint64_t id, std::int32_t stream,
                                         PeerMessageKind kind, std::size_t bytes)
{
    m_unansweredBytes += bytes;
    const auto request = std::make_shared<UnansweredRequest>(m_alive, m_loop, bytes);
    return [request, id, stream, kind](PeerResult result) {
        request->finish([id, stream, kind, result = std::move(result)](PeerServer &server) {
            server.respond(id, stream, kind, result);
        });
    };
}

void PeerServer::respond(std::uint64_t id, std::int32_t stream, PeerMessageKind kind,
                         const PeerResult &result)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    PeerResponse response;
    if (isOk(result) && valueOf(result).size() <= m_context.options.maxMessageBytes) {
        response.body = valueOf(result);
    } else if (isOk(result)) {
        response = {2, "the answer exceeds the message limit"};
    } else {
        response = {errorOf(result).kind == PeerErrorKind::Refused ? 1U : 2U,
                    errorOf(result).message};
    }
    std::string message = encodeEnvelope(response);
    m_context.traffic.sent(kind, message.size());
    const std::shared_ptr<Http2Connection> connection = found->second.connection;
    connection->respond(stream, std::move(message));
}

void PeerServer::onClosed(std::uint64_t id, const std::string &reason)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    m_loop->cancelTimer(found->second.timer);
    const InboundConnection inbound = std::move(found->second);
    m_connections.erase(found);
    m_withoutHello.erase(id);
    m_heldBytes -= inbound.heldBytes;
    if (m_stopped || inbound.refusedHelloStream != 0) {
        return;
    }
    if (inbound.name.empty() && !isLogDue(inbound.address, reason)) {
        return;
    }
    const std::string name = inbound.name.empty() ? "without hello" : "from " + inbound.name;
    const bool expected = !inbound.name.empty() && inbound.connection->openStreams() == 0;
    m_context.log.event(expected ? LogSeverity::Debug : LogSeverity::Warning, "peers",
                        "connection " + name + " at " + inbound.address + " closed: " + reason);
}

void PeerServer::checkIdleTimeout(std::uint64_t id)
{
    InboundConnection &inbound = m_connections.at(id);
    const Milliseconds limit = m_context.options.serverIdleTimeout;
    const SteadyTimeMs idleForMs = steadyTimeNow() - inbound.connection->lastReceivedAt();
    if (idleForMs >= limit.count()) {
        const std::shared_ptr<Http2Connection> connection = inbound.connection;
        connection->close("no byte received for " + std::to_string(idleForMs) + " ms");
        return;
    }
    inbound.timer = m_loop->startTimer(limit - Milliseconds(idleForMs),
                                       [this, id] { checkIdleTimeout(id); });
}

void PeerServer::logRefusal(const std::string &address, const std::string &message)
{
    if (isLogDue(address, message)) {
        m_context.log.event(LogSeverity::Error, "peers",
                            "connection from " + address + ": " + message);
    }
}

bool PeerServer::isLogDue(const std::string &address, const std::string &message)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::string key = hostOf(address) + " " + message;
    const auto found = m_lastRefusalLogAt.find(key);
    if (found != m_lastRefusalLogAt.end() && now - found->second < refusalLogIntervalMs) {
        return false;
    }
    if (m_lastRefusalLogAt.size() >= maxTrackedRefusals) {
        m_lastRefusalLogAt.clear();
    }
    m_lastRefusalLogAt[key] = now;
    return true;
}

} // namespace dandelionloom

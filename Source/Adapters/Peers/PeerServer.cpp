#include "Adapters/Peers/PeerServer.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>

#include "Adapters/Peers/PeerEnvelope.h"

namespace dandelionloom {

namespace {

/// Pause after the system refused a new descriptor.
constexpr Milliseconds acceptPause{100};
constexpr SteadyTimeMs refusalLogIntervalMs = 60000;
constexpr std::size_t maxRememberedRefusals = 256;
/// Limit of the hello, so that a stranger can't make the process hold much.
constexpr std::size_t maxHelloBytes = 4096;

/// Host part, as the port of a client differs at each attempt.
std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

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
        m_loop->cancelTimer(m_listenerTimer);
        ::close(m_listener);
        m_listener = -1;
    }
    while (!m_accepted.empty()) {
        const std::shared_ptr<Http2Connection> connection = m_accepted.begin()->second.connection;
        connection->close("the transport is stopped");
    }
}

void PeerServer::watchListener()
{
    m_listenerWatch = m_loop->watch(m_listener, EPOLLIN, [this](std::uint32_t) { acceptAll(); });
}

void PeerServer::acceptAll()
{
    for (;;) {
        SocketAddress remote;
        remote.length = sizeof remote.storage;
        const int descriptor = ::accept4(m_listener, reinterpret_cast<sockaddr *>(&remote.storage),
                                         &remote.length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            add(descriptor, formatSocketAddress(remote));
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS) {
            m_context.log.event(LogSeverity::Error, "peers",
                                std::string("accepting pauses: ") + std::strerror(errno));
            m_loop->unwatch(m_listenerWatch);
            m_listenerTimer = m_loop->startTimer(acceptPause, [this] { watchListener(); });
        }
        if (errno == EINTR || errno == ECONNABORTED) {
            continue;
        }
        return;
    }
}

void PeerServer::add(int descriptor, const std::string &address)
{
    if (m_accepted.size() >= m_context.options.maxConnections) {
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
    events.streamEnded = [this, id](std::int32_t stream) {
        const auto found = m_accepted.find(id);
        if (found != m_accepted.end() && found->second.lastStream == stream) {
            found->second.connection->terminate();
        }
    };
    events.bytes = [this](std::size_t received, std::size_t sent) {
        m_context.traffic.wire(received, sent);
    };
    events.drained = [] {};
    events.closed = [this, id](const std::string &reason) { onClosed(id, reason); };
    Http2Limits limits = http2Limits(m_context.options);
    limits.maxBodyBytes = maxHelloBytes;
    limits.maxBufferedBytes = maxHelloBytes;
    Accepted &accepted = m_accepted[id];
    accepted.address = address;
    accepted.connection = std::make_shared<Http2Connection>(*m_loop, descriptor, Http2Role::Server,
                                                            limits, std::move(events));
    accepted.timer = m_loop->startTimer(m_context.options.helloTimeout, [this, id] {
        m_accepted.at(id).connection->close("expected a hello within "
                                            + std::to_string(m_context.options.helloTimeout.count())
                                            + " ms, found none that was accepted");
    });
    const std::shared_ptr<Http2Connection> connection = accepted.connection;
    connection->open();
}

void PeerServer::onMessage(std::uint64_t id, std::int32_t stream, std::string body)
{
    const auto found = m_accepted.find(id);
    if (found == m_accepted.end() || found->second.lastStream != 0) {
        return;
    }
    Accepted &accepted = found->second;
    if (!accepted.name.empty()) {
        onRequest(id, accepted, stream, body);
        return;
    }
    onHello(accepted, stream, body);
    if (!accepted.name.empty()) {
        m_loop->cancelTimer(accepted.timer);
        checkIdle(id);
    }
}

void PeerServer::onHello(Accepted &accepted, std::int32_t stream, const std::string &body)
{
    m_context.traffic.received(PeerMessageKind::Hello, body.size());
    const std::optional<PeerHello> hello = decodeEnvelope<PeerHello>(body);
    if (!hello) {
        accepted.connection->close("expected a hello, found other bytes");
        return;
    }
    const std::optional<std::string> refusal = refusalOf(*hello, m_context.self);
    PeerHelloReply reply;
    reply.version = peerProtocolVersion;
    reply.accepted = !refusal;
    reply.message = refusal.value_or("");
    reply.clusterId = m_context.self.clusterId;
    reply.name = m_context.self.name;
    if (refusal) {
        logRefusal(accepted.address,
                   "peer \"" + printable(hello->name) + "\" refused: " + *refusal);
        accepted.lastStream = stream;
    } else {
        accepted.name = hello->name;
        accepted.connection->setLimits(http2Limits(m_context.options));
    }
    std::string message = encodeEnvelope(reply);
    m_context.traffic.sent(PeerMessageKind::Hello, message.size());
    accepted.connection->respond(stream, std::move(message));
}

void PeerServer::onRequest(std::uint64_t id, const Accepted &accepted, std::int32_t stream,
                           const std::string &body)
{
    std::optional<PeerRequest> request = decodeEnvelope<PeerRequest>(body);
    if (!request) {
        const std::shared_ptr<Http2Connection> connection = accepted.connection;
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
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    const std::weak_ptr<PeerServer *> alive = m_alive;
    const std::shared_ptr<EventLoop> loop = m_loop;
    const PeerTransport::Reply reply = [alive, loop, answered, id, stream,
                                        kind](PeerResult result) {
        if (answered->exchange(true)) {
            return;
        }
        loop->post([alive, id, stream, kind, result = std::move(result)] {
            if (const std::shared_ptr<PeerServer *> server = alive.lock()) {
                (*server)->respond(id, stream, kind, result);
            }
        });
    };
    try {
        m_handlers[request->kind](accepted.name, std::move(request->body), reply);
    } catch (const std::exception &exception) {
        m_context.log.event(LogSeverity::Error, "peers",
                            "the handler of " + std::string(peerMessageKindNames.name(kind))
                                    + " failed: " + exception.what());
        reply(PeerError{PeerErrorKind::NoAnswer, "the handler failed"});
    }
}

void PeerServer::respond(std::uint64_t id, std::int32_t stream, PeerMessageKind kind,
                         const PeerResult &result)
{
    const auto found = m_accepted.find(id);
    if (found == m_accepted.end()) {
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
    const auto found = m_accepted.find(id);
    if (found == m_accepted.end()) {
        return;
    }
    m_loop->cancelTimer(found->second.timer);
    const Accepted accepted = std::move(found->second);
    m_accepted.erase(found);
    if (m_stopped || accepted.lastStream != 0) {
        return;
    }
    const std::string name = accepted.name.empty() ? "without hello" : "from " + accepted.name;
    const bool expected = !accepted.name.empty() && accepted.connection->openStreams() == 0;
    m_context.log.event(expected ? LogSeverity::Debug : LogSeverity::Warning, "peers",
                        "connection " + name + " at " + accepted.address + " closed: " + reason);
}

void PeerServer::checkIdle(std::uint64_t id)
{
    Accepted &accepted = m_accepted.at(id);
    const Milliseconds limit = m_context.options.serverIdleTimeout;
    const SteadyTimeMs idleFor = steadyTimeNow() - accepted.connection->lastReceivedAt();
    if (idleFor >= limit.count()) {
        const std::shared_ptr<Http2Connection> connection = accepted.connection;
        connection->close("no byte received for " + std::to_string(idleFor) + " ms");
        return;
    }
    accepted.timer =
            m_loop->startTimer(limit - Milliseconds(idleFor), [this, id] { checkIdle(id); });
}

void PeerServer::logRefusal(const std::string &address, const std::string &message)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::string key = hostOf(address) + " " + message;
    const auto found = m_refusals.find(key);
    if (found != m_refusals.end() && now - found->second < refusalLogIntervalMs) {
        return;
    }
    if (m_refusals.size() >= maxRememberedRefusals) {
        m_refusals.clear();
    }
    m_refusals[key] = now;
    m_context.log.event(LogSeverity::Error, "peers", "connection from " + address + ": " + message);
}

} // namespace dandelionloom

#include "Adapters/Peers/PeerClient.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>

#include "Adapters/Peers/PeerEnvelope.h"

namespace dandelionloom {

namespace {

constexpr std::uint32_t maxBackOffDoublings = 16;

} // namespace

Http2Limits http2Limits(const PeerTransportOptions &options)
{
    return {options.maxMessageBytes + maxEnvelopeBytes, options.maxStreams, options.maxHeaderBytes,
            options.maxBufferedBytes};
}

PeerClient::PeerClient(EventLoop &loop, PeerContext context, PeerAddress peer, std::uint64_t seed)
    : m_loop(loop), m_context(context), m_peer(std::move(peer)),
      m_address(parseSocketAddress(m_peer.address)), m_random(seed)
{ }

void PeerClient::call(PeerMessageKind kind, std::string body, Milliseconds timeout,
                      PeerTransport::Reply reply)
{
    const PeerTransportOptions &options = m_context.options;
    const auto reject = [&](const std::string &reason) {
        reply(PeerError{PeerErrorKind::NotSent, reason});
    };
    if (m_state == State::Stopped) {
        return reject("the transport is stopped");
    }
    if (body.size() > options.maxMessageBytes) {
        return reject("expected a message of at most " + std::to_string(options.maxMessageBytes)
                      + " bytes, found " + std::to_string(body.size()));
    }
    if (m_calls.size() >= options.maxPendingCalls
        || m_pendingBytes + body.size() > options.maxPendingBytes) {
        return reject("too many pending calls to " + m_peer.name);
    }
    const std::uint64_t id = m_nextCallId++;
    Call entry;
    entry.kind = kind;
    entry.message = encodeEnvelope(PeerRequest{static_cast<std::uint32_t>(kind), std::move(body)});
    entry.messageBytes = entry.message.size();
    entry.timer = m_loop.startTimeout(timeout, [this, id] { onTimeout(id); });
    entry.reply = std::move(reply);
    m_pendingBytes += entry.messageBytes;
    m_calls.emplace(id, std::move(entry));
    m_queuedCalls.push_back(id);
    if (m_state == State::Idle) {
        connect();
    } else if (m_state == State::Ready) {
        sendQueuedCalls();
    }
}

void PeerClient::stop()
{
    m_state = State::Stopped;
    m_loop.cancelTimer(m_stateTimer);
    closeConnectingSocket();
    if (m_connection) {
        m_connection->close("the transport is stopped");
    }
    failQueuedCalls(PeerErrorKind::NotSent, "the transport is stopped");
    failSentCalls("the transport is stopped");
}

void PeerClient::connect()
{
    if (!m_address) {
        onConnectFailed(PeerErrorKind::NotSent,
                        "expected an IP number and port, found \"" + m_peer.address + "\"");
        return;
    }
    const Result<int, SocketError> started = startConnect(*m_address);
    if (!isOk(started)) {
        onConnectFailed(PeerErrorKind::NotSent, errorOf(started).message);
        return;
    }
    m_state = State::Connecting;
    m_connectingSocket = valueOf(started);
    m_connectingWatch =
            m_loop.watch(m_connectingSocket, EPOLLOUT, [this](std::uint32_t) { onConnected(); });
    m_stateTimer = m_loop.startTimeout(m_context.options.connectTimeout, [this] {
        closeConnectingSocket();
        onConnectFailed(PeerErrorKind::NotSent, "connect to " + m_peer.address + ": timeout");
    });
}

void PeerClient::onConnected()
{
    m_loop.cancelTimer(m_stateTimer);
    const std::optional<std::string> error = connectError(m_connectingSocket);
    if (error) {
        closeConnectingSocket();
        onConnectFailed(PeerErrorKind::NotSent, "connect to " + m_peer.address + ": " + *error);
        return;
    }
    openConnection();
}

void PeerClient::openConnection()
{
    m_loop.unwatch(m_connectingWatch);
    const int descriptor = std::exchange(m_connectingSocket, -1);
    Http2Events events;
    events.message = [this](std::int32_t stream, std::string body) {
        onMessage(stream, std::move(body));
    };
    events.streamClosed = [this](std::int32_t stream) { onStreamClosed(stream); };
    events.bytesTransferred = [this](std::size_t received, std::size_t sent) {
        m_context.traffic.wireBytes(received, sent);
    };
    events.outputDrained = [this] {
        if (m_state == State::Ready) {
            sendQueuedCalls();
        }
    };
    events.closed = [this](const std::string &reason) { onClosed(reason); };
    m_state = State::Handshaking;
    m_connection =
            std::make_shared<Http2Connection>(m_loop, descriptor, Http2Role::Client,
                                              http2Limits(m_context.options), std::move(events));
    m_stateTimer = m_loop.startTimeout(m_context.options.helloTimeout,
                                       [this] { m_connection->close("no answer to the hello"); });
    const std::shared_ptr<Http2Connection> connection = m_connection;
    connection->open();
    std::string hello = encodeEnvelope(makeHello(m_context.self));
    m_context.traffic.sent(PeerMessageKind::Hello, hello.size());
    m_helloStream = connection->request(std::move(hello));
}

void PeerClient::onMessage(std::int32_t stream, std::string body)
{
    if (m_state == State::Handshaking && stream == m_helloStream) {
        onHelloReply(body);
        return;
    }
    const auto found = m_callByStream.find(stream);
    if (found == m_callByStream.end()) {
        return;
    }
    const std::uint64_t id = found->second;
    m_context.traffic.received(m_calls.at(id).kind, body.size());
    std::optional<PeerResponse> response = decodeEnvelope<PeerResponse>(body);
    if (!response) {
        m_connection->close("expected a response envelope, found other bytes");
        return;
    }
    m_consecutiveFailures = 0;
    if (response->status == 0) {
        completeCall(id, std::move(response->body));
    } else {
        const PeerErrorKind kind =
                response->status == 1 ? PeerErrorKind::Refused : PeerErrorKind::NoAnswer;
        completeCall(id, PeerError{kind, std::move(response->body)});
    }
    sendQueuedCalls();
}

void PeerClient::onHelloReply(const std::string &body)
{
    m_context.traffic.received(PeerMessageKind::Hello, body.size());
    const std::optional<PeerHelloReply> reply = decodeEnvelope<PeerHelloReply>(body);
    std::string refusal;
    if (!reply) {
        refusal = "expected an answer to the hello, found other bytes";
    } else if (!reply->accepted) {
        refusal = toPrintable(reply->message, maxRefusalLength);
    } else if (reply->version != peerProtocolVersion || reply->clusterId != m_context.self.clusterId
               || reply->name != m_peer.name) {
        refusal = "expected \"" + m_peer.name + "\" of cluster \"" + m_context.self.clusterId
                + "\", found \"" + toPrintable(reply->name) + "\" of cluster \""
                + toPrintable(reply->clusterId) + "\"";
    }
    if (!refusal.empty()) {
        logIfChanged(LogSeverity::Error,
                     "peer " + m_peer.name + " at " + m_peer.address + " refused: " + refusal);
        m_state = State::BackingOff;
        m_connection->close("refused");
        m_connection.reset();
        m_loop.cancelTimer(m_stateTimer);
        failQueuedCalls(PeerErrorKind::Refused, refusal);
        m_lastError = refusal;
        backOff(m_context.options.refusedBackOff);
        return;
    }
    m_loop.cancelTimer(m_stateTimer);
    m_state = State::Ready;
    m_lastUsedAt = steadyTimeNow();
    m_lastError.clear();
    logIfChanged(LogSeverity::Info, "connected to peer " + m_peer.name + " at " + m_peer.address);
    checkConnection();
    sendQueuedCalls();
}

void PeerClient::onStreamClosed(std::int32_t stream)
{
    if (m_state == State::Handshaking && stream == m_helloStream) {
        m_connection->close("the hello was not answered");
        return;
    }
    const auto found = m_callByStream.find(stream);
    if (found != m_callByStream.end()) {
        completeCall(found->second, PeerError{PeerErrorKind::NoAnswer, "reset by " + m_peer.name});
    }
    if (m_state == State::Ready) {
        sendQueuedCalls();
    }
}

void PeerClient::onClosed(const std::string &reason)
{
    if (m_state != State::Handshaking && m_state != State::Ready) {
        return;
    }
    m_loop.cancelTimer(m_stateTimer);
    m_connection.reset();
    if (m_state == State::Handshaking) {
        onConnectFailed(PeerErrorKind::NotSent, "hello to " + m_peer.address + ": " + reason);
        return;
    }
    const bool hadCallsInFlight = !m_callByStream.empty();
    m_lastError = "connection to peer " + m_peer.name + " lost: " + reason;
    if (hadCallsInFlight) {
        logIfChanged(LogSeverity::Warning, m_lastError);
    }
    m_state = State::BackingOff;
    failSentCalls(m_lastError);
    backOff(nextBackOff());
}

void PeerClient::onTimeout(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const std::int32_t stream = found->second.stream;
    if (stream == 0) {
        const std::string reason = m_lastError.empty() ? "not connected" : m_lastError;
        completeCall(id, PeerError{PeerErrorKind::NotSent, "timeout before sending: " + reason});
        return;
    }
    const std::shared_ptr<Http2Connection> connection = m_connection;
    completeCall(id, PeerError{PeerErrorKind::NoAnswer, "timeout"});
    connection->resetStream(stream);
}

void PeerClient::sendQueuedCalls()
{
    // Stays one stream below the limit, for a stream that the peer still counts because our reset
    // has not reached it.
    const std::size_t limit = std::max<std::size_t>(m_context.options.maxStreams, 2) - 1;
    while (m_state == State::Ready && !m_queuedCalls.empty() && !m_connection->hasUnsentOutput()
           && m_connection->openStreams() < limit) {
        const std::uint64_t id = m_queuedCalls.front();
        m_queuedCalls.pop_front();
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            continue;
        }
        const SteadyTimeMs now = steadyTimeNow();
        if (m_callByStream.empty()) {
            m_pendingSince = now;
        }
        m_lastUsedAt = now;
        // From here on the message counts as sent, even if none of its bytes has been written.
        const std::shared_ptr<Http2Connection> connection = m_connection;
        const std::int32_t stream = connection->request(std::move(found->second.message));
        if (m_connection != connection) {
            // The connection was lost while the request was written. Its calls have been completed
            // without this one, which had no stream yet.
            completeCall(id, PeerError{PeerErrorKind::NoAnswer, m_lastError});
            return;
        }
        if (stream <= 0) {
            completeCall(id, PeerError{PeerErrorKind::NotSent, "no stream left on the connection"});
            m_connection->close("no stream left");
            return;
        }
        m_context.traffic.sent(found->second.kind, found->second.messageBytes);
        found->second.stream = stream;
        m_callByStream.emplace(stream, id);
    }
}

void PeerClient::checkConnection()
{
    const PeerTransportOptions &options = m_context.options;
    const SteadyTimeMs now = steadyTimeNow();
    if (m_callByStream.empty()) {
        if (now - m_lastUsedAt >= options.clientIdleTimeout.count() && m_queuedCalls.empty()) {
            m_connection->terminate();
        }
    } else {
        const SteadyTimeMs silentForMs =
                now - std::max(m_connection->lastReceivedAt(), m_pendingSince);
        if (silentForMs >= options.receiveTimeout.count()) {
            m_connection->close("no byte received for " + std::to_string(silentForMs)
                                + " ms with calls pending");
            return;
        }
        if (silentForMs >= options.receiveTimeout.count() / 2) {
            m_connection->ping();
        }
    }
    if (m_state == State::Ready) {
        m_stateTimer =
                m_loop.startTimeout(options.receiveTimeout / 4, [this] { checkConnection(); });
    }
}

void PeerClient::onConnectFailed(PeerErrorKind kind, const std::string &reason)
{
    m_state = State::BackingOff;
    m_lastError = reason;
    logIfChanged(LogSeverity::Warning, "peer " + m_peer.name + " is not reachable: " + reason);
    failQueuedCalls(kind, reason);
    backOff(nextBackOff());
}

void PeerClient::backOff(Milliseconds delay)
{
    m_stateTimer = m_loop.startTimer(delay, [this] {
        m_state = State::Idle;
        if (!m_queuedCalls.empty()) {
            connect();
        }
    });
}

Milliseconds PeerClient::nextBackOff()
{
    const PeerTransportOptions &options = m_context.options;
    const std::int64_t doubled = options.backOffMin.count()
            << std::min(m_consecutiveFailures, maxBackOffDoublings);
    m_consecutiveFailures = std::min(m_consecutiveFailures + 1, maxBackOffDoublings);
    const std::int64_t delay = std::min(doubled, options.backOffMax.count());
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(delay / 2, delay)(m_random));
}

void PeerClient::closeConnectingSocket()
{
    if (m_connectingSocket >= 0) {
        m_loop.unwatch(m_connectingWatch);
        ::close(m_connectingSocket);
        m_connectingSocket = -1;
    }
}

void PeerClient::completeCall(std::uint64_t id, PeerResult result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    Call call = std::move(found->second);
    m_calls.erase(found);
    m_loop.cancelTimer(call.timer);
    m_pendingBytes -= call.messageBytes;
    if (call.stream != 0) {
        m_callByStream.erase(call.stream);
    }
    try {
        call.reply(std::move(result));
    } catch (const std::exception &exception) {
        m_context.log.event(LogSeverity::Error, "peers",
                            std::string("a reply callback failed: ") + exception.what());
    }
}

void PeerClient::failQueuedCalls(PeerErrorKind kind, const std::string &reason)
{
    const std::deque<std::uint64_t> queued = std::exchange(m_queuedCalls, {});
    for (const std::uint64_t id : queued) {
        completeCall(id, PeerError{kind, reason});
    }
}

void PeerClient::failSentCalls(const std::string &reason)
{
    const std::map<std::int32_t, std::uint64_t> sent = std::exchange(m_callByStream, {});
    for (const auto &[stream, id] : sent) {
        completeCall(id, PeerError{PeerErrorKind::NoAnswer, reason});
    }
}

void PeerClient::logIfChanged(LogSeverity severity, const std::string &message)
{
    if (message != m_lastLogged) {
        m_lastLogged = message;
        m_context.log.event(severity, "peers", message);
    }
}

} // namespace dandelionloom

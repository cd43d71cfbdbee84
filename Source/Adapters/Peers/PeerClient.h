#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "Adapters/Peers/EventLoop.h"
#include "Adapters/Peers/Http2Connection.h"
#include "Adapters/Peers/PeerOptions.h"
#include "Adapters/Peers/PeerSockets.h"
#include "Adapters/Peers/PeerTraffic.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// State shared by the client and the server side of a transport. The referenced objects must
/// outlive both.
struct PeerContext
{
    const PeerIdentity &self;
    const PeerTransportOptions &options;
    DecisionLog &log;
    PeerTraffic &traffic;
};

Http2Limits http2Limits(const PeerTransportOptions &options);

/// Makes calls to one peer over one connection, which is opened for the first call and reopened
/// when calls are queued. Used only on the loop's thread.
class PeerClient
{
public:
    PeerClient(EventLoop &loop, PeerContext context, PeerAddress peer, std::uint64_t seed);

    void call(PeerMessageKind kind, std::string body, Milliseconds timeout,
              PeerTransport::Reply reply);
    /// Closes the connection and completes all calls with an error; later calls fail with NotSent.
    void stop();

private:
    enum class State { Idle, Connecting, Handshaking, Ready, BackingOff, Stopped };

    struct Call
    {
        PeerMessageKind kind = PeerMessageKind::Hello;
        /// Encoded message; empty once it has been passed to the connection.
        std::string message;
        std::size_t messageBytes = 0;
        /// Stream that carries the call; 0 while it is queued.
        std::int32_t stream = 0;
        EventLoop::TimerId timer;
        PeerTransport::Reply reply;
    };

    void connect();
    void onConnected();
    void openConnection();
    void onMessage(std::int32_t stream, std::string body);
    void onHelloReply(const std::string &body);
    void onStreamClosed(std::int32_t stream);
    void onClosed(const std::string &reason);
    void onTimeout(std::uint64_t id);
    void sendQueuedCalls();
    /// Runs periodically: closes an idle or silent connection and pings one that has been silent
    /// for half of receiveTimeout.
    void checkConnection();

    /// Ends a connection attempt: fails the queued calls and backs off.
    void onConnectFailed(PeerErrorKind kind, const std::string &reason);
    void backOff(Milliseconds delay);
    /// Next back-off with jitter; doubles with each consecutive failure.
    Milliseconds nextBackOff();
    void closeConnectingSocket();
    void completeCall(std::uint64_t id, PeerResult result);
    void failQueuedCalls(PeerErrorKind kind, const std::string &reason);
    void failSentCalls(const std::string &reason);
    /// Logs the message unless it is the same as the last one.
    void logIfChanged(LogSeverity severity, const std::string &message);

    EventLoop &m_loop;
    const PeerContext m_context;
    const PeerAddress m_peer;
    std::optional<SocketAddress> m_address;
    std::mt19937_64 m_random;

    State m_state = State::Idle;
    std::map<std::uint64_t, Call> m_calls;
    std::deque<std::uint64_t> m_queuedCalls;
    std::map<std::int32_t, std::uint64_t> m_callByStream;
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_nextCallId = 1;

    int m_connectingSocket = -1;
    EventLoop::WatchId m_connectingWatch = 0;
    std::shared_ptr<Http2Connection> m_connection;
    std::int32_t m_helloStream = 0;
    EventLoop::TimerId m_stateTimer;
    SteadyTimeMs m_lastUsedAt = 0;
    /// When the first of the calls now awaiting a response was sent. Silence is measured from
    /// this time at the earliest, as the connection may have been idle before.
    SteadyTimeMs m_pendingSince = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::string m_lastError;
    std::string m_lastLogged;
};

} // namespace dandelionloom

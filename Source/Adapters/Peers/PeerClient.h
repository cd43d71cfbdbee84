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

/// What the client and server side of a transport share. The references outlive them.
struct PeerContext
{
    const PeerIdentity &self;
    const PeerTransportOptions &options;
    DecisionLog &log;
    PeerTraffic &traffic;
};

Http2Limits http2Limits(const PeerTransportOptions &options);

/// Calls to one peer over one connection, which is opened for the first call and reopened while
/// calls wait. Used on the loop's thread only.
class PeerClient
{
public:
    PeerClient(EventLoop &loop, PeerContext context, PeerAddress peer, std::uint64_t seed);

    void call(PeerMessageKind kind, std::string body, Milliseconds timeout,
              PeerTransport::Reply reply);
    /// Closes the connection and answers all calls; later calls are answered as not sent.
    void stop();

private:
    enum class State { Idle, Connecting, Greeting, Ready, BackingOff, Stopped };

    struct Call
    {
        PeerMessageKind kind = PeerMessageKind::Hello;
        /// Encoded message; empty once it was given to the connection.
        std::string message;
        std::size_t messageBytes = 0;
        /// Stream that carries it, or 0 while it waits.
        std::int32_t stream = 0;
        EventLoop::TimerId timer;
        PeerTransport::Reply reply;
    };

    void connect();
    void onConnected();
    void openConnection();
    void onMessage(std::int32_t stream, std::string body);
    void onHelloReply(const std::string &body);
    void onStreamEnded(std::int32_t stream);
    void onClosed(const std::string &reason);
    void onTimeout(std::uint64_t id);
    void sendWaiting();
    void checkConnection();

    /// Ends an attempt to connect: answers the waiting calls and backs off.
    void attemptFailed(PeerErrorKind kind, const std::string &reason);
    void backOff(Milliseconds pause);
    Milliseconds nextPause();
    void dropSocket();
    void answer(std::uint64_t id, PeerResult result);
    void failWaiting(PeerErrorKind kind, const std::string &reason);
    void failSent(const std::string &reason);
    void logOnce(LogSeverity severity, const std::string &message);

    EventLoop &m_loop;
    const PeerContext m_context;
    const PeerAddress m_peer;
    std::optional<SocketAddress> m_address;
    std::mt19937_64 m_random;

    State m_state = State::Idle;
    std::map<std::uint64_t, Call> m_calls;
    std::deque<std::uint64_t> m_waiting;
    std::map<std::int32_t, std::uint64_t> m_callOfStream;
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_nextCall = 1;

    int m_connectingSocket = -1;
    EventLoop::WatchId m_connectingWatch = 0;
    std::shared_ptr<Http2Connection> m_connection;
    std::int32_t m_helloStream = 0;
    EventLoop::TimerId m_stateTimer;
    SteadyTimeMs m_lastUsedAt = 0;
    /// Start of the present wait for answers: when calls became pending on a quiet connection.
    SteadyTimeMs m_pendingSince = 0;
    std::uint32_t m_failures = 0;
    std::string m_lastFault;
    std::string m_lastLogged;
};

} // namespace dandelionloom

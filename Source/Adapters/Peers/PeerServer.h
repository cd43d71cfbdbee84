#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "Adapters/Peers/EventLoop.h"
#include "Adapters/Peers/Http2Connection.h"
#include "Adapters/Peers/PeerClient.h"
#include "Adapters/Peers/PeerSockets.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// Accepts connections of peers and runs the message handlers. Used only on the loop's thread.
class PeerServer
{
public:
    using Handlers = std::array<PeerTransport::Handler, peerMessageKindNames.names.size()>;

    /// The loop is shared, because handlers may reply after the server was destroyed.
    PeerServer(std::shared_ptr<EventLoop> loop, PeerContext context, const Handlers &handlers);

    /// Starts accepting. Takes ownership of the listening descriptor.
    void start(int listener);
    void stop();

private:
    struct InboundConnection
    {
        std::string address;
        /// Name of the peer; empty until its hello has been accepted.
        std::string name;
        std::shared_ptr<Http2Connection> connection;
        EventLoop::TimerId timer;
        /// Stream of a refused hello; 0 if none. Once the response has been sent and this stream
        /// has closed, the connection is terminated.
        std::int32_t refusedHelloStream = 0;
        /// Share of this connection in the held bytes of the server.
        std::size_t heldBytes = 0;
    };
    class UnansweredRequest;

    void watchListener();
    void acceptConnections();
    void addConnection(int descriptor, const std::string &address);
    /// At the limit of connections, closes the oldest one without a hello. Returns false if there
    /// is no room for another connection.
    bool makeRoom();
    void onHeldBytes(std::uint64_t id, std::size_t bytes);
    /// Bytes that the connections may hold beside the requests that were not answered.
    std::size_t heldBytesLimit() const;
    /// Returns false if no message may be discarded.
    bool discardMessage();
    void onMessage(std::uint64_t id, std::int32_t stream, std::string body);
    void onHello(InboundConnection &inbound, std::int32_t stream, const std::string &body);
    void onRequest(std::uint64_t id, const InboundConnection &inbound, std::int32_t stream,
                   const std::string &body);
    /// Returns the reply function of a request that is counted until its handler has replied.
    PeerTransport::Reply replyTo(std::uint64_t id, std::int32_t stream, PeerMessageKind kind,
                                 std::size_t bytes);
    void onClosed(std::uint64_t id, const std::string &reason);
    void checkIdleTimeout(std::uint64_t id);
    void respond(std::uint64_t id, std::int32_t stream, PeerMessageKind kind,
                 const PeerResult &result);
    void logRefusal(const std::string &address, const std::string &message);
    /// Returns true if this refusal of the host was not logged within the last minute.
    bool isLogDue(const std::string &address, const std::string &message);

    const std::shared_ptr<EventLoop> m_loop;
    const PeerContext m_context;
    const Handlers &m_handlers;
    /// Replies hold a weak pointer to it, through which they detect that the server has stopped.
    std::shared_ptr<PeerServer *> m_alive;
    int m_listener = -1;
    EventLoop::WatchId m_listenerWatch = 0;
    EventLoop::TimerId m_acceptRetryTimer;
    std::map<std::uint64_t, InboundConnection> m_connections;
    /// In the order of their arrival.
    std::set<std::uint64_t> m_withoutHello;
    /// Bytes of incomplete messages and unsent responses.
    std::size_t m_heldBytes = 0;
    /// Bytes of requests whose handlers have not replied, also of those whose stream or connection
    /// was closed: the handler still holds the message.
    std::size_t m_unansweredBytes = 0;
    bool m_discarding = false;
    std::uint64_t m_nextId = 1;
    bool m_stopped = false;
    /// Time of the last log line by host and refusal, so that a peer that keeps retrying is logged
    /// only once a minute.
    std::map<std::string, SteadyTimeMs> m_lastRefusalLogAt;
};

} // namespace dandelionloom

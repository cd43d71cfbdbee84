#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "Adapters/Peers/EventLoop.h"
#include "Adapters/Peers/Http2Connection.h"
#include "Adapters/Peers/PeerClient.h"
#include "Adapters/Peers/PeerSockets.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// Accepts connections of peers and runs the handlers. Used on the loop's thread only.
class PeerServer
{
public:
    using Handlers = std::array<PeerTransport::Handler, peerMessageKindNames.names.size()>;

    /// The loop is shared with replies that are given after the server has ended.
    PeerServer(std::shared_ptr<EventLoop> loop, PeerContext context, const Handlers &handlers);

    /// Takes the listening descriptor.
    void start(int listener);
    void stop();

private:
    struct Accepted
    {
        std::string address;
        /// Name of the peer; empty until its hello was accepted.
        std::string name;
        std::shared_ptr<Http2Connection> connection;
        EventLoop::TimerId timer;
        /// Stream after whose end the connection ends, as its hello was refused; 0 without one.
        std::int32_t lastStream = 0;
    };

    void watchListener();
    void acceptAll();
    void add(int descriptor, const std::string &address);
    void onMessage(std::uint64_t id, std::int32_t stream, std::string body);
    void onHello(Accepted &accepted, std::int32_t stream, const std::string &body);
    void onRequest(std::uint64_t id, const Accepted &accepted, std::int32_t stream,
                   const std::string &body);
    void onClosed(std::uint64_t id, const std::string &reason);
    void checkIdle(std::uint64_t id);
    void respond(std::uint64_t id, std::int32_t stream, PeerMessageKind kind,
                 const PeerResult &result);
    void logRefusal(const std::string &address, const std::string &message);

    const std::shared_ptr<EventLoop> m_loop;
    const PeerContext m_context;
    const Handlers &m_handlers;
    /// Replies hold it weakly, to learn that the server has ended.
    std::shared_ptr<PeerServer *> m_alive;
    int m_listener = -1;
    EventLoop::WatchId m_listenerWatch = 0;
    EventLoop::TimerId m_listenerTimer;
    std::map<std::uint64_t, Accepted> m_accepted;
    std::uint64_t m_nextId = 1;
    bool m_stopped = false;
    /// Time of the last line for each refusal, to log a peer that keeps trying once a minute.
    std::map<std::string, SteadyTimeMs> m_refusals;
};

} // namespace dandelionloom

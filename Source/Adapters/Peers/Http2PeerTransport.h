#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Adapters/Peers/PeerClient.h"
#include "Adapters/Peers/PeerOptions.h"
#include "Adapters/Peers/PeerServer.h"
#include "Adapters/Peers/PeerTraffic.h"
#include "Model/Result.h"
#include "Ports/DecisionLog.h"
#include "Ports/MetricSink.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

struct PeerSetupError
{
    std::string message;
};

/// PeerTransport over HTTP/2 with prior knowledge. One thread serves inbound connections and runs
/// the handlers; a second one makes the outbound calls and runs their reply callbacks.
class Http2PeerTransport : public PeerTransport
{
public:
    /// `listenAddress` is an IP address and port; port 0 selects a free port. An entry of `peers`
    /// with the name in `self` is ignored.
    Http2PeerTransport(PeerIdentity self, std::string listenAddress, std::vector<PeerAddress> peers,
                       PeerTransportOptions options, DecisionLog &log, MetricSink &metrics);
    ~Http2PeerTransport() override;

    /// Validates the settings, opens the listening socket and starts the threads.
    Result<Done, PeerSetupError> start();
    /// Listening port; valid after start().
    std::uint16_t port() const { return m_port; }

    void setHandler(PeerMessageKind kind, Handler handler) override;
    void call(const std::string &peer, PeerMessageKind kind, std::string body, Milliseconds timeout,
              Reply reply) override;

    /// Adds a peer that was not passed to the constructor. If the name is already known, its
    /// address stays unchanged. Call after start().
    void addPeer(PeerAddress peer);

    /// Closes all connections and completes all calls with an error. Afterwards no handler runs,
    /// and new calls fail with NotSent. Must not be called on a thread of the transport. The
    /// destructor calls it.
    void stop();

private:
    std::string settingsError() const;

    const PeerIdentity m_self;
    const std::string m_listenAddress;
    const std::vector<PeerAddress> m_peers;
    const PeerTransportOptions m_options;
    DecisionLog &m_log;
    PeerTraffic m_traffic;
    PeerServer::Handlers m_handlers;
    std::shared_ptr<EventLoop> m_serverLoop;
    std::shared_ptr<EventLoop> m_clientLoop;
    std::unique_ptr<PeerServer> m_server;
    /// After start(), accessed only on the client loop's thread.
    std::map<std::string, std::unique_ptr<PeerClient>> m_clients;
    std::uint64_t m_nextSeed = 0;
    std::uint16_t m_port = 0;
    bool m_started = false;
    bool m_stopped = false;
};

} // namespace dandelionloom

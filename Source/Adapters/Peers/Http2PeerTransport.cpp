#include "Adapters/Peers/Http2PeerTransport.h"

#include <set>
#include <string>

namespace dandelionloom {

Http2PeerTransport::Http2PeerTransport(PeerIdentity self, std::string listenAddress,
                                       std::vector<PeerAddress> peers, PeerTransportOptions options,
                                       DecisionLog &log, MetricSink &metrics)
    : m_self(std::move(self)), m_listenAddress(std::move(listenAddress)), m_peers(std::move(peers)),
      m_options(options), m_log(log), m_traffic(metrics),
      m_serverLoop(std::make_shared<EventLoop>()), m_clientLoop(std::make_shared<EventLoop>())
{
    for (const auto &loop : {m_serverLoop, m_clientLoop}) {
        loop->setErrorHandler(errorLogger(m_log));
    }
}

Http2PeerTransport::~Http2PeerTransport()
{
    if (m_started) {
        stop();
        m_clientLoop->stop();
        m_serverLoop->stop();
    }
}

std::string Http2PeerTransport::settingsError() const
{
    if (m_self.clusterId.empty() || m_self.name.empty()) {
        return "expected a cluster id and a name, found an empty one";
    }
    if (m_self.credential.empty()) {
        return "expected a peer credential, found an empty one";
    }
    std::set<std::string> names;
    for (const PeerAddress &peer : m_peers) {
        if (!parseSocketAddress(peer.address)) {
            return "expected an IP number and port for peer " + peer.name + ", found \""
                    + peer.address + "\"";
        }
        if (!names.insert(peer.name).second) {
            return "expected each peer once, found " + peer.name + " twice";
        }
    }
    return {};
}

Result<Done, PeerSetupError> Http2PeerTransport::start()
{
    if (std::string error = settingsError(); !error.empty()) {
        return PeerSetupError{std::move(error)};
    }
    const std::optional<SocketAddress> address = parseSocketAddress(m_listenAddress);
    if (!address) {
        return PeerSetupError{"expected an IP number and port to listen on, found \""
                              + m_listenAddress + "\""};
    }
    const Result<int, SocketError> listener = listenOn(*address);
    if (!isOk(listener)) {
        return PeerSetupError{errorOf(listener).message};
    }
    m_port = portOf(localAddress(valueOf(listener)));
    const PeerContext context{m_self, m_options, m_log, m_traffic};
    m_server = std::make_unique<PeerServer>(m_serverLoop, context, m_handlers);
    m_nextSeed = m_options.seed;
    for (const PeerAddress &peer : m_peers) {
        if (peer.name != m_self.name) {
            m_clients.emplace(
                    peer.name,
                    std::make_unique<PeerClient>(*m_clientLoop, context, peer, m_nextSeed++));
        }
    }
    m_server->start(valueOf(listener));
    m_serverLoop->start();
    m_clientLoop->start();
    m_started = true;
    return Done{};
}

void Http2PeerTransport::setHandler(PeerMessageKind kind, Handler handler)
{
    m_handlers.at(static_cast<std::size_t>(kind)) = std::move(handler);
}

void Http2PeerTransport::call(const std::string &peer, PeerMessageKind kind, std::string body,
                              Milliseconds timeout, Reply reply)
{
    m_clientLoop->post([this, peer, kind, timeout, body = std::move(body),
                        reply = std::move(reply)]() mutable {
        const auto found = m_clients.find(peer);
        if (found == m_clients.end()) {
            reply(PeerError{PeerErrorKind::NotSent, "unknown peer " + peer});
            return;
        }
        found->second->call(kind, std::move(body), timeout, std::move(reply));
    });
}

void Http2PeerTransport::addPeer(PeerAddress peer)
{
    m_clientLoop->post([this, peer = std::move(peer)] {
        if (peer.name == m_self.name || m_clients.contains(peer.name) || m_stopped) {
            return;
        }
        const PeerContext context{m_self, m_options, m_log, m_traffic};
        m_clients.emplace(peer.name,
                          std::make_unique<PeerClient>(*m_clientLoop, context, peer, m_nextSeed++));
    });
}

void Http2PeerTransport::stop()
{
    if (!m_started || m_stopped) {
        return;
    }
    m_stopped = true;
    m_serverLoop->runAndWait([this] { m_server->stop(); });
    m_clientLoop->runAndWait([this] {
        for (const auto &[name, client] : m_clients) {
            client->stop();
        }
    });
}

} // namespace dandelionloom

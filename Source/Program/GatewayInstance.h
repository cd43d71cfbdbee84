#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Adapters/Http/EventedHttpServer.h"
#include "Adapters/Logging/JsonLineLog.h"
#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Adapters/Peers/Http2PeerTransport.h"
#include "Program/JobProtocol.h"
#include "Program/ListenerLimits.h"
#include "Runtime/LeaderClient.h"

namespace dandelionloom {

/// Names and ports with which gateways and control instances connect to each other.
struct PeerNetworkSettings
{
    /// IP address of the instance, also its name among the peers.
    std::string name;
    std::string availabilityZone;
    /// Port of the peer listener, the same on all control instances.
    std::uint16_t controlPort = 0;
    /// Port of this process's peer listener.
    std::uint16_t ownPort = 0;
    /// IP addresses of the control instances that are known at the start.
    std::vector<std::string> controlInstances;
};

struct GatewaySettings
{
    PeerNetworkSettings peers;
    std::string clientAddress;
    std::string readyAddress;
    std::string readyPath;
    std::string metricsAddress;
    MachineLimits machine;
    /// How long stop() waits for clients to move to other gateways and for pending requests.
    std::int64_t shutdownTimeoutMs = 0;
};

struct StartError
{
    std::string message;
};

/// A process that accepts calls from clients and forwards them to the leader. It keeps no state
/// beyond a call.
class GatewayInstance
{
public:
    GatewayInstance(GatewaySettings settings, JobProtocol &protocol, JsonLineLog &log);
    ~GatewayInstance();
    GatewayInstance(const GatewayInstance &) = delete;
    GatewayInstance &operator=(const GatewayInstance &) = delete;

    Result<Done, StartError> start();
    void addControlInstances(const std::vector<std::string> &names);
    /// Fails the readiness probe, drains the pending requests, and returns.
    void stop();

private:
    void handleRequest(const HttpRequest &request, const EventedHttpServer::Respond &respond);
    void tick();

    const GatewaySettings m_settings;
    JobProtocol &m_protocol;
    JsonLineLog &m_log;
    PrometheusMetrics m_metrics;
    ClosedConnections m_closedConnections;
    std::unique_ptr<Http2PeerTransport> m_transport;
    EventLoop m_loop;
    std::unique_ptr<LeaderClient> m_leaderClient;
    std::unique_ptr<EventedHttpServer> m_clientServer;
    std::unique_ptr<EventedHttpServer> m_readinessServer;
    std::unique_ptr<EventedHttpServer> m_metricsServer;
    bool m_stopping = false;
    std::uint64_t m_requestCount = 0;
};

/// Settings of the transport between the instances of one system.
PeerTransportOptions peerTransportOptions();
PeerIdentity peerIdentity(const PeerNetworkSettings &settings);
PeerAddress controlAddress(const PeerNetworkSettings &settings, const std::string &name);
/// Responds to every request with the metrics in the Prometheus text format.
EventedHttpServer::Handler metricsHandler(const PrometheusMetrics &metrics);

} // namespace dandelionloom

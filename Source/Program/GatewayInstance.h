#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Adapters/Http/EventedHttpServer.h"
#include "Adapters/Logging/JsonLineLog.h"
#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Adapters/Peers/Http2PeerTransport.h"
#include "Program/JobProtocols.h"
#include "Runtime/LeaderClient.h"

namespace dandelionloom {

/// What gateways and control instances need to reach each other.
struct PeerSettings
{
    /// IP number of the instance; peers call it by it.
    std::string name;
    std::string availabilityZone;
    /// Port of the peer listener, the same on all control instances.
    std::uint16_t controlPort = 0;
    /// Port of the own peer listener.
    std::uint16_t ownPort = 0;
    /// Control instances that are known at the start.
    std::vector<std::string> controlInstances;
};

struct GatewaySettings
{
    PeerSettings peers;
    std::string clientAddress;
    std::string readyAddress;
    std::string readyPath;
    std::string metricsAddress;
    /// How long a stop waits for callers to leave and requests to end.
    std::int64_t stopMs = 0;
};

struct StartError
{
    std::string message;
};

/// A process that takes calls from clients and carries them to the leader. It holds no state that
/// outlives a call.
class GatewayInstance
{
public:
    GatewayInstance(GatewaySettings settings, JobProtocol &protocol, JsonLineLog &log);
    ~GatewayInstance();
    GatewayInstance(const GatewayInstance &) = delete;
    GatewayInstance &operator=(const GatewayInstance &) = delete;

    Result<Done, StartError> start();
    void addControlInstances(const std::vector<std::string> &names);
    /// Reports itself unready, ends what it has, and returns.
    void stop();

private:
    void handle(const HttpRequest &request, const EventedHttpServer::Respond &respond);
    void tick();

    const GatewaySettings m_settings;
    JobProtocol &m_protocol;
    JsonLineLog &m_log;
    PrometheusMetrics m_metrics;
    std::unique_ptr<Http2PeerTransport> m_transport;
    EventLoop m_loop;
    std::unique_ptr<LeaderClient> m_leader;
    std::unique_ptr<EventedHttpServer> m_clients;
    std::unique_ptr<EventedHttpServer> m_ready;
    std::unique_ptr<EventedHttpServer> m_metricsServer;
    bool m_stopping = false;
    std::uint64_t m_requests = 0;
};

/// Settings of the transport between the instances of one system.
PeerTransportOptions peerTransportOptions();
PeerIdentity peerIdentity(const PeerSettings &settings);
PeerAddress controlAddress(const PeerSettings &settings, const std::string &name);
/// Answers every request with the metrics.
EventedHttpServer::Handler metricsHandler(const PrometheusMetrics &metrics);

} // namespace dandelionloom

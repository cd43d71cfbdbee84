#include "Program/GatewayInstance.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>

namespace dandelionloom {

namespace {

constexpr Milliseconds tickInterval{100};

/// During shutdown the readiness probe fails for this long before connections are refused: the load
/// balancer probes once a second and removes a gateway after the second failed probe.
constexpr std::int64_t unreadyBeforeDrainMs = 2500;

/// Part of the client's time limit that is left for sending the response back.
constexpr std::int64_t responseMarginMs = 40;

HttpLimits clientLimits()
{
    HttpLimits limits;
    limits.maxConnections = 1500;
    limits.maxBodyBytes = 512 * 1024;
    limits.headTimeout = Milliseconds(3000);
    limits.keepAliveTimeout = Milliseconds(30000);
    return limits;
}

// Shares of the machine. The descriptors that remain are for the connections between instances, the
// memory that remains for the program and the calls in progress. Nearly all connections are those
// of callers; the others read the readiness or the metrics once a second.
constexpr std::size_t sendBufferBytes = 64 * 1024;
constexpr ListenerShare callerShare{60, 20, 30, sendBufferBytes};
constexpr ListenerShare readinessShare{8, 3, 3, sendBufferBytes};
constexpr ListenerShare metricsShare{7, 2, 3, sendBufferBytes};
constexpr PeerShare peerShare{10, 10};

} // namespace

PeerTransportOptions peerTransportOptions()
{
    PeerTransportOptions options;
    options.connectTimeout = Milliseconds(500);
    options.helloTimeout = Milliseconds(800);
    // A silent connection must be replaced before two election timeouts of 0.6 s have passed.
    options.receiveTimeout = Milliseconds(700);
    options.backOffMin = Milliseconds(30);
    options.backOffMax = Milliseconds(200);
    options.maxPendingBytes = 8U << 20U;
    options.maxBufferedBytes = 8U << 20U;
    return options;
}

PeerIdentity peerIdentity(const PeerNetworkSettings &settings)
{
    PeerIdentity identity;
    identity.clusterId = "dandelionloom";
    identity.group = "jobs";
    identity.name = settings.name;
    // The platform's network isolates deployments; it provides no shared secret for the processes.
    identity.credential = "none";
    return identity;
}

PeerAddress controlAddress(const PeerNetworkSettings &settings, const std::string &name)
{
    return {name, {}, name + ":" + std::to_string(settings.controlPort)};
}

EventedHttpServer::Handler metricsHandler(const PrometheusMetrics &metrics)
{
    return [&metrics](const HttpRequest &, const EventedHttpServer::Respond &respond) {
        respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.render()});
    };
}

GatewayInstance::GatewayInstance(GatewaySettings settings, JobProtocol &protocol, JsonLineLog &log)
    : m_settings(std::move(settings)), m_protocol(protocol), m_log(log),
      m_closedConnections(m_metrics, m_log)
{
    m_loop.setErrorHandler(errorLogger(m_log));
}

GatewayInstance::~GatewayInstance()
{
    if (m_transport) {
        m_transport->stop();
    }
    m_loop.stop();
}

Result<Done, StartError> GatewayInstance::start()
{
    const PeerNetworkSettings &peers = m_settings.peers;
    m_transport = std::make_unique<Http2PeerTransport>(
            peerIdentity(peers), peers.name + ":" + std::to_string(peers.ownPort),
            std::vector<PeerAddress>{},
            limitToMachine(peerTransportOptions(), m_settings.machine, peerShare), m_log,
            m_metrics);
    const auto started = m_transport->start();
    if (!isOk(started)) {
        return StartError{errorOf(started).message};
    }
    m_leaderClient = std::make_unique<LeaderClient>(
            m_loop, *m_transport, m_log, [this](const std::string &name) {
                m_transport->addPeer(controlAddress(m_settings.peers, name));
            });
    m_clientServer = std::make_unique<EventedHttpServer>(
            m_loop, limitToMachine(clientLimits(), m_settings.machine, callerShare),
            [this](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                handleRequest(request, respond);
            });
    m_readinessServer = std::make_unique<EventedHttpServer>(
            m_loop, limitToMachine(clientLimits(), m_settings.machine, readinessShare),
            [this](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                const bool ready = !m_stopping && m_leaderClient->isReady(steadyTimeNow());
                respond({request.path != m_settings.readyPath ? 404 : ready ? 200 : 503, {}, {}});
            });
    m_metricsServer = std::make_unique<EventedHttpServer>(
            m_loop, limitToMachine(clientLimits(), m_settings.machine, metricsShare),
            metricsHandler(m_metrics));
    m_clientServer->setCloseObserver(m_closedConnections.observer("clients"));
    m_readinessServer->setCloseObserver(m_closedConnections.observer("readiness"));
    m_metricsServer->setCloseObserver(m_closedConnections.observer("metrics"));
    const std::vector<std::pair<EventedHttpServer *, std::string>> listeners = {
            {m_clientServer.get(), m_settings.clientAddress},
            {m_readinessServer.get(), m_settings.readyAddress},
            {m_metricsServer.get(), m_settings.metricsAddress}};
    for (const auto &[server, address] : listeners) {
        const auto listening = server->listen(address);
        if (!isOk(listening)) {
            return StartError{errorOf(listening).message};
        }
    }
    for (const std::string &name : peers.controlInstances) {
        m_leaderClient->addControlInstance(name);
    }
    m_loop.start();
    m_loop.post([this] {
        m_leaderClient->start();
        tick();
    });
    m_log.line(LogSeverity::Info, "start",
               {{"role", "gateway"}, {"clients", m_settings.clientAddress}});
    return Done{};
}

void GatewayInstance::addControlInstances(const std::vector<std::string> &names)
{
    m_loop.post([this, names] {
        for (const std::string &name : names) {
            m_leaderClient->addControlInstance(name);
        }
    });
}

void GatewayInstance::tick()
{
    m_closedConnections.report(steadyTimeNow());
    m_log.flush();
    m_loop.startTimer(tickInterval, [this] { tick(); });
}

void GatewayInstance::handleRequest(const HttpRequest &request,
                                    const EventedHttpServer::Respond &respond)
{
    auto decoded = m_protocol.decode(request);
    if (const auto *answer = std::get_if<HttpResponse>(&decoded)) {
        // Debug, as a flood of such requests would displace the other lines.
        m_log.line(LogSeverity::Debug, "refused",
                   {{"path", request.path}, {"status", answer->status}, {"reason", answer->body}});
        respond(*answer);
        return;
    }
    auto &timed = std::get<TimedJobCall>(decoded);
    timed.call.requestId = m_settings.peers.name + "/" + std::to_string(++m_requestCount);
    const SteadyTimeMs now = steadyTimeNow();
    const SteadyTimeMs deadline =
            now + std::max<std::int64_t>(timed.callTimeoutMs - responseMarginMs, 1);
    m_leaderClient->call(
            timed.call, deadline,
            [this, now, respond, call = timed.call](const JobCallAnswer &answer) {
                HttpResponse encoded = m_protocol.encode(call, answer);
                const std::int64_t durationMs = steadyTimeNow() - now;
                const std::string kind(jobCallKindNames.name(call.kind));
                m_metrics.observe("dandelionloom_gateway_call_seconds", "kind=\"" + kind + "\"",
                                  static_cast<double>(durationMs) / 1000);
                m_metrics.count("dandelionloom_gateway_answers_total",
                                "status=\"" + std::to_string(encoded.status) + "\"", 1);
                if (call.kind != JobCallKind::Status || encoded.status != 200) {
                    m_log.line(LogSeverity::Info, "answer",
                               {{"request", call.requestId},
                                {"call", kind},
                                {"path", call.path},
                                {"status", encoded.status},
                                {"outcome", jobCallOutcomeNames.name(answer.outcome)},
                                {"reason", answer.reason},
                                {"leader", m_leaderClient->leader()},
                                {"took_ms", durationMs}});
                }
                respond(std::move(encoded));
            });
}

void GatewayInstance::stop()
{
    m_log.line(LogSeverity::Info, "stop", {{"role", "gateway"}});
    const SteadyTimeMs begin = steadyTimeNow();
    m_loop.runAndWait([this] { m_stopping = true; });
    bool draining = false;
    for (;;) {
        const std::int64_t elapsedMs = steadyTimeNow() - begin;
        std::size_t pending = 0;
        m_loop.runAndWait([&] {
            if (elapsedMs >= unreadyBeforeDrainMs && !draining) {
                m_clientServer->drain();
                draining = true;
            }
            pending = m_clientServer->pendingRequests();
        });
        if ((draining && pending == 0) || elapsedMs >= m_settings.shutdownTimeoutMs) {
            break;
        }
        std::this_thread::sleep_for(tickInterval);
    }
    m_loop.runAndWait([this] { m_log.flush(); });
}

} // namespace dandelionloom

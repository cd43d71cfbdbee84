#include "Program/ListenerLimits.h"

#include <algorithm>

#include "Adapters/Metrics/PrometheusMetrics.h"

namespace dandelionloom {

namespace {

constexpr std::size_t bytesPerMb = 1024 * 1024;
constexpr std::size_t percent = 100;
/// Descriptors for files, such as libraries and the journal, that the platform counts as well.
constexpr std::size_t reservedDescriptors = 200;
/// Operators can still connect to a machine with few descriptors.
constexpr std::size_t minConnections = 8;
/// A head and a usual body arrive without a pause for a new window.
constexpr std::size_t minReceiveBufferBytes = 16 * 1024;
constexpr std::size_t maxReceiveBufferBytes = 128 * 1024;
/// The other processes of a small deployment.
constexpr std::size_t minPeerConnections = 16;
constexpr SteadyTimeMs reportIntervalMs = 1000;

std::size_t connectionDescriptors(const MachineLimits &machine)
{
    return machine.maxOpenFiles - std::min(machine.maxOpenFiles, reservedDescriptors);
}

} // namespace

HttpLimits limitToMachine(HttpLimits limits, const MachineLimits &machine,
                          const ListenerShare &share)
{
    const std::size_t descriptors = connectionDescriptors(machine);
    const std::size_t memoryBytes = machine.memoryMb * bytesPerMb;
    limits.maxConnections =
            std::min(limits.maxConnections,
                     std::max(descriptors * share.descriptors / percent, minConnections));
    limits.maxBufferedBytes = memoryBytes * share.buffered / percent;
    const auto receiveBufferBytes = [&](std::size_t part) {
        return std::clamp(memoryBytes * part / percent / limits.maxConnections,
                          minReceiveBufferBytes, maxReceiveBufferBytes);
    };
    if (share.unread != 0) {
        limits.receiveBufferBytes = receiveBufferBytes(share.unread);
    }
    if (share.sentAhead != 0) {
        limits.sentAheadBufferBytes = receiveBufferBytes(share.sentAhead);
    }
    limits.sendBufferBytes = share.sendBufferBytes;
    return limits;
}

PeerTransportOptions limitToMachine(PeerTransportOptions options, const MachineLimits &machine,
                                    const PeerShare &share)
{
    options.maxConnections =
            std::min(options.maxConnections,
                     std::max(connectionDescriptors(machine) * share.descriptors / percent,
                              minPeerConnections));
    options.maxHeldBytes = std::max(machine.memoryMb * bytesPerMb * share.held / percent,
                                    2 * options.maxMessageBytes);
    return options;
}

EventedHttpServer::CloseObserver ClosedConnections::observer(const std::string &listener)
{
    return [this, listener](ConnectionCloseReason reason) {
        ++m_unreported[listener][static_cast<std::size_t>(reason)];
        m_metrics.count("dandelionloom_http_connections_closed_total",
                        metricLabel("listener", listener) + ","
                                + metricLabel("reason",
                                              std::string(connectionCloseReasonNames.name(reason))),
                        1);
    };
}

void ClosedConnections::report(SteadyTimeMs now)
{
    if (m_unreported.empty() || now - m_reportedAt < reportIntervalMs) {
        return;
    }
    for (const auto &[listener, counts] : m_unreported) {
        for (std::size_t index = 0; index < counts.size(); ++index) {
            if (counts[index] != 0) {
                m_log.line(LogSeverity::Warning, "connections-closed",
                           {{"listener", listener},
                            {"reason", connectionCloseReasonNames.names[index]},
                            {"count", counts[index]}});
            }
        }
    }
    m_unreported.clear();
    m_reportedAt = now;
}

} // namespace dandelionloom

#include "Adapters/Peers/PeerTraffic.h"

namespace dandelionloom {

PeerTraffic::PeerTraffic(MetricSink &metrics) : m_metrics(metrics)
{
    for (std::size_t index = 0; index < kindCount; ++index) {
        const std::string kind = "kind=\"" + std::string(peerMessageKindNames.names[index]) + "\"";
        m_sentLabels[index] = "direction=\"sent\"," + kind;
        m_receivedLabels[index] = "direction=\"received\"," + kind;
    }
}

void PeerTraffic::sent(PeerMessageKind kind, std::size_t bytes)
{
    count(m_sentLabels[static_cast<std::size_t>(kind)], bytes);
}

void PeerTraffic::received(PeerMessageKind kind, std::size_t bytes)
{
    count(m_receivedLabels[static_cast<std::size_t>(kind)], bytes);
}

void PeerTraffic::wireBytes(std::size_t receivedBytes, std::size_t sentBytes)
{
    static const std::string name = "dandelionloom_peer_wire_bytes_total";
    static const std::string receivedLabel = "direction=\"received\"";
    static const std::string sentLabel = "direction=\"sent\"";
    if (receivedBytes > 0) {
        m_metrics.count(name, receivedLabel, static_cast<double>(receivedBytes));
    }
    if (sentBytes > 0) {
        m_metrics.count(name, sentLabel, static_cast<double>(sentBytes));
    }
}

void PeerTraffic::count(const std::string &labels, std::size_t bytes)
{
    static const std::string messages = "dandelionloom_peer_messages_total";
    static const std::string messageBytes = "dandelionloom_peer_message_bytes_total";
    m_metrics.count(messages, labels, 1);
    m_metrics.count(messageBytes, labels, static_cast<double>(bytes));
}

} // namespace dandelionloom

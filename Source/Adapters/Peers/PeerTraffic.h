#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "Ports/MetricSink.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// Metrics for the messages and bytes between entry instances. A message is a request or a
/// response; its size is that of its envelope. Wire bytes are the bytes read from and written to
/// the sockets. Thread-safe.
class PeerTraffic
{
public:
    explicit PeerTraffic(MetricSink &metrics);

    void sent(PeerMessageKind kind, std::size_t bytes);
    void received(PeerMessageKind kind, std::size_t bytes);
    void wireBytes(std::size_t receivedBytes, std::size_t sentBytes);

private:
    static constexpr std::size_t kindCount = peerMessageKindNames.names.size();

    void count(const std::string &labels, std::size_t bytes);

    MetricSink &m_metrics;
    std::array<std::string, kindCount> m_sentLabels;
    std::array<std::string, kindCount> m_receivedLabels;
};

} // namespace dandelionloom

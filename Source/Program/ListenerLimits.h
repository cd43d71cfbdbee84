#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "Adapters/Http/EventedHttpServer.h"
#include "Adapters/Http/HttpLimits.h"
#include "Adapters/Logging/JsonLineLog.h"
#include "Adapters/Peers/PeerOptions.h"
#include "Model/Time.h"
#include "Ports/MetricSink.h"

namespace dandelionloom {

/// What the machine allows a process. The defaults are those of a small machine.
struct MachineLimits
{
    std::size_t memoryMb = 256;
    /// Descriptors of the process, with those that are reserved for files.
    std::size_t maxOpenFiles = 4096;
};

/// Part of a machine that one listener may use, in percent. The sum over the listeners of a process
/// stays below 100, as the process needs memory and descriptors of its own.
struct ListenerShare
{
    std::size_t descriptors = 0;
    /// Of the memory, for requests and responses that the process holds.
    std::size_t buffered = 0;
    /// Of the memory, for bytes that have arrived and were not read; 0 to leave the receive buffers
    /// to the system.
    std::size_t unread = 0;
    /// Size of the send buffer of a connection.
    std::size_t sendBufferBytes = 0;
    /// Of the memory, for bytes that clients send ahead of their responses, if the receive buffers
    /// are otherwise left to the system.
    std::size_t sentAhead = 0;
};

/// Lowers the limits of a listener to its share of the machine.
HttpLimits limitToMachine(HttpLimits limits, const MachineLimits &machine,
                          const ListenerShare &share);

/// Part of a machine that the connections from other processes may use, in percent.
struct PeerShare
{
    std::size_t descriptors = 0;
    /// Of the memory, for messages that the process holds for them.
    std::size_t held = 0;
};

/// Lowers the limits of the listener for peers to its share of the machine. Two whole messages are
/// always allowed.
PeerTransportOptions limitToMachine(PeerTransportOptions options, const MachineLimits &machine,
                                    const PeerShare &share);

/// Counts and logs the connections that the listeners of a process closed because of a limit. Used
/// on the event loop's thread only.
class ClosedConnections
{
public:
    ClosedConnections(MetricSink &metrics, JsonLineLog &log) : m_metrics(metrics), m_log(log) { }

    EventedHttpServer::CloseObserver observer(const std::string &listener);
    /// Writes a line for each listener and reason with closed connections, at most once a second.
    void report(SteadyTimeMs now);

private:
    using Counts = std::array<std::int64_t, connectionCloseReasonNames.names.size()>;

    MetricSink &m_metrics;
    JsonLineLog &m_log;
    std::map<std::string, Counts> m_unreported;
    SteadyTimeMs m_reportedAt = 0;
};

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Adapters/Http/OperatorApi.h"
#include "Adapters/Http/OperatorAuthentication.h"
#include "Adapters/Settings/Settings.h"
#include "Model/Result.h"

namespace dandelionloom {

struct OperatorServerOptions
{
    /// IP address and port to listen on. Port 0 selects a free port.
    std::string address;
    /// Name of this entry instance, shown in the status.
    std::string instanceName;
    OperatorCredentials credentials;
    /// Body, header and request line limits and the read timeout.
    LimitSettings limits;
    /// Bytes of request bodies that all connections together may hold; 0 for no limit.
    std::size_t maxBufferedBytes = 0;
    /// Time for a command to be committed and applied. Longer than two elections with the default
    /// timeouts, so that a change that is sent during an election is answered.
    Milliseconds commandTimeout{5000};
    /// Drain limit of waves that specify none: timing.drain_limit_ms of the settings.
    Milliseconds defaultDrainLimit{60000};
};

struct ListenError
{
    std::string message;
};

/// Serves the administration API over HTTP/1.1. /healthz and /readyz need no credential; requests
/// for other paths without a valid credential are rejected before their body is read. At the limit
/// of connections or of buffered bytes, connections are closed as by EventedHttpServer; none whose
/// request is being handled.
class OperatorServer
{
public:
    OperatorServer(OperatorServerOptions options, OperatorServices services);
    ~OperatorServer();

    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    Result<Done, ListenError> start();
    /// Returns when the requests in progress are answered.
    void stop();
    /// The port after start().
    std::uint16_t port() const;

private:
    class Listener;

    const OperatorServerOptions m_options;
    DecisionLog &m_decisions;
    OperatorApi m_api;
    std::unique_ptr<Listener> m_listener;
};

} // namespace dandelionloom

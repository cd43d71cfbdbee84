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
    /// IP number and port to listen on. Port 0 takes a free one.
    std::string address;
    /// Name of this entry instance, shown in the status.
    std::string instanceName;
    OperatorCredentials credentials;
    /// Body, header and request line limits and the read timeout.
    LimitSettings limits;
    /// How long a command may take to be accepted and applied. It exceeds two elections of the
    /// default length, so that a change sent during an election is answered.
    Milliseconds commandTimeout{5000};
    /// Drain limit of a wave that names none: timing.drain_limit_ms of the settings.
    Milliseconds defaultDrainLimit{60000};
};

struct ListenError
{
    std::string message;
};

/// Serves the administration API over HTTP/1.1. /healthz and /readyz need no credential; every
/// other path is refused without one before its body is read.
class OperatorServer
{
public:
    OperatorServer(OperatorServerOptions options, OperatorServices services);
    ~OperatorServer();

    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    Result<Done, ListenError> start();
    /// Ends after the requests in progress are answered.
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

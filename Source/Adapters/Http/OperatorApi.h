#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Model/Endpoint.h"
#include "Model/Lists.h"
#include "Model/Time.h"
#include "Ports/DecisionLog.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom {

/// Phase of an instance in a wave, and the reason for it.
struct WaveExplanation
{
    std::string instance;
    std::string phase;
    std::string reason;
};

/// Dependencies of the administration API. The references and functions must outlive it and be
/// thread-safe.
struct OperatorServices
{
    ReplicatedLog &log;
    DecisionLog &decisions;
    std::function<std::vector<EndpointRecord>()> endpoints;
    std::function<std::vector<WaveExplanation>(const std::string &wave)> waveExplanations;
    std::function<std::string()> metrics;
};

/// An authenticated request that is within the limits.
struct OperatorRequest
{
    std::string operatorName;
    std::string method;
    /// Decoded path without query.
    std::string path;
    std::map<std::string, std::string> query;
    std::string accept;
    std::string contentType;
    std::string ifMatch;
    std::string changeId;
    std::string body;
};

struct OperatorResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// The administration API, independent of its transport.
class OperatorApi
{
public:
    /// `instanceName` is shown in the status. `commandTimeout` bounds the time for a command to be
    /// committed and applied. `defaultDrainLimit` applies to waves that specify no drain limit.
    OperatorApi(OperatorServices services, std::string instanceName, Milliseconds commandTimeout,
                Milliseconds defaultDrainLimit);

    OperatorResponse handle(const OperatorRequest &request);

    /// True if a quorum has confirmed the state since the process started.
    bool ready() const;

private:
    OperatorResponse routeRequest(const OperatorRequest &request);
    OperatorResponse showList(const OperatorRequest &request, ListKind kind);
    OperatorResponse putList(const OperatorRequest &request, ListKind kind);
    OperatorResponse handleWaves(const OperatorRequest &request);
    OperatorResponse startWave(const OperatorRequest &request);
    OperatorResponse controlWave(const OperatorRequest &request, const std::string &wave,
                                 const std::string &action);
    void logDecision(DecisionKind kind, const OperatorRequest &request, const std::string &wave,
                     const OperatorResponse &response);

    OperatorServices m_services;
    const std::string m_instanceName;
    const Milliseconds m_commandTimeout;
    const Milliseconds m_defaultDrainLimit;
};

} // namespace dandelionloom

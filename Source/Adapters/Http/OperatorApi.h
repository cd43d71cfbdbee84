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

/// Why an instance of a wave is where it is.
struct WaveExplanation
{
    std::string instance;
    std::string phase;
    std::string reason;
};

/// What the administration API works on. The references and functions must outlive it and be
/// thread-safe.
struct OperatorServices
{
    ReplicatedLog &log;
    DecisionLog &decisions;
    std::function<std::vector<EndpointRecord>()> endpoints;
    std::function<std::vector<WaveExplanation>(const std::string &wave)> waveExplanations;
    std::function<std::string()> metrics;
};

/// A request after authentication and limits.
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

/// The administration API without its transport.
class OperatorApi
{
public:
    /// `instanceName` is shown in the status. A command waits up to `commandTimeout`. A wave that
    /// names no drain limit has `defaultDrainLimit`.
    OperatorApi(OperatorServices services, std::string instanceName, Milliseconds commandTimeout,
                Milliseconds defaultDrainLimit);

    OperatorResponse handle(const OperatorRequest &request);

    /// Whether the state was confirmed by a quorum since the start of the process.
    bool ready() const;

private:
    OperatorResponse handlePath(const OperatorRequest &request);
    OperatorResponse showList(const OperatorRequest &request, ListKind kind);
    OperatorResponse putList(const OperatorRequest &request, ListKind kind);
    OperatorResponse handleWaves(const OperatorRequest &request);
    OperatorResponse startWave(const OperatorRequest &request);
    OperatorResponse controlWave(const OperatorRequest &request, const std::string &wave,
                                 const std::string &action);
    void record(DecisionKind kind, const OperatorRequest &request, const std::string &wave,
                const OperatorResponse &response);

    OperatorServices m_services;
    const std::string m_instanceName;
    const Milliseconds m_commandTimeout;
    const Milliseconds m_defaultDrainLimit;
};

} // namespace dandelionloom

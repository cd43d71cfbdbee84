#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class AttemptJudgement {
    Succeeded,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection failed, or the answer was late, cut short or for another attempt.
    TransportError,
    /// The endpoint refused before starting because its slots are taken. No fault of it.
    RefusedBusy
};
inline constexpr EnumNames<AttemptJudgement, 4> attemptJudgementNames{
        {"succeeded", "server-error", "transport-error", "refused-busy"}};

struct JudgedAttempt
{
    std::string instance;
    AttemptJudgement result = AttemptJudgement::Succeeded;
};

struct EjectionLimits
{
    /// Weighted failures in a row that eject an endpoint.
    double failuresToEject = 3;
    /// First ejection; doubled for each further one up to the longest.
    std::int64_t firstEjectionMs = 5000;
    std::int64_t longestEjectionMs = 60000;
    /// Part of a pool that may be ejected at once. Beyond it a failing endpoint keeps its work: if
    /// most of a pool fails, the cause is not the endpoints.
    double largestEjectedShare = 0.3;
};

struct EndpointHealth
{
    double failures = 0;
    std::uint32_t ejections = 0;
    SteadyTimeMs ejectedUntil = 0;
};

/// Health of the endpoints of one pool as one gateway sees it.
using PoolHealth = std::map<std::string, EndpointHealth>;

/// Learns from all attempts of one finished request. A request that failed with server errors at
/// two or more endpoints and succeeded nowhere counts against the request and not the endpoints.
void judgeRequest(PoolHealth &health, const std::vector<JudgedAttempt> &attempts,
                  std::size_t poolSize, SteadyTimeMs nowMs, const EjectionLimits &limits);

bool isEjected(const PoolHealth &health, const std::string &instance, SteadyTimeMs nowMs);

} // namespace dandelionloom

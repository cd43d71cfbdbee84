#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class AttemptOutcome {
    Succeeded,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection failed, or the answer was late, cut short or for another attempt.
    TransportError,
    /// The endpoint refused before starting because its slots are taken. Not a failure of the
    /// endpoint.
    RefusedBusy
};
inline constexpr EnumNames<AttemptOutcome, 4> attemptOutcomeNames{
        {"succeeded", "server-error", "transport-error", "refused-busy"}};

struct CompletedAttempt
{
    std::string instance;
    AttemptOutcome result = AttemptOutcome::Succeeded;
};

struct EjectionLimits
{
    /// Weighted consecutive failures after which an endpoint is ejected.
    double failuresToEject = 3;
    /// Duration of the first ejection; doubled for each further one up to the maximum.
    std::int64_t firstEjectionMs = 5000;
    std::int64_t maxEjectionMs = 60000;
    /// Maximum share of a pool that may be ejected at once. Beyond it a failing endpoint keeps
    /// receiving requests: if most of a pool fails, the endpoints are not the cause.
    double maxEjectedShare = 0.3;
};

struct EndpointHealth
{
    double failures = 0;
    std::uint32_t ejections = 0;
    SteadyTimeMs ejectedUntil = 0;
};

/// Health of the endpoints of one pool as observed by one gateway.
using PoolHealth = std::map<std::string, EndpointHealth>;

/// Updates the health of endpoints from all attempts of one finished request. If a request failed
/// with server errors at two or more endpoints and succeeded nowhere, the request is the likely
/// cause and these errors are not counted.
void recordAttempts(PoolHealth &health, const std::vector<CompletedAttempt> &attempts,
                    std::size_t poolSize, SteadyTimeMs nowMs, const EjectionLimits &limits);

bool isEjected(const PoolHealth &health, const std::string &instance, SteadyTimeMs nowMs);

} // namespace dandelionloom

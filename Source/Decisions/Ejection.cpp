#include "Decisions/Ejection.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

namespace {

/// Weight of a server error if the request succeeded at no other endpoint: the request itself may
/// be the cause.
constexpr double unconfirmedFailureWeight = 0.5;

std::size_t ejectedCount(const PoolHealth &health, SteadyTimeMs nowMs)
{
    return static_cast<std::size_t>(
            std::count_if(health.begin(), health.end(),
                          [&](const auto &item) { return item.second.ejectedUntil > nowMs; }));
}

void eject(EndpointHealth &endpoint, SteadyTimeMs nowMs, const EjectionLimits &limits)
{
    const double backoffMs =
            static_cast<double>(limits.firstEjectionMs) * std::exp2(endpoint.ejections);
    const double boundedMs = std::min(backoffMs, static_cast<double>(limits.maxEjectionMs));
    endpoint.ejectedUntil = nowMs + static_cast<std::int64_t>(boundedMs);
    ++endpoint.ejections;
    endpoint.failures = 0;
}

} // namespace

void recordAttempts(PoolHealth &health, const std::vector<CompletedAttempt> &attempts,
                    std::size_t poolSize, SteadyTimeMs nowMs, const EjectionLimits &limits)
{
    const bool succeeded =
            std::any_of(attempts.begin(), attempts.end(), [](const CompletedAttempt &attempt) {
                return attempt.result == AttemptOutcome::Succeeded;
            });
    std::set<std::string> failedInstances;
    for (const CompletedAttempt &attempt : attempts) {
        if (attempt.result == AttemptOutcome::ServerError) {
            failedInstances.insert(attempt.instance);
        }
    }
    const bool requestAtFault = !succeeded && failedInstances.size() >= 2;
    for (const CompletedAttempt &attempt : attempts) {
        EndpointHealth &endpoint = health[attempt.instance];
        if (attempt.result == AttemptOutcome::Succeeded) {
            endpoint.failures = 0;
            endpoint.ejections = endpoint.ejectedUntil > nowMs ? endpoint.ejections : 0;
            continue;
        }
        if (attempt.result == AttemptOutcome::RefusedBusy
            || (attempt.result == AttemptOutcome::ServerError && requestAtFault)) {
            continue;
        }
        const bool confirmed = succeeded || attempt.result == AttemptOutcome::TransportError;
        endpoint.failures += confirmed ? 1 : unconfirmedFailureWeight;
        const double allowed = limits.maxEjectedShare * static_cast<double>(poolSize);
        if (endpoint.failures >= limits.failuresToEject && endpoint.ejectedUntil <= nowMs
            && static_cast<double>(ejectedCount(health, nowMs) + 1) <= std::max(1.0, allowed)
            && poolSize > 1) {
            eject(endpoint, nowMs, limits);
        }
    }
}

bool isEjected(const PoolHealth &health, const std::string &instance, SteadyTimeMs nowMs)
{
    const auto found = health.find(instance);
    return found != health.end() && found->second.ejectedUntil > nowMs;
}

} // namespace dandelionloom

#include "Decisions/Ejection.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

namespace {

/// A server error that was not compared with another endpoint may be the request's own fault.
constexpr double unprovenFailureWeight = 0.5;

std::size_t ejectedCount(const PoolHealth &health, SteadyTimeMs nowMs)
{
    return static_cast<std::size_t>(
            std::count_if(health.begin(), health.end(),
                          [&](const auto &item) { return item.second.ejectedUntil > nowMs; }));
}

void eject(EndpointHealth &endpoint, SteadyTimeMs nowMs, const EjectionLimits &limits)
{
    const double doubled =
            static_cast<double>(limits.firstEjectionMs) * std::exp2(endpoint.ejections);
    const double duration = std::min(doubled, static_cast<double>(limits.longestEjectionMs));
    endpoint.ejectedUntil = nowMs + static_cast<std::int64_t>(duration);
    ++endpoint.ejections;
    endpoint.failures = 0;
}

} // namespace

void judgeRequest(PoolHealth &health, const std::vector<JudgedAttempt> &attempts,
                  std::size_t poolSize, SteadyTimeMs nowMs, const EjectionLimits &limits)
{
    const bool succeeded =
            std::any_of(attempts.begin(), attempts.end(), [](const JudgedAttempt &attempt) {
                return attempt.result == AttemptJudgement::Succeeded;
            });
    std::set<std::string> erring;
    for (const JudgedAttempt &attempt : attempts) {
        if (attempt.result == AttemptJudgement::ServerError) {
            erring.insert(attempt.instance);
        }
    }
    const bool requestAtFault = !succeeded && erring.size() >= 2;
    for (const JudgedAttempt &attempt : attempts) {
        EndpointHealth &endpoint = health[attempt.instance];
        if (attempt.result == AttemptJudgement::Succeeded) {
            endpoint.failures = 0;
            endpoint.ejections = endpoint.ejectedUntil > nowMs ? endpoint.ejections : 0;
            continue;
        }
        if (attempt.result == AttemptJudgement::RefusedBusy
            || (attempt.result == AttemptJudgement::ServerError && requestAtFault)) {
            continue;
        }
        const bool proven = succeeded || attempt.result == AttemptJudgement::TransportError;
        endpoint.failures += proven ? 1 : unprovenFailureWeight;
        const double allowed = limits.largestEjectedShare * static_cast<double>(poolSize);
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

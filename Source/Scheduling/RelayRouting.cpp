#include "Scheduling/RelayRouting.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace dandelionloom {

namespace {

constexpr std::uint32_t maxAvoidDoublings = 8;

/// Relays that may fail for a worker before the leader calls it itself. A lease outlasts the
/// time-outs of calls through two relays and of a direct one.
constexpr std::size_t maxAvoidedRelays = 2;

/// Largest difference in speed between the steady clocks of two control instances, as for the
/// leader lease.
constexpr double clockDrift = 0.02;

/// Rendezvous hash: the relay with the highest value carries the worker.
std::uint64_t relayWeight(const std::string &relay, const std::string &worker)
{
    return XXH3_64bits_withSeed(worker.data(), worker.size(),
                                XXH3_64bits(relay.data(), relay.size()));
}

} // namespace

bool isUsable(const RelayView &relay, SteadyTimeMs now, const RelayRoutingOptions &options)
{
    return relay.heardAt != 0 && now - relay.heardAt < options.relaySilenceMs
            && relay.acceptMs <= options.maxAcceptMs;
}

std::string chooseRelay(const std::map<std::string, RelayView> &relays, const std::string &worker,
                        const std::string &availabilityZone, const WorkerRoute &route,
                        SteadyTimeMs now, const RelayRoutingOptions &options)
{
    const auto isAvoided = [&route, now](const std::string &relay) {
        const auto avoided = route.avoidedUntil.find(relay);
        return avoided != route.avoidedUntil.end() && now < avoided->second;
    };
    const std::string *best = nullptr;
    std::tuple<bool, std::uint64_t> bestRank;
    std::size_t avoidedRelays = 0;
    for (const auto &[name, relay] : relays) {
        if (isAvoided(name)) {
            ++avoidedRelays;
            continue;
        }
        if (!isUsable(relay, now, options)) {
            continue;
        }
        const std::tuple rank(relay.availabilityZone == availabilityZone,
                              relayWeight(name, worker));
        if (best == nullptr || rank > bestRank) {
            best = &name;
            bestRank = rank;
        }
    }
    return best == nullptr || avoidedRelays >= maxAvoidedRelays ? std::string() : *best;
}

void recordClock(RelayView &relay, std::int64_t clockMs, SteadyTimeMs sentAt,
                 SteadyTimeMs receivedAt)
{
    // A bound beyond the latest possible reading is that of a clock which has restarted since.
    const std::optional<std::int64_t> known = clockLowerBound(relay, receivedAt);
    const std::int64_t latest = clockMs
            + static_cast<std::int64_t>(static_cast<double>(receivedAt - sentAt)
                                        * (1 + clockDrift));
    if (!known || *known < clockMs || *known > latest) {
        relay.clockMs = clockMs;
        relay.clockAt = receivedAt;
    }
}

std::optional<std::int64_t> clockLowerBound(const RelayView &relay, SteadyTimeMs time)
{
    if (!relay.clockMs) {
        return std::nullopt;
    }
    const auto passed = static_cast<double>(time - relay.clockAt);
    return *relay.clockMs
            + static_cast<std::int64_t>(passed * (passed < 0 ? 1 + clockDrift : 1 - clockDrift));
}

void recordRelayFailure(WorkerRoute &route, const std::string &relay, SteadyTimeMs now,
                        const RelayRoutingOptions &options)
{
    const std::int64_t avoidMs = options.avoidMs << std::min(route.failures, maxAvoidDoublings);
    route.avoidedUntil[relay] = now + std::min(avoidMs, options.maxAvoidMs);
    ++route.failures;
}

} // namespace dandelionloom

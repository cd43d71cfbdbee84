#include "Scheduling/RelayRouting.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace dandelionloom {

namespace {

constexpr std::uint32_t maxAvoidDoublings = 8;

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
    const std::string *best = nullptr;
    std::tuple<bool, std::uint64_t> bestRank;
    for (const auto &[name, relay] : relays) {
        if (!isUsable(relay, now, options) || (now < route.avoidUntil && name == route.avoided)) {
            continue;
        }
        const std::tuple rank(relay.availabilityZone == availabilityZone,
                              relayWeight(name, worker));
        if (best == nullptr || rank > bestRank) {
            best = &name;
            bestRank = rank;
        }
    }
    return best == nullptr ? std::string() : *best;
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
    route.avoided = relay;
    route.avoidUntil = now + std::min(avoidMs, options.maxAvoidMs);
    ++route.failures;
}

} // namespace dandelionloom

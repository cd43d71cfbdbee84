#include "Scheduling/RelayRouting.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace dandelionloom {

namespace {

constexpr std::uint32_t maxAvoidDoublings = 8;

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
            && relay.acceptMs <= options.maxAcceptMs && now >= relay.avoidUntil;
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

void recordRelayFailure(WorkerRoute &route, const std::string &relay, SteadyTimeMs now,
                        const RelayRoutingOptions &options)
{
    const std::int64_t avoidMs = options.avoidMs << std::min(route.failures, maxAvoidDoublings);
    route.avoided = relay;
    route.avoidUntil = now + std::min(avoidMs, options.maxAvoidMs);
    ++route.failures;
}

} // namespace dandelionloom

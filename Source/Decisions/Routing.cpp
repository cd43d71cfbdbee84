#include "Decisions/Routing.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// The first reason why an endpoint can't take the attempt; none if it can.
std::optional<RoutingReason> rejectionReason(const EndpointFacts &endpoint,
                                             const RoutingFacts &facts)
{
    if (endpoint.leaseExpired) {
        return RoutingReason::NoEndpoint;
    }
    if (endpoint.leaving) {
        return RoutingReason::AllLeaving;
    }
    if (endpoint.outOfService) {
        return RoutingReason::AllOutOfService;
    }
    if (endpoint.ejected) {
        return RoutingReason::AllEjected;
    }
    if (endpoint.inFlight >= endpoint.slotShare) {
        return RoutingReason::AllBusy;
    }
    const std::uint32_t longLimit = std::min(facts.longSlotsPerEndpoint, endpoint.slotShare);
    if (facts.workClass == WorkClass::Long && endpoint.longInFlight >= longLimit) {
        return RoutingReason::LongWorkLimit;
    }
    return std::nullopt;
}

} // namespace

RoutingDecision chooseEndpoint(const RoutingFacts &facts)
{
    using Rank = std::tuple<bool, bool, bool, double, std::size_t>;
    std::optional<Rank> best;
    std::size_t chosen = 0;
    RoutingReason closest = RoutingReason::NoEndpoint;
    const std::size_t count = facts.endpoints.size();
    for (std::size_t index = 0; index < count; ++index) {
        const EndpointFacts &endpoint = facts.endpoints[index];
        if (const auto reason = rejectionReason(endpoint, facts)) {
            // The values of RoutingReason are ordered by how close the endpoint was to taking the
            // attempt.
            closest = std::max(closest, *reason);
            continue;
        }
        const double load = static_cast<double>(endpoint.inFlight) / endpoint.slotShare;
        const Rank rank{contains(facts.triedInstances, endpoint.instance),
                        contains(facts.triedRacks, endpoint.rack),
                        endpoint.availabilityZone != facts.availabilityZone, load,
                        (index + facts.random) % count};
        if (!best || rank < *best) {
            best = rank;
            chosen = index;
        }
    }
    if (!best) {
        return {std::nullopt, closest};
    }
    const bool inZone = facts.endpoints[chosen].availabilityZone == facts.availabilityZone;
    return {chosen,
            inZone ? RoutingReason::LeastLoadedInZone : RoutingReason::LeastLoadedOtherZone};
}

} // namespace dandelionloom

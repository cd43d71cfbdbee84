#pragma once

#include <cstdint>
#include <vector>

#include "Demand.h"

namespace dandelionloom::measure {

/// Policy by which six gateways share the slots of one pool.
enum class SharingPolicy {
    /// Baseline: each gateway chooses the endpoint with the fewest of its own requests and knows
    /// nothing of the others.
    LocalLeastLoaded,
    /// The slots of each endpoint are divided in proportion to the demand of the gateways, which is
    /// known with a delay.
    Shares,
    /// As Shares, but a gateway with no free slot in its shares probes a random endpoint.
    SharesWithProbe,
    /// As LocalLeastLoaded until endpoints refuse several requests in a row, then as Shares for a
    /// while.
    Adaptive,
    /// Each endpoint is owned by one gateway, which grants its slots at the cost of one round trip
    /// for each request.
    Owner
};

struct SharingResult
{
    /// Attempts refused by an endpoint without a free slot, per 100 served requests.
    double refusedPer100 = 0;
    /// Idle share of the slot time during which a request waited at any gateway, in percent.
    double idleWhileWaitingPercent = 0;
    /// Network time added by refusals and grants, per served request.
    double extraMs = 0;
    double waitMeanMs = 0;
    double waitP99Ms = 0;
};

SharingResult replaySharing(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                            SharingPolicy policy, int gateways, std::uint64_t seed);

} // namespace dandelionloom::measure

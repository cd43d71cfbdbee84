#pragma once

#include <cstdint>
#include <vector>

#include "Demand.h"

namespace dandelionloom::measure {

/// How six gateways share the slots of one pool.
enum class SharingPolicy {
    /// Baseline: each gateway knows only its own requests and takes the endpoint it uses least.
    Alone,
    /// Each endpoint's slots are divided by the gateways' demand, known with a delay.
    Shares,
    /// As Shares, but a gateway whose shares are used up tries one endpoint beyond them.
    SharesWithProbe,
    /// As Alone until an endpoint refuses; then as Shares for a while.
    Adaptive,
    /// One gateway owns an endpoint and grants its slots, one round trip for each request.
    Owner
};

struct SharingResult
{
    /// Attempts that an endpoint refused because its slots were taken, for 100 requests served.
    double refusedPer100 = 0;
    /// Slot time that was idle while a request waited at any gateway, in percent of all slot time.
    double idleWhileWaitingPercent = 0;
    /// Extra time on the wire for each served request.
    double extraMs = 0;
    double waitMeanMs = 0;
    double waitP99Ms = 0;
};

SharingResult replaySharing(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                            SharingPolicy policy, int gateways, std::uint64_t seed);

} // namespace dandelionloom::measure

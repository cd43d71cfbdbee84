#include "Decisions/TaskLeases.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

LeaseDecision mayRestart(const TaskLease &lease, const LeaseTiming &rules, SteadyTimeMs nowMs)
{
    if (lease.endConfirmed) {
        return {true, LeaseReason::EndConfirmed, nowMs};
    }
    // The lease starts when the renewal arrives at the worker, a time that the leader doesn't know.
    const double maxRunMs =
            static_cast<double>(rules.maxDeliveryMs + rules.leaseMs + rules.maxStopMs)
            * (1 + 2 * rules.maxClockDrift);
    const auto marginMs = static_cast<std::int64_t>(std::ceil(maxRunMs));
    const SteadyTimeMs lastRenewalMs = std::max(lease.lastSentAtMs, lease.earlierLeaderUntilMs);
    if (nowMs >= lastRenewalMs + marginMs) {
        return {true, LeaseReason::LeaseEnded, nowMs};
    }
    const LeaseReason reason = lease.earlierLeaderUntilMs > lease.lastSentAtMs
            ? LeaseReason::EarlierLeaderMayHaveRenewed
            : LeaseReason::LeaseMayBeValid;
    return {false, reason, lastRenewalMs + marginMs};
}

SteadyTimeMs stopTaskAt(SteadyTimeMs receivedAtMs, const LeaseTiming &rules)
{
    return receivedAtMs + rules.leaseMs;
}

SteadyTimeMs renewLeaseAt(SteadyTimeMs lastSentAtMs, const LeaseTiming &rules)
{
    return lastSentAtMs + rules.leaseMs / 3;
}

} // namespace dandelionloom

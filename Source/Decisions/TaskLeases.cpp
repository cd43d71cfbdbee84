#include "Decisions/TaskLeases.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

LeaseDecision mayRestart(const TaskLease &lease, const LeaseRules &rules, SteadyTimeMs nowMs)
{
    if (lease.endConfirmed) {
        return {true, LeaseReason::EndConfirmed, nowMs};
    }
    // The worker counts from the arrival of the renewal, which the leader doesn't know.
    const double longestMs = static_cast<double>(rules.deliveryMs + rules.leaseMs + rules.stopMs)
            * (1 + 2 * rules.clockDrift);
    const auto marginMs = static_cast<std::int64_t>(std::ceil(longestMs));
    const SteadyTimeMs lastMs = std::max(lease.lastSentAtMs, lease.earlierLeaderUntilMs);
    if (nowMs >= lastMs + marginMs) {
        return {true, LeaseReason::LeaseEnded, nowMs};
    }
    const LeaseReason reason = lease.earlierLeaderUntilMs > lease.lastSentAtMs
            ? LeaseReason::EarlierLeaderMayHaveRenewed
            : LeaseReason::LeaseMayBeValid;
    return {false, reason, lastMs + marginMs};
}

SteadyTimeMs stopTaskAt(SteadyTimeMs receivedAtMs, const LeaseRules &rules)
{
    return receivedAtMs + rules.leaseMs;
}

SteadyTimeMs renewLeaseAt(SteadyTimeMs lastSentAtMs, const LeaseRules &rules)
{
    return lastSentAtMs + rules.leaseMs / 3;
}

} // namespace dandelionloom

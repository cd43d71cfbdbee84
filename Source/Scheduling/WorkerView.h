#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Scheduling/DispatchTypes.h"

namespace dandelionloom {

enum class RunState {
    /// Assigned and not sent yet, or to be sent again because the worker does not list it.
    ToSend,
    Sent,
    /// Sent and not answered in time, or assigned by an earlier leader.
    Unknown,
    Running
};

/// State of an assigned run, as known to the leader.
struct RunView
{
    std::uint32_t run = 0;
    RunState state = RunState::ToSend;
    /// Number of start orders sent; if above 0, the worker may have the run.
    std::uint32_t sends = 0;
    /// A start order got no answer: it may be carried out even if a later one is refused.
    bool startUnanswered = false;
    /// Until when a next incarnation of the worker may hold a lease with which it has carried out
    /// an unanswered start; 0 if all were answered.
    SteadyTimeMs lateStartEnd = 0;
    bool stopping = false;
    /// Time of the worker's confirmation of a stop order, from which on it refuses the run; 0
    /// before.
    SteadyTimeMs stopConfirmedAt = 0;
    SteadyTimeMs nextStopAt = 0;
    SteadyTimeMs nextSendAt = 0;
    /// Time of the worker's confirmation; renewals sent before it may not list the run yet.
    SteadyTimeMs confirmedAt = 0;
    SteadyTimeMs progressAt = 0;
    std::int64_t percent = -1;
    std::int64_t reading = 0;
    std::int64_t pacePercent = 100;
    /// Consecutive renewals that should have listed the run but did not.
    std::uint32_t missedRenewals = 0;
};

/// State of a worker, as known to the leader. It is discarded at the end of the term.
struct WorkerView
{
    /// Incarnation that the view describes; 0 if the view was made before it was recorded.
    std::int64_t startTimeMs = 0;
    /// Last reading of the worker's clock and the time of its arrival; unset before the first one.
    std::optional<std::int64_t> clockMs;
    SteadyTimeMs clockAt = 0;
    /// End of the latest lease requested by this leader, on the worker's clock.
    std::int64_t leaseUntilMs = 0;
    /// Until when the worker may hold a lease that was requested for an earlier incarnation; 0 if
    /// there was none.
    SteadyTimeMs otherLeaseEnd = 0;
    /// A record that the worker is silent was proposed, and none that it answers was applied since.
    /// `answerProposed`: that one was proposed.
    bool silenceProposed = false;
    bool answerProposed = false;
    bool renewalInFlight = false;
    SteadyTimeMs renewSentAt = 0;
    /// Time at which the last renewal that failed was sent.
    SteadyTimeMs failedRenewalSentAt = 0;
    SteadyTimeMs nextRenewAt = 0;
    /// Time of the last answered renewal of this term; 0 before the first. Until then the worker
    /// may still accept orders of an earlier leader.
    SteadyTimeMs renewedAt = 0;
    std::uint32_t renewFailures = 0;
    /// Time of the first failed renewal of the present series; 0 if the last one was answered.
    SteadyTimeMs silentSince = 0;
    /// Consecutive unanswered orders.
    std::uint32_t unansweredOrders = 0;
    /// A stop order was confirmed since the last renewal was sent: the next one shows whether the
    /// worker had the run.
    bool stopToVerify = false;
    std::uint64_t ackCursor = 0;
    /// Highest number of an end that was proposed to the journal; it may not be applied yet.
    std::uint64_t lastProposedEnd = 0;
    std::map<TaskKey, RunView> runs;
    /// Resources of the proposed and assigned tasks, in total and by task.
    TaskResources used;
    std::map<TaskKey, TaskResources> reserved;
    /// Number of long-running tasks in `reserved`.
    std::uint32_t longRunningCount = 0;
    /// Resources reserved for these.
    TaskResources longRunningNeed;
    /// Number of best-effort tasks in `reserved`.
    std::uint32_t bestEffortCount = 0;
    /// At least one of the long-running tasks is not available yet.
    bool longRunningStarting = false;
    std::uint32_t failuresInRow = 0;
    std::set<JobId> failedJobs;
    SteadyTimeMs avoidUntil = 0;
    /// Set while the instance is drained for maintenance or a move; the worker gets no new tasks.
    bool cordoned = false;
    /// The shutdown of the worker was ordered; its tasks count as unavailable.
    bool leaving = false;
    /// The worker has deregistered. Its runs are stopped, and it is removed after the last one.
    bool deregistered = false;
    SteadyTimeMs paceRestoreAt = 0;
    /// All leases of the worker have certainly expired.
    bool leasesExpired = false;

    /// Lower bound of the worker's clock, which may run slow by the fraction `drift`.
    std::int64_t clockLowerBound(SteadyTimeMs now, double drift) const
    {
        return *clockMs
                + static_cast<std::int64_t>(static_cast<double>(now - clockAt) * (1 - drift));
    }
    /// True if a lease that this leader has requested may not have expired yet.
    bool mayHoldLease(SteadyTimeMs now, const DispatchOptions &options) const
    {
        return (otherLeaseEnd != 0 && now < otherLeaseEnd + expiryMarginMs(options))
                || (clockMs
                    && clockLowerBound(now, options.clockDrift)
                            <= leaseUntilMs + options.leaseExpiryMarginMs);
    }
    /// Time from which on the worker holds no lease of this leader; 0 if it never held one.
    SteadyTimeMs ownLeaseEnd(double drift) const
    {
        return clockMs && leaseUntilMs > 0
                ? std::max(otherLeaseEnd, clockAt + slowClockMs(leaseUntilMs - *clockMs, drift))
                : otherLeaseEnd;
    }
    /// True if the worker has answered in this term, less than `maxAgeMs` ago.
    bool hasRecentAnswer(SteadyTimeMs now, std::int64_t maxAgeMs) const
    {
        return renewedAt != 0 && now - renewedAt < maxAgeMs;
    }
};

} // namespace dandelionloom

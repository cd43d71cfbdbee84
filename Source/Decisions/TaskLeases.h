#pragma once

#include <cstdint>
#include <string>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

struct LeaseTiming
{
    std::int64_t leaseMs = 10000;
    /// Maximum time until a start or renewal reaches the worker after it was sent: the timeout
    /// after which the platform adapter closes the connection.
    std::int64_t maxDeliveryMs = 5000;
    /// Bound on the relative clock drift, as a share of the time that passes.
    double maxClockDrift = 0.01;
    /// Maximum time that a worker needs to stop a task after its lease has expired.
    std::int64_t maxStopMs = 2000;
};

/// One task at its worker, as seen by the leading entry instance on its own clock.
struct TaskLease
{
    std::string task;
    std::string worker;
    /// When the last start or renewal that may have reached the worker was sent, answered or not.
    SteadyTimeMs lastSentAtMs = 0;
    /// The worker or the platform confirmed that the task has ended.
    bool endConfirmed = false;
    /// Another leader may have renewed the lease until this time, the latest at which its
    /// leadership ended; 0 if this leader sent all renewals.
    SteadyTimeMs earlierLeaderUntilMs = 0;
};

enum class LeaseReason { EndConfirmed, LeaseEnded, LeaseMayBeValid, EarlierLeaderMayHaveRenewed };
inline constexpr EnumNames<LeaseReason, 4> leaseReasonNames{
        {"end-confirmed", "lease-ended", "lease-may-be-valid", "earlier-leader-may-have-renewed"}};

struct LeaseDecision
{
    bool mayRestart = false;
    LeaseReason reason = LeaseReason::LeaseMayBeValid;
    /// When to check again, if the task may not be started elsewhere yet.
    SteadyTimeMs retryAtMs = 0;
};

/// Decides whether a task may be started on another worker without two runs at the same time. The
/// safety margin covers a renewal that arrives late at a worker whose clock is slow and that needs
/// the full time to stop.
LeaseDecision mayRestart(const TaskLease &lease, const LeaseTiming &rules, SteadyTimeMs nowMs);

/// When a worker must begin to stop a task, on its own clock, if no renewal follows the one
/// received at `receivedAtMs`.
SteadyTimeMs stopTaskAt(SteadyTimeMs receivedAtMs, const LeaseTiming &rules);

/// When the leader sends the next renewal: two may be lost before the lease expires.
SteadyTimeMs renewLeaseAt(SteadyTimeMs lastSentAtMs, const LeaseTiming &rules);

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <string>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

struct LeaseRules
{
    std::int64_t leaseMs = 10000;
    /// How long after it was sent a start or renewal may still reach the worker: the timeout after
    /// which the platform adapter closes the connection.
    std::int64_t deliveryMs = 5000;
    /// Bound on how far two clocks drift apart, as a share of the time that passes.
    double clockDrift = 0.01;
    /// Time that a worker may need to stop a task after its lease has ended.
    std::int64_t stopMs = 2000;
};

/// One task at its worker, as the entry instance that leads sees it on its own clock.
struct TaskLease
{
    std::string task;
    std::string worker;
    /// When the last start or renewal was sent that may have reached the worker, answered or not.
    SteadyTimeMs lastSentAtMs = 0;
    /// The worker or the platform confirmed that the task has ended.
    bool endConfirmed = false;
    /// Another leader may have renewed the lease: it stopped to lead at this time at the latest,
    /// 0 if this leader sent all renewals.
    SteadyTimeMs earlierLeaderUntilMs = 0;
};

enum class LeaseReason { EndConfirmed, LeaseEnded, LeaseMayBeValid, EarlierLeaderMayHaveRenewed };
inline constexpr EnumNames<LeaseReason, 4> leaseReasonNames{
        {"end-confirmed", "lease-ended", "lease-may-be-valid", "earlier-leader-may-have-renewed"}};

struct LeaseDecision
{
    bool mayRestart = false;
    LeaseReason reason = LeaseReason::LeaseMayBeValid;
    /// When to ask again, if the task may not be started elsewhere yet.
    SteadyTimeMs retryAtMs = 0;
};

/// Whether a task may be started on another worker without running twice at once. The safety
/// margin covers a renewal that arrives late at a worker whose clock is slow and that needs its
/// full time to stop.
LeaseDecision mayRestart(const TaskLease &lease, const LeaseRules &rules, SteadyTimeMs nowMs);

/// When a worker must begin to stop a task, on its own clock, if no renewal arrives after the one
/// it received at `receivedAtMs`.
SteadyTimeMs stopTaskAt(SteadyTimeMs receivedAtMs, const LeaseRules &rules);

/// When the leader sends the next renewal: two may be lost before the lease ends.
SteadyTimeMs renewLeaseAt(SteadyTimeMs lastSentAtMs, const LeaseRules &rules);

} // namespace dandelionloom

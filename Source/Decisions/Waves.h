#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Decisions/BudgetLedger.h"
#include "Model/EnumNames.h"
#include "Model/Fleet.h"
#include "Model/Lists.h"
#include "Model/Time.h"

namespace dandelionloom {

/// What a drain or reboot in progress waits for, as last observed by the controller.
enum class WaitingFor { Unknown, Gateways, RunningWork, Platform };
inline constexpr EnumNames<WaitingFor, 4> waitingForNames{
        {"unknown", "gateways", "running-work", "platform"}};

struct WaveObservations
{
    /// Instances in service in the replicated state whose endpoint does not serve. Instances in
    /// other phases are not listed: their endpoint is expected to be absent.
    std::set<std::string> unavailable;
    /// What the instances wait for that are drained or rebooted for a wave or move.
    std::map<std::string, WaitingFor> waitingFor;
};

struct WaveLimits
{
    LedgerOptions ledger;
    /// A reboot that takes longer counts as failed maintenance.
    std::int64_t rebootLimitMs = 600000;
    /// A wave stops when targets fail after their maintenance in this many racks: failures in one
    /// rack point to the rack, failures in several to the maintenance itself.
    std::uint32_t failingRackThreshold = 3;
    /// A drain that running work blocks for this many drain limits is released in favour of another
    /// target and retried last.
    std::uint32_t drainLimitsUntilRetry = 3;
};

enum class WaveReason {
    // Grants
    FirstDomain,
    SameDomain,
    ReserveHolds,
    // Releases
    BudgetOverspent,
    WaveCancelled,
    DrainYields,
    // Waiting targets
    BudgetSpent,
    BudgetAllowsNone,
    NoDomainReserve,
    WavePaused,
    TargetsFailing,
    InstanceFailed,
    InstanceNotServing,
    HeldByAnother,
    UnknownInstance,
    // Targets in progress
    WaitingForGateways,
    WaitingForRunningWork,
    DrainStuck,
    WaitingForPlatform,
    Draining,
    Rebooting,
    RebootOverdue,
    Proving
};
inline constexpr EnumNames<WaveReason, 23> waveReasonNames{{"first-domain",
                                                            "same-domain",
                                                            "reserve-holds",
                                                            "budget-overspent",
                                                            "wave-cancelled",
                                                            "drain-yields",
                                                            "budget-spent",
                                                            "budget-allows-none",
                                                            "no-domain-reserve",
                                                            "wave-paused",
                                                            "targets-failing",
                                                            "instance-failed",
                                                            "instance-not-serving",
                                                            "held-by-another",
                                                            "unknown-instance",
                                                            "waiting-for-gateways",
                                                            "waiting-for-work",
                                                            "drain-stuck",
                                                            "waiting-for-platform",
                                                            "draining",
                                                            "rebooting",
                                                            "reboot-overdue",
                                                            "proving"}};

/// A drain to request with GrantDrain.
struct WaveGrant
{
    std::string wave;
    std::string instance;
    std::uint64_t expectedEpoch = 0;
    std::string pool;
    std::string domain;
    /// For GrantDrain::observedUnavailable.
    std::uint32_t observedUnavailable = 0;
    WaveReason reason = WaveReason::FirstDomain;
};

/// A grant to release with ReleaseDrain: the instance has not been stopped yet.
struct WaveRelease
{
    /// Wave id, or the holder of a move.
    std::string holder;
    std::string instance;
    std::uint64_t expectedEpoch = 0;
    std::string pool;
    WaveReason reason = WaveReason::BudgetOverspent;
};

/// Why a target that is not finished gets no grant in this pass.
struct WaveWait
{
    std::string wave;
    std::string instance;
    std::string pool;
    WaveReason reason = WaveReason::BudgetSpent;
    /// Wave or move that holds the instance, for HeldByAnother.
    std::string holder;
};

struct WavePlan
{
    std::vector<WaveGrant> grants;
    std::vector<WaveRelease> releases;
    std::vector<WaveWait> waits;
    /// The budget after the grants and releases, on which the moves of the same pass are planned.
    BudgetLedger ledger;
};

/// Plans the next steps of all waves that are running, paused or cancelled with drains in progress.
///
/// Releases come first: the drains of cancelled waves, then, in pools whose budget is overspent by
/// failures, the latest drains until the budget holds again (moves out of the pool, then drains in
/// progress, then completed drains). A pool with a release gets no grant in the same pass. A pool's
/// targets are granted rack by rack, those in impaired racks and zones first. Grants must be
/// requested in the order of the plan. Takes O(n log n) in the number of instances and targets.
WavePlan planWaves(const Fleet &fleet, const Lists &lists, const WaveObservations &observations,
                   const WaveLimits &limits, WallTimeMs nowMs);

/// One sentence for operators: why the target is waiting, and for whom.
std::string describeWait(const WaveWait &wait, const WavePlan &plan);

} // namespace dandelionloom

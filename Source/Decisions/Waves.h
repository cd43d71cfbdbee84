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

/// What a drain or reboot in progress waits for, as the controller last saw it.
enum class WaitingFor { Unknown, Gateways, RunningWork, Platform };
inline constexpr EnumNames<WaitingFor, 4> waitingForNames{
        {"unknown", "gateways", "running-work", "platform"}};

struct WaveObservations
{
    /// Instances in service by the agreed record whose endpoint does not serve. Instances in
    /// another phase don't belong here: their endpoint is expected to be away.
    std::set<std::string> unavailable;
    /// What instances in a step of a wave or move wait for.
    std::map<std::string, WaitingFor> waitingFor;
};

struct WaveLimits
{
    LedgerOptions ledger;
    /// A reboot that takes longer counts as a failure of the maintenance.
    std::int64_t rebootLimitMs = 600000;
    /// A wave stops when targets fail after their maintenance in this many racks: one rack that
    /// fails is a rack failure, several at once point at the maintenance itself.
    std::uint32_t failingRacksThatStopWave = 3;
    /// A drain that running work holds for this many drain limits gives its unit to another
    /// target and is tried again last.
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
    // Targets that are not moving
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

/// A drain to ask for with GrantDrain.
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

/// A grant to give back with ReleaseDrain: the instance has not been stopped yet.
struct WaveRelease
{
    /// Wave id, or the holder of a move.
    std::string holder;
    std::string instance;
    std::uint64_t expectedEpoch = 0;
    std::string pool;
    WaveReason reason = WaveReason::BudgetOverspent;
};

/// Why a target that is neither finished nor granted now makes no new step.
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
    /// The budget after the grants and releases. Moves of the same pass are planned on it.
    BudgetLedger ledger;
};

/// Plans the next steps of all waves that are running, paused or cancelled with drains in progress.
///
/// Releases come first: drains of cancelled waves, then, in pools whose budget failures have
/// overspent, the latest drains until the budget holds again (moves out of the pool first, then
/// drains in progress, then completed drains). A pool that gave a drain back grants none in the
/// same pass. A pool's targets are taken rack by rack, in impaired racks and zones first. The
/// order in which the grants are asked for must be kept. Costs n log n in instances and targets.
WavePlan planWaves(const Fleet &fleet, const Lists &lists, const WaveObservations &observations,
                   const WaveLimits &limits, WallTimeMs nowMs);

/// One sentence that tells an operator why the target is waiting, and for whom.
std::string describeWait(const WaveWait &wait, const WavePlan &plan);

} // namespace dandelionloom

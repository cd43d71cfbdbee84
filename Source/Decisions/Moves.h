#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Decisions/BudgetLedger.h"
#include "Decisions/Capacity.h"
#include "Decisions/Waves.h"
#include "Model/EnumNames.h"
#include "Model/Fleet.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Name of the holder of a move's drain grant.
inline constexpr const char *moveHolder = "move";

struct MoveLimits
{
    /// How long a pool must lack instances before a move. At least the shortest useful peak, so
    /// that a peak of seconds causes no move.
    std::int64_t hysteresisMs = 90000;
    /// How long a pool that received an instance gives none.
    std::int64_t coolDownMs = 600000;
    std::uint32_t maxInFlight = 8;
};

/// Limits for a deployment: the more moves weigh against the wait of short work, the longer a
/// shortage must last. `capacity` gives the shortest useful peak.
MoveLimits moveLimits(const DeploymentWeights &weights, const CapacityLimits &capacity);

/// What the planner remembers between passes. A new leader starts with an empty one, which only
/// delays moves by the hysteresis.
struct MoveHistory
{
    std::map<std::string, WallTimeMs> lackingSince;
    std::map<std::string, WallTimeMs> receivedAt;

    bool operator==(const MoveHistory &) const = default;
};

enum class MoveReason {
    // Moves
    /// Healthy instances are below a plan's minimum: neither hysteresis nor cool-down applies.
    BelowMinimum,
    LastingShortage,
    RefillBuffer,
    // Pools that lack instances and get none now
    Hysteresis,
    CapInFlight,
    NoDonor,
    CoolDown,
    BudgetSpent
};
inline constexpr EnumNames<MoveReason, 8> moveReasonNames{
        {"below-minimum", "lasting-shortage", "refill-buffer", "hysteresis", "cap-in-flight",
         "no-donor", "cool-down", "budget-spent"}};

/// A move to ask for with GrantDrain (holder `moveHolder`, movingTo `to`).
struct PlannedMove
{
    std::string instance;
    std::uint64_t expectedEpoch = 0;
    std::string from;
    std::string to;
    std::uint32_t observedUnavailable = 0;
    MoveReason reason = MoveReason::LastingShortage;
};

/// Why a pool lacks instances and gets no move, or not all, in this pass.
struct MoveWait
{
    std::string pool;
    std::uint32_t lacking = 0;
    MoveReason reason = MoveReason::Hysteresis;
};

struct MovePlan
{
    std::vector<PlannedMove> moves;
    std::vector<MoveWait> waits;
    MoveHistory history;
    BudgetLedger ledger;
};

/// Instances that planMoves must leave alone: targets that `waves` grants in this pass, and
/// instances that don't serve.
std::set<std::string> excludedFromMoves(const WavePlan &waves,
                                        const WaveObservations &observations);

/// Plans the fewest moves that give each pool its size: each move fills one shortage, from a pool
/// with more than its size if there is one, else from the spare pool. What a pool has beyond its
/// size stays there until another pool or the buffer lacks it. Failed instances don't count as
/// members; instances on their way do. `excluded` holds at least excludedFromMoves. Costs
/// n log n in instances for a fixed cap in flight.
///
/// `ledger` is the budget after planWaves, so a wave and a move never spend the same unit.
MovePlan planMoves(const Fleet &fleet, const CapacityPlan &capacity, const BudgetLedger &ledger,
                   const std::set<std::string> &excluded, const MoveHistory &history,
                   const MoveLimits &limits, WallTimeMs nowMs);

} // namespace dandelionloom

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

/// Holder recorded in the drain grant of a move.
inline constexpr const char *moveGrantHolder = "move";

struct MoveLimits
{
    /// How long a pool must be short of instances before a move. At least the shortest useful peak,
    /// so that a peak of seconds causes no move.
    std::int64_t hysteresisMs = 90000;
    /// How long a pool that received an instance gives none to others.
    std::int64_t coolDownMs = 600000;
    std::uint32_t maxInFlight = 8;
};

/// Limits for a deployment. The hysteresis grows with the weight of moves relative to that of short
/// work's wait; `capacity` gives the shortest useful peak.
MoveLimits moveLimits(const DeploymentWeights &weights, const CapacityLimits &capacity);

/// State that the planner keeps between passes. A new leader starts with an empty history, which
/// only delays moves by the hysteresis.
struct MoveHistory
{
    std::map<std::string, WallTimeMs> shortfallSince;
    std::map<std::string, WallTimeMs> receivedAt;

    bool operator==(const MoveHistory &) const = default;
};

enum class MoveReason {
    // Moves
    /// Healthy instances are below a plan's minimum: neither hysteresis nor cool-down applies.
    BelowMinimum,
    LastingShortage,
    RefillBuffer,
    // Pools that are short of instances and get none in this pass
    Hysteresis,
    CapInFlight,
    NoDonor,
    CoolDown,
    BudgetSpent
};
inline constexpr EnumNames<MoveReason, 8> moveReasonNames{
        {"below-minimum", "lasting-shortage", "refill-buffer", "hysteresis", "cap-in-flight",
         "no-donor", "cool-down", "budget-spent"}};

/// A move to ask for with GrantDrain (holder `moveGrantHolder`, movingTo `to`).
struct PlannedMove
{
    std::string instance;
    std::uint64_t expectedEpoch = 0;
    std::string from;
    std::string to;
    std::uint32_t observedUnavailable = 0;
    MoveReason reason = MoveReason::LastingShortage;
};

/// Why a pool that is short of instances gets no move, or too few, in this pass.
struct MoveWait
{
    std::string pool;
    std::uint32_t shortfall = 0;
    MoveReason reason = MoveReason::Hysteresis;
};

struct MovePlan
{
    std::vector<PlannedMove> moves;
    std::vector<MoveWait> waits;
    MoveHistory history;
    BudgetLedger ledger;
};

/// Instances that planMoves() must not move: targets that `waves` grants in this pass, and
/// instances that don't serve.
std::set<std::string> excludedFromMoves(const WavePlan &waves,
                                        const WaveObservations &observations);

/// Plans the minimum number of moves that give each pool its size. Each move fills one missing
/// instance, from a pool with a surplus if there is one, else from the spare pool. A surplus stays
/// in its pool until another pool or the buffer is short of instances. Failed instances don't count
/// as members; incoming ones do. `excluded` contains at least excludedFromMoves(). Takes O(n log n)
/// in the number of instances for a fixed cap in flight.
///
/// `ledger` is the budget after planWaves(), so that a wave and a move never spend the same unit.
MovePlan planMoves(const Fleet &fleet, const CapacityPlan &capacity, const BudgetLedger &ledger,
                   const std::set<std::string> &excluded, const MoveHistory &history,
                   const MoveLimits &limits, WallTimeMs nowMs);

} // namespace dandelionloom

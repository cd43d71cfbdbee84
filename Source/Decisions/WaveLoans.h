#pragma once

#include <cstdint>

#include "Decisions/BudgetLedger.h"
#include "Decisions/Capacity.h"
#include "Model/Fleet.h"

namespace dandelionloom {

/// Lends spare instances to pools that a running wave has targets in, so that the wave can use the
/// whole budget with the domain reserve intact. A pool sized for a small buffer lets a wave take
/// one instance at a time, which doubles the roll-out time of a budget of two; holding the
/// difference in each pool all the time would cost more than moving it for the wave.
///
/// The spare pool keeps `keepInBuffer` instances, the size of the largest domain. Loans are dealt
/// out one to a pool in turn, and end with the wave.
CapacityPlan lendForWaves(CapacityPlan plan, const Fleet &fleet, const BudgetLedger &ledger,
                          std::uint32_t keepInBuffer);

} // namespace dandelionloom

#pragma once

#include <cstdint>

#include "Decisions/BudgetLedger.h"
#include "Decisions/Capacity.h"
#include "Model/Fleet.h"

namespace dandelionloom {

/// Adds spare instances to the pools that a running wave has targets in (surge), so that the wave
/// can use the whole budget with the domain reserve intact. A pool sized for a small buffer lets a
/// wave take one instance at a time, which doubles the roll-out time of a budget of two; keeping
/// the extra instances in each pool permanently would cost more than moving them for the wave.
///
/// The spare pool keeps `minBuffer` instances, the size of the largest domain. The extra instances
/// are assigned to the pools round-robin, and only while the wave runs.
CapacityPlan addWaveSurge(CapacityPlan plan, const Fleet &fleet, const BudgetLedger &ledger,
                          std::uint32_t minBuffer);

} // namespace dandelionloom

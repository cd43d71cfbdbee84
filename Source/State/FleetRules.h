#pragma once

#include <cstdint>
#include <string>

#include "Model/Fleet.h"
#include "Model/Lists.h"
#include "State/Commands.h"

namespace dandelionloom {

// Deterministic state transitions of the replicated fleet records. Each function changes `fleet`
// only if the outcome is Applied; the outcome's revision is the epoch of the changed instance.

CommandOutcome registerInstance(Fleet &fleet, const RegisterInstance &body, std::int64_t atMs);
CommandOutcome moveInstance(Fleet &fleet, const MoveInstance &body, std::int64_t atMs);
CommandOutcome setInstancePhase(Fleet &fleet, const SetInstancePhase &body, std::int64_t atMs);
CommandOutcome startWave(Fleet &fleet, const StartWave &body, std::int64_t atMs);
CommandOutcome controlWave(Fleet &fleet, const ControlWave &body, std::int64_t atMs);
CommandOutcome grantDrain(Fleet &fleet, const Lists &lists, const GrantDrain &body,
                          std::int64_t atMs);
CommandOutcome releaseDrain(Fleet &fleet, const ReleaseDrain &body, std::int64_t atMs);

/// Availability budget of a pool: the strictest limits of all plans of its service.
struct PoolBudget
{
    std::uint32_t minHealthyInstances = 0;
    std::uint32_t maxUnavailableInstances = 0;
    /// False if no plan uses the pool; planned operations are then not limited.
    bool bounded = false;
};

PoolBudget poolBudget(const Lists &lists, const std::string &pool);

/// Number of instances in a pool, and how many of them are unavailable according to their
/// replicated records.
struct PoolAvailability
{
    std::uint32_t members = 0;
    std::uint32_t unavailable = 0;
};

PoolAvailability poolAvailability(const Fleet &fleet, const std::string &pool);

} // namespace dandelionloom

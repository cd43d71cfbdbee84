#pragma once

#include <vector>

#include "Decisions/Placement.h"
#include "Decisions/WorkerRooms.h"

namespace dandelionloom::detail {

/// Stops every cancelled job that is still running.
void stopCancelled(WorkerRooms &rooms, std::vector<JobDecision> &decisions);

/// Acts on jobs that use more than they were placed by, before their neighbours suffer. Processors
/// are throttled. Memory can't be taken back, so the job is checkpointed and placed again by what
/// it used; a job without checkpoints is throttled, which slows its growth.
void limitOutgrown(WorkerRooms &rooms, const PlacementFacts &facts, const PlacementLimits &limits,
                   std::vector<JobDecision> &decisions, SteadyTimeMs nowMs);

/// Processors that stragglers hold in each pool, after those beyond the bounded share have been
/// checkpointed or throttled, the latest started first: it loses the least.
std::map<std::string, double> limitStragglers(WorkerRooms &rooms, const PlacementFacts &facts,
                                              const PlacementLimits &limits,
                                              std::vector<JobDecision> &decisions,
                                              SteadyTimeMs nowMs);

} // namespace dandelionloom::detail

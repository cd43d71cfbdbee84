#pragma once

#include <vector>

#include "Decisions/Placement.h"
#include "Decisions/WorkerCapacityIndex.h"

namespace dandelionloom::detail {

/// Stops every cancelled job that is still running.
void stopCancelled(WorkerCapacityIndex &capacityIndex, std::vector<JobDecision> &decisions);

/// Limits jobs that use more than they were placed by, before other jobs of the worker suffer.
/// Processors are throttled. Memory can't be taken back, so the job is checkpointed and placed
/// again by its observed usage; a job without checkpoints is throttled, which slows its growth.
void limitOveruse(WorkerCapacityIndex &capacityIndex, const PlacementFacts &facts,
                  const PlacementLimits &limits, std::vector<JobDecision> &decisions,
                  SteadyTimeMs nowMs);

/// Limits the processors that stragglers hold in each pool to the bounded share, and returns those
/// that remain. Stragglers beyond it are checkpointed or throttled, the latest started first, since
/// they lose the least.
std::map<std::string, double> limitStragglers(WorkerCapacityIndex &capacityIndex,
                                              const PlacementFacts &facts,
                                              const PlacementLimits &limits,
                                              std::vector<JobDecision> &decisions,
                                              SteadyTimeMs nowMs);

} // namespace dandelionloom::detail

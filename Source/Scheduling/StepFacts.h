#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Scheduling/SchedulerState.h"
#include "Scheduling/StepRanking.h"

namespace dandelionloom {

/// Name of the service that runs the job's tasks: by the configuration in force, or by the one of
/// its acceptance if the queue was removed since.
std::string serviceOf(const SchedulerState &state, const JobRecord &job);

/// True if the job has tasks that run until it is cancelled.
bool isLongRunning(const JobSpec &spec);

/// True if all tasks of the job use idle processor time only.
bool isBestEffort(const JobSpec &spec);

/// True if all steps that the step depends on have completed.
bool isReady(const StepSpec &step, const OccurrenceRecord &occurrence);

/// Maximum number of tasks of a long-running step per worker; 0 for no limit. The submitter's limit
/// applies as well as the disruption budget: a worker that holds more tasks than the budget allows
/// to be unavailable could not be maintained.
std::uint32_t maxTasksPerWorker(const StepSpec &step);

/// Resources that a task of the step reserves on its worker.
TaskResources reservedNeed(const StepSpec &step);

/// True if the step requires no label, or one that the worker has.
bool hasRequiredLabel(const WorkerRecord &worker, const StepSpec &step);

/// The attributes of a step, but for the unfinished work of its occurrence. `stepMs` holds the
/// expected run time of a task of each step.
StepAttributes stepAttributes(const JobRecord &job, const std::vector<std::int64_t> &stepMs,
                              std::uint32_t occurrence, std::uint32_t step);

} // namespace dandelionloom

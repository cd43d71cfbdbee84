#include "Scheduling/StepFacts.h"

#include <algorithm>

namespace dandelionloom {

std::string serviceOf(const SchedulerState &state, const JobRecord &job)
{
    const QueueConfig *queue = state.queue(job.spec.queue);
    return queue != nullptr ? queue->service : job.queue.service;
}

bool isLongRunning(const JobSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const StepSpec &step) { return step.longRunning; });
}

bool isBestEffort(const JobSpec &spec)
{
    return std::all_of(spec.steps.begin(), spec.steps.end(),
                       [](const StepSpec &step) { return step.bestEffort; });
}

bool isReady(const StepSpec &step, const OccurrenceRecord &occurrence)
{
    return std::all_of(step.dependsOn.begin(), step.dependsOn.end(),
                       [&occurrence](std::uint32_t needed) {
                           return needed < occurrence.steps.size()
                                   && occurrence.steps[needed].doneCount
                                   == occurrence.steps[needed].tasks.size();
                       });
}

std::uint32_t maxTasksPerWorker(const StepSpec &step)
{
    if (step.maxPerWorker == 0 || step.maxUnavailable == 0) {
        return std::max(step.maxPerWorker, step.maxUnavailable);
    }
    return std::min(step.maxPerWorker, step.maxUnavailable);
}

TaskResources reservedNeed(const StepSpec &step)
{
    TaskResources need = step.need;
    if (step.bestEffort) {
        need.processorMilli = 0;
    }
    return need;
}

bool hasRequiredLabel(const WorkerRecord &worker, const StepSpec &step)
{
    return step.requiredLabel.empty()
            || std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel)
            != worker.labels.end();
}

StepAttributes stepAttributes(const JobRecord &job, const std::vector<std::int64_t> &stepMs,
                              std::uint32_t occurrence, std::uint32_t step)
{
    const StepSpec &spec = job.spec.steps[step];
    StepAttributes attributes;
    attributes.priority = job.queue.priority;
    attributes.longRunning = spec.longRunning;
    attributes.bestEffort = spec.bestEffort;
    attributes.beyondShare = job.spec.beyondShare;
    attributes.dueAtMs = job.spec.repeatCount > 0
            ? job.spec.startAtMs + occurrence * job.spec.intervalMs
            : job.acceptedAtMs;
    attributes.jobPathMs = criticalPathMs(job.spec, stepMs, 0);
    attributes.remainingPathMs = criticalPathMs(job.spec, stepMs, step);
    attributes.stretch = job.queue.stretch;
    attributes.targetLatencyMs = job.queue.targetLatencyMs;
    return attributes;
}

} // namespace dandelionloom

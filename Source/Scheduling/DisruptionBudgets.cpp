#include "Scheduling/DisruptionBudgets.h"

namespace dandelionloom {

DisruptionBudgets::DisruptionBudgets(const SchedulerState &state,
                                     const std::map<std::string, WorkerView> &workers,
                                     std::int64_t maxAnswerAgeMs)
    : m_state(state), m_workers(workers), m_maxAnswerAgeMs(maxAnswerAgeMs)
{ }

const DisruptionBudgets::StepAvailability &DisruptionBudgets::availabilityOf(const StepKey &step,
                                                                             SteadyTimeMs now) const
{
    if (now != m_availabilityAt) {
        m_availability.clear();
        m_availabilityAt = now;
    }
    const auto [slot, added] = m_availability.try_emplace(step);
    StepAvailability &availability = slot->second;
    if (!added) {
        return availability;
    }
    const auto &tasks = m_state.job(step.job)->occurrences[step.occurrence].steps[step.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const std::string &entry = tasks[index].worker;
        const auto view = m_workers.find(entry);
        const RunView *run = nullptr;
        if (view != m_workers.end()) {
            const auto found =
                    view->second.runs.find({step.job, step.occurrence, step.step, index});
            run = found == view->second.runs.end() ? nullptr : &found->second;
        }
        const WorkerRecord *record = m_state.worker(entry);
        const bool stopping = run != nullptr && run->stopping;
        const bool available = run != nullptr && record != nullptr && !record->draining
                && !view->second.leaving && view->second.renewFailures == 0
                && view->second.hasRecentAnswer(now, m_maxAnswerAgeMs)
                && run->state == RunState::Running && !stopping && run->percent >= 100;
        availability.unavailable += available ? 0 : 1;
        if (!stopping) {
            StepAvailability::OnWorker &here = availability.onWorker[entry];
            ++here.tasks;
            here.unavailable += available ? 0 : 1;
        }
    }
    return availability;
}

DisruptionBudgets::Usage DisruptionBudgets::usageOf(const TaskKey &task, const std::string &worker,
                                                    SteadyTimeMs now) const
{
    const StepAvailability &step = availabilityOf({task.job, task.occurrence, task.step}, now);
    const auto found = step.onWorker.find(worker);
    if (found == step.onWorker.end()) {
        return {step.unavailable, 0};
    }
    // A task on this worker counts even if its last reading, up to a second old, was below 100%: it
    // may have become available since.
    return {step.unavailable - found->second.unavailable, found->second.tasks};
}

std::optional<TaskKey> DisruptionBudgets::taskToEvict(const std::string &worker,
                                                      SteadyTimeMs now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return std::nullopt;
    }
    for (const auto &[task, run] : found->second.runs) {
        const JobRecord *job = m_state.job(task.job);
        if (job == nullptr || job->phase != JobPhase::Active || run.state != RunState::Running
            || run.stopping) {
            continue;
        }
        const StepSpec &step = job->spec.steps[task.step];
        const Usage usage = usageOf(task, worker, now);
        if (step.longRunning && usage.onWorker > step.maxUnavailable
            && usage.unavailableElsewhere < step.maxUnavailable) {
            return task;
        }
    }
    return std::nullopt;
}

std::string DisruptionBudgets::violation(const std::string &worker, SteadyTimeMs now) const
{
    for (const TaskKey &task : m_state.tasksOf(worker)) {
        const JobRecord &job = *m_state.job(task.job);
        const StepSpec &step = job.spec.steps[task.step];
        if (!step.longRunning || step.maxUnavailable == 0 || job.phase != JobPhase::Active) {
            continue;
        }
        const Usage usage = usageOf(task, worker, now);
        if (usage.onWorker > 0
            && usage.unavailableElsewhere + usage.onWorker > step.maxUnavailable) {
            return taskName(task) + ": " + std::to_string(usage.unavailableElsewhere)
                    + " unavailable elsewhere and " + std::to_string(usage.onWorker)
                    + " on this worker, at most " + std::to_string(step.maxUnavailable)
                    + " allowed by the disruption budget";
        }
    }
    return {};
}

} // namespace dandelionloom

#include "Scheduling/DisruptionBudgets.h"

namespace dandelionloom {

DisruptionBudgets::DisruptionBudgets(const SchedulerState &state,
                                     const std::map<std::string, WorkerView> &workers,
                                     std::int64_t maxAnswerAgeMs)
    : m_state(state), m_workers(workers), m_maxAnswerAgeMs(maxAnswerAgeMs)
{ }

const RunView *DisruptionBudgets::findRun(const std::string &worker, const TaskKey &task) const
{
    const auto view = m_workers.find(worker);
    if (view == m_workers.end()) {
        return nullptr;
    }
    const auto run = view->second.runs.find(task);
    return run == view->second.runs.end() ? nullptr : &run->second;
}

bool DisruptionBudgets::isAvailable(const std::string &worker, const RunView &run,
                                    SteadyTimeMs now) const
{
    const WorkerRecord *record = m_state.worker(worker);
    const WorkerView &view = m_workers.at(worker);
    return record != nullptr && !record->draining && !view.leaving && view.renewFailures == 0
            && view.hasRecentAnswer(now, m_maxAnswerAgeMs) && run.state == RunState::Running
            && !run.stopping && run.percent >= 100;
}

bool DisruptionBudgets::isStalled(const std::string &worker, const RunView &run) const
{
    return run.percent < 100 && m_workers.at(worker).renewedAt - run.progressAt >= m_maxAnswerAgeMs;
}

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
        const RunView *run = findRun(entry, {step.job, step.occurrence, step.step, index});
        const bool available = run != nullptr && isAvailable(entry, *run, now);
        availability.unavailable += available ? 0 : 1;
        if (run == nullptr || !run->stopping) {
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
        if (!step.longRunning || m_state.task(task)->worker != worker
            || usageOf(task, worker, now).onWorker <= step.maxUnavailable) {
            continue;
        }
        // Unlike maintenance, an eviction ends one task only, so that the others on this worker
        // count as well.
        const StepAvailability &availability =
                availabilityOf({task.job, task.occurrence, task.step}, now);
        const std::uint32_t unavailableOthers =
                availability.unavailable - (isAvailable(worker, run, now) ? 0 : 1);
        if (step.maxUnavailable > 0
            && (unavailableOthers < step.maxUnavailable || isStalled(worker, run))) {
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

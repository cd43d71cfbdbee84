#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Scheduling/SchedulerState.h"
#include "Scheduling/WaitingSteps.h"
#include "Scheduling/WorkerView.h"

namespace dandelionloom {

/// Decides which workers may be taken out of service, and which tasks may be stopped, within the
/// disruption budgets (StepSpec::maxUnavailable) of the long-running steps. Owned by the leader's
/// Dispatcher, whose worker views it reads.
class DisruptionBudgets
{
public:
    /// A worker whose last answer is at least `maxAnswerAgeMs` old has no available tasks.
    DisruptionBudgets(const SchedulerState &state, const std::map<std::string, WorkerView> &workers,
                      std::int64_t maxAnswerAgeMs);

    /// Must be called after each change of the state and of the worker views.
    void forgetAvailability() { m_availability.clear(); }
    /// Names a task whose step would exceed its budget if the worker were taken out of service,
    /// with the numbers; empty if no budget would be exceeded.
    std::string violation(const std::string &worker, SteadyTimeMs now) const;
    /// A task that may be stopped so that it starts on another worker, on a worker that holds more
    /// tasks of its step than the budget permits; unset if there is none. Unless the task makes no
    /// progress at all, the stop keeps the step within its budget.
    std::optional<TaskKey> taskToEvict(const std::string &worker, SteadyTimeMs now) const;

private:
    /// Availability of the tasks of a long-running step.
    struct StepAvailability
    {
        struct OnWorker
        {
            std::uint32_t tasks = 0;
            std::uint32_t unavailable = 0;
        };
        /// Tasks that are unavailable anywhere.
        std::uint32_t unavailable = 0;
        /// Tasks by worker, without those that are being stopped.
        std::map<std::string, OnWorker> onWorker;
    };
    /// Numbers of tasks of a step, with respect to a worker.
    struct Usage
    {
        std::uint32_t unavailableElsewhere = 0;
        std::uint32_t onWorker = 0;
    };

    /// The run of a task on a worker, or nullptr if the leader knows of none.
    const RunView *findRun(const std::string &worker, const TaskKey &task) const;
    bool isAvailable(const std::string &worker, const RunView &run, SteadyTimeMs now) const;
    /// True if the run is not at work, and no answer of the worker for a while has shown progress.
    /// Two such runs on a hung worker must not hold its maintenance up.
    bool isStalled(const std::string &worker, const RunView &run) const;
    /// A wave asks for the steps of some hundred workers in one pass, so that results are kept
    /// until something changes.
    const StepAvailability &availabilityOf(const StepKey &step, SteadyTimeMs now) const;
    Usage usageOf(const TaskKey &task, const std::string &worker, SteadyTimeMs now) const;

    const SchedulerState &m_state;
    const std::map<std::string, WorkerView> &m_workers;
    const std::int64_t m_maxAnswerAgeMs;
    /// Results of availabilityOf() at m_availabilityAt.
    mutable std::map<StepKey, StepAvailability> m_availability;
    mutable SteadyTimeMs m_availabilityAt = 0;
};

} // namespace dandelionloom

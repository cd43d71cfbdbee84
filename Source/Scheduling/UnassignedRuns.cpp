#include "Scheduling/UnassignedRuns.h"

#include <algorithm>
#include <vector>

#include "Scheduling/StepFacts.h"

namespace dandelionloom {

// A run counts against all limits until its end is recorded. It certainly does not run after
// that, except for the runs that are counted here:
// - Ends that the worker lists: the run has ended there.
// - Refused: no start was sent, or the worker refused the only one, or it has confirmed the stop
//   and refuses the run from then on.
// - WorkerLost: the lease has expired, the worker refuses the start because the run has ended, or
//   the worker has left, which it does without runs or by the end of its process.
// - Starts of an earlier leader are refused once the worker has answered this one. Until then its
//   runs count as assigned.

UnassignedRuns::UnassignedRuns(const SchedulerState &state,
                               const std::map<std::string, WorkerView> &workers,
                               const DispatchOptions &options)
    : m_state(state), m_workers(workers), m_options(options)
{ }

void UnassignedRuns::clear()
{
    m_runs.clear();
    m_use.clear();
}

void UnassignedRuns::count(const std::string &worker, const RunKey &run, SteadyTimeMs now)
{
    const TaskKey &task = run.first;
    const JobRecord *job = m_state.job(task.job);
    if (job == nullptr) {
        return;
    }
    const auto [slot, added] = m_runs[worker].try_emplace(run);
    slot->second.countedAt = now;
    if (added) {
        slot->second.team = job->spec.team;
        slot->second.need = job->spec.steps[task.step].need;
        slot->second.reserved = reservedNeed(job->spec.steps[task.step]);
        m_use.add(slot->second.team, slot->second.need);
    }
}

TaskResources UnassignedRuns::useOn(const std::string &worker) const
{
    TaskResources use;
    const auto runs = m_runs.find(worker);
    if (runs != m_runs.end()) {
        for (const auto &[key, run] : runs->second) {
            use = use + run.reserved;
        }
    }
    return use;
}

std::uint32_t UnassignedRuns::countOfStep(const std::string &worker, const TaskKey &task) const
{
    const auto runs = m_runs.find(worker);
    if (runs == m_runs.end()) {
        return 0;
    }
    return static_cast<std::uint32_t>(
            std::count_if(runs->second.begin(), runs->second.end(), [&task](const auto &item) {
                const TaskKey &other = item.first.first;
                return other.job == task.job && other.occurrence == task.occurrence
                        && other.step == task.step;
            }));
}

bool UnassignedRuns::forget(const std::string &worker,
                            const std::function<bool(const RunKey &, const Run &)> &hasEnded)
{
    const auto runs = m_runs.find(worker);
    if (runs == m_runs.end()) {
        return false;
    }
    const std::size_t forgotten = std::erase_if(runs->second, [&](const auto &item) {
        const auto &[key, run] = item;
        if (!hasEnded(key, run)) {
            return false;
        }
        m_use.remove(run.team, run.need);
        return true;
    });
    if (runs->second.empty()) {
        m_runs.erase(runs);
    }
    return forgotten > 0;
}

bool UnassignedRuns::forgetWorker(const std::string &worker)
{
    return forget(worker, [](const RunKey &, const Run &) { return true; });
}

bool UnassignedRuns::forgetUnlisted(const std::string &worker, const RenewAnswer &list,
                                    SteadyTimeMs renewSentAt)
{
    const auto listedIn = [](const auto &rows, const RunKey &key) {
        return std::any_of(rows.begin(), rows.end(), [&key](const auto &row) {
            return row.task == key.first && row.run == key.second;
        });
    };
    return forget(worker, [&](const RunKey &key, const Run &run) {
        return listedIn(list.ended, key)
                || (renewSentAt >= run.countedAt && !listedIn(list.running, key));
    });
}

bool UnassignedRuns::forgetExpired(SteadyTimeMs now)
{
    std::vector<std::string> workers;
    for (const auto &[worker, runs] : m_runs) {
        workers.push_back(worker);
    }
    bool forgotten = false;
    for (const std::string &worker : workers) {
        const auto view = m_workers.find(worker);
        if (view != m_workers.end() && view->second.mayHoldLease(now, m_options)) {
            continue;
        }
        const bool ended = forget(worker, [&](const RunKey &, const Run &run) {
            return now - run.countedAt > longestLeaseMs(m_options);
        });
        forgotten = forgotten || ended;
    }
    return forgotten;
}

} // namespace dandelionloom

#include "Scheduling/Dispatcher.h"

#include "Scheduling/StepFacts.h"
#include <algorithm>

// Tracks workers, runs and jobs from announcements and the applied changes.

namespace dandelionloom {

TaskResources Dispatcher::needOf(const TaskKey &task) const
{
    return reservedNeed(m_state.job(task.job)->spec.steps[task.step]);
}

bool Dispatcher::isLongRunning(const TaskKey &task) const
{
    const JobRecord *job = m_state.job(task.job);
    return job != nullptr && job->spec.steps[task.step].longRunning;
}

bool Dispatcher::isBestEffort(const TaskKey &task) const
{
    const JobRecord *job = m_state.job(task.job);
    return job != nullptr && job->spec.steps[task.step].bestEffort;
}

void Dispatcher::reserve(WorkerView &view, const TaskKey &task)
{
    const auto [slot, added] = view.reserved.try_emplace(task, needOf(task));
    if (!added) {
        return;
    }
    view.used = view.used + slot->second;
    view.bestEffortCount += isBestEffort(task) ? 1 : 0;
    if (isLongRunning(task)) {
        ++view.longRunningCount;
        view.longRunningNeed = view.longRunningNeed + slot->second;
    }
}

void Dispatcher::release(WorkerView &view, const TaskKey &task)
{
    const auto found = view.reserved.find(task);
    if (found == view.reserved.end()) {
        return;
    }
    view.used = view.used - found->second;
    view.bestEffortCount -= isBestEffort(task) ? 1 : 0;
    // The lookup is safe, as the record of a job outlives all of its runs.
    if (isLongRunning(task)) {
        --view.longRunningCount;
        view.longRunningNeed = view.longRunningNeed - found->second;
    }
    view.reserved.erase(found);
}

void Dispatcher::addRun(const std::string &worker, const TaskKey &task)
{
    WorkerView &view = m_workers[worker];
    const auto [slot, added] = view.runs.try_emplace(task);
    if (added) {
        slot->second.run = m_state.task(task)->run;
    }
    m_workerOfTask[task] = worker;
    reserve(view, task);
    queueStartsAndStops(worker);
}

void Dispatcher::removeRun(const TaskKey &task)
{
    const auto entry = m_workerOfTask.find(task);
    if (entry == m_workerOfTask.end()) {
        return;
    }
    const auto worker = m_workers.find(entry->second);
    if (worker != m_workers.end()) {
        worker->second.runs.erase(task);
        release(worker->second, task);
    }
    m_workerOfTask.erase(entry);
}

const RunView *Dispatcher::findRun(const std::string &worker, const TaskKey &task) const
{
    const WorkerView *known = view(worker);
    const auto run = known == nullptr ? std::map<TaskKey, RunView>::const_iterator()
                                      : known->runs.find(task);
    return known == nullptr || run == known->runs.end() ? nullptr : &run->second;
}

void Dispatcher::queueStartsAndStops(const std::string &worker)
{
    m_workersWithStarts.insert(worker);
    m_workersWithStops.insert(worker);
}

void Dispatcher::syncRuns(const std::string &worker)
{
    WorkerView &view = m_workers[worker];
    view.startTimeMs = m_state.worker(worker)->startTimeMs;
    const std::set<TaskKey> &assigned = m_state.tasksOf(worker);
    std::vector<TaskKey> gone;
    for (const auto &[task, run] : view.runs) {
        if (!assigned.contains(task) || m_state.task(task)->run != run.run) {
            gone.push_back(task);
        }
    }
    for (const TaskKey &task : gone) {
        removeRun(task);
    }
    for (const TaskKey &task : assigned) {
        addRun(worker, task);
    }
}

void Dispatcher::queueStopsOfEndedJob(const JobId &job)
{
    const JobRecord *record = m_state.job(job);
    if (record == nullptr || record->phase == JobPhase::Active || record->assignedCount == 0) {
        return;
    }
    for (auto entry = m_workerOfTask.lower_bound({job, 0, 0, 0});
         entry != m_workerOfTask.end() && entry->first.job == job; ++entry) {
        m_workersWithStops.insert(entry->second);
    }
}

void Dispatcher::onAccepted(const JobAccepted &accepted, SteadyTimeMs now)
{
    const JobRecord *job = m_state.job(accepted.spec.id);
    if (job == nullptr || !m_activeJobs.insert(accepted.spec.id).second) {
        return;
    }
    m_changedJobs.insert(accepted.spec.id);
    if (dandelionloom::isLongRunning(job->spec)) {
        m_acceptedAt[accepted.spec.id] = now;
    }
    m_demand.onJobAccepted(*job, now);
}

void Dispatcher::onAssigned(const RunAssigned &assigned)
{
    if (const auto proposed = m_proposed.extract(assigned.task)) {
        m_proposedUse.remove(proposed.mapped().team, proposed.mapped().need);
    }
    const TaskRecord *task = m_state.task(assigned.task);
    if (task != nullptr && task->phase == TaskPhase::Assigned && task->run == assigned.run
        && task->worker == assigned.worker) {
        addRun(assigned.worker, assigned.task);
        return;
    }
    // The job has ended or the worker has left since the assignment was proposed.
    const auto worker = m_workers.find(assigned.worker);
    if (worker != m_workers.end() && !worker->second.runs.contains(assigned.task)) {
        release(worker->second, assigned.task);
    }
    m_changedJobs.insert(assigned.task.job);
}

void Dispatcher::recordEnd(const RunEnded &ended, const std::string &worker, SteadyTimeMs now)
{
    WorkerView &view = m_workers[worker];
    const JobRecord *job = m_state.job(ended.task.job);
    const auto started = m_startedAt.find(ended.task);
    m_decisions.push_back({"end", taskName(ended.task), ended.run, worker,
                           std::string(runOutcomeNames.name(ended.runOutcome)),
                           started == m_startedAt.end() ? -1 : now - started->second,
                           isLongRunning(ended.task)});
    if (ended.runOutcome == RunOutcome::Done) {
        view.failuresInRow = 0;
        view.failedJobs.clear();
        if (job != nullptr && started != m_startedAt.end()) {
            m_durations.record(job->spec.queue, now - started->second);
        }
    } else if (ended.runOutcome == RunOutcome::Failed) {
        m_failedOn[ended.task] = worker;
        view.failedJobs.insert(ended.task.job);
        ++view.failuresInRow;
        if (view.failuresInRow >= m_options.quarantineFailures && view.failedJobs.size() > 1) {
            view.avoidUntil = now + m_options.quarantineMs;
            m_decisions.push_back({"quarantine", {}, 0, worker, "fails-everything", -1});
        }
    }
    if (started != m_startedAt.end()) {
        m_startedAt.erase(started);
    }
}

void Dispatcher::onEnded(const RunEnded &ended, SteadyTimeMs now)
{
    const RunKey key{ended.task, ended.run};
    m_proposedEnds.erase(key);
    const auto listed = m_listedEnds.find(key);
    // A listed end stays unacknowledged until it is applied itself, also if the loss of the run
    // was proposed before.
    if (listed != m_listedEnds.end() && listed->second.runOutcome == ended.runOutcome) {
        const auto numbers = m_pendingEnds.find(listed->second.worker);
        if (numbers != m_pendingEnds.end()) {
            numbers->second.erase(listed->second.number);
        }
        m_listedEnds.erase(listed);
    }
    const auto entry = m_workerOfTask.find(ended.task);
    const RunView *run =
            entry == m_workerOfTask.end() ? nullptr : findRun(entry->second, ended.task);
    if (run != nullptr && run->run == ended.run) {
        recordEnd(ended, entry->second, now);
    }
    const TaskRecord *task = m_state.task(ended.task);
    const bool isAssigned = task != nullptr && task->phase == TaskPhase::Assigned && run != nullptr
            && task->run == run->run;
    if (!isAssigned) {
        if (run != nullptr && run->run != ended.run) {
            // An earlier run has completed after it was recorded as lost. The later one goes on
            // until it is stopped.
            countUnassignedRun(entry->second, ended.task, run->run, now);
        }
        removeRun(ended.task);
    }
    const JobRecord *job = m_state.job(ended.task.job);
    if (job != nullptr && job->spec.steps[ended.task.step].gang) {
        // The end of one gang member completes all of them.
        for (std::uint32_t index = 0; index < job->spec.steps[ended.task.step].count; ++index) {
            const TaskKey member{ended.task.job, ended.task.occurrence, ended.task.step, index};
            if (m_state.task(member)->phase == TaskPhase::Done) {
                const auto other = m_workerOfTask.find(member);
                const RunView *memberRun =
                        other == m_workerOfTask.end() ? nullptr : findRun(other->second, member);
                if (memberRun != nullptr) {
                    countUnassignedRun(other->second, member, memberRun->run, now);
                }
                removeRun(member);
            }
        }
    }
    m_changedJobs.insert(ended.task.job);
    if (job == nullptr || job->phase != JobPhase::Active) {
        m_activeJobs.erase(ended.task.job);
        m_acceptedAt.erase(ended.task.job);
        m_startedJobs.erase(ended.task.job);
    }
    queueStopsOfEndedJob(ended.task.job);
}

void Dispatcher::applied(const JobChange &change, SteadyTimeMs now)
{
    if (!m_leads) {
        return;
    }
    m_disruptionBudgets.forgetAvailability();
    m_placementDirty = true;
    m_changedJobs.insert(m_state.jobsWithLostRuns().begin(), m_state.jobsWithLostRuns().end());
    if (const auto *accepted = std::get_if<JobAccepted>(&change)) {
        onAccepted(*accepted, now);
    } else if (const auto *assigned = std::get_if<RunAssigned>(&change)) {
        onAssigned(*assigned);
    } else if (const auto *ended = std::get_if<RunEnded>(&change)) {
        onEnded(*ended, now);
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&change)) {
        m_changedJobs.insert(cancelled->job);
        m_activeJobs.erase(cancelled->job);
        m_acceptedAt.erase(cancelled->job);
        m_startedJobs.erase(cancelled->job);
        queueStopsOfEndedJob(cancelled->job);
    } else if (const auto *joined = std::get_if<WorkerJoined>(&change)) {
        const WorkerRecord *record = m_state.worker(joined->worker.id);
        if (record != nullptr) {
            if (m_workers[record->id].startTimeMs != record->startTimeMs) {
                // An assignment or end that was applied since the announcement may have made a view
                // of the earlier incarnation, with a renewal that is never answered for this one.
                resetWorker(record->id);
                onIncarnationRecorded(*record, now);
            }
            syncRuns(record->id);
        }
        m_workersOfService.clear();
        m_demand.onWorkerJoined(joined->worker);
    } else if (const auto *answered = std::get_if<WorkerAnswered>(&change)) {
        const auto found = m_workers.find(answered->worker);
        const WorkerRecord *known = m_state.worker(answered->worker);
        if (found != m_workers.end() && known != nullptr
            && known->startTimeMs == answered->startTimeMs) {
            found->second.silenceProposed = false;
            found->second.answerProposed = false;
            found->second.nextRenewAt = std::min(found->second.nextRenewAt, now);
            queueStartsAndStops(answered->worker);
        }
    } else if (const auto *left = std::get_if<WorkerLeft>(&change)) {
        if (m_state.worker(left->worker) == nullptr) {
            removeWorker(left->worker);
            m_restarts.erase(left->worker);
        }
        m_workersOfService.clear();
    } else if (std::holds_alternative<ConfigurationAccepted>(change)) {
        // Queues may be served by other services from now on, and quotas change the lanes of steps.
        m_changedJobs.insert(m_activeJobs.begin(), m_activeJobs.end());
        m_quotas = m_state.quotas();
        m_weights = weightsOf(m_state.configuration());
    } else if (const auto *forgotten = std::get_if<JobPurged>(&change)) {
        m_endedSince.erase(forgotten->job);
        std::erase_if(m_failedOn,
                      [&](const auto &item) { return item.first.job == forgotten->job; });
    }
}

std::vector<JobChange> Dispatcher::announced(const WorkerAnnouncement &announcement,
                                             SteadyTimeMs now)
{
    const WorkerRecord &worker = announcement.worker;
    const WorkerRecord *known = m_state.worker(worker.id);
    if (m_state.hasLeft(worker.id, worker.startTimeMs)
        || (known != nullptr && known->startTimeMs > worker.startTimeMs)) {
        return {};
    }
    if (known != nullptr && worker.service != known->service
        && !isServiceConfigured(worker.service)) {
        // Another writer's: a worker changes to configured services only.
        m_decisions.push_back({"announcement-ignored", {}, 0, worker.id, "unknown-service", -1});
        return {};
    }
    const bool newIncarnation = known == nullptr || known->startTimeMs != worker.startTimeMs;
    if (known != nullptr && newIncarnation) {
        onRestartAnnounced(announcement, now);
        return {};
    }
    AnnouncementOrder &order = m_announcements[worker.id];
    if (newIncarnation) {
        order = {};
    }
    // The number of another writer's announcement would hide the worker's own.
    const bool isOrdered = !newIncarnation || isServiceConfigured(worker.service);
    if (isOrdered && !recordAnnouncement(order, announcement.sequence, now)) {
        return {};
    }
    if (!newIncarnation && announcement.clockMs >= 0) {
        WorkerView &view = m_workers[worker.id];
        if (!view.clockMs) {
            view.clockMs = announcement.clockMs;
            view.clockAt = now;
        }
    }
    if (!newIncarnation && (*known == worker || (known->draining && !worker.draining))) {
        return {};
    }
    if (newIncarnation) {
        for (const auto &[id, other] : m_state.workers()) {
            if (other.address == worker.address && other.startTimeMs > worker.startTimeMs) {
                // Delayed announcement of an incarnation whose address a newer one has taken over.
                return {};
            }
        }
        m_disruptionBudgets.forgetAvailability();
        resetWorker(worker.id);
    }
    return {WorkerJoined{worker}};
}

bool Dispatcher::isServiceConfigured(const std::string &service) const
{
    const std::vector<ServiceConfig> &services = m_state.configuration().services;
    return std::any_of(services.begin(), services.end(),
                       [&](const ServiceConfig &each) { return each.name == service; });
}

bool Dispatcher::deregistered(const std::string &worker)
{
    const WorkerRecord *known = m_state.worker(worker);
    const auto found = m_workers.find(worker);
    // A worker deregisters only after its draining was acknowledged, and thus recorded.
    if (known == nullptr || !known->draining || found == m_workers.end()) {
        return false;
    }
    m_disruptionBudgets.forgetAvailability();
    found->second.deregistered = true;
    m_deregistered.insert(worker);
    for (auto &[task, run] : found->second.runs) {
        run.stopping = true;
    }
    queueStartsAndStops(worker);
    return true;
}

void Dispatcher::removeWorker(const std::string &worker)
{
    m_workersOfService.clear();
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        std::vector<TaskKey> lost;
        for (const auto &[task, run] : found->second.runs) {
            lost.push_back(task);
        }
        for (const TaskKey &task : lost) {
            removeRun(task);
        }
        m_workers.erase(found);
    }
    m_pendingEnds.erase(worker);
    m_placementDirty = m_unassignedRuns.forgetWorker(worker) || m_placementDirty;
}

void Dispatcher::resetWorker(const std::string &worker)
{
    const WorkerView *known = view(worker);
    const bool cordoned = known != nullptr && known->cordoned;
    const bool leaving = known != nullptr && known->leaving;
    removeWorker(worker);
    if (cordoned || leaving) {
        WorkerView &next = m_workers[worker];
        next.cordoned = cordoned;
        next.leaving = leaving;
    }
}

void Dispatcher::countUnassignedRun(const std::string &worker, const TaskKey &task,
                                    std::uint32_t run, SteadyTimeMs now)
{
    if (!m_proposedEnds.contains({task, run})) {
        m_unassignedRuns.count(worker, {task, run}, now);
    }
}

TaskResources Dispatcher::useOf(const std::string &team) const
{
    return m_state.useOf(team) + m_proposedUse.of(team) + m_unassignedRuns.useOf(team);
}

} // namespace dandelionloom

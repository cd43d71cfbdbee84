#include "Scheduling/Dispatcher.h"

// What is known of runs and jobs, kept up with the applied changes.

namespace dandelionloom {

TaskResources Dispatcher::needOf(const TaskKey &task) const
{
    const StepSpec &step = m_book.job(task.job)->spec.steps[task.step];
    TaskResources need = step.need;
    if (step.fills) {
        need.processorMilli = 0;
    }
    return need;
}

bool Dispatcher::isLasting(const TaskKey &task) const
{
    const JobRecord *job = m_book.job(task.job);
    return job != nullptr && job->spec.steps[task.step].lasting;
}

void Dispatcher::reserve(WorkerView &view, const TaskKey &task)
{
    const auto [slot, added] = view.reserved.try_emplace(task, needOf(task));
    if (!added) {
        return;
    }
    view.used = view.used + slot->second;
    if (isLasting(task)) {
        ++view.lastingRuns;
        view.lastingMilli += slot->second.processorMilli;
    }
}

void Dispatcher::release(WorkerView &view, const TaskKey &task)
{
    const auto found = view.reserved.find(task);
    if (found == view.reserved.end()) {
        return;
    }
    view.used = view.used - found->second;
    // A job's record outlives all of its runs.
    if (isLasting(task)) {
        --view.lastingRuns;
        view.lastingMilli -= found->second.processorMilli;
    }
    view.reserved.erase(found);
}

void Dispatcher::addRun(const std::string &worker, const TaskKey &task)
{
    WorkerView &view = m_workers[worker];
    const auto [slot, added] = view.runs.try_emplace(task);
    if (added) {
        slot->second.run = m_book.task(task)->run;
    }
    m_placeOf[task] = worker;
    reserve(view, task);
    reviewWorker(worker);
}

void Dispatcher::dropRun(const TaskKey &task)
{
    const auto place = m_placeOf.find(task);
    if (place == m_placeOf.end()) {
        return;
    }
    const auto worker = m_workers.find(place->second);
    if (worker != m_workers.end()) {
        worker->second.runs.erase(task);
        release(worker->second, task);
    }
    m_placeOf.erase(place);
}

const RunView *Dispatcher::runOn(const std::string &worker, const TaskKey &task) const
{
    const WorkerView *known = view(worker);
    const auto run = known == nullptr ? std::map<TaskKey, RunView>::const_iterator()
                                      : known->runs.find(task);
    return known == nullptr || run == known->runs.end() ? nullptr : &run->second;
}

void Dispatcher::reviewWorker(const std::string &worker)
{
    m_startWorkers.insert(worker);
    m_stopWorkers.insert(worker);
}

void Dispatcher::syncRuns(const std::string &worker)
{
    WorkerView &view = m_workers[worker];
    const std::set<TaskKey> &assigned = m_book.tasksOf(worker);
    std::vector<TaskKey> gone;
    for (const auto &[task, run] : view.runs) {
        if (!assigned.contains(task) || m_book.task(task)->run != run.run) {
            gone.push_back(task);
        }
    }
    for (const TaskKey &task : gone) {
        dropRun(task);
    }
    for (const TaskKey &task : assigned) {
        addRun(worker, task);
    }
}

void Dispatcher::reviewEndedJob(const std::string &job)
{
    const JobRecord *record = m_book.job(job);
    if (record == nullptr || record->phase == JobPhase::Active || record->assignedCount == 0) {
        return;
    }
    for (auto place = m_placeOf.lower_bound({job, 0, 0, 0});
         place != m_placeOf.end() && place->first.job == job; ++place) {
        m_stopWorkers.insert(place->second);
    }
}

void Dispatcher::onAccepted(const JobAccepted &accepted, SteadyTimeMs now)
{
    const JobRecord *job = m_book.job(accepted.spec.id);
    if (job == nullptr || !m_activeJobs.insert(accepted.spec.id).second) {
        return;
    }
    m_waitingJobs.insert(accepted.spec.id);
    if (job->spec.repeatCount > 0) {
        return;
    }
    const std::vector<std::int64_t> stepMs = expectedStepMs(*job);
    double coreMs = 0;
    for (std::size_t step = 0; step < stepMs.size(); ++step) {
        const StepSpec &spec = job->spec.steps[step];
        if (!spec.lasting && !spec.fills) {
            coreMs += static_cast<double>(spec.count)
                    * static_cast<double>(spec.need.processorMilli)
                    * static_cast<double>(stepMs[step]) / milliPerCore;
        }
    }
    if (coreMs > 0) {
        m_arrivals[serviceOf(*job)].push_back({now, coreMs});
    }
}

void Dispatcher::onAssigned(const RunAssigned &assigned)
{
    m_proposed.erase(assigned.task);
    const TaskRecord *task = m_book.task(assigned.task);
    if (task != nullptr && task->phase == TaskPhase::Assigned && task->run == assigned.run
        && task->worker == assigned.worker) {
        addRun(assigned.worker, assigned.task);
        return;
    }
    // The job has ended or the worker has left since the proposal.
    const auto worker = m_workers.find(assigned.worker);
    if (worker != m_workers.end() && !worker->second.runs.contains(assigned.task)) {
        release(worker->second, assigned.task);
    }
    m_waitingJobs.insert(assigned.task.job);
}

void Dispatcher::onEnded(const RunEnded &ended, SteadyTimeMs now)
{
    const RunKey key{ended.task, ended.run};
    m_proposedEnds.erase(key);
    if (const auto source = m_endSources.extract(key)) {
        const auto &[worker, number] = source.mapped();
        const auto numbers = m_endsUnderWay.find(worker);
        if (numbers != m_endsUnderWay.end()) {
            numbers->second.erase(number);
        }
    }
    const auto place = m_placeOf.find(ended.task);
    const RunView *run = place == m_placeOf.end() ? nullptr : runOn(place->second, ended.task);
    if (run != nullptr && run->run == ended.run) {
        noteEnd(ended, place->second, now);
    }
    const TaskRecord *task = m_book.task(ended.task);
    const bool isAssigned = task != nullptr && task->phase == TaskPhase::Assigned && run != nullptr
            && task->run == run->run;
    if (!isAssigned) {
        dropRun(ended.task);
    }
    const JobRecord *job = m_book.job(ended.task.job);
    if (job != nullptr && job->spec.steps[ended.task.step].gang) {
        // One end stands for all members.
        for (std::uint32_t index = 0; index < job->spec.steps[ended.task.step].count; ++index) {
            const TaskKey member{ended.task.job, ended.task.occurrence, ended.task.step, index};
            if (m_book.task(member)->phase == TaskPhase::Done) {
                dropRun(member);
            }
        }
    }
    if (job != nullptr && job->phase == JobPhase::Active) {
        m_waitingJobs.insert(ended.task.job);
    } else {
        m_activeJobs.erase(ended.task.job);
    }
    reviewEndedJob(ended.task.job);
}

void Dispatcher::applied(const JobChange &change, SteadyTimeMs now)
{
    if (!m_leads) {
        return;
    }
    m_placementDirty = true;
    if (const auto *accepted = std::get_if<JobAccepted>(&change)) {
        onAccepted(*accepted, now);
    } else if (const auto *assigned = std::get_if<RunAssigned>(&change)) {
        onAssigned(*assigned);
    } else if (const auto *ended = std::get_if<RunEnded>(&change)) {
        onEnded(*ended, now);
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&change)) {
        m_activeJobs.erase(cancelled->job);
        reviewEndedJob(cancelled->job);
    } else if (const auto *joined = std::get_if<WorkerJoined>(&change)) {
        if (m_book.worker(joined->worker.id) != nullptr) {
            syncRuns(joined->worker.id);
        }
        m_waitingJobs = m_activeJobs;
    } else if (const auto *left = std::get_if<WorkerLeft>(&change)) {
        if (m_book.worker(left->worker) == nullptr) {
            forgetWorker(left->worker);
        }
        m_waitingJobs = m_activeJobs;
    } else if (const auto *forgotten = std::get_if<JobForgotten>(&change)) {
        std::erase_if(m_failedOn,
                      [&](const auto &item) { return item.first.job == forgotten->job; });
    }
}

void Dispatcher::forgetWorker(const std::string &worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        std::vector<TaskKey> lost;
        for (const auto &[task, run] : found->second.runs) {
            lost.push_back(task);
        }
        for (const TaskKey &task : lost) {
            dropRun(task);
        }
        m_workers.erase(found);
    }
    m_endsUnderWay.erase(worker);
}

} // namespace dandelionloom

#include "Scheduling/SchedulerState.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// Maximum number of ended incarnations kept. A few hundred workers are replaced in a day, and a
/// delayed announcement arrives within seconds.
constexpr std::size_t maxEndedIncarnations = 4096;

} // namespace

void SchedulerState::apply(const JobChange &change)
{
    m_jobsWithLostRuns.clear();
    std::visit([this](const auto &body) { on(body); }, change);
}

const JobRecord *SchedulerState::job(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const TaskRecord *SchedulerState::task(const TaskKey &key) const
{
    return const_cast<SchedulerState *>(this)->findTask(key);
}

TaskRecord *SchedulerState::findTask(const TaskKey &key)
{
    const auto found = m_jobs.find(key.job);
    if (found == m_jobs.end() || key.occurrence >= found->second.occurrences.size()) {
        return nullptr;
    }
    OccurrenceRecord &occurrence = found->second.occurrences[key.occurrence];
    if (key.step >= occurrence.steps.size()
        || key.index >= occurrence.steps[key.step].tasks.size()) {
        return nullptr;
    }
    return &occurrence.steps[key.step].tasks[key.index];
}

const WorkerRecord *SchedulerState::worker(const std::string &id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool SchedulerState::hasLeft(const std::string &id, std::int64_t startTimeMs) const
{
    const auto found = m_endedIncarnations.find(id);
    return found != m_endedIncarnations.end() && found->second >= startTimeMs;
}

const std::set<TaskKey> &SchedulerState::tasksOf(const std::string &worker) const
{
    static const std::set<TaskKey> none;
    const auto found = m_tasksOfWorker.find(worker);
    return found == m_tasksOfWorker.end() ? none : found->second;
}

const QueueConfig *SchedulerState::queue(const std::string &name) const
{
    const auto position = m_queueIndex.named(name);
    return position ? &m_configuration.queues[*position] : nullptr;
}

const ServiceConfig *SchedulerState::service(const std::string &name) const
{
    for (const ServiceConfig &service : m_configuration.services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

const QueueConfig *SchedulerState::queueFor(const std::string &host, const std::string &path) const
{
    const auto position = m_queueIndex.serving(host, path);
    return position ? &m_configuration.queues[*position] : nullptr;
}

void SchedulerState::on(const ConfigurationAccepted &change)
{
    if (change.configuration.version > m_configuration.version) {
        m_configuration = change.configuration;
        indexConfiguration();
    }
}

void SchedulerState::indexConfiguration()
{
    m_queueIndex = QueueIndex(m_configuration.queues);
    m_quotas = quotasOf(m_configuration);
}

void SchedulerState::on(const JobAccepted &change)
{
    const auto [slot, added] = m_jobs.try_emplace(change.spec.id);
    if (!added) {
        return;
    }
    JobRecord &job = slot->second;
    job.spec = change.spec;
    job.queue = change.queue;
    job.acceptedAtMs = change.atMs;
    OccurrenceRecord occurrence;
    for (const StepSpec &step : job.spec.steps) {
        StepRecord record;
        record.tasks.resize(step.count);
        occurrence.steps.push_back(std::move(record));
    }
    job.occurrences.assign(job.spec.occurrences(), occurrence);
}

void SchedulerState::on(const JobCancelled &change)
{
    const auto found = m_jobs.find(change.job);
    if (found != m_jobs.end() && found->second.phase == JobPhase::Active) {
        found->second.phase = JobPhase::Cancelled;
        found->second.endedAtMs = change.atMs;
    }
}

void SchedulerState::on(const RunAssigned &change)
{
    TaskRecord *task = findTask(change.task);
    if (task == nullptr || task->phase != TaskPhase::Pending || change.run <= task->run
        || !m_workers.contains(change.worker)) {
        return;
    }
    JobRecord &job = m_jobs.at(change.task.job);
    if (job.phase != JobPhase::Active) {
        return;
    }
    task->phase = TaskPhase::Assigned;
    task->run = change.run;
    task->worker = change.worker;
    ++job.assignedCount;
    m_tasksOfWorker[change.worker].insert(change.task);
    addUse(job, change.task.step);
}

void SchedulerState::addUse(const JobRecord &job, std::uint32_t step)
{
    const StepSpec &spec = job.spec.steps[step];
    m_teamUse.add(job.spec.team, spec.need);
    if (spec.longRunning) {
        m_lastingUse.add(job.spec.team, spec.need);
    }
}

void SchedulerState::removeUse(const JobRecord &job, std::uint32_t step)
{
    const StepSpec &spec = job.spec.steps[step];
    m_teamUse.remove(job.spec.team, spec.need);
    if (spec.longRunning) {
        m_lastingUse.remove(job.spec.team, spec.need);
    }
}

void SchedulerState::on(const RunEnded &change)
{
    TaskRecord *task = findTask(change.task);
    if (task == nullptr || task->phase == TaskPhase::Done) {
        return;
    }
    JobRecord &job = m_jobs.at(change.task.job);
    job.started = job.started || showsStart(change.runOutcome);
    if (task->phase == TaskPhase::Assigned && task->run == change.run) {
        endRun(job, change);
        return;
    }
    const StepSpec &step = job.spec.steps[change.task.step];
    if (change.runOutcome == RunOutcome::Done && change.run <= task->run && !step.longRunning
        && !step.gang) {
        // A run that had been recorded as lost has completed after all; the task must not run
        // again.
        finishTask(job, change.task, change.atMs);
    }
}

void SchedulerState::endRun(JobRecord &job, const RunEnded &change)
{
    TaskRecord &task = *findTask(change.task);
    const StepSpec &step = job.spec.steps[change.task.step];
    const auto onWorker = m_tasksOfWorker.find(task.worker);
    if (onWorker != m_tasksOfWorker.end()) {
        onWorker->second.erase(change.task);
        if (onWorker->second.empty()) {
            m_tasksOfWorker.erase(onWorker);
        }
    }
    --job.assignedCount;
    removeUse(job, change.task.step);
    task.phase = TaskPhase::Pending;
    task.worker.clear();
    if (!change.checkpoint.empty()) {
        task.checkpoint = change.checkpoint;
    }
    if (step.gang) {
        shareCheckpoint(job, change.task, !change.checkpoint.empty());
    }
    if (change.runOutcome == RunOutcome::Done && !step.longRunning) {
        if (step.gang) {
            // The end of one gang member completes all of them.
            for (std::uint32_t index = 0; index < step.count; ++index) {
                finishTask(job, {change.task.job, change.task.occurrence, change.task.step, index},
                           change.atMs);
            }
        } else {
            finishTask(job, change.task, change.atMs);
        }
        return;
    }
    if (change.runOutcome == RunOutcome::Failed && !step.longRunning) {
        ++task.failures;
        if (task.failures >= job.queue.maxAttempts && job.phase == JobPhase::Active) {
            job.phase = JobPhase::Failed;
            job.endedAtMs = change.atMs;
        }
    }
}

void SchedulerState::shareCheckpoint(JobRecord &job, const TaskKey &key, bool isNew)
{
    std::vector<TaskRecord> &members = job.occurrences[key.occurrence].steps[key.step].tasks;
    TaskRecord &ended = members[key.index];
    for (TaskRecord &member : members) {
        // The value of a member that still runs is kept, as its start may be sent again.
        if (&member == &ended || member.phase != TaskPhase::Pending) {
            continue;
        }
        if (isNew) {
            member.checkpoint = ended.checkpoint;
        } else if (!member.checkpoint.empty()) {
            ended.checkpoint = member.checkpoint;
        }
    }
}

void SchedulerState::finishTask(JobRecord &job, const TaskKey &key, WallTimeMs atMs)
{
    OccurrenceRecord &occurrence = job.occurrences[key.occurrence];
    StepRecord &step = occurrence.steps[key.step];
    TaskRecord &task = step.tasks[key.index];
    if (task.phase == TaskPhase::Done) {
        return;
    }
    if (task.phase == TaskPhase::Assigned) {
        m_tasksOfWorker[task.worker].erase(key);
        --job.assignedCount;
        removeUse(job, key.step);
    }
    task.phase = TaskPhase::Done;
    task.worker.clear();
    task.checkpoint.clear();
    if (++step.doneCount == step.tasks.size()) {
        ++occurrence.stepsDone;
    }
    const bool allDone = std::all_of(
            job.occurrences.begin(), job.occurrences.end(),
            [](const OccurrenceRecord &each) { return each.stepsDone == each.steps.size(); });
    if (allDone && job.phase == JobPhase::Active) {
        job.phase = JobPhase::Completed;
        job.endedAtMs = atMs;
    }
}

void SchedulerState::on(const WorkerJoined &change)
{
    if (hasLeft(change.worker.id, change.worker.startTimeMs)) {
        return;
    }
    WorkerRecord &worker = m_workers[change.worker.id];
    const bool sameIncarnation = worker.startTimeMs == change.worker.startTimeMs;
    if (!sameIncarnation) {
        // A restarted worker runs nothing of its earlier incarnation.
        endRunsAsLost(change.worker.id);
        m_silentWorkers.erase(change.worker.id);
    }
    // Draining ends with the incarnation: an announcement that says otherwise was sent before.
    const bool draining = change.worker.draining || (sameIncarnation && worker.draining);
    worker = change.worker;
    worker.draining = draining;
}

void SchedulerState::on(const WorkerLeft &change)
{
    const auto found = m_workers.find(change.worker);
    if (found != m_workers.end() && found->second.startTimeMs <= change.startTimeMs) {
        m_workers.erase(found);
        m_silentWorkers.erase(change.worker);
        endRunsAsLost(change.worker);
    }
    std::int64_t &startTimeMs = m_endedIncarnations[change.worker];
    startTimeMs = std::max(startTimeMs, change.startTimeMs);
    if (m_endedIncarnations.size() > maxEndedIncarnations) {
        m_endedIncarnations.erase(std::min_element(
                m_endedIncarnations.begin(), m_endedIncarnations.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
}

void SchedulerState::endRunsAsLost(const std::string &worker)
{
    const std::set<TaskKey> lost = tasksOf(worker);
    for (const TaskKey &key : lost) {
        JobRecord &job = m_jobs.at(key.job);
        endRun(job, {key, findTask(key)->run, RunOutcome::WorkerLost, {}, 0});
        m_jobsWithLostRuns.push_back(key.job);
    }
}

void SchedulerState::on(const JobPurged &change)
{
    const auto found = m_jobs.find(change.job);
    if (found != m_jobs.end() && found->second.isPurgeable()) {
        m_jobs.erase(found);
    }
}

void SchedulerState::on(const WaveStarted &change)
{
    m_waves.try_emplace(change.wave.id, change.wave);
}

void SchedulerState::on(const MaintenanceBegun &change)
{
    const auto found = m_waves.find(change.wave);
    if (found == m_waves.end()) {
        return;
    }
    found->second.finished.insert(change.instance);
}

void SchedulerState::on(const WorkerSilent &change)
{
    const WorkerRecord *known = worker(change.worker);
    if (known != nullptr && known->startTimeMs == change.startTimeMs) {
        std::int64_t &leaseLeftMs = m_silentWorkers[change.worker];
        leaseLeftMs = std::max(leaseLeftMs, change.leaseLeftMs);
    }
}

void SchedulerState::on(const WorkerAnswered &change)
{
    const WorkerRecord *known = worker(change.worker);
    if (known != nullptr && known->startTimeMs == change.startTimeMs) {
        m_silentWorkers.erase(change.worker);
    }
}

std::string SchedulerState::encode() const
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, *this);
    return {buffer.data(), buffer.size()};
}

Result<SchedulerState, JobChangeError> SchedulerState::decode(const std::string &bytes)
{
    SchedulerState state;
    try {
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(state);
    } catch (const std::exception &error) {
        return JobChangeError{std::string("expected a job scheduler state, found malformed bytes: ")
                              + error.what()};
    }
    state.indexConfiguration();
    for (const auto &[id, job] : state.m_jobs) {
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            const auto &steps = job.occurrences[occurrence].steps;
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
                    const TaskRecord &task = steps[step].tasks[index];
                    if (task.phase == TaskPhase::Assigned) {
                        state.m_tasksOfWorker[task.worker].insert({id, occurrence, step, index});
                        state.addUse(job, step);
                    }
                }
            }
        }
    }
    return state;
}

} // namespace dandelionloom

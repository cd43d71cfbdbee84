#include "Scheduling/Dispatcher.h"

#include <algorithm>

#include "Scheduling/StepFacts.h"

// Leadership terms and the answers of workers. Announcements and applied changes are handled in
// DispatcherRuns.cpp, placement in DispatcherPlacement.cpp and orders to workers in
// DispatcherOrders.cpp.

namespace dandelionloom {

namespace {

/// Delay before a worker that refused a start is given another one.
constexpr std::int64_t refusalPauseMs = 300;
constexpr std::int64_t unhealthyPauseMs = 1500;

/// Age at which the numbers of pending jobs are counted again. Clients accept an age of 2 s.
constexpr std::int64_t pendingCountMs = 300;

/// True if the task would start on a further worker that can hold it.
bool isWorkerMissing(const LongRunningWaits::Wait &wait)
{
    return wait.obstacle == PlacementObstacle::Capacity
            || wait.obstacle == PlacementObstacle::SmallerNeedUnmet
            || wait.obstacle == PlacementObstacle::NoWorker;
}

} // namespace

Dispatcher::Dispatcher(const SchedulerState &state, DispatchOptions options)
    : m_state(state), m_options(options), m_unassignedRuns(state, m_workers, m_options),
      m_disruptionBudgets(state, m_workers, options.maxAnswerAgeMs),
      m_demand(state, m_durations, options.demand)
{ }

void Dispatcher::beginTerm(SteadyTimeMs now, SilentWorkerLeases::LeaseEnds leaseEnds)
{
    endTerm();
    m_leads = true;
    m_termStartedAt = now;
    m_earlierLeaseEnds = std::move(leaseEnds);
    m_earlierLeaseMs = recordedLeaseLimitMs();
    m_leaseLimitProposed = false;
    m_placementDirty = true;
    m_turnsUnknown = true;
    m_quotas = m_state.quotas();
    m_weights = weightsOf(m_state.configuration());
    m_demand.beginTerm(now);
    for (const auto &[id, worker] : m_state.workers()) {
        syncRuns(id);
        for (auto &[task, run] : m_workers[id].runs) {
            run.state = RunState::Unknown;
        }
    }
    for (const auto &[id, job] : m_state.jobs()) {
        if (job.phase == JobPhase::Active) {
            m_activeJobs.insert(id);
            m_changedJobs.insert(id);
        }
    }
}

void Dispatcher::endTerm()
{
    m_leads = false;
    m_earlierLeaseEnds.clear();
    m_workers.clear();
    m_workersOfService.clear();
    m_announcements.clear();
    m_restarts.clear();
    m_generations.clear();
    m_proposed.clear();
    m_proposedUse.clear();
    m_unassignedRuns.clear();
    m_quotas.clear();
    m_weights.clear();
    m_teamWaits.clear();
    m_waitCounts = {};
    m_longRunningWaits.clear();
    m_reservations.clear();
    m_pendingEnds.clear();
    m_listedEnds.clear();
    m_proposedEnds.clear();
    m_workerOfTask.clear();
    m_workersWithStarts.clear();
    m_workersWithStops.clear();
    m_deregistered.clear();
    m_workersToReview.clear();
    m_maintenanceDue.clear();
    m_disruptionBudgets.forgetAvailability();
    m_changes.clear();
    m_orphanStops.clear();
    m_lastSearched.clear();
    m_tickets.clear();
    m_failedOn.clear();
    m_startedAt.clear();
    m_activeJobs.clear();
    m_acceptedAt.clear();
    m_startedJobs.clear();
    m_changedJobs.clear();
    m_waiting.clear();
    m_jobsByDueTime.clear();
    m_lastWallTime = 0;
    m_pendingCountedAt = 0;
    m_nextPurge = 0;
    m_endedSince.clear();
}

void Dispatcher::renewed(const std::string &worker, std::int64_t startTimeMs,
                         const Result<RenewAnswer, CallFault> &answer, SteadyTimeMs now)
{
    const auto found = m_workers.find(worker);
    const WorkerRecord *record = m_state.worker(worker);
    if (!m_leads || found == m_workers.end() || record == nullptr) {
        return;
    }
    const auto restart = m_restarts.find(worker);
    if (restart != m_restarts.end() && startTimeMs == restart->second.startTimeMs) {
        onRestartChecked(*record, answer, now);
        return;
    }
    if (startTimeMs != record->startTimeMs || isRestartConfirmed(worker)) {
        // A call to an earlier incarnation shows nothing about the recorded one, which may have
        // another address.
        return;
    }
    m_disruptionBudgets.forgetAvailability();
    WorkerView &view = found->second;
    view.renewalInFlight = false;
    if (!isOk(answer)) {
        const CallFault fault = errorOf(answer);
        onRenewalFailed(*record, view, now);
        // Retries at once after the first failure: one lost answer says little about the worker,
        // and the ends of its runs are only reported by renewals.
        view.nextRenewAt = view.renewFailures == 1 ? now : now + m_options.retryMs;
        if (fault == CallFault::OtherIncarnation) {
            m_changes.emplace_back(WorkerLeft{worker, record->startTimeMs});
            view.nextRenewAt = now + m_options.renewalWaitMs;
        }
        if (view.renewFailures == 2) {
            m_decisions.push_back({"worker-silent",
                                   {},
                                   0,
                                   worker,
                                   std::string(callFaultNames.name(fault)),
                                   view.renewedAt == 0 ? -1 : now - view.renewedAt});
        }
        return;
    }
    const RenewAnswer &list = valueOf(answer);
    if (list.startTimeMs != 0 && record->startTimeMs != 0
        && list.startTimeMs != record->startTimeMs) {
        if (list.startTimeMs > record->startTimeMs) {
            // The next incarnation may have another service, capacity and labels, which its
            // announcement tells.
            confirmRestart(*record, list.startTimeMs, now);
            return;
        }
        // Another incarnation, whose clock may have been set back, says nothing of the runs of the
        // recorded one: their leases expire.
        onRenewalFailed(*record, view, now);
        view.nextRenewAt = now + m_options.retryMs;
        return;
    }
    m_workersToReview.insert(worker);
    // Until now the worker was given no tasks.
    m_placementDirty = m_placementDirty || view.renewFailures > 0 || view.renewedAt == 0
            || now - view.renewedAt >= m_options.maxAnswerAgeMs;
    if (view.renewFailures >= 2) {
        m_decisions.push_back({"worker-back", {}, 0, worker, "answered", -1});
    }
    view.renewFailures = 0;
    view.silentSince = 0;
    recordAnswer(*record, view);
    view.clockMs = list.clockMs;
    view.clockAt = now;
    view.renewedAt = now;
    view.leasesExpired = false;
    const bool pause = !list.ended.empty() && m_workers.size() > m_options.largeFleetWorkers;
    view.nextRenewAt = !mayExtendLease(worker, view) ? now + m_options.retryMs
            : pause                                  ? now + m_options.renewalPauseMs
                                                     : now;
    view.longRunningStarting = false;
    m_placementDirty =
            m_unassignedRuns.forgetUnlisted(worker, list, view.renewSentAt) || m_placementDirty;
    const bool allEndsListed = list.ended.size() < m_options.maxListedEnds;
    std::set<TaskKey> listed;
    for (const RunningRun &row : list.running) {
        listed.insert(row.task);
        onRunningRow(worker, view, row, now);
    }
    for (const EndedRun &row : list.ended) {
        listed.insert(row.task);
        onEndedRow(worker, view, row);
    }
    for (auto &[task, run] : view.runs) {
        if (!listed.contains(task) && allEndsListed) {
            onMissingRun(worker, view, task, run);
        }
    }
}

void Dispatcher::onRenewalFailed(const WorkerRecord &worker, WorkerView &view, SteadyTimeMs now)
{
    ++view.renewFailures;
    view.failedRenewalSentAt = view.renewSentAt;
    view.silentSince = view.silentSince == 0 ? now : view.silentSince;
    if (view.renewFailures >= 2) {
        recordSilence(worker, view, now);
    }
}

void Dispatcher::recordSilence(const WorkerRecord &worker, WorkerView &view, SteadyTimeMs now)
{
    if (view.runs.empty() || !mayExtendLease(worker.id, view)) {
        return;
    }
    view.silenceProposed = true;
    m_changes.emplace_back(
            WorkerSilent{worker.id, worker.startTimeMs,
                         std::max<std::int64_t>(leaseEnd(worker.id, view) - now, 0)});
}

void Dispatcher::recordAnswer(const WorkerRecord &worker, WorkerView &view)
{
    if (!view.answerProposed && !mayExtendLease(worker.id, view)) {
        view.answerProposed = true;
        m_changes.emplace_back(WorkerAnswered{worker.id, worker.startTimeMs});
    }
}

void Dispatcher::onStartConfirmed(const TaskKey &task, RunView &run, SteadyTimeMs now)
{
    if (run.state != RunState::Running) {
        run.state = RunState::Running;
        run.confirmedAt = now;
        if (run.sends == 1) {
            run.lateStartEnd = 0;
        }
        run.progressAt = now;
        m_startedJobs.insert(task.job);
        m_startedAt.try_emplace(task, now);
    }
}

void Dispatcher::onRunningRow(const std::string &worker, WorkerView &view, const RunningRun &row,
                              SteadyTimeMs now)
{
    const auto found = view.runs.find(row.task);
    if (found == view.runs.end() || found->second.run != row.run) {
        m_orphanStops.push_back({worker, {}, row.task, row.run});
        countUnassignedRun(worker, row.task, row.run, now);
        return;
    }
    RunView &run = found->second;
    onStartConfirmed(row.task, run, now);
    run.missedRenewals = 0;
    if (row.percent != run.percent) {
        run.progressAt = now;
    }
    run.percent = row.percent;
    run.reading = row.reading;
    if (row.percent < 100 && view.longRunningCount > 0 && isLongRunning(row.task)) {
        view.longRunningStarting = true;
    }
}

void Dispatcher::onEndedRow(const std::string &worker, WorkerView &view, const EndedRun &row)
{
    if (row.number <= view.lastProposedEnd) {
        return;
    }
    view.lastProposedEnd = row.number;
    const auto found = view.runs.find(row.task);
    const bool assigned = found != view.runs.end() && found->second.run == row.run;
    const TaskRecord *task = m_state.task(row.task);
    const bool completedAfterLoss =
            row.runOutcome == RunOutcome::Done && task != nullptr && task->phase != TaskPhase::Done;
    if (!assigned && !completedAfterLoss) {
        return;
    }
    m_pendingEnds[worker].insert(row.number);
    m_listedEnds[{row.task, row.run}] = {worker, row.number, row.runOutcome};
    // Proposed even if the run is being recorded as lost: the task may be done, and the worker
    // forgets the end once it is acknowledged.
    m_proposedEnds.insert({row.task, row.run});
    m_changes.emplace_back(
            RunEnded{row.task, row.run, row.runOutcome, row.checkpoint, wallTimeNow()});
}

bool Dispatcher::isListedAsDone(const TaskKey &task) const
{
    const JobRecord *job = m_state.job(task.job);
    if (job == nullptr || job->spec.steps[task.step].longRunning
        || job->spec.steps[task.step].gang) {
        return false;
    }
    for (auto end = m_listedEnds.lower_bound({task, 0});
         end != m_listedEnds.end() && end->first.first == task; ++end) {
        if (end->second.runOutcome == RunOutcome::Done) {
            return true;
        }
    }
    return false;
}

void Dispatcher::onMissingRun(const std::string &worker, WorkerView &view, const TaskKey &task,
                              RunView &run)
{
    if (run.stopConfirmedAt != 0 && view.renewSentAt >= run.stopConfirmedAt) {
        // The worker never had the run, and refuses it from now on.
        proposeEnd(task, run.run, RunOutcome::Refused, {});
        return;
    }
    // A renewal sent before the start was confirmed may have been answered before the start
    // arrived.
    if (run.state == RunState::Sent || run.state == RunState::ToSend
        || run.confirmedAt >= view.renewSentAt || m_proposedEnds.contains({task, run.run})) {
        return;
    }
    if (run.state == RunState::Running && ++run.missedRenewals < 2) {
        return;
    }
    // Sending the start again is safe, as the worker refuses a run that has already ended there.
    // The answer also shows whether an unanswered start arrived.
    run.state = RunState::ToSend;
    m_workersWithStarts.insert(worker);
    m_decisions.push_back({"resend", taskName(task), run.run, worker, "not-listed", 0});
}

void Dispatcher::proposeEnd(const TaskKey &task, std::uint32_t run, RunOutcome runOutcome,
                            std::string checkpoint)
{
    if (m_proposedEnds.insert({task, run}).second) {
        m_changes.emplace_back(
                RunEnded{task, run, runOutcome, std::move(checkpoint), wallTimeNow()});
    }
}

void Dispatcher::onStartRefused(const std::string &worker, const TaskKey &task, RunView &run)
{
    if (run.state == RunState::Running) {
        // A renewal has listed the run in the meantime.
        return;
    }
    if (!run.startUnanswered) {
        proposeEnd(task, run.run, RunOutcome::Refused, {});
        return;
    }
    // The unanswered order may still be carried out. The worker refuses it once it has confirmed a
    // stop of the run.
    run.state = RunState::Unknown;
    run.stopping = true;
    m_workersWithStops.insert(worker);
}

void Dispatcher::startAnswered(const std::string &worker, const TaskKey &task, std::uint32_t run,
                               std::optional<CallFault> fault, SteadyTimeMs now)
{
    const auto found = m_workers.find(worker);
    if (!m_leads || found == m_workers.end()) {
        return;
    }
    WorkerView &view = found->second;
    const auto slot = view.runs.find(task);
    if (slot == view.runs.end() || slot->second.run != run) {
        return;
    }
    m_disruptionBudgets.forgetAvailability();
    RunView &started = slot->second;
    if (fault != CallFault::NoAnswer) {
        view.unansweredOrders = 0;
    }
    if (!fault) {
        onStartConfirmed(task, started, now);
        return;
    }
    m_decisions.push_back({"start-failed", taskName(task), run, worker,
                           std::string(callFaultNames.name(*fault)),
                           view.renewedAt == 0 ? -1 : now - view.renewedAt});
    switch (*fault) {
    case CallFault::InsufficientCapacity:
    case CallFault::Late:
    case CallFault::Ticket:
    case CallFault::Invalid:
        view.avoidUntil = std::max(view.avoidUntil, now + refusalPauseMs);
        m_tickets.erase({task.job, task.occurrence, task.step});
        onStartRefused(worker, task, started);
        return;
    case CallFault::Unhealthy:
        view.avoidUntil = std::max(view.avoidUntil, now + unhealthyPauseMs);
        onStartRefused(worker, task, started);
        return;
    case CallFault::OldRun:
        // The run has ended on the worker. Either its end is still to be listed, or it was recorded
        // for a run that no longer exists.
        if (started.missedRenewals >= 1) {
            proposeEnd(task, run, RunOutcome::WorkerLost, {});
        }
        ++started.missedRenewals;
        started.state = RunState::Unknown;
        started.confirmedAt = now;
        return;
    case CallFault::OtherIncarnation:
        if (const WorkerRecord *record = m_state.worker(worker)) {
            m_changes.emplace_back(WorkerLeft{worker, record->startTimeMs});
        }
        return;
    case CallFault::NotSent:
        view.avoidUntil = std::max(view.avoidUntil, now + unhealthyPauseMs);
        if (!started.startUnanswered) {
            onStartRefused(worker, task, started);
            return;
        }
        break;
    case CallFault::NoAnswer:
        started.startUnanswered = true;
        // The only order, if the worker lists the run: it can't be carried out once more.
        if (started.state != RunState::Running || started.sends > 1) {
            started.lateStartEnd = now + m_options.lateOrderMs + otherLeaseMs(m_options);
        }
        if (++view.unansweredOrders >= m_options.maxUnansweredOrders) {
            view.avoidUntil = std::max(view.avoidUntil, now + unhealthyPauseMs);
        }
        if (started.state == RunState::Running) {
            // A renewal has listed the run in the meantime.
            return;
        }
        // No retry delay, as the timeout of the call has already elapsed.
        started.state = RunState::ToSend;
        m_workersWithStarts.insert(worker);
        return;
    case CallFault::Fenced:
        view.avoidUntil = std::max(view.avoidUntil, now + unhealthyPauseMs);
        break;
    }
    started.state = RunState::ToSend;
    started.nextSendAt = now + m_options.retryMs;
    m_workersWithStarts.insert(worker);
}

void Dispatcher::stopAnswered(const StopOrder &order, std::optional<CallFault> fault,
                              SteadyTimeMs now)
{
    const auto found = m_workers.find(order.worker);
    if (fault || found == m_workers.end()) {
        return;
    }
    WorkerView &view = found->second;
    const auto run = view.runs.find(order.task);
    if (run == view.runs.end() || run->second.run != order.run
        || run->second.stopConfirmedAt != 0) {
        return;
    }
    run->second.stopConfirmedAt = now;
    view.stopToVerify = true;
    view.nextRenewAt = std::min(view.nextRenewAt, now);
}

void Dispatcher::paceFailed(const PaceOrder &order)
{
    const auto found = m_workers.find(order.worker);
    if (found != m_workers.end() && found->second.runs.contains(order.task)) {
        found->second.runs.at(order.task).pacePercent = -1;
        m_workersToReview.insert(order.worker);
    }
}

void Dispatcher::adviceAnswered(const AdviceOrder &order,
                                const std::optional<std::map<std::string, std::string>> &tickets,
                                SteadyTimeMs now)
{
    const auto found = m_tickets.find({order.job, order.occurrence, order.step});
    if (found == m_tickets.end()) {
        return;
    }
    found->second.asked = false;
    found->second.askAgainAt = now + m_options.retryMs;
    m_placementDirty = true;
    if (!tickets) {
        return;
    }
    const JobRecord *job = m_state.job(order.job);
    found->second.byWorker = *tickets;
    for (const std::string &worker : order.workers) {
        if (!tickets->contains(worker)) {
            found->second.denied.insert(worker);
        }
    }
    // The other half of the validity period is left for sending the starts.
    found->second.validUntil = now + (job != nullptr ? job->queue.adviceValidMs / 2 : 0);
}

void Dispatcher::setCordoned(const std::string &worker, bool cordoned)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        found->second.cordoned = cordoned;
    }
}

void Dispatcher::setLeaving(const std::string &worker, bool leaving)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        found->second.leaving = leaving;
        m_disruptionBudgets.forgetAvailability();
    }
}

void Dispatcher::setMaintenanceDue(std::set<std::string> workers)
{
    m_maintenanceDue = std::move(workers);
}

bool Dispatcher::hasRecentAnswer(const std::string &worker, SteadyTimeMs now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.hasRecentAnswer(now, m_options.maxAnswerAgeMs);
}

std::size_t Dispatcher::shortRunsOn(const std::string &worker) const
{
    const WorkerView *known = view(worker);
    return known == nullptr ? 0 : known->reserved.size() - known->longRunningCount;
}

bool Dispatcher::evictOneTask(const std::string &worker, SteadyTimeMs now)
{
    const auto task = m_disruptionBudgets.taskToEvict(worker, now);
    const WorkerRecord *record = m_state.worker(worker);
    if (!task || record == nullptr) {
        return false;
    }
    // Without another worker for it, the task would only be unavailable.
    const Candidates others = candidatesOf(record->service, now);
    const bool canMove = std::any_of(others.begin(), others.end(), [&](const Candidate &other) {
        return other.worker->id != worker && couldHold(*other.worker, *other.view, *task);
    });
    if (!canMove) {
        return false;
    }
    m_workers.at(worker).runs.at(*task).stopping = true;
    m_workersWithStops.insert(worker);
    m_disruptionBudgets.forgetAvailability();
    return true;
}

const WorkerView *Dispatcher::view(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::map<std::string, ServiceDemand> Dispatcher::demands(SteadyTimeMs now)
{
    std::map<std::string, ServiceDemand> demands =
            m_demand.demands(m_activeJobs, now, now + m_wallOffsetMs);
    addLongRunningDemand(demands, now);
    return demands;
}

void Dispatcher::addLongRunningDemand(std::map<std::string, ServiceDemand> &demands,
                                      SteadyTimeMs now) const
{
    std::map<StepKey, std::uint32_t> counts;
    for (const LongRunningWaits::Wait &wait :
         m_longRunningWaits.longerThan(m_options.longRunningWaitMs, now)) {
        // Other obstacles remain with an instance of another pool.
        if (isWorkerMissing(wait)) {
            ++counts[{wait.task.job, wait.task.occurrence, wait.task.step}];
        }
    }
    std::map<std::string, std::vector<WaitingTasks>> waiting;
    for (const auto &[key, count] : counts) {
        const JobRecord *job = m_state.job(key.job);
        if (job == nullptr) {
            continue;
        }
        // Whether a worker on another instance has the label or is allowed by the advice is not
        // known. Further instances would be asked for without an end if none is.
        const StepSpec &step = job->spec.steps[key.step];
        if (step.requiredLabel.empty() && !job->queue.needsAdvice) {
            waiting[serviceOf(m_state, *job)].push_back(
                    {reservedNeed(step), count, maxTasksPerWorker(step)});
        }
    }
    for (const auto &[service, tasks] : waiting) {
        demands[service].longRunningMissing = m_demand.workersFor(service, tasks);
    }
}

bool Dispatcher::isAwaited(const std::string &worker, SteadyTimeMs now) const
{
    const WorkerView *known = view(worker);
    const WorkerRecord *record = m_state.worker(worker);
    if (known == nullptr || record == nullptr || record->draining || now < known->avoidUntil
        || !known->hasRecentAnswer(now, m_options.maxAnswerAgeMs)
        || m_longRunningWaits.size() == 0) {
        return false;
    }
    const std::vector<LongRunningWaits::Wait> waits =
            m_longRunningWaits.longerThan(m_options.longRunningWaitMs, now);
    return std::any_of(waits.begin(), waits.end(), [&](const LongRunningWaits::Wait &wait) {
        const JobRecord *job = m_state.job(wait.task.job);
        return job != nullptr && isWorkerMissing(wait) && !job->queue.needsAdvice
                && serviceOf(m_state, *job) == record->service
                && couldHold(*record, *known, wait.task);
    });
}

SilentWorkers Dispatcher::silentWorkers(SteadyTimeMs now) const
{
    SilentWorkers silent;
    for (const auto &[id, view] : m_workers) {
        if (view.renewFailures >= 2 && !view.runs.empty()) {
            ++silent.count;
            silent.longestMs = std::max(silent.longestMs, now - view.silentSince);
        }
    }
    return silent;
}

std::int64_t Dispatcher::oldestRenewalMs(SteadyTimeMs now) const
{
    std::int64_t oldest = 0;
    for (const auto &[id, view] : m_workers) {
        if (view.renewalInFlight) {
            oldest = std::max(oldest, now - view.renewSentAt);
        }
    }
    return oldest;
}

bool Dispatcher::hasStarted(const JobRecord &job) const
{
    return job.started || m_startedJobs.contains(job.spec.id);
}

std::size_t Dispatcher::pendingJobs(const std::string &queue, SteadyTimeMs now)
{
    // Counting visits all active jobs, and clients ask several hundred times a second.
    if (m_pendingCountedAt == 0 || now - m_pendingCountedAt >= pendingCountMs) {
        m_pendingCountedAt = now;
        m_pendingCounts.clear();
        for (const JobId &id : m_activeJobs) {
            const JobRecord *job = m_state.job(id);
            if (job != nullptr && job->phase == JobPhase::Active && !hasStarted(*job)) {
                ++m_pendingCounts[job->spec.queue];
            }
        }
    }
    const auto found = m_pendingCounts.find(queue);
    return found == m_pendingCounts.end() ? 0 : found->second;
}

} // namespace dandelionloom

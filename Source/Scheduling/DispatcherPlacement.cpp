#include <algorithm>
#include <limits>

#include "Scheduling/Dispatcher.h"
#include "Scheduling/StepFacts.h"

// Placement: assigns pending tasks to workers.

namespace dandelionloom {

namespace {

/// Failed searches for a worker, for one service, after which a placement pass ends its search in
/// placement order, and after which it ends its search among the other steps. A pass must not scan
/// a whole backlog.
constexpr std::uint32_t maxFailedSearches = 24;

/// Outweighs all other terms of the score. The worker is still chosen if there is no other.
constexpr double spreadViolationPenalty = 100;

/// Outweighs the preferences among workers, so that a long-running task shares a worker rather than
/// being moved a second time by maintenance.
constexpr double maintenanceDuePenalty = 50;

/// Workers named in one call to the advice service.
constexpr std::size_t maxAdviceWorkers = 30;

} // namespace

std::vector<WaitingStep> Dispatcher::waitingStepsOf(const JobRecord &job, WallTimeMs wallNow)
{
    const std::vector<std::int64_t> stepMs = m_durations.expectedStepMs(job.spec);
    const bool hasQuota = !job.spec.team.empty() && m_quotas.contains(job.spec.team);
    const bool hasWeight = !job.spec.team.empty() && m_weights.contains(job.spec.team);
    std::vector<WaitingStep> waiting;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        const OccurrenceRecord &record = job.occurrences[occurrence];
        if (record.stepsDone == record.steps.size()) {
            continue;
        }
        if (job.spec.repeatCount > 0) {
            const WallTimeMs dueAt = job.spec.startAtMs + occurrence * job.spec.intervalMs;
            if (wallNow < dueAt) {
                m_jobsByDueTime.insert({dueAt, job.spec.id});
                break;
            }
        }
        double work = 0;
        for (std::uint32_t step = 0; step < record.steps.size(); ++step) {
            work += static_cast<double>(record.steps[step].tasks.size()
                                        - record.steps[step].doneCount)
                    * static_cast<double>(job.spec.steps[step].need.processorMilli)
                    * static_cast<double>(stepMs[step]);
        }
        for (std::uint32_t step = 0; step < record.steps.size(); ++step) {
            const StepRecord &state = record.steps[step];
            if (state.doneCount == state.tasks.size() || !isReady(job.spec.steps[step], record)) {
                continue;
            }
            WaitingStep entry{{job.spec.id, occurrence, step}, {}, {}};
            for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
                if (state.tasks[index].phase == TaskPhase::Pending
                    && !m_proposed.contains({job.spec.id, occurrence, step, index})) {
                    entry.indices.push_back(index);
                }
            }
            if (entry.indices.empty()) {
                continue;
            }
            entry.attributes = stepAttributes(job, stepMs, occurrence, step);
            entry.attributes.remainingWork = work;
            if (hasQuota) {
                const StepSpec &spec = job.spec.steps[step];
                entry.lane = {job.spec.team, spec.need, spec.gang ? spec.count : 1};
            }
            if (hasWeight) {
                entry.team = job.spec.team;
            }
            waiting.push_back(std::move(entry));
        }
    }
    return waiting;
}

void Dispatcher::updateWaitingSteps(SteadyTimeMs now, WallTimeMs wallNow)
{
    if (wallNow < m_lastWallTime) {
        // The time of day was set back, so that jobs may be on time or not due again.
        m_changedJobs.insert(m_activeJobs.begin(), m_activeJobs.end());
    }
    m_lastWallTime = wallNow;
    while (!m_jobsByDueTime.empty() && m_jobsByDueTime.begin()->first <= wallNow) {
        m_changedJobs.insert(m_jobsByDueTime.begin()->second);
        m_jobsByDueTime.erase(m_jobsByDueTime.begin());
    }
    for (const JobId &id : m_changedJobs) {
        const JobRecord *job = m_state.job(id);
        if (job == nullptr || job->phase != JobPhase::Active) {
            m_waiting.remove(id);
        } else {
            m_waiting.replace(id, serviceOf(m_state, *job), waitingStepsOf(*job, wallNow), wallNow);
            recordLongRunningSteps(*job, now);
        }
    }
    m_changedJobs.clear();
    m_waiting.advance(wallNow);
}

bool Dispatcher::isSchedulable(const WorkerRecord &worker, const WorkerView &view,
                               SteadyTimeMs now) const
{
    return !worker.draining && !view.cordoned && !view.leasesExpired && now >= view.avoidUntil
            && view.clockMs && view.renewedAt != 0
            && now - view.renewedAt < m_options.maxAnswerAgeMs && view.renewFailures == 0;
}

Dispatcher::Candidates Dispatcher::candidatesOf(const std::string &service, SteadyTimeMs now)
{
    if (m_workersOfService.empty()) {
        for (const auto &[id, worker] : m_state.workers()) {
            const auto known = m_workers.find(id);
            if (known != m_workers.end()) {
                m_workersOfService[worker.service].push_back({&worker, &known->second});
            }
        }
    }
    Candidates candidates;
    const auto workers = m_workersOfService.find(service);
    if (workers == m_workersOfService.end()) {
        return candidates;
    }
    std::copy_if(workers->second.begin(), workers->second.end(), std::back_inserter(candidates),
                 [&](const Candidate &candidate) {
                     return isSchedulable(*candidate.worker, *candidate.view, now);
                 });
    return candidates;
}

void Dispatcher::placePendingSteps(SteadyTimeMs now, WallTimeMs wallNow, DispatchOrders &orders)
{
    updateWaitingSteps(now, wallNow);
    reviewReservations(now);
    reviewTeamWaits(now, orders);
    m_waitCounts = {};
    HeldNeeds heldNeeds;
    const NeglectedSteps neglected = neglectedSteps(now);
    for (const auto &[service, steps] : m_waiting.byService()) {
        Candidates candidates = candidatesOf(service, now);
        if (candidates.empty()) {
            m_waitCounts.capacity += static_cast<std::uint32_t>(steps.size());
            recordMissingWorkers(steps, now);
            continue;
        }
        PlacementPass pass{std::move(candidates), now, wallNow, orders, heldNeeds, {}, {}, 0, 0};
        const auto first = neglected.find(service);
        if (first != neglected.end()) {
            placeNeglectedSteps(first->second, pass);
        }
        placeSteps(service, steps, pass);
    }
    reportLongRunningWaits(now);
}

Dispatcher::NeglectedSteps Dispatcher::neglectedSteps(SteadyTimeMs now) const
{
    std::map<StepKey, std::int64_t> waitedMs;
    for (const LongRunningWaits::Wait &wait :
         m_longRunningWaits.longerThan(m_options.longRunningWaitMs, now)) {
        const StepKey key{wait.task.job, wait.task.occurrence, wait.task.step};
        if (m_waiting.contains(key)) {
            std::int64_t &longest = waitedMs[key];
            longest = std::max(longest, wait.waitedMs);
        }
    }
    NeglectedSteps steps;
    for (const auto &[key, waited] : waitedMs) {
        steps[serviceOf(m_state, *m_state.job(key.job))].emplace_back(-waited, key);
    }
    for (auto &[service, keys] : steps) {
        std::sort(keys.begin(), keys.end());
    }
    return steps;
}

void Dispatcher::placeNeglectedSteps(const std::vector<std::pair<std::int64_t, StepKey>> &steps,
                                     PlacementPass &pass)
{
    for (const auto &[order, key] : steps) {
        if (pass.failedSearches >= maxFailedSearches) {
            break;
        }
        const StepPosition position = m_waiting.positionOf(key);
        const StepLane &lane = m_waiting.laneOf(key);
        if (isAllowedByQuota(lane, pass) && !isReservedForOther(lane, position.rank)) {
            placeStep(position, lane, pass);
            pass.searched.insert(key);
        } else {
            recordObstacle(key, PlacementObstacle::Quota, pass.now);
        }
    }
    // Neglected steps that can't be placed must not hide the others.
    pass.failedSearches = 0;
}

void Dispatcher::recordMissingWorkers(const ServiceSteps &steps, SteadyTimeMs now)
{
    for (const auto &[key, lane] : steps.lanes) {
        // The groups that may hold long-running steps; the others may hold a large backlog.
        for (const StepGroup group : {StepGroup::LongRunning, StepGroup::BestEffort}) {
            const StepPosition first{{group, std::numeric_limits<std::int64_t>::min(),
                                      -std::numeric_limits<double>::infinity()},
                                     {}};
            for (auto position = lane.steps.lower_bound(first);
                 position != lane.steps.end() && position->rank.group == group; ++position) {
                recordObstacle(position->key, PlacementObstacle::NoWorker, now);
            }
        }
    }
}

void Dispatcher::recordLongRunningSteps(const JobRecord &job, SteadyTimeMs now)
{
    if (!dandelionloom::isLongRunning(job.spec)) {
        return;
    }
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepKey key{job.spec.id, occurrence, step};
            if (m_waiting.contains(key)) {
                recordObstacle(key, PlacementObstacle::NotSearched, now);
            }
        }
    }
}

void Dispatcher::recordObstacle(const StepKey &key, PlacementObstacle obstacle, SteadyTimeMs now)
{
    if (!m_state.job(key.job)->spec.steps[key.step].longRunning) {
        return;
    }
    for (const std::uint32_t index : m_waiting.at(key).indices) {
        const TaskKey task{key.job, key.occurrence, key.step, index};
        if (!m_proposed.contains(task)) {
            m_longRunningWaits.record(task, obstacle, now);
        }
    }
}

void Dispatcher::reportLongRunningWaits(SteadyTimeMs now)
{
    m_longRunningWaits.keepOnly([this](const TaskKey &task) {
        const JobRecord *job = m_state.job(task.job);
        return job != nullptr && job->phase == JobPhase::Active
                && m_state.task(task)->phase == TaskPhase::Pending && !m_proposed.contains(task);
    });
    for (const LongRunningWaits::Wait &wait : m_longRunningWaits.takeReports(now)) {
        m_decisions.push_back({"long-running-waits",
                               taskName(wait.task),
                               0,
                               {},
                               std::string(placementObstacleNames.name(wait.obstacle)),
                               wait.waitedMs,
                               true});
    }
}

void Dispatcher::placeSteps(const std::string &service, const ServiceSteps &steps,
                            PlacementPass &pass)
{
    StepCursor cursor(steps);
    const StepPosition *lastSearched = nullptr;
    std::vector<AdvancedStep> advanced = advancedSteps(service);
    const auto placeUntilFailed = [&](std::uint32_t limit) {
        while (!cursor.isAtEnd() && pass.failedSearches < limit) {
            placeAdvancedSteps(advanced, cursor.position(), pass);
            lastSearched = &cursor.position();
            if (placeStep(*lastSearched, cursor.lane(), pass)) {
                cursor.next();
            } else {
                // Within a pass the use of a team only grows.
                m_waitCounts.quota += static_cast<std::uint32_t>(cursor.leaveOutLane());
            }
        }
    };
    placeUntilFailed(maxFailedSearches);
    // Steps that can't be placed for a long time must not hide those behind them, so the latter
    // are searched a worker for in turn.
    const auto last = m_lastSearched.find(service);
    if (last != m_lastSearched.end()) {
        cursor.resumeBehind(last->second);
    }
    placeUntilFailed(2 * maxFailedSearches);
    m_waitCounts.notSearched += static_cast<std::uint32_t>(cursor.remaining());
    if (cursor.isAtEnd()) {
        m_lastSearched.erase(service);
    } else {
        m_lastSearched[service] = *lastSearched;
    }
}

void Dispatcher::reviewTeamWaits(SteadyTimeMs now, DispatchOrders &orders)
{
    if (m_weights.empty() || !m_teamWaits.beginReview(m_waiting, now)) {
        return;
    }
    for (const auto &[service, steps] : m_waiting.byService()) {
        std::int64_t capacityMilli = 0;
        for (const Candidate &candidate : candidatesOf(service, now)) {
            capacityMilli += std::max<std::int64_t>(
                    0,
                    candidate.worker->capacity.processorMilli
                            - candidate.view->longRunningNeed.processorMilli);
        }
        for (const TeamWaits::AdvancedJob &advanced :
             m_teamWaits.review(service, steps, m_waiting, m_weights, capacityMilli, now)) {
            const StepKey first = m_waiting.positionsOf(advanced.job).front().key;
            orders.dispatchDecisions.push_back({"advance",
                                                taskName({first.job, first.occurrence, first.step,
                                                          m_waiting.at(first).indices.front()}),
                                                0,
                                                {},
                                                "share",
                                                advanced.waitedMs});
        }
    }
}

std::vector<Dispatcher::AdvancedStep> Dispatcher::advancedSteps(const std::string &service)
{
    std::vector<AdvancedStep> advanced;
    for (const auto &[team, job] : m_teamWaits.advanced(service)) {
        const JobRecord *record = m_state.job(job.job);
        if (record == nullptr || record->phase != JobPhase::Active) {
            m_teamWaits.endAdvance(service, team);
            continue;
        }
        for (const StepPosition &position : m_waiting.positionsOf(job.job)) {
            if (isOfUse(position.rank.group)) {
                const StepRank rank{std::min(job.group, position.rank.group),
                                    position.rank.priority,
                                    -std::numeric_limits<double>::infinity()};
                advanced.push_back({{rank, position.key}, position});
            }
        }
    }
    std::sort(advanced.begin(), advanced.end(),
              [](const AdvancedStep &left, const AdvancedStep &right) {
                  return left.placedAt < right.placedAt;
              });
    return advanced;
}

void Dispatcher::placeAdvancedSteps(std::vector<AdvancedStep> &steps, const StepPosition &before,
                                    PlacementPass &pass)
{
    auto next = steps.begin();
    for (; next != steps.end() && next->placedAt < before; ++next) {
        const StepKey &key = next->position.key;
        placeStep(next->position, m_waiting.laneOf(key), pass);
        pass.searched.insert(key);
    }
    steps.erase(steps.begin(), next);
}

bool Dispatcher::isKnownUnmet(const PlacementPass &pass, const StepSpec &step,
                              const TaskResources &need)
{
    return std::any_of(pass.unmetNeeds.begin(), pass.unmetNeeds.end(), [&](const UnmetNeed &unmet) {
        return fits(unmet.need, need)
                && (unmet.requiredLabel.empty() || unmet.requiredLabel == step.requiredLabel);
    });
}

bool Dispatcher::placeStep(const StepPosition &position, const StepLane &lane, PlacementPass &pass)
{
    if (pass.searched.contains(position.key)) {
        return true;
    }
    const std::uint32_t index = m_waiting.at(position.key).indices.front();
    if (!isAllowedByQuota(lane, pass)) {
        holdLane(lane, position, index, pass);
        return false;
    }
    if (isReservedForOther(lane, position.rank)) {
        // A later step of the lane may pass the reservation.
        ++m_waitCounts.quota;
        recordObstacle(position.key, PlacementObstacle::Quota, pass.now);
        if (m_waiting.takeReport(lane, position)) {
            reportQuotaWait(position.key, index, pass);
        }
        return true;
    }
    if (lane.hold) {
        m_waiting.setHold(lane, std::nullopt);
    }
    const std::size_t changes = pass.orders.changes.size();
    const bool goesOn = placeTasks(position, lane, pass);
    const bool isPlaced = pass.orders.changes.size() > changes;
    recordSearch(lane, isPlaced, pass.now);
    const std::string &team = m_waiting.at(position.key).team;
    if (isPlaced && isOfUse(position.rank.group) && !team.empty()) {
        m_teamWaits.placed(lane.service, team, pass.now);
    }
    return goesOn;
}

bool Dispatcher::placeTasks(const StepPosition &position, const StepLane &lane, PlacementPass &pass)
{
    const StepKey &key = position.key;
    const WaitingStep &waiting = m_waiting.at(key);
    const JobRecord &job = *m_state.job(key.job);
    const StepSpec &step = job.spec.steps[key.step];
    const TaskResources need = needOf({key.job, key.occurrence, key.step, 0});
    if (isKnownUnmet(pass, step, need)) {
        ++m_waitCounts.capacity;
        recordObstacle(key, PlacementObstacle::SmallerNeedUnmet, pass.now);
        // Which workers the advice allows is not known yet.
        if (step.longRunning && !job.queue.needsAdvice && pass.failedHolds < maxFailedSearches) {
            holdWorkersFor(waiting, waiting.indices.front(), nullptr, pass);
        }
        return true;
    }
    const Tickets *tickets = nullptr;
    if (job.queue.needsAdvice) {
        tickets = ticketsFor(waiting, pass);
        if (tickets == nullptr) {
            ++pass.failedSearches;
            ++m_waitCounts.advice;
            recordObstacle(key, PlacementObstacle::Advice, pass.now);
            return true;
        }
    }
    if (step.gang) {
        const bool placed = placeGang(job, waiting, tickets, pass);
        pass.failedSearches += placed ? 0 : 1;
        m_waitCounts.capacity += placed ? 0 : 1;
        return true;
    }
    for (const std::uint32_t index : waiting.indices) {
        const TaskKey task{key.job, key.occurrence, key.step, index};
        if (!isAllowedByQuota(lane, pass)) {
            holdLane(lane, position, index, pass);
            return false;
        }
        const auto worker = chooseWorker(job, task, pass.candidates, tickets, pass.now);
        if (!worker) {
            ++pass.failedSearches;
            ++m_waitCounts.capacity;
            const bool isSpread = isSpreadKept(job, task, pass.now);
            recordObstacle(key, isSpread ? PlacementObstacle::Spread : PlacementObstacle::Capacity,
                           pass.now);
            if (step.longRunning) {
                holdWorkersFor(waiting, index, tickets, pass);
            }
            // Other limits concern this step only.
            const bool onlyNeed =
                    tickets == nullptr && step.maxPerWorker == 0 && step.maxUnavailable == 0;
            if (onlyNeed) {
                pass.unmetNeeds.push_back({need, step.requiredLabel});
            }
            return true;
        }
        assign(task, m_state.task(task)->run + 1, *worker, pass.now, pass.orders);
    }
    return true;
}

bool Dispatcher::couldHold(const WorkerRecord &worker, const WorkerView &view,
                           const TaskKey &task) const
{
    const StepSpec &step = m_state.job(task.job)->spec.steps[task.step];
    return fits(needOf(task), worker.capacity - view.longRunningNeed)
            && (step.maxPerWorker == 0 || runsOfStepOn(worker.id, view, task) < step.maxPerWorker)
            && hasRequiredLabel(worker, step);
}

void Dispatcher::holdWorkersFor(const WaitingStep &waiting, std::uint32_t first,
                                const Tickets *tickets, PlacementPass &pass)
{
    for (const std::uint32_t index : waiting.indices) {
        const TaskKey task{waiting.key.job, waiting.key.occurrence, waiting.key.step, index};
        const bool isNeglected =
                m_longRunningWaits.waitedMs(task, pass.now) >= m_options.longRunningWaitMs;
        if ((index == first || (index > first && isNeglected))
            && !holdWorkerFor(task, tickets, pass)) {
            return;
        }
    }
}

bool Dispatcher::holdWorkerFor(const TaskKey &task, const Tickets *tickets, PlacementPass &pass)
{
    // In a full pool, smaller tasks take each bit of capacity as it gets free, and a large one
    // never finds enough of it on one worker. The worker with the most free capacity gets ready
    // first.
    const StepSpec &step = m_state.job(task.job)->spec.steps[task.step];
    const TaskResources need = needOf(task);
    auto best = pass.candidates.end();
    double bestShare = -1;
    for (auto candidate = pass.candidates.begin(); candidate != pass.candidates.end();
         ++candidate) {
        const WorkerRecord &worker = *candidate->worker;
        const WorkerView &view = *candidate->view;
        const std::uint32_t perWorker = maxTasksPerWorker(step);
        if (!couldHold(worker, view, task)
            || (perWorker > 0 && runsOfStepOn(worker.id, view, task) >= perWorker)
            || (tickets != nullptr && !tickets->byWorker.contains(worker.id))) {
            continue;
        }
        const auto share = [](std::int64_t amount, std::int64_t required) {
            return required <= 0 ? 1.0
                                 : static_cast<double>(amount) / static_cast<double>(required);
        };
        const TaskResources freeCapacity = worker.capacity - view.used;
        const double free = std::min({share(freeCapacity.processorMilli, need.processorMilli),
                                      share(freeCapacity.memoryMb, need.memoryMb),
                                      share(freeCapacity.accelerators, need.accelerators)});
        if (free > bestShare) {
            bestShare = free;
            best = candidate;
        }
    }
    if (best == pass.candidates.end()) {
        ++pass.failedHolds;
        return false;
    }
    pass.candidates.erase(best);
    return true;
}

std::uint32_t Dispatcher::runsOfStepOn(const std::string &worker, const WorkerView &view,
                                       const TaskKey &task) const
{
    const auto &reserved = view.reserved;
    std::uint32_t count = m_unassignedRuns.countOfStep(worker, task);
    for (auto row = reserved.lower_bound({task.job, task.occurrence, task.step, 0});
         row != reserved.end() && row->first.job == task.job
         && row->first.occurrence == task.occurrence && row->first.step == task.step;
         ++row) {
        ++count;
    }
    return count;
}

bool Dispatcher::hasLatencyTarget(const WorkerView &view) const
{
    return std::any_of(view.reserved.begin(), view.reserved.end(), [this](const auto &item) {
        const JobRecord *job = m_state.job(item.first.job);
        return job != nullptr && job->spec.steps[item.first.step].targetMs > 0
                && !job->spec.steps[item.first.step].bestEffort;
    });
}

bool Dispatcher::isSpreadKept(const JobRecord &job, const TaskKey &task, SteadyTimeMs now) const
{
    const StepSpec &step = job.spec.steps[task.step];
    if (!step.longRunning || step.maxUnavailable == 0) {
        return false;
    }
    // The time of day of the acceptance is that of another instance, and either may be set.
    const auto accepted = m_acceptedAt.find(job.spec.id);
    if (accepted != m_acceptedAt.end()) {
        return now - accepted->second < m_options.spreadWaitMs;
    }
    // A task that had a worker in an earlier term has waited then.
    return m_state.task(task)->run == 0 && now - m_termStartedAt < m_options.spreadWaitMs;
}

std::optional<std::string> Dispatcher::chooseWorker(const JobRecord &job, const TaskKey &task,
                                                    const Candidates &candidates,
                                                    const Tickets *tickets, SteadyTimeMs now) const
{
    const StepSpec &step = job.spec.steps[task.step];
    const TaskResources need = reservedNeed(step);
    const auto failedOn = m_failedOn.find(task);
    const std::string *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        const WorkerRecord &worker = *candidate.worker;
        const WorkerView &view = *candidate.view;
        const std::string &id = worker.id;
        const TaskResources freeCapacity = worker.capacity - view.used - m_unassignedRuns.useOn(id);
        if (!fits(need, freeCapacity) || (tickets != nullptr && !tickets->byWorker.contains(id))) {
            continue;
        }
        if (!hasRequiredLabel(worker, step)) {
            continue;
        }
        if (step.maxPerWorker > 0 && runsOfStepOn(id, view, task) >= step.maxPerWorker) {
            continue;
        }
        // Best fit, with a preference for workers that already hold long-running tasks: it keeps
        // whole instances free for other pools, and enough capacity on one worker for large tasks.
        double score = -static_cast<double>(freeCapacity.processorMilli)
                / static_cast<double>(std::max<std::int64_t>(worker.capacity.processorMilli, 1));
        if (view.longRunningCount > 0) {
            score += 2;
        }
        if (failedOn != m_failedOn.end() && failedOn->second == id) {
            score -= 10;
        }
        score -= view.failuresInRow;
        if (step.longRunning && step.maxUnavailable > 0
            && runsOfStepOn(id, view, task) >= step.maxUnavailable) {
            // Maintenance of the worker would exceed the disruption budget of the step.
            if (isSpreadKept(job, task, now)) {
                continue;
            }
            score -= spreadViolationPenalty;
        }
        if (step.longRunning && m_maintenanceDue.contains(id)) {
            score -= maintenanceDuePenalty;
        }
        if (!step.dataRack.empty() && worker.rack == step.dataRack) {
            score += 4;
        }
        if (step.bestEffort && hasLatencyTarget(view)) {
            score -= 2;
        }
        if (score > bestScore) {
            bestScore = score;
            best = &id;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool Dispatcher::placeGang(const JobRecord &job, const WaitingStep &waiting, const Tickets *tickets,
                           PlacementPass &pass)
{
    const StepKey &key = waiting.key;
    const StepSpec &step = job.spec.steps[key.step];
    if (waiting.indices.size() < step.count) {
        // Some members of the previous run have not ended yet; a gang starts as a whole.
        return false;
    }
    std::vector<std::pair<TaskKey, std::string>> chosen;
    std::uint32_t run = 0;
    for (const std::uint32_t index : waiting.indices) {
        const TaskKey task{key.job, key.occurrence, key.step, index};
        const auto worker = chooseWorker(job, task, pass.candidates, tickets, pass.now);
        if (!worker) {
            break;
        }
        reserve(m_workers.at(*worker), task);
        chosen.emplace_back(task, *worker);
        run = std::max(run, m_state.task(task)->run + 1);
    }
    const bool allPlaced = chosen.size() == waiting.indices.size();
    for (const auto &[task, worker] : chosen) {
        if (allPlaced) {
            assign(task, run, worker, pass.now, pass.orders);
        } else {
            release(m_workers.at(worker), task);
        }
    }
    return allPlaced;
}

void Dispatcher::assign(const TaskKey &task, std::uint32_t run, const std::string &worker,
                        SteadyTimeMs now, DispatchOrders &orders)
{
    const StepSpec &step = m_state.job(task.job)->spec.steps[task.step];
    reserve(m_workers.at(worker), task);
    const std::string &team = m_state.job(task.job)->spec.team;
    m_proposed[task] = {team, step.need};
    m_proposedUse.add(team, step.need);
    m_changedJobs.insert(task.job);
    orders.changes.emplace_back(RunAssigned{task, run, worker});
    orders.dispatchDecisions.push_back({"place", taskName(task), run, worker,
                                        step.longRunning ? "lasting" : "room",
                                        now - m_workers.at(worker).renewedAt, step.longRunning});
}

const Dispatcher::Tickets *Dispatcher::ticketsFor(const WaitingStep &waiting, PlacementPass &pass)
{
    const StepKey &key = waiting.key;
    Tickets &tickets = m_tickets[key];
    if (pass.now < tickets.validUntil && !tickets.byWorker.empty()) {
        return &tickets;
    }
    if (!tickets.asked && pass.now >= tickets.askAgainAt) {
        tickets.asked = true;
        // Names the least loaded workers first: approval for a worker without free capacity is of
        // no use.
        Candidates sorted;
        std::copy_if(pass.candidates.begin(), pass.candidates.end(), std::back_inserter(sorted),
                     [&tickets](const Candidate &candidate) {
                         return !tickets.denied.contains(candidate.worker->id);
                     });
        if (sorted.empty()) {
            tickets.denied.clear();
            sorted = pass.candidates;
        }
        std::stable_sort(
                sorted.begin(), sorted.end(), [](const Candidate &left, const Candidate &right) {
                    return left.view->used.processorMilli < right.view->used.processorMilli;
                });
        sorted.resize(std::min(sorted.size(), maxAdviceWorkers));
        std::vector<std::string> asked;
        for (const Candidate &candidate : sorted) {
            asked.push_back(candidate.worker->id);
        }
        pass.orders.advice.push_back({key.job.text(), key.occurrence, key.step, std::move(asked)});
    }
    return nullptr;
}

} // namespace dandelionloom

#include <algorithm>
#include <limits>

#include "Scheduling/Dispatcher.h"

// Which waiting task starts where.

namespace dandelionloom {

namespace {

/// Runs of a queue from which its observed mean is trusted over the declared estimates.
constexpr std::uint32_t trustedRuns = 8;

/// Steps of one service that are tried without success in one pass. Smaller steps behind a step
/// that does not fit may use the room it leaves, but a pass must not walk a whole backlog.
constexpr std::uint32_t fruitlessSteps = 24;

/// Outweighs everything else in the choice of a worker, but not that there is none else.
constexpr double crowdedPenalty = 100;

/// A lasting task rather shares a worker than is taken away a second time.
constexpr double maintenanceDuePenalty = 50;

/// Workers named in one call to the advice service.
constexpr std::size_t adviceWorkers = 30;

/// True if all steps that the step depends on have ended.
bool isReady(const StepSpec &step, const OccurrenceRecord &occurrence)
{
    return std::all_of(step.dependsOn.begin(), step.dependsOn.end(),
                       [&occurrence](std::uint32_t needed) {
                           return needed < occurrence.steps.size()
                                   && occurrence.steps[needed].doneCount
                                   == occurrence.steps[needed].tasks.size();
                       });
}

/// Tasks of a lasting step that should run on one worker; 0 for no limit. Both limits hold: one is
/// the submitter's, and a worker with more than may be away at once could not be maintained.
std::uint32_t mostOnOneWorker(const StepSpec &step)
{
    if (step.maxPerWorker == 0 || step.maxUnavailable == 0) {
        return std::max(step.maxPerWorker, step.maxUnavailable);
    }
    return std::min(step.maxPerWorker, step.maxUnavailable);
}

} // namespace

std::string Dispatcher::serviceOf(const JobRecord &job) const
{
    const QueueConfig *queue = m_book.queue(job.spec.queue);
    return queue != nullptr ? queue->service : job.queue.service;
}

std::vector<std::int64_t> Dispatcher::expectedStepMs(const JobRecord &job) const
{
    const auto known = m_durations.find(job.spec.queue);
    const bool trusted = known != m_durations.end() && known->second.runs >= trustedRuns;
    std::vector<std::int64_t> expected;
    expected.reserve(job.spec.steps.size());
    for (const StepSpec &step : job.spec.steps) {
        expected.push_back(trusted ? static_cast<std::int64_t>(known->second.meanMs)
                                   : step.estimateMs);
    }
    return expected;
}

bool Dispatcher::collectWaiting(const JobRecord &job, WallTimeMs wallNow,
                                std::map<std::string, std::vector<Waiting>> &byService) const
{
    const std::vector<std::int64_t> stepMs = expectedStepMs(job);
    bool found = false;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        const OccurrenceRecord &record = job.occurrences[occurrence];
        if (record.stepsDone == record.steps.size()) {
            continue;
        }
        WallTimeMs dueAt = job.acceptedAtMs;
        if (job.spec.repeatCount > 0) {
            dueAt = job.spec.startAtMs + occurrence * job.spec.intervalMs;
            if (wallNow < dueAt) {
                return true;
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
            const StepSpec &spec = job.spec.steps[step];
            const StepRecord &state = record.steps[step];
            if (state.doneCount == state.tasks.size() || !isReady(spec, record)) {
                continue;
            }
            Waiting waiting{{job.spec.id, occurrence, step}, {}, {}};
            for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
                if (state.tasks[index].phase == TaskPhase::Pending
                    && !m_proposed.contains({job.spec.id, occurrence, step, index})) {
                    waiting.indices.push_back(index);
                }
            }
            if (waiting.indices.empty()) {
                continue;
            }
            StepFacts facts;
            facts.priority = job.queue.priority;
            facts.lasting = spec.lasting;
            facts.fills = spec.fills;
            facts.dueAtMs = dueAt;
            facts.chainMs = longestChainMs(job.spec, stepMs, 0);
            facts.remainingChainMs = longestChainMs(job.spec, stepMs, step);
            facts.remainingWork = work;
            facts.stretch = job.queue.stretch;
            facts.targetLatencyMs = job.queue.targetLatencyMs;
            facts.started = job.started;
            waiting.rank = rankStep(facts, wallNow);
            byService[serviceOf(job)].push_back(std::move(waiting));
            found = true;
        }
    }
    return found;
}

bool Dispatcher::takesWork(const WorkerRecord &worker, const WorkerView &view,
                           SteadyTimeMs now) const
{
    return !worker.draining && !view.cordoned && !view.lapsed && now >= view.avoidUntil
            && view.clockMs && view.renewedAt != 0 && now - view.renewedAt < m_rules.freshMs
            && view.renewFailures == 0;
}

void Dispatcher::placeWaiting(SteadyTimeMs now, WallTimeMs wallNow, DispatchOrders &orders)
{
    std::map<std::string, std::vector<Waiting>> byService;
    std::erase_if(m_waitingJobs, [&](const std::string &id) {
        const JobRecord *job = m_book.job(id);
        return job == nullptr || job->phase != JobPhase::Active
                || !collectWaiting(*job, wallNow, byService);
    });
    if (byService.empty()) {
        return;
    }
    std::map<std::string, Candidates> candidatesOf;
    for (const auto &[id, worker] : m_book.workers()) {
        const auto found = m_workers.find(id);
        if (found != m_workers.end() && takesWork(worker, found->second, now)) {
            candidatesOf[worker.service].push_back({&worker, &found->second});
        }
    }
    for (auto &[service, steps] : byService) {
        const Candidates &candidates = candidatesOf[service];
        if (candidates.empty()) {
            continue;
        }
        std::sort(steps.begin(), steps.end(), [](const Waiting &left, const Waiting &right) {
            return std::tie(left.rank, left.key) < std::tie(right.rank, right.key);
        });
        std::uint32_t fruitless = 0;
        for (const Waiting &waiting : steps) {
            const std::size_t before = m_proposed.size();
            placeStep(waiting, candidates, now, wallNow, orders);
            if (m_proposed.size() == before && ++fruitless >= fruitlessSteps) {
                break;
            }
        }
    }
}

void Dispatcher::placeStep(const Waiting &waiting, const Candidates &candidates, SteadyTimeMs now,
                           WallTimeMs wallNow, DispatchOrders &orders)
{
    const JobRecord &job = *m_book.job(waiting.key.job);
    const Tickets *tickets = nullptr;
    if (job.queue.needsAdvice) {
        tickets = ticketsFor(waiting, candidates, now, orders);
        if (tickets == nullptr) {
            return;
        }
    }
    if (job.spec.steps[waiting.key.step].gang) {
        placeGang(job, waiting, candidates, now, wallNow, orders);
        return;
    }
    for (const std::uint32_t index : waiting.indices) {
        const TaskKey task{waiting.key.job, waiting.key.occurrence, waiting.key.step, index};
        const auto worker = chooseWorker(job, task, candidates, tickets, wallNow);
        if (!worker) {
            return;
        }
        assign(task, m_book.task(task)->run + 1, *worker, now, orders);
    }
}

std::uint32_t Dispatcher::runsOfStepOn(const WorkerView &view, const TaskKey &task)
{
    const auto &reserved = view.reserved;
    std::uint32_t count = 0;
    for (auto row = reserved.lower_bound({task.job, task.occurrence, task.step, 0});
         row != reserved.end() && row->first.job == task.job
         && row->first.occurrence == task.occurrence && row->first.step == task.step;
         ++row) {
        ++count;
    }
    return count;
}

bool Dispatcher::servesUsers(const WorkerView &view) const
{
    return std::any_of(view.reserved.begin(), view.reserved.end(), [this](const auto &item) {
        const JobRecord *job = m_book.job(item.first.job);
        return job != nullptr && job->spec.steps[item.first.step].targetMs > 0
                && !job->spec.steps[item.first.step].fills;
    });
}

std::optional<std::string> Dispatcher::chooseWorker(const JobRecord &job, const TaskKey &task,
                                                    const Candidates &candidates,
                                                    const Tickets *tickets,
                                                    WallTimeMs wallNow) const
{
    const StepSpec &step = job.spec.steps[task.step];
    TaskResources need = step.need;
    if (step.fills) {
        need.processorMilli = 0;
    }
    const auto failedOn = m_failedOn.find(task);
    const std::string *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        const WorkerRecord &worker = *candidate.worker;
        const WorkerView &view = *candidate.view;
        const std::string &id = worker.id;
        const TaskResources room = worker.capacity - view.used;
        if (!fits(need, room) || (tickets != nullptr && !tickets->byWorker.contains(id))) {
            continue;
        }
        if (!step.requiredLabel.empty()
            && std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel)
                    == worker.labels.end()) {
            continue;
        }
        if (step.maxPerWorker > 0 && runsOfStepOn(view, task) >= step.maxPerWorker) {
            continue;
        }
        // The tightest fit, on workers that lasting tasks hold anyway, leaves whole instances for
        // other pools and whole room for large tasks.
        double score = -static_cast<double>(room.processorMilli)
                / static_cast<double>(std::max<std::int64_t>(worker.capacity.processorMilli, 1));
        if (view.lastingRuns > 0) {
            score += 2;
        }
        if (failedOn != m_failedOn.end() && failedOn->second == id) {
            score -= 10;
        }
        score -= view.failuresInRow;
        if (step.lasting && step.maxUnavailable > 0
            && runsOfStepOn(view, task) >= step.maxUnavailable) {
            // Maintenance of the worker would take away more of the step than it allows.
            if (wallNow - job.acceptedAtMs < m_rules.spreadWaitMs) {
                continue;
            }
            score -= crowdedPenalty;
        }
        if (step.lasting && m_maintenanceDue.contains(id)) {
            score -= maintenanceDuePenalty;
        }
        if (!step.dataRack.empty() && worker.rack == step.dataRack) {
            score += 4;
        }
        if (step.fills && servesUsers(view)) {
            score -= 2;
        }
        if (score > bestScore) {
            bestScore = score;
            best = &id;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool Dispatcher::placeGang(const JobRecord &job, const Waiting &waiting,
                           const Candidates &candidates, SteadyTimeMs now, WallTimeMs wallNow,
                           DispatchOrders &orders)
{
    const StepSpec &step = job.spec.steps[waiting.key.step];
    if (waiting.indices.size() < step.count) {
        // Members of the last run have not ended yet; all start together.
        return false;
    }
    std::vector<std::pair<TaskKey, std::string>> chosen;
    std::uint32_t run = 0;
    for (const std::uint32_t index : waiting.indices) {
        const TaskKey task{waiting.key.job, waiting.key.occurrence, waiting.key.step, index};
        const auto worker = chooseWorker(job, task, candidates, nullptr, wallNow);
        if (!worker) {
            break;
        }
        reserve(m_workers.at(*worker), task);
        chosen.emplace_back(task, *worker);
        run = std::max(run, m_book.task(task)->run + 1);
    }
    const bool whole = chosen.size() == waiting.indices.size();
    for (const auto &[task, worker] : chosen) {
        if (whole) {
            assign(task, run, worker, now, orders);
        } else {
            release(m_workers.at(worker), task);
        }
    }
    return whole;
}

void Dispatcher::assign(const TaskKey &task, std::uint32_t run, const std::string &worker,
                        SteadyTimeMs now, DispatchOrders &orders)
{
    const StepSpec &step = m_book.job(task.job)->spec.steps[task.step];
    reserve(m_workers.at(worker), task);
    m_proposed[task] = worker;
    orders.changes.emplace_back(RunAssigned{task, run, worker});
    orders.notes.push_back({"place", taskName(task), run, worker, step.lasting ? "lasting" : "room",
                            now - m_workers.at(worker).renewedAt});
}

const Dispatcher::Tickets *Dispatcher::ticketsFor(const Waiting &waiting,
                                                  const Candidates &candidates, SteadyTimeMs now,
                                                  DispatchOrders &orders)
{
    Tickets &tickets = m_tickets[{waiting.key.job, waiting.key.occurrence, waiting.key.step}];
    if (now < tickets.validUntil && !tickets.byWorker.empty()) {
        return &tickets;
    }
    if (!tickets.asked && now >= tickets.askAgainAt) {
        tickets.asked = true;
        // Workers with the most room first: an approved worker without room is of no use.
        Candidates sorted = candidates;
        std::stable_sort(
                sorted.begin(), sorted.end(), [](const Candidate &left, const Candidate &right) {
                    return left.view->used.processorMilli < right.view->used.processorMilli;
                });
        sorted.resize(std::min(sorted.size(), adviceWorkers));
        std::vector<std::string> asked;
        for (const Candidate &candidate : sorted) {
            asked.push_back(candidate.worker->id);
        }
        orders.advice.push_back(
                {waiting.key.job, waiting.key.occurrence, waiting.key.step, std::move(asked)});
    }
    return nullptr;
}

std::map<std::string, ServiceDemand> Dispatcher::demands(SteadyTimeMs now)
{
    std::map<std::string, ServiceDemand> demands;
    for (auto &[service, arrivals] : m_arrivals) {
        while (!arrivals.empty() && now - arrivals.front().at > m_rules.arrivalWindowMs) {
            arrivals.pop_front();
        }
        if (arrivals.size() >= m_rules.arrivalsOfPeak) {
            double coreMs = 0;
            for (const Arrival &arrival : arrivals) {
                coreMs += arrival.coreMs;
            }
            demands[service].arrivingMilli = static_cast<std::int64_t>(
                    coreMs * milliPerCore / static_cast<double>(m_rules.arrivalWindowMs));
        }
    }
    for (const std::string &id : m_activeJobs) {
        const JobRecord *job = m_book.job(id);
        if (job == nullptr || job->phase != JobPhase::Active) {
            continue;
        }
        ServiceDemand &demand = demands[serviceOf(*job)];
        const std::vector<std::int64_t> stepMs = expectedStepMs(*job);
        for (const StepSpec &step : job->spec.steps) {
            const std::uint32_t perWorker = mostOnOneWorker(step);
            if (step.lasting && perWorker > 0) {
                demand.lastingSpread =
                        std::max(demand.lastingSpread, (step.count + perWorker - 1) / perWorker);
            }
        }
        for (const OccurrenceRecord &occurrence : job->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepSpec &spec = job->spec.steps[step];
                if (spec.lasting || spec.fills) {
                    continue;
                }
                const auto left = static_cast<std::int64_t>(occurrence.steps[step].tasks.size()
                                                            - occurrence.steps[step].doneCount);
                const std::int64_t milli = left * spec.need.processorMilli;
                demand.waitingCoreMs += static_cast<double>(milli)
                        * static_cast<double>(stepMs[step]) / milliPerCore;
                if (isReady(spec, occurrence)) {
                    demand.runnableMilli += milli;
                }
            }
        }
    }
    return demands;
}

} // namespace dandelionloom

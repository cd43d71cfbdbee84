#include "Scheduling/FleetSimulation.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace dandelionloom::test {

namespace {

constexpr std::int64_t tickMs = 5;
constexpr std::int64_t defaultDurationMs = 680;
constexpr std::int64_t moveMs = 1500;
constexpr std::int64_t maintenanceMs = 2000;
constexpr std::int64_t listMs = 500;
/// Time from the start of a long-running task until it is available.
constexpr std::int64_t startupMs = 300;

std::string ticketFor(const std::string &worker)
{
    return "ticket-" + worker;
}

double processorSeconds()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

} // namespace

StepSpec shortStep(std::uint32_t count, std::int64_t milli)
{
    StepSpec step;
    step.count = count;
    step.need = {milli, 512, 0};
    step.estimateMs = defaultDurationMs;
    return step;
}

StepSpec longRunningStep(std::uint32_t count, std::uint32_t maxUnavailable)
{
    StepSpec step = shortStep(count);
    step.longRunning = true;
    step.maxUnavailable = maxUnavailable;
    return step;
}

QueueConfig queueOf(const std::string &name, const std::string &service, std::uint32_t maxAttempts)
{
    QueueConfig queue;
    queue.name = name;
    queue.host = "host";
    queue.pathPrefix = "/" + name + "/";
    queue.service = service;
    queue.timeoutMs = 3000;
    queue.maxAttempts = maxAttempts;
    queue.stretch = 1.6;
    queue.targetLatencyMs = 600;
    return queue;
}

FleetSimulation::FleetSimulation(std::uint64_t seed) : m_seed(seed), m_random(seed)
{
    durationOf = [](const TaskKey &) { return defaultDurationMs; };
    fails = [](const TaskKey &, const std::string &) { return false; };
}

void FleetSimulation::reportViolation(const std::string &what) const
{
    throw std::runtime_error("seed " + std::to_string(m_seed) + " at " + std::to_string(now)
                             + " ms: " + what);
}

void FleetSimulation::configure(const std::vector<QueueConfig> &queues,
                                const std::vector<std::string> &services,
                                const std::string &standby)
{
    FleetConfiguration configuration;
    configuration.version = state.configuration().version + 1;
    configuration.queues = queues;
    for (const std::string &service : services) {
        configuration.services.push_back({service, true, service == standby});
    }
    state.apply(ConfigurationAccepted{configuration});
}

std::string FleetSimulation::addWorker(const std::string &service, std::int64_t milli)
{
    const std::string id = "w" + std::to_string(++m_lastWorker);
    FakeWorker worker;
    worker.record.id = id;
    worker.record.startTimeMs = now;
    worker.record.service = service;
    worker.record.address = "10.0.0." + std::to_string(m_lastWorker) + ":8080";
    worker.record.capacity = {milli, 32768, 0};
    worker.bootedAt = now;
    workers[id] = worker;
    const ServiceConfig *pool = state.service(service);
    const bool standby = pool != nullptr && pool->standby;
    const std::string instance = "m" + std::to_string(m_lastWorker);
    instances[instance] = {instance, service,           InstanceState::InService,
                           "zone",   standby ? "" : id, worker.record.capacity};
    if (standby) {
        workers.erase(id);
    } else if (dispatcher) {
        announce(id);
    } else {
        state.apply(WorkerJoined{worker.record});
    }
    return id;
}

std::string FleetSimulation::instanceOf(const std::string &worker) const
{
    for (const auto &[id, instance] : instances) {
        if (instance.worker == worker) {
            return id;
        }
    }
    return {};
}

void FleetSimulation::announce(const std::string &worker)
{
    announceRecord(workers.at(worker).record);
}

void FleetSimulation::announceRecord(const WorkerRecord &worker)
{
    const auto fake = workers.find(worker.id);
    const std::int64_t clockMs = fake == workers.end() ? -1 : now - fake->second.bootedAt;
    for (JobChange &change :
         dispatcher->announced({worker, static_cast<std::uint64_t>(now), clockMs}, now)) {
        propose(std::move(change));
    }
}

void FleetSimulation::start()
{
    ++term;
    dispatcher = std::make_unique<Dispatcher>(state, dispatchOptions);
    MaintenanceOptions maintenanceOptions;
    maintenance =
            std::make_unique<MaintenancePlanner>(state, *dispatcher, orderLog, maintenanceOptions);
    balancer = std::make_unique<PoolBalancer>(state, *dispatcher, orderLog, *maintenance,
                                              balancerOptions);
    dispatcher->beginTerm(now, m_silentWorkerLeases.leaseEnds());
    orderLog.releaseAll();
    maintenance->beginTerm(term);
    balancer->beginTerm(term, now);
    m_nextList = now;
}

void FleetSimulation::changeLeader()
{
    // Uncommitted proposals of the old leader are lost. Clients repeat requests that were not
    // acknowledged.
    std::erase_if(m_commits, [](const Commit &commit) {
        return !std::holds_alternative<JobAccepted>(commit.change)
                && !std::holds_alternative<JobCancelled>(commit.change);
    });
    start();
}

void FleetSimulation::setTeams(const std::vector<TeamConfig> &teams)
{
    m_replacedQuotas.emplace_back(now, quotasOf(state.configuration()));
    FleetConfiguration configuration = state.configuration();
    ++configuration.version;
    configuration.teams = teams;
    state.apply(ConfigurationAccepted{configuration});
    if (dispatcher) {
        dispatcher->applied(ConfigurationAccepted{configuration}, now);
    }
}

TaskResources FleetSimulation::runningOf(const std::string &team) const
{
    TaskResources running;
    for (const auto &[id, worker] : workers) {
        for (const auto &[task, run] : worker.running) {
            const JobSpec &spec = state.job(task.job)->spec;
            if (worker.up && spec.team == team) {
                running = running + spec.steps[task.step].need;
            }
        }
    }
    return running;
}

void FleetSimulation::checkQuota(const StartOrder &order) const
{
    const JobSpec &spec = state.job(order.task.job)->spec;
    const StepSpec &step = spec.steps[order.task.step];
    const TaskResources running = runningOf(spec.team);
    const auto isAllowed = [&](const std::map<std::string, TaskResources> &quotas) {
        const auto quota = quotas.find(spec.team);
        // Alone, a gang may exceed the quota by one task.
        return quota == quotas.end() || isWithinQuota(running, step.need, quota->second)
                || (step.gang && isWithinQuota(running - step.need, step.need, quota->second)
                    && runningCount(spec.id) * step.need == running);
    };
    if (isAllowed(quotasOf(state.configuration()))) {
        return;
    }
    for (const auto &[replacedAt, quotas] : m_replacedQuotas) {
        if (now - replacedAt <= quotaSettleMs && isAllowed(quotas)) {
            return;
        }
    }
    reportViolation("team " + spec.team + " starts " + taskName(order.task) + " beside "
                    + std::to_string(running.processorMilli) + " mcores and "
                    + std::to_string(running.memoryMb) + " MB, beyond its quota");
}

void FleetSimulation::recordDecisions(const std::vector<DispatchDecision> &decisions)
{
    const auto add = [this](const std::string &text) {
        for (const char byte : text) {
            placementDigest = (placementDigest ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
        }
    };
    for (const DispatchDecision &decision : decisions) {
        if (decision.decision == "place") {
            add(decision.task + "#" + std::to_string(decision.run) + "@" + decision.worker + "/"
                + std::to_string(now) + ";");
        } else if (decision.decision == "wait") {
            waits.push_back(decision);
        } else if (decision.decision == "long-running-waits") {
            longRunningWaits.push_back(decision);
        } else if (decision.decision == "worker-restarted") {
            restarts.push_back(decision);
        } else if (decision.decision == "worker-lost") {
            losses.push_back(decision);
        } else if (decision.decision == "reserve") {
            reservations.push_back(decision);
        }
    }
}

void FleetSimulation::submit(const std::string &id, const std::string &queue,
                             std::vector<StepSpec> steps, const std::string &team, bool beyondShare)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = queue;
    spec.steps = std::move(steps);
    spec.team = team;
    spec.beyondShare = beyondShare;
    propose(JobAccepted{spec, *state.queue(queue), now + wallOffsetMs});
}

void FleetSimulation::cancel(const std::string &id)
{
    propose(JobCancelled{id, now + wallOffsetMs});
}

void FleetSimulation::startWave(const std::vector<std::string> &waveInstances,
                                std::uint32_t maxAtOnce)
{
    propose(WaveStarted{{1, waveInstances, 25000, maxAtOnce, now + wallOffsetMs, {}}});
}

void FleetSimulation::propose(JobChange change)
{
    m_commits.push_back({now + commitMs, std::move(change)});
}

void FleetSimulation::measureProcessorTime(const std::function<void()> &call)
{
    const double before = processorSeconds();
    call();
    schedulerSeconds += processorSeconds() - before;
}

void FleetSimulation::commitDueChanges()
{
    while (!m_commits.empty() && m_commits.front().at <= now) {
        const JobChange change = std::move(m_commits.front().change);
        m_commits.pop_front();
        measureProcessorTime([&] {
            state.apply(change);
            m_silentWorkerLeases.applied(change, state, now);
            dispatcher->applied(change, now);
        });
        if (const auto *accepted = std::get_if<JobAccepted>(&change)) {
            acceptedAt.try_emplace(accepted->spec.id, accepted->atMs);
        }
        if (const auto *ended = std::get_if<RunEnded>(&change)) {
            const JobRecord *job = state.job(ended->task.job);
            if (job != nullptr && job->phase == JobPhase::Completed) {
                completedAt.try_emplace(ended->task.job.text(), now);
            }
        }
    }
}

void FleetSimulation::run(std::int64_t milliseconds)
{
    const SteadyTimeMs end = now + milliseconds;
    while (now < end) {
        tick();
    }
}

void FleetSimulation::runUntil(const std::string &what, std::int64_t limit,
                               const std::function<bool()> &condition)
{
    const SteadyTimeMs end = now + limit;
    while (!condition()) {
        if (now >= end) {
            reportViolation("timed out after " + std::to_string(limit) + " ms waiting for " + what
                            + unfinishedTasks());
        }
        tick();
    }
}

std::string FleetSimulation::unfinishedTasks() const
{
    std::string text;
    for (const auto &[id, job] : state.jobs()) {
        if (job.phase != JobPhase::Active) {
            continue;
        }
        for (const StepRecord &step : job.occurrences.front().steps) {
            for (const TaskRecord &task : step.tasks) {
                if (task.phase == TaskPhase::Assigned) {
                    text += "\n" + id.text() + " run " + std::to_string(task.run) + " on "
                            + task.worker;
                } else if (task.phase == TaskPhase::Pending) {
                    text += "\n" + id.text() + " pending, failures "
                            + std::to_string(task.failures);
                }
            }
        }
    }
    for (const auto &[id, worker] : workers) {
        const WorkerView *view = dispatcher->view(id);
        text += "\n" + id + (state.worker(id) == nullptr ? " unknown" : "") + " renew failures "
                + (view == nullptr ? "none" : std::to_string(view->renewFailures)) + " answered "
                + (view == nullptr ? "never" : std::to_string(now - view->renewedAt) + " ms ago");
    }
    return text;
}

void FleetSimulation::tick()
{
    now += tickMs;
    returnInstances();
    std::erase_if(m_delayedTakeDowns, [this](const auto &delayed) {
        if (delayed.at > now) {
            return false;
        }
        if (delayed.term >= m_orderTerms[delayed.instance]) {
            takeDown(delayed.instance);
        }
        return true;
    });
    for (auto &[id, worker] : workers) {
        advanceWorker(worker);
    }
    commitDueChanges();
    carryOutLateStarts();
    answerRenewals();
    if (listsInstances && now >= m_nextList) {
        m_nextList = now + listMs;
        std::vector<ListedInstance> list;
        for (const auto &[id, instance] : instances) {
            list.push_back(instance);
        }
        maintenance->listed(list, now);
        balancer->listed(list, now);
    }
    if (now < m_nextStep) {
        return;
    }
    m_nextStep = now + stepMs;
    DispatchOrders dispatchOrders;
    measureProcessorTime([&] { dispatchOrders = dispatcher->step(now, now + wallOffsetMs); });
    execute(dispatchOrders);
    if (now < m_nextPlan) {
        return;
    }
    m_nextPlan = now + planMs;
    MaintenanceOrders maintenanceOrders;
    measureProcessorTime([&] { maintenanceOrders = maintenance->step(now, now + wallOffsetMs); });
    execute(maintenanceOrders);
    if (balancerEnabled) {
        BalanceOrders balanceOrders;
        measureProcessorTime([&] { balanceOrders = balancer->step(now); });
        execute(balanceOrders);
    }
}

void FleetSimulation::advanceWorker(FakeWorker &worker)
{
    if (!worker.up) {
        return;
    }
    std::vector<std::pair<TaskKey, RunOutcome>> ends;
    for (const auto &[task, run] : worker.running) {
        if (now >= worker.leaseUntil) {
            ends.emplace_back(task, RunOutcome::LeaseExpired);
        } else if (run.endsAt != 0 && now >= run.endsAt && !run.hangs) {
            ends.emplace_back(task, run.fails ? RunOutcome::Failed : RunOutcome::Done);
        }
    }
    for (const auto &[task, runOutcome] : ends) {
        endRun(worker, task, runOutcome);
    }
}

void FleetSimulation::endRun(FakeWorker &worker, const TaskKey &task, RunOutcome runOutcome)
{
    const auto run = worker.running.find(task);
    worker.ended.push_back({++worker.lastEnd, task, run->second.run, runOutcome, {}});
    worker.running.erase(run);
}

bool FleetSimulation::isHeldByOther(const std::string &address, const std::string &worker) const
{
    return std::any_of(workers.begin(), workers.end(), [&](const auto &item) {
        const auto &[id, other] = item;
        return id != worker && other.up && !other.partitioned && other.record.address == address;
    });
}

bool FleetSimulation::isAnswerLost()
{
    return answerLossRate > 0
            && std::uniform_real_distribution<double>(0, 1)(m_random) < answerLossRate;
}

void FleetSimulation::answerRenewals()
{
    while (!m_unansweredStarts.empty() && m_unansweredStarts.front().at <= now) {
        const LostAnswer lost = m_unansweredStarts.front();
        m_unansweredStarts.pop_front();
        dispatcher->startAnswered(lost.worker, lost.task, lost.run, CallFault::NoAnswer, now);
    }
    for (auto &[id, worker] : workers) {
        std::vector<FakeWorker::PendingRenewal> pending;
        pending.swap(worker.pendingRenewals);
        for (const FakeWorker::PendingRenewal &renewal : pending) {
            if (renewal.term == term && !answerRenewal(id, worker, renewal)) {
                worker.pendingRenewals.push_back(renewal);
            }
        }
    }
}

bool FleetSimulation::answerRenewal(const std::string &id, FakeWorker &worker,
                                    const FakeWorker::PendingRenewal &renewal)
{
    if (!worker.up && isHeldByOther(worker.record.address, id)) {
        dispatcher->renewed(id, renewal.startTimeMs, CallFault::OtherIncarnation, now);
        return true;
    }
    if (!worker.up || worker.partitioned || renewal.lost) {
        if (now < renewal.answerBy + dispatchOptions.calls.renewalMarginMs) {
            return false;
        }
        dispatcher->renewed(id, renewal.startTimeMs, CallFault::NoAnswer, now);
        return true;
    }
    if (renewal.fenced) {
        dispatcher->renewed(id, renewal.startTimeMs, CallFault::Fenced, now);
        return true;
    }
    std::erase_if(worker.ended, [&](const EndedRun &end) { return end.number <= renewal.cursor; });
    if (worker.ended.empty() && now < renewal.answerBy) {
        return false;
    }
    RenewAnswer answer;
    answer.clockMs = now - worker.bootedAt;
    answer.startTimeMs = worker.record.startTimeMs;
    answer.ended = worker.ended;
    for (const auto &[task, run] : worker.running) {
        const std::int64_t passed = now - run.startedAt;
        const std::int64_t percent = run.hangs ? 0
                : run.endsAt == 0
                ? (passed >= startupMs ? 100 : 0)
                : std::min<std::int64_t>(99,
                                         passed * 100 / std::max<std::int64_t>(run.durationMs, 1));
        answer.running.push_back({task, run.run, {}, percent, run.hangs ? 0 : 10});
    }
    measureProcessorTime([&] { dispatcher->renewed(id, renewal.startTimeMs, answer, now); });
    return true;
}

void FleetSimulation::checkStart(const StartOrder &order) const
{
    const JobRecord *job = state.job(order.task.job);
    if (job == nullptr || job->phase != JobPhase::Active) {
        reportViolation("a task of an ended job was started: " + taskName(order.task));
    }
    const StepSpec &step = job->spec.steps[order.task.step];
    const OccurrenceRecord &occurrence = job->occurrences[order.task.occurrence];
    for (const std::uint32_t needed : step.dependsOn) {
        if (occurrence.steps[needed].doneCount != occurrence.steps[needed].tasks.size()) {
            reportViolation("started before the steps it depends on: " + taskName(order.task));
        }
    }
    if (occurrence.steps[order.task.step].tasks[order.task.index].phase == TaskPhase::Done) {
        reportViolation("started after it was done: " + taskName(order.task));
    }
    std::uint32_t here = 1;
    for (const auto &[id, worker] : workers) {
        const auto run = worker.running.find(order.task);
        if (worker.up && run != worker.running.end()
            && (id != order.worker || run->second.run != order.run)) {
            reportViolation("runs twice: " + taskName(order.task) + " on " + id + " and "
                            + order.worker);
        }
        if (id != order.worker) {
            continue;
        }
        for (const auto &[task, other] : worker.running) {
            if (task != order.task && task.job == order.task.job && task.step == order.task.step) {
                ++here;
            }
        }
    }
    if (step.maxPerWorker > 0 && here > step.maxPerWorker) {
        reportViolation("more tasks of a step on a worker than allowed: " + taskName(order.task));
    }
    if (!job->spec.team.empty()) {
        checkQuota(order);
    }
}

std::optional<CallFault> FleetSimulation::startRun(const StartOrder &order, std::uint64_t orderTerm)
{
    const auto found = workers.find(order.worker);
    if (found == workers.end() || !found->second.up || found->second.partitioned) {
        return CallFault::NoAnswer;
    }
    FakeWorker &worker = found->second;
    const std::uint64_t token = fencingToken(orderTerm, order.generation);
    if (token < worker.fence) {
        return CallFault::Fenced;
    }
    worker.fence = token;
    if (worker.refusesStarts) {
        return CallFault::Unhealthy;
    }
    const auto running = worker.running.find(order.task);
    if (running != worker.running.end() && running->second.run == order.run) {
        return std::nullopt;
    }
    if (order.run <= worker.highestRun[order.task]) {
        return CallFault::OldRun;
    }
    checkStart(order);
    const JobRecord &job = *state.job(order.task.job);
    if (job.queue.needsAdvice && order.ticket != ticketFor(order.worker)) {
        return CallFault::Ticket;
    }
    TaskResources used;
    for (const auto &[task, run] : worker.running) {
        used = used + state.job(task.job)->spec.steps[task.step].need;
    }
    if (!fits(job.spec.steps[order.task.step].need, worker.record.capacity - used)) {
        return CallFault::InsufficientCapacity;
    }
    ++starts;
    worker.highestRun[order.task] = order.run;
    worker.leaseUntil = std::max(
            worker.leaseUntil,
            std::min(order.leaseUntilMs + worker.bootedAt, now + dispatchOptions.maxLeaseMs));
    FakeWorker::Run run;
    run.run = order.run;
    run.startedAt = now;
    run.durationMs = durationOf(order.task);
    run.endsAt = job.spec.steps[order.task.step].longRunning ? 0 : now + run.durationMs;
    run.fails = worker.failsAllRuns || fails(order.task, order.worker);
    run.hangs = worker.hangsAllRuns;
    worker.running[order.task] = run;
    return worker.dropsAnswers ? std::optional(CallFault::NoAnswer) : std::nullopt;
}

bool FleetSimulation::delayStart(const StartOrder &order)
{
    const auto found = workers.find(order.worker);
    if (found == workers.end() || found->second.lateStartMs == 0) {
        return false;
    }
    m_lateStarts.push_back({now + std::exchange(found->second.lateStartMs, 0), order, term});
    m_unansweredStarts.push_back(
            {now + dispatchOptions.calls.orderTimeoutMs, order.worker, order.task, order.run});
    return true;
}

void FleetSimulation::carryOutLateStarts()
{
    std::erase_if(m_lateStarts, [this](const LateStart &late) {
        if (late.at > now) {
            return false;
        }
        startRun(late.order, late.term);
        return true;
    });
}

void FleetSimulation::advise(const AdviceOrder &order)
{
    std::map<std::string, std::string> tickets;
    for (const std::string &worker : order.workers) {
        if (permittedWorkers.contains(worker)) {
            tickets[worker] = ticketFor(worker);
        }
    }
    dispatcher->adviceAnswered(order, tickets, now);
}

std::optional<CallFault> FleetSimulation::stopRun(const StopOrder &order)
{
    const auto found = workers.find(order.worker);
    if (found == workers.end() || !found->second.up || found->second.partitioned) {
        return CallFault::NoAnswer;
    }
    FakeWorker &worker = found->second;
    const std::uint64_t token = fencingToken(term, order.generation);
    if (token < worker.fence) {
        return CallFault::Fenced;
    }
    worker.fence = token;
    worker.highestRun[order.task] = std::max(worker.highestRun[order.task], order.run);
    const auto run = worker.running.find(order.task);
    if (run != worker.running.end() && run->second.run <= order.run) {
        endRun(worker, order.task, RunOutcome::Stopped);
    }
    return std::nullopt;
}

void FleetSimulation::execute(const DispatchOrders &orders)
{
    recordDecisions(orders.dispatchDecisions);
    for (const StartOrder &order : orders.starts) {
        if (delayStart(order)) {
            continue;
        }
        const std::optional<CallFault> fault = startRun(order, term);
        if (isAnswerLost()) {
            m_unansweredStarts.push_back({now + dispatchOptions.calls.orderTimeoutMs, order.worker,
                                          order.task, order.run});
            continue;
        }
        measureProcessorTime([&] {
            dispatcher->startAnswered(order.worker, order.task, order.run, fault, now);
        });
    }
    for (const StopOrder &order : orders.stops) {
        dispatcher->stopAnswered(order, stopRun(order), now);
    }
    for (const AdviceOrder &order : orders.advice) {
        advise(order);
    }
    for (const RenewOrder &order : orders.renewals) {
        sendRenewal(order);
    }
    for (const JobChange &change : orders.changes) {
        propose(change);
    }
}

void FleetSimulation::sendRenewal(const RenewOrder &order)
{
    const auto found = workers.find(order.worker);
    if (found == workers.end() || found->second.record.address != order.address) {
        dispatcher->renewed(order.worker, order.startTimeMs,
                            isHeldByOther(order.address, order.worker) ? CallFault::OtherIncarnation
                                                                       : CallFault::NoAnswer,
                            now);
        return;
    }
    FakeWorker &worker = found->second;
    const std::uint64_t token = fencingToken(term, order.generation);
    worker.pendingRenewals.push_back({order.ackCursor, now + order.waitMs, term,
                                      token < worker.fence, isAnswerLost() || worker.partitioned,
                                      order.startTimeMs});
    if (worker.up && !worker.partitioned && token >= worker.fence) {
        worker.fence = token;
        if (order.leaseUntilMs) {
            worker.leaseUntil = std::max(worker.leaseUntil,
                                         std::min(*order.leaseUntilMs + worker.bootedAt,
                                                  now + dispatchOptions.maxLeaseMs));
        }
    }
}

void FleetSimulation::execute(const MaintenanceOrders &orders)
{
    for (const MaintenanceOrder &order : orders.begin) {
        m_pendingOrders.push_back({now + orderCommitMs, term, order});
    }
    for (const JobChange &change : orders.changes) {
        propose(change);
    }
    std::vector<DelayedOrder> due;
    std::erase_if(m_pendingOrders, [&](const DelayedOrder &delayed) {
        if (delayed.at <= now && delayed.term == term) {
            due.push_back(delayed);
        }
        return delayed.at <= now || delayed.term != term;
    });
    for (const DelayedOrder &delayed : due) {
        orderLog.applied({delayed.order.instance, delayed.term, delayed.order.worker}, now);
        if (maintenance->mayBegin(delayed.order, now)) {
            beginMaintenance(delayed.order);
        } else {
            maintenance->answered(delayed.order, InstanceFault::NotSent, now);
        }
    }
}

void FleetSimulation::beginMaintenance(const MaintenanceOrder &order)
{
    ++ordersReceived;
    lastOrderedWorker = instances.at(order.instance).worker;
    m_orderTerms[order.instance] = term;
    if (m_takenDown.contains(order.instance)) {
        maintenance->answered(order, std::nullopt, now);
        return;
    }
    if (maintenanceDelayMs > 0) {
        m_delayedTakeDowns.push_back({now + maintenanceDelayMs, order.instance, term});
        maintenance->answered(order, InstanceFault::NoAnswer, now);
        return;
    }
    if (instances.at(order.instance).state != InstanceState::InService) {
        maintenance->answered(order, InstanceFault::Busy, now);
        return;
    }
    takeDown(order.instance);
    maintenance->answered(order, std::nullopt, now);
}

void FleetSimulation::takeDown(const std::string &id)
{
    ListedInstance &instance = instances.at(id);
    if (instance.state != InstanceState::InService) {
        return;
    }
    maintainedInstances.push_back(id);
    m_takenDown.insert(id);
    workers.erase(instance.worker);
    instance.state = InstanceState::Maintenance;
    returning[id] = {now + maintenanceMs, instance.pool};
}

void FleetSimulation::execute(const BalanceOrders &orders)
{
    for (const MoveOrder &order : orders.moves) {
        if (!balancer->mayMove(order, now)) {
            balancer->answered(order, InstanceFault::NotSent, now);
            continue;
        }
        ListedInstance &instance = instances.at(order.instance);
        if (instance.state != InstanceState::InService) {
            balancer->answered(order, InstanceFault::Busy, now);
            continue;
        }
        const auto worker = workers.find(instance.worker);
        if (worker != workers.end() && !worker->second.running.empty()) {
            reportViolation("an instance with tasks was moved: " + order.instance);
        }
        ++moves;
        workers.erase(instance.worker);
        instance.state = InstanceState::Moving;
        returning[order.instance] = {now + moveMs, order.pool};
        m_unansweredMoves.emplace_back(now + moveAnswerMs, order);
    }
    std::erase_if(m_unansweredMoves, [this](const auto &move) {
        if (move.first > now) {
            return false;
        }
        balancer->answered(move.second, std::nullopt, now);
        return true;
    });
    for (const JobChange &change : orders.changes) {
        propose(change);
    }
}

void FleetSimulation::returnInstances()
{
    std::vector<std::pair<std::string, std::string>> back;
    for (const auto &[instance, when] : returning) {
        if (when.first <= now) {
            back.emplace_back(instance, when.second);
        }
    }
    for (const auto &[id, pool] : back) {
        returning.erase(id);
        instances.at(id).pool = pool;
        replaceWorker(id);
    }
}

std::string FleetSimulation::replaceWorker(const std::string &id)
{
    ListedInstance instance = instances.at(id);
    instances.erase(id);
    addWorker(instance.pool, instance.capacity.processorMilli);
    // The instance keeps its id; only its worker is new.
    const std::string added = "m" + std::to_string(m_lastWorker);
    instance.worker = instances.at(added).worker;
    instance.state = InstanceState::InService;
    instances.erase(added);
    instances[id] = instance;
    return instance.worker;
}

std::size_t FleetSimulation::runningCount(const std::string &job) const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : workers) {
        count += static_cast<std::size_t>(
                std::count_if(worker.running.begin(), worker.running.end(),
                              [&job](const auto &item) { return item.first.job == job; }));
    }
    return count;
}

void FleetSimulation::crash(const std::string &worker)
{
    FakeWorker &fake = workers.at(worker);
    fake.up = false;
    fake.running.clear();
    fake.ended.clear();
    std::erase_if(m_lateStarts,
                  [&worker](const LateStart &late) { return late.order.worker == worker; });
}

void FleetSimulation::restart(const std::string &worker)
{
    restartUnannounced(worker);
    announce(worker);
}

void FleetSimulation::restartUnannounced(const std::string &worker)
{
    FakeWorker &fake = workers.at(worker);
    FakeWorker fresh;
    fresh.record = fake.record;
    fresh.record.startTimeMs = now;
    fresh.bootedAt = now;
    fresh.pendingRenewals = fake.pendingRenewals;
    fresh.partitioned = fake.partitioned;
    fake = fresh;
}

} // namespace dandelionloom::test

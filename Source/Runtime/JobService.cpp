#include "Runtime/JobService.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Scheduling/StepFacts.h"

// Leadership, orders and timers. The handlers of calls are in JobServiceCalls.cpp.

namespace dandelionloom {

namespace {

/// Interval between dispatcher steps while no change arrives, and the minimum interval between two
/// steps. Between two steps the event loop handles all calls and answers that have arrived, so that
/// a backlog delays neither.
constexpr Milliseconds idleStepInterval{50};
constexpr std::int64_t minStepIntervalMs = 8;
/// From this number of workers on, steps and journal entries are this far apart. Each entry and
/// each batch of calls costs a message to every other control instance, so larger batches leave
/// more of the processor to decisions; the delay is small against the shortest objective of 600 ms.
constexpr std::size_t largeFleetWorkers = 150;
constexpr std::int64_t largeFleetStepIntervalMs = 16;

/// Least time between two steps while more answers of workers have arrived than the loop has
/// handled. As long as the last step at least, so that answers get half of the processor.
constexpr std::int64_t minPauseAmongAnswersMs = 16;

/// Time that an event may wait for the loop. Beyond it the leader's view is out of date: orders
/// that end tasks would be decided on workers that are gone, or on tasks that are away by now.
constexpr std::int64_t maxPlanningLagMs = 500;

/// Interval of the planners' steps. Each visits all instances, which takes about 4 ms with 1,100.
constexpr std::int64_t planIntervalMs = 100;
constexpr std::int64_t largeFleetPlanIntervalMs = 200;

constexpr std::int64_t gaugeIntervalMs = 1000;

/// Lag that is logged. Calls to workers time out after 300 ms, so that a loop that is nearly as
/// late is a reason for workers that count as silent.
constexpr std::int64_t loggedLagMs = 250;

/// Intervals between listings of the instances, while maintenance waits for an instance to return
/// and otherwise.
constexpr Milliseconds maintenanceListInterval{500};
constexpr Milliseconds idleListInterval{500};

} // namespace

namespace {

/// Sets a flag for as long as it exists.
class ScopedFlag
{
public:
    explicit ScopedFlag(bool &flag) : m_flag(flag) { m_flag = true; }
    ~ScopedFlag() { m_flag = false; }
    ScopedFlag(const ScopedFlag &) = delete;
    ScopedFlag &operator=(const ScopedFlag &) = delete;

private:
    bool &m_flag;
};

/// Returns the job that the change may end, or an empty string.
std::string affectedJob(const JobChange &change)
{
    if (const auto *ended = std::get_if<RunEnded>(&change)) {
        return ended->task.job.text();
    }
    const auto *cancelled = std::get_if<JobCancelled>(&change);
    return cancelled == nullptr ? std::string() : cancelled->job;
}

/// True if the job counts towards its team's share.
bool countsTowardsShare(const JobRecord &job)
{
    return !job.spec.team.empty() && !job.spec.beyondShare && !isLongRunning(job.spec);
}

} // namespace

JobService::JobService(EventLoop &loop, JobServiceOptions options, JsonLineLog &log,
                       MetricSink &metrics, WorkerCalls &workers, InstanceProvider &instances)
    : m_loop(loop), m_options(std::move(options)), m_log(log), m_metrics(metrics),
      m_workers(workers), m_instances(instances), m_alive(std::make_shared<JobService *>(this)),
      m_dispatcher(m_schedulerState, m_options.dispatch), m_orderLog(m_options.minOrderIntervalMs),
      m_maintenance(m_schedulerState, m_dispatcher, m_orderLog, m_options.maintenance),
      m_balancer(m_schedulerState, m_dispatcher, m_orderLog, m_maintenance, m_options.balance),
      m_shares(m_options.shares), m_loads(m_schedulerState, m_dispatcher)
{ }

JobService::~JobService()
{
    m_alive.reset();
}

void JobService::start()
{
    scheduleIdleStep();
    scheduleList();
}

bool JobService::leads() const
{
    // Asked of the journal, as a status event may wait for longer than a lease lasts while the
    // event loop is busy.
    const LeaderLease lease = m_journal->lease();
    return m_leading && lease.term == m_status.term && steadyTimeNow() < lease.until;
}

LocateAnswer JobService::locate() const
{
    return {leads(), m_status.leader, m_status.voters};
}

bool JobService::isRecorded(const WorkerRecord &announced) const
{
    const WorkerRecord *known = m_schedulerState.worker(announced.id);
    return known != nullptr && *known == announced;
}

void JobService::onStatus(const JournalStatus &status)
{
    const bool leaderChanged = status.leader != m_status.leader;
    const bool lostTerm = !status.isLeader || status.term != m_status.term;
    m_status = status;
    if (m_leading && lostTerm) {
        stepDown();
    }
    if (leaderChanged) {
        m_log.line(LogSeverity::Info, "leader",
                   {{"leader", status.leader}, {"term", static_cast<std::int64_t>(status.term)}});
    }
    if (!m_leading && status.isLeader && m_appliedTerm == status.term) {
        becomeLeader();
    }
}

void JobService::onCommitted(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        m_appliedIndex = entry.index;
        m_appliedTerm = entry.term;
        if (entry.kind != commandEntryKind || entry.payload.empty()) {
            continue;
        }
        const auto changes = decodeChanges(entry.payload);
        if (!isOk(changes)) {
            m_log.line(LogSeverity::Error, "journal",
                       {{"message", errorOf(changes).message},
                        {"index", static_cast<std::int64_t>(entry.index)}});
            continue;
        }
        for (const JobChange &change : valueOf(changes)) {
            apply(change);
        }
    }
    if (!m_leading && m_status.isLeader && m_appliedTerm == m_status.term) {
        becomeLeader();
    }
    if (m_leading) {
        scheduleFlush();
    }
}

void JobService::onRestored(std::uint64_t index, const std::string &state)
{
    auto restored = SchedulerState::decode(state);
    if (!isOk(restored)) {
        m_log.line(LogSeverity::Error, "journal", {{"message", errorOf(restored).message}});
        return;
    }
    m_schedulerState = takeValue(std::move(restored));
    m_appliedIndex = index;
    m_silentWorkerLeases.restored(m_schedulerState, steadyTimeNow());
    m_orderLog.restored(m_schedulerState.lastOrders(), steadyTimeNow());
    rebuildTeams();
}

void JobService::onSnapshotRequested()
{
    m_journal->saveSnapshot(m_appliedIndex, m_schedulerState.encode());
}

JobPhase JobService::phaseOf(const std::string &job) const
{
    const JobRecord *record = job.empty() ? nullptr : m_schedulerState.job(job);
    return record == nullptr ? JobPhase::Active : record->phase;
}

void JobService::apply(const JobChange &change)
{
    const std::string job = m_leading ? affectedJob(change) : std::string();
    const JobPhase before = phaseOf(job);
    m_schedulerState.apply(change);
    m_silentWorkerLeases.applied(change, m_schedulerState, steadyTimeNow());
    if (phaseOf(job) != before) {
        const JobRecord &ended = *m_schedulerState.job(job);
        m_predictedStarts.erase(job);
        m_log.line(LogSeverity::Info, "job-ended",
                   {{"job", job},
                    {"phase", jobPhaseNames.name(ended.phase)},
                    {"queue", ended.spec.queue},
                    {"took_ms", ended.endedAtMs - ended.acceptedAtMs},
                    {"term", static_cast<std::int64_t>(m_status.term)}});
        m_metrics.count("dandelionloom_jobs_ended_total",
                        "phase=\"" + std::string(jobPhaseNames.name(ended.phase)) + "\"", 1);
        m_metrics.observe("dandelionloom_job_seconds", "",
                          static_cast<double>(ended.endedAtMs - ended.acceptedAtMs) / 1000);
    }
    if (std::holds_alternative<ConfigurationAccepted>(change)) {
        rebuildTeams();
    }
    const auto *ordered = std::get_if<InstanceOrdered>(&change);
    if (ordered != nullptr) {
        m_orderLog.applied(*ordered, steadyTimeNow());
    }
    if (!m_leading) {
        return;
    }
    m_dispatcher.applied(change, steadyTimeNow());
    if (const auto *assigned = std::get_if<RunAssigned>(&change)) {
        checkPrediction(*assigned);
    }
    sendPendingReplies(change);
    if (ordered != nullptr && ordered->term == m_status.term) {
        const auto order = m_uncommittedOrders.extract(ordered->instance);
        // Without a valid lease another leader may already have sent an order for this instance.
        if (order) {
            order.mapped()(leads());
        }
    }
}

void JobService::becomeLeader()
{
    const SteadyTimeMs now = steadyTimeNow();
    m_leading = true;
    m_dispatcher.beginTerm(now, m_silentWorkerLeases.leaseEnds());
    m_orderLog.releaseAll();
    m_maintenance.beginTerm(m_status.term);
    m_balancer.beginTerm(m_status.term, now);
    rebuildShares();
    m_loads.beginTerm();
    m_log.line(LogSeverity::Info, "lead",
               {{"term", static_cast<std::int64_t>(m_status.term)},
                {"jobs", static_cast<std::int64_t>(m_schedulerState.jobs().size())},
                {"workers", static_cast<std::int64_t>(m_schedulerState.workers().size())}});
    m_metrics.count("dandelionloom_job_leaderships_total", "", 1);
    listInstances();
    scheduleFlush();
}

void JobService::stepDown()
{
    m_leading = false;
    m_dispatcher.endTerm();
    m_unproposedChanges.clear();
    m_uncommittedOrders.clear();
    m_teamsOfProposedJobs.clear();
    m_predictedStarts.clear();
    m_log.line(LogSeverity::Info, "step-down",
               {{"term", static_cast<std::int64_t>(m_status.term)}, {"leader", m_status.leader}});
    std::multimap<std::string, PendingReply> pendingReplies;
    pendingReplies.swap(m_pendingReplies);
    for (auto &[key, pending] : pendingReplies) {
        // The change was passed to the journal, so a later leader may still commit it.
        JobCallAnswer answer = makeAnswer(JobCallOutcome::Unknown, "leadership-lost");
        answer.leader = m_status.leader;
        pending.reply(answer);
    }
}

void JobService::rebuildTeams()
{
    m_teams = makeTeamDirectory(m_schedulerState.configuration());
}

void JobService::checkPrediction(const RunAssigned &assigned)
{
    const auto predicted = m_predictedStarts.find(assigned.task.job);
    if (predicted == m_predictedStarts.end()) {
        return;
    }
    const std::int64_t error = steadyTimeNow() - predicted->second;
    m_predictedStarts.erase(predicted);
    m_metrics.observe("dandelionloom_start_prediction_error_seconds",
                      error < 0 ? "start=\"earlier\"" : "start=\"later\"",
                      static_cast<double>(std::abs(error)) / 1000);
}

void JobService::rebuildShares()
{
    m_shares.clear();
    const SteadyTimeMs now = steadyTimeNow();
    const WallTimeMs wallNow = wallTimeNow();
    std::vector<std::pair<std::int64_t, const std::string *>> recent;
    for (const auto &[id, job] : m_schedulerState.jobs()) {
        // A clock that was set back shows an acceptance in the future, which counts as just now.
        const std::int64_t age = std::max<std::int64_t>(0, wallNow - job.acceptedAtMs);
        if (age < m_options.shares.windowMs && countsTowardsShare(job)) {
            recent.emplace_back(age, &job.spec.team);
        }
    }
    std::sort(recent.begin(), recent.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[age, name] : recent) {
        m_shares.record(*name, now - age);
    }
}

void JobService::propose(std::vector<JobChange> changes)
{
    std::move(changes.begin(), changes.end(), std::back_inserter(m_unproposedChanges));
    scheduleFlush();
}

void JobService::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    m_loop.post([alive = std::weak_ptr(m_alive), postedAt = steadyTimeNow()] {
        if (const auto service = alive.lock()) {
            (*service)->m_flushScheduled = false;
            (*service)->m_lagMs = steadyTimeNow() - postedAt;
            (*service)->m_longestLagMs = std::max((*service)->m_longestLagMs, (*service)->m_lagMs);
            (*service)->flush();
        }
    });
}

void JobService::onWorkerAnswered()
{
    scheduleFlush();
    if (!m_inStep && steadyTimeNow() >= m_nextStepAmongAnswers) {
        step();
    }
}

void JobService::proposeChanges(SteadyTimeMs now)
{
    if (m_leading && !m_unproposedChanges.empty()) {
        m_journal->propose(m_status.term, encodeChanges(m_unproposedChanges));
        m_unproposedChanges.clear();
        const bool largeFleet = m_schedulerState.workers().size() > largeFleetWorkers;
        m_nextProposal = now + (largeFleet ? largeFleetStepIntervalMs : 0);
    }
}

void JobService::flush()
{
    const SteadyTimeMs now = steadyTimeNow();
    if (now >= m_nextProposal) {
        proposeChanges(now);
    }
    // The next step proposes what remains.
    if (m_stepScheduled) {
        return;
    }
    if (now >= m_nextStep) {
        step();
        return;
    }
    m_stepScheduled = true;
    m_loop.startTimer(Milliseconds(m_nextStep - now), [alive = std::weak_ptr(m_alive)] {
        if (const auto service = alive.lock()) {
            (*service)->m_stepScheduled = false;
            (*service)->step();
        }
    });
}

void JobService::step()
{
    const SteadyTimeMs now = steadyTimeNow();
    const bool largeFleet = m_schedulerState.workers().size() > largeFleetWorkers;
    m_nextStep = now + (largeFleet ? largeFleetStepIntervalMs : minStepIntervalMs);
    // Without a valid lease another leader may be active, so no decisions are made or sent.
    if (!leads()) {
        return;
    }
    const ScopedFlag inStep(m_inStep);
    carryOut(m_dispatcher.step(now, wallTimeNow()));
    if (now >= m_nextMaintenance && m_lagMs <= maxPlanningLagMs) {
        m_nextMaintenance = now + (largeFleet ? largeFleetPlanIntervalMs : planIntervalMs);
        carryOut(m_maintenance.step(now, wallTimeNow()));
        carryOut(m_balancer.step(now));
    }
    if (now >= m_nextGauges) {
        m_nextGauges = now + gaugeIntervalMs;
        exportGauges(now);
    }
    proposeChanges(now);
    const SteadyTimeMs end = steadyTimeNow();
    m_nextStepAmongAnswers = end + std::max(end - now, minPauseAmongAnswersMs);
}

void JobService::exportGauges(SteadyTimeMs now)
{
    const auto exportResources = [this](const std::string &name, const std::string &team,
                                        const TaskResources &resources) {
        const std::pair<const char *, std::int64_t> amounts[] = {
                {"processor_milli", resources.processorMilli},
                {"memory_mb", resources.memoryMb},
                {"accelerators", resources.accelerators}};
        for (const auto &[resource, amount] : amounts) {
            m_metrics.gauge(name, "team=\"" + team + "\",resource=\"" + resource + "\"",
                            static_cast<double>(amount));
        }
    };
    for (const auto &[team, quota] : m_dispatcher.quotas()) {
        exportResources("dandelionloom_team_quota", team, quota);
        exportResources("dandelionloom_team_running", team, m_dispatcher.useOf(team));
    }
    const WaitCounts &waits = m_dispatcher.waitCounts();
    const std::pair<const char *, std::uint32_t> counts[] = {{"quota", waits.quota},
                                                             {"advice", waits.advice},
                                                             {"capacity", waits.capacity},
                                                             {"not-searched", waits.notSearched}};
    for (const auto &[reason, count] : counts) {
        m_metrics.gauge("dandelionloom_waiting_steps", std::string("reason=\"") + reason + "\"",
                        count);
    }
    const LongRunningWaits &longRunning = m_dispatcher.longRunningWaits();
    m_metrics.gauge("dandelionloom_long_running_waiting", "",
                    static_cast<double>(longRunning.size()));
    m_metrics.gauge("dandelionloom_long_running_longest_wait_seconds", "",
                    static_cast<double>(longRunning.longestMs(now)) / 1000);
    const SilentWorkers silent = m_dispatcher.silentWorkers(now);
    m_metrics.gauge("dandelionloom_silent_workers", "", silent.count);
    m_metrics.gauge("dandelionloom_longest_worker_silence_seconds", "",
                    static_cast<double>(silent.longestMs) / 1000);
    m_metrics.gauge("dandelionloom_oldest_renewal_seconds", "",
                    static_cast<double>(m_dispatcher.oldestRenewalMs(now)) / 1000);
    reportLag();
}

void JobService::reportLag()
{
    const std::int64_t lagMs = std::exchange(m_longestLagMs, 0);
    m_metrics.gauge("dandelionloom_event_loop_lag_seconds", "", static_cast<double>(lagMs) / 1000);
    if (lagMs >= loggedLagMs) {
        m_log.line(LogSeverity::Warning, "loop-late",
                   {{"lag_ms", lagMs}, {"term", static_cast<std::int64_t>(m_status.term)}});
    }
}

void JobService::scheduleIdleStep()
{
    m_loop.startTimer(idleStepInterval, [alive = std::weak_ptr(m_alive)] {
        if (const auto service = alive.lock()) {
            // Before the step, so that a step that fails is not the last one.
            (*service)->scheduleIdleStep();
            if (steadyTimeNow() >= (*service)->m_nextStep) {
                (*service)->step();
            }
        }
    });
}

void JobService::scheduleList()
{
    m_loop.startTimer(m_maintenance.hasWork() ? maintenanceListInterval : idleListInterval,
                      [alive = std::weak_ptr(m_alive)] {
                          if (const auto service = alive.lock()) {
                              (*service)->scheduleList();
                              (*service)->listInstances();
                          }
                      });
}

void JobService::listAfterOrder()
{
    // Only a listing that starts after the confirmation is conclusive. Timestamps have a resolution
    // of 1 ms, so the listing starts 1 ms later.
    m_loop.startTimer(Milliseconds(1), [alive = std::weak_ptr(m_alive)] {
        if (const auto service = alive.lock()) {
            (*service)->listInstances();
        }
    });
}

void JobService::listInstances()
{
    if (!leads() || m_listInFlight) {
        return;
    }
    m_listInFlight = true;
    m_instances.list(
            [alive = std::weak_ptr(m_alive), readAt = steadyTimeNow()](const auto &listed) {
                const auto service = alive.lock();
                if (!service) {
                    return;
                }
                (*service)->m_listInFlight = false;
                if (isOk(listed)) {
                    (*service)->m_maintenance.listed(valueOf(listed), readAt);
                    (*service)->m_balancer.listed(valueOf(listed), readAt);
                    (*service)->m_loads.listed(valueOf(listed));
                } else {
                    (*service)->m_log.line(LogSeverity::Warning, "instance-list",
                                           {{"reason", instanceFaultNames.name(errorOf(listed))}});
                }
            });
}

void JobService::sendAfterCommit(const std::string &instance, const std::string &worker,
                                 std::function<void(bool)> send)
{
    m_unproposedChanges.emplace_back(InstanceOrdered{instance, m_status.term, worker});
    m_uncommittedOrders[instance] = std::move(send);
}

void JobService::logDecisions(const std::vector<DispatchDecision> &dispatchDecisions)
{
    for (const DispatchDecision &note : dispatchDecisions) {
        const bool isFrequent = !note.longRunning
                && (note.decision == "place" || note.decision == "end" || note.decision == "wait");
        m_log.line(isFrequent ? LogSeverity::Debug : LogSeverity::Info, note.decision,
                   {{"task", note.task},
                    {"run", static_cast<std::int64_t>(note.run)},
                    {"worker", note.worker},
                    {"reason", note.reason},
                    {"input_age_ms", note.inputAgeMs},
                    {"term", static_cast<std::int64_t>(m_status.term)}});
    }
}

void JobService::carryOut(DispatchOrders orders)
{
    logDecisions(orders.dispatchDecisions);
    const std::uint64_t fence = m_status.term;
    const std::weak_ptr<JobService *> alive = m_alive;
    for (const StartOrder &order : orders.starts) {
        const SteadyTimeMs sentAt = steadyTimeNow();
        m_workers.start(order, fence,
                        [alive, fence, sentAt, worker = order.worker, task = order.task,
                         run = order.run](std::optional<CallFault> fault) {
                            const auto service = alive.lock();
                            if (!service || (*service)->m_status.term != fence) {
                                return;
                            }
                            const SteadyTimeMs now = steadyTimeNow();
                            (*service)->m_metrics.observe("dandelionloom_task_start_seconds", "",
                                                          static_cast<double>(now - sentAt) / 1000);
                            (*service)->m_dispatcher.startAnswered(worker, task, run, fault, now);
                            (*service)->onWorkerAnswered();
                        });
    }
    for (const StopOrder &order : orders.stops) {
        m_workers.stop(order, fence, [alive, fence, order](std::optional<CallFault> fault) {
            const auto service = alive.lock();
            if (!service || (*service)->m_status.term != fence) {
                return;
            }
            if (fault) {
                (*service)->m_log.line(LogSeverity::Info, "stop-failed",
                                       {{"task", taskName(order.task)},
                                        {"worker", order.worker},
                                        {"reason", callFaultNames.name(*fault)}});
            }
            (*service)->m_dispatcher.stopAnswered(order, fault, steadyTimeNow());
            (*service)->onWorkerAnswered();
        });
    }
    for (const PaceOrder &order : orders.paces) {
        m_workers.pace(order, fence, [alive, order](std::optional<CallFault> fault) {
            const auto service = alive.lock();
            if (service && fault) {
                (*service)->m_dispatcher.paceFailed(order);
                (*service)->m_log.line(LogSeverity::Info, "pace-failed",
                                       {{"task", taskName(order.task)},
                                        {"worker", order.worker},
                                        {"reason", callFaultNames.name(*fault)}});
            }
        });
    }
    for (const RenewOrder &order : orders.renewals) {
        m_workers.renew(order, fence,
                        [alive, fence, worker = order.worker, startTimeMs = order.startTimeMs](
                                const Result<RenewAnswer, CallFault> &answer) {
                            const auto service = alive.lock();
                            if (!service || (*service)->m_status.term != fence) {
                                return;
                            }
                            (*service)->m_dispatcher.renewed(worker, startTimeMs, answer,
                                                             steadyTimeNow());
                            (*service)->onWorkerAnswered();
                        });
    }
    for (const AdviceOrder &order : orders.advice) {
        m_workers.advise(order, [alive, order](const auto &tickets) {
            if (const auto service = alive.lock()) {
                (*service)->m_dispatcher.adviceAnswered(order, tickets, steadyTimeNow());
                (*service)->scheduleFlush();
            }
        });
    }
    std::move(orders.changes.begin(), orders.changes.end(),
              std::back_inserter(m_unproposedChanges));
}

OrderAuthority JobService::orderAuthority() const
{
    // An order without an end of its authority could be sent at any time, so that a lease which has
    // been lost ends in the past.
    const LeaderLease lease = m_journal->lease();
    const bool holds = lease.term == m_status.term && lease.until > 0;
    return {m_options.name, m_status.term, holds ? lease.until : 1};
}

void JobService::carryOut(const MaintenanceOrders &orders)
{
    logDecisions(orders.dispatchDecisions);
    const std::weak_ptr<JobService *> alive = m_alive;
    for (const MaintenanceOrder &order : orders.begin) {
        sendAfterCommit(order.instance, order.worker, [this, alive, order](bool leaseHeld) {
            if (!leaseHeld || m_lagMs > maxPlanningLagMs
                || !m_maintenance.mayBegin(order, steadyTimeNow())) {
                m_maintenance.answered(order, InstanceFault::NotSent, steadyTimeNow());
                return;
            }
            m_instances.beginMaintenance(order.instance, order.wave, orderAuthority(),
                                         [alive, order](std::optional<InstanceFault> fault) {
                                             if (const auto service = alive.lock()) {
                                                 (*service)->m_maintenance.answered(
                                                         order, fault, steadyTimeNow());
                                                 (*service)->listAfterOrder();
                                                 (*service)->m_nextMaintenance = 0;
                                                 (*service)->scheduleFlush();
                                             }
                                         });
        });
    }
    m_unproposedChanges.insert(m_unproposedChanges.end(), orders.changes.begin(),
                               orders.changes.end());
}

void JobService::carryOut(const BalanceOrders &orders)
{
    logDecisions(orders.dispatchDecisions);
    const std::weak_ptr<JobService *> alive = m_alive;
    for (const MoveOrder &order : orders.moves) {
        sendAfterCommit(order.instance, order.worker, [this, alive, order](bool leaseHeld) {
            if (!leaseHeld || m_lagMs > maxPlanningLagMs
                || !m_balancer.mayMove(order, steadyTimeNow())) {
                m_balancer.answered(order, InstanceFault::NotSent, steadyTimeNow());
                return;
            }
            m_instances.move(order.instance, order.pool, orderAuthority(),
                             [alive, order](std::optional<InstanceFault> fault) {
                                 if (const auto service = alive.lock()) {
                                     (*service)->m_balancer.answered(order, fault, steadyTimeNow());
                                     (*service)->scheduleFlush();
                                 }
                             });
        });
    }
    m_unproposedChanges.insert(m_unproposedChanges.end(), orders.changes.begin(),
                               orders.changes.end());
}

} // namespace dandelionloom

#include <algorithm>
#include <utility>

#include "Scheduling/Dispatcher.h"

// Orders to workers: renewals, starts, stops and pacing. Also ends runs whose lease has expired.

namespace dandelionloom {

namespace {

/// Interval of the placement pass when nothing has changed.
constexpr std::int64_t placementIntervalMs = 200;

/// Interval of the search for workers whose leases have expired, small against their margin.
constexpr std::int64_t leaseCheckMs = 50;

/// Interval of the search for jobs past their retention period.
constexpr std::int64_t purgeIntervalMs = 3000;

/// Larger than the difference between the times of day of two control instances, which may be
/// minutes after one was set.
constexpr std::int64_t maxWallClockDifferenceMs = 300000;

/// Additional delay between renewals of a worker without runs.
constexpr std::int64_t idleRenewDelayMs = 400;

} // namespace

DispatchOrders Dispatcher::step(SteadyTimeMs now, WallTimeMs wallNow)
{
    DispatchOrders orders;
    if (!m_leads) {
        return orders;
    }
    if (std::exchange(m_turnsUnknown, false)) {
        m_demand.rebuildTurns(now, wallNow);
    }
    m_wallOffsetMs = wallNow - now;
    m_disruptionBudgets.forgetAvailability();
    recordLeaseLimit(now);
    endRunsWithExpiredLeases(now);
    if (m_placementDirty || now >= m_nextPlacement) {
        placePendingSteps(now, wallNow, orders);
        m_placementDirty = false;
        m_nextPlacement = now + placementIntervalMs;
    }
    emitStarts(now, orders);
    reviewAnswers(now, orders);
    emitStops(now, orders);
    emitRenewals(now, orders);
    emitRestartChecks(now, orders);
    removeDeregisteredWorkers();
    purgeOldJobs(now, wallNow);
    std::move(m_changes.begin(), m_changes.end(), std::back_inserter(orders.changes));
    std::move(m_decisions.begin(), m_decisions.end(), std::back_inserter(orders.dispatchDecisions));
    m_changes.clear();
    m_decisions.clear();
    return orders;
}

std::int64_t Dispatcher::extendLease(WorkerView &view, SteadyTimeMs now)
{
    const std::int64_t until = *view.clockMs + (now - view.clockAt)
            + std::min(m_options.leaseMs, recordedLeaseLimitMs());
    view.leaseUntilMs = std::max(view.leaseUntilMs, until);
    return view.leaseUntilMs;
}

void Dispatcher::emitRenewals(SteadyTimeMs now, DispatchOrders &orders)
{
    for (auto &[id, view] : m_workers) {
        if (view.renewalInFlight || now < view.nextRenewAt) {
            continue;
        }
        const WorkerRecord *record = m_state.worker(id);
        if (record == nullptr || isRestartConfirmed(id)) {
            continue;
        }
        RenewOrder order{id, record->address,     view.lastProposedEnd, std::nullopt,
                         0,  record->startTimeMs, generationOf(id)};
        const auto ends = m_pendingEnds.find(id);
        if (ends != m_pendingEnds.end() && !ends->second.empty()) {
            // The worker would list unrecorded ends again at once. A renewal is still sent when at
            // most half of the lease remains, so that the lease does not expire while the journal
            // has no quorum.
            const bool leaseIsLong = view.clockMs
                    && view.leaseUntilMs - (*view.clockMs + (now - view.clockAt))
                            > m_options.leaseMs / 2;
            if (leaseIsLong) {
                continue;
            }
            order.ackCursor = *ends->second.begin() - 1;
        }
        order.ackCursor = std::max(order.ackCursor, view.ackCursor);
        view.ackCursor = order.ackCursor;
        // An unanswered renewal may still arrive. If each attempt extended the lease, the leases of
        // a lost worker would never count as expired.
        if (view.clockMs && view.renewFailures == 0 && mayExtendLease(id, view)) {
            order.leaseUntilMs = extendLease(view, now);
        }
        // The lease is extended as soon as it is recorded that the worker answers, which a held
        // renewal would delay.
        if (view.renewedAt != 0 && view.renewFailures == 0 && mayExtendLease(id, view)
            && !std::exchange(view.stopToVerify, false)) {
            order.waitMs = view.longRunningStarting ? m_options.startingRenewalWaitMs
                    : view.reserved.size() > view.longRunningCount
                    ? m_options.shortTaskRenewalWaitMs
                    : m_options.renewalWaitMs;
            if (view.runs.empty()) {
                view.nextRenewAt = now + m_options.renewalWaitMs + idleRenewDelayMs;
            }
        }
        view.renewalInFlight = true;
        view.renewSentAt = now;
        orders.renewals.push_back(std::move(order));
    }
}

void Dispatcher::emitStarts(SteadyTimeMs now, DispatchOrders &orders)
{
    std::erase_if(m_workersWithStarts, [&](const std::string &id) {
        const auto found = m_workers.find(id);
        return found == m_workers.end() || !emitStartsOn(id, found->second, now, orders);
    });
}

bool Dispatcher::emitStartsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                              DispatchOrders &orders)
{
    const WorkerRecord *record = m_state.worker(id);
    // Until its first answer in this term, the worker may still accept orders of an earlier leader.
    // A start extends the leases of the worker.
    const bool canSend = record != nullptr && view.renewedAt != 0 && view.clockMs
            && view.renewFailures == 0 && mayExtendLease(id, view);
    bool pending = false;
    for (auto &[task, run] : view.runs) {
        if (run.state != RunState::ToSend || run.stopping) {
            continue;
        }
        // A run with a proposed end must not be started: its task may already be assigned again
        // when the start arrives. Nor may any run of a task that is listed as done.
        if (!canSend || now < run.nextSendAt || m_proposedEnds.contains({task, run.run})
            || isListedAsDone(task)) {
            pending = true;
            continue;
        }
        const JobRecord *job = m_state.job(task.job);
        if (job == nullptr || job->phase != JobPhase::Active) {
            continue;
        }
        if (record->draining) {
            // The worker announced that it leaves after the task was assigned to it.
            onStartRefused(id, task, run);
            continue;
        }
        if (run.sends == 0 && exceedsQuota(*job, task)) {
            // The quota was lowered after the task was assigned.
            onStartRefused(id, task, run);
            continue;
        }
        StartOrder order{id,
                         record->address,
                         task,
                         run.run,
                         job->spec.payload,
                         extendLease(view, now),
                         m_state.task(task)->checkpoint,
                         {},
                         generationOf(id)};
        if (job->queue.needsAdvice) {
            const auto tickets = m_tickets.find({task.job, task.occurrence, task.step});
            if (tickets != m_tickets.end() && tickets->second.byWorker.contains(id)) {
                order.ticket = tickets->second.byWorker.at(id);
            }
        }
        run.state = RunState::Sent;
        ++run.sends;
        orders.starts.push_back(std::move(order));
    }
    return pending;
}

bool Dispatcher::exceedsQuota(const JobRecord &job, const TaskKey &task) const
{
    const StepSpec &step = job.spec.steps[task.step];
    const auto quota = job.spec.team.empty() ? m_quotas.end() : m_quotas.find(job.spec.team);
    // Members of a gang were counted together, and may exceed the quota by one.
    return quota != m_quotas.end() && !step.gang
            && !isWithinQuota(useOf(job.spec.team) - step.need, step.need, quota->second);
}

void Dispatcher::emitStops(SteadyTimeMs now, DispatchOrders &orders)
{
    std::erase_if(m_workersWithStops, [&](const std::string &id) {
        const auto found = m_workers.find(id);
        return found == m_workers.end() || !emitStopsOn(id, found->second, now, orders);
    });
    for (StopOrder &orphan : m_orphanStops) {
        const WorkerRecord *record = m_state.worker(orphan.worker);
        if (record != nullptr) {
            const bool restarted = !orphan.address.empty();
            if (!restarted) {
                orphan.address = record->address;
                orphan.generation = generationOf(orphan.worker);
            }
            orders.dispatchDecisions.push_back(
                    {"stop", taskName(orphan.task), orphan.run, orphan.worker,
                     restarted ? "earlier-incarnation" : "not-assigned", 0});
            orders.stops.push_back(std::move(orphan));
        }
    }
    m_orphanStops.clear();
}

bool Dispatcher::emitStopsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                             DispatchOrders &orders)
{
    const WorkerRecord *record = m_state.worker(id);
    bool pending = false;
    for (auto &[task, run] : view.runs) {
        const JobRecord *job = m_state.job(task.job);
        const bool ended = job == nullptr || job->phase != JobPhase::Active;
        if (!ended && !run.stopping) {
            continue;
        }
        // The stop order is repeated until the end of the run is recorded.
        pending = true;
        if (run.state == RunState::ToSend && run.sends == 0) {
            proposeEnd(task, run.run, RunOutcome::Refused, {});
            continue;
        }
        if (record == nullptr || now < run.nextStopAt || view.renewedAt == 0) {
            continue;
        }
        run.stopping = true;
        run.nextStopAt = now + m_options.stopGraceMs + m_options.retryMs;
        orders.stops.push_back({id, record->address, task, run.run, generationOf(id)});
        orders.dispatchDecisions.push_back({"stop", taskName(task), run.run, id,
                                            ended ? "job-ended" : "placed-elsewhere",
                                            now - view.renewedAt});
    }
    return pending;
}

void Dispatcher::reviewAnswers(SteadyTimeMs now, DispatchOrders &orders)
{
    for (const std::string &id : m_workersToReview) {
        const auto found = m_workers.find(id);
        if (found != m_workers.end() && m_state.worker(id) != nullptr) {
            stopStalledRuns(id, found->second, now);
            emitPacesOn(id, found->second, now, orders);
        }
    }
    m_workersToReview.clear();
}

void Dispatcher::stopStalledRuns(const std::string &id, WorkerView &view, SteadyTimeMs now)
{
    for (auto &[task, run] : view.runs) {
        // A hung worker can still pass its health check. Its tasks make no progress at all, whereas
        // the percentage of a slow task advances. A paused task makes none either, for as long as
        // its worker is over a latency target.
        if (run.state != RunState::Running || run.stopping || run.percent >= 100
            || run.pacePercent == 0 || now - run.progressAt <= m_options.stallMs) {
            continue;
        }
        // A long-running task is unavailable until it reaches 100 percent, so that stopping it
        // before takes nothing from a disruption budget.
        const JobRecord *job = m_state.job(task.job);
        if (job == nullptr || job->spec.steps[task.step].gang) {
            continue;
        }
        // A best-effort task that lasts may find all capacity of a sound worker in use.
        if (isLongRunning(task) && isBestEffort(task)) {
            continue;
        }
        // Of a task with a latency target the reading is a latency, which shows no work.
        if (run.reading != 0 && job->spec.steps[task.step].targetMs == 0) {
            continue;
        }
        m_decisions.push_back(
                {"stalled", taskName(task), run.run, id, "no-progress", now - run.progressAt});
        run.stopping = true;
        view.avoidUntil = now + m_options.quarantineMs;
        m_failedOn[task] = id;
        m_workersWithStops.insert(id);
    }
}

void Dispatcher::emitPacesOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                             DispatchOrders &orders)
{
    if (view.bestEffortCount == 0) {
        return;
    }
    bool overTarget = false;
    for (const auto &[task, run] : view.runs) {
        const JobRecord *job = m_state.job(task.job);
        if (job == nullptr) {
            continue;
        }
        const StepSpec &step = job->spec.steps[task.step];
        overTarget = overTarget
                || (step.targetMs > 0 && !step.bestEffort && run.state == RunState::Running
                    && static_cast<double>(run.reading)
                            > static_cast<double>(step.targetMs) * m_options.paceTargetShare);
    }
    if (overTarget) {
        view.paceRestoreAt = now + m_options.paceRestoreMs;
    }
    const std::int64_t percent = now < view.paceRestoreAt ? 0 : 100;
    const std::string address = m_state.worker(id)->address;
    for (auto &[task, run] : view.runs) {
        const JobRecord *job = m_state.job(task.job);
        if (job == nullptr || !job->spec.steps[task.step].bestEffort
            || run.state != RunState::Running || run.pacePercent == percent) {
            continue;
        }
        run.pacePercent = percent;
        // A resumed task gets the whole time to make progress again.
        run.progressAt = now;
        orders.paces.push_back({id, address, task, run.run, percent, generationOf(id)});
        orders.dispatchDecisions.push_back({"pace", taskName(task), run.run, id,
                                            percent == 0 ? "target-pressed" : "target-relieved",
                                            now - view.renewedAt});
    }
}

SteadyTimeMs Dispatcher::leaseEnd(const std::string &worker, const WorkerView &view) const
{
    const auto silent = m_earlierLeaseEnds.find(worker);
    const SteadyTimeMs earlier = silent == m_earlierLeaseEnds.end()
            ? m_termStartedAt + slowClockMs(m_earlierLeaseMs, m_options.clockDrift)
            : silent->second;
    return std::max(earlier, view.ownLeaseEnd(m_options.clockDrift));
}

std::int64_t Dispatcher::recordedLeaseLimitMs() const
{
    const std::int64_t limit = m_state.leaseLimitMs();
    return limit > 0 ? std::min(limit, m_options.maxLeaseMs) : m_options.maxLeaseMs;
}

void Dispatcher::recordLeaseLimit(SteadyTimeMs now)
{
    if (m_leaseLimitProposed || m_state.leaseLimitMs() == m_options.leaseMs) {
        return;
    }
    const bool lowers = m_options.leaseMs < recordedLeaseLimitMs();
    // Leases are granted to recorded workers only.
    if (lowers && !m_state.workers().empty()
        && now < m_termStartedAt + leaseValidityMs(m_options, m_earlierLeaseMs)) {
        return;
    }
    m_leaseLimitProposed = true;
    m_changes.emplace_back(LeaseLimitSet{m_options.leaseMs});
}

void Dispatcher::endRunsWithExpiredLeases(SteadyTimeMs now)
{
    if (now < m_nextLeaseCheck) {
        return;
    }
    m_nextLeaseCheck = now + leaseCheckMs;
    m_placementDirty = m_unassignedRuns.forgetExpired(now) || m_placementDirty;
    for (auto &[id, view] : m_workers) {
        // A worker that answers lists the ended runs itself.
        if (view.renewFailures == 0 || view.leasesExpired || view.runs.empty()) {
            continue;
        }
        const SteadyTimeMs end = leaseEnd(id, view);
        if (now < end) {
            continue;
        }
        // The answer to a call that is made when the leases have ended would tell how the runs have
        // ended. Only without one do the tasks start elsewhere.
        if (view.failedRenewalSentAt < end) {
            view.nextRenewAt = std::min(view.nextRenewAt, now);
            continue;
        }
        if (now < end + expiryMarginMs(m_options)) {
            continue;
        }
        if (m_state.worker(id) == nullptr) {
            continue;
        }
        const SteadyTimeMs latestEnd =
                std::max(view.renewedAt, m_termStartedAt) + m_options.maxLateStartWaitMs;
        std::vector<RunKey> lost;
        view.leasesExpired = true;
        for (const auto &[task, run] : view.runs) {
            // A next incarnation, of which nothing is known, may have carried out the start.
            if (run.lateStartEnd != 0
                && now < std::min(run.lateStartEnd, latestEnd) + expiryMarginMs(m_options)) {
                view.leasesExpired = false;
            } else if (!m_proposedEnds.contains({task, run.run})) {
                lost.emplace_back(task, run.run);
            }
        }
        if (lost.empty()) {
            continue;
        }
        // Without a lease of its own, this leader has waited for those of earlier ones only.
        m_decisions.push_back({"worker-lost",
                               {},
                               0,
                               id,
                               view.leaseUntilMs > 0 ? "lease-ended" : "earlier-lease-ended",
                               view.renewedAt == 0 ? -1 : now - view.renewedAt});
        for (const auto &[task, run] : lost) {
            proposeEnd(task, run, RunOutcome::WorkerLost, {});
        }
    }
}

void Dispatcher::removeDeregisteredWorkers()
{
    std::erase_if(m_deregistered, [this](const std::string &id) {
        const WorkerRecord *record = m_state.worker(id);
        const WorkerView *known = view(id);
        if (record == nullptr || known == nullptr || !known->deregistered) {
            return true;
        }
        if (!known->reserved.empty()) {
            return false;
        }
        m_changes.emplace_back(WorkerLeft{id, record->startTimeMs});
        return true;
    });
}

void Dispatcher::purgeOldJobs(SteadyTimeMs now, WallTimeMs wallNow)
{
    if (now < m_nextPurge) {
        return;
    }
    m_nextPurge = now + purgeIntervalMs;
    for (const auto &[id, job] : m_state.jobs()) {
        if (!job.isPurgeable()) {
            continue;
        }
        // The time of day of the end may be that of an earlier leader, whose clock is set
        // differently. It only bounds the number of records if the leader changes often.
        const auto since = m_endedSince.try_emplace(id, now).first;
        if (now - since->second >= m_options.retentionMs
            || wallNow - job.endedAtMs >= m_options.retentionMs + maxWallClockDifferenceMs) {
            m_changes.emplace_back(JobPurged{id.text()});
        }
    }
}

} // namespace dandelionloom

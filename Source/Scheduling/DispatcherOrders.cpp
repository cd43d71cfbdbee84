#include <algorithm>

#include "Scheduling/Dispatcher.h"

// The orders to workers: renewals, starts, stops and pacing, and the runs that a lapsed lease ends.

namespace dandelionloom {

namespace {

/// Interval of the pass over all waiting steps when nothing has changed.
constexpr std::int64_t placementIntervalMs = 200;

/// Interval of the search for jobs past their retention.
constexpr std::int64_t forgetIntervalMs = 3000;

/// Renewals of a worker that runs nothing may be this much rarer.
constexpr std::int64_t idleRenewPauseMs = 400;

} // namespace

DispatchOrders Dispatcher::step(SteadyTimeMs now, WallTimeMs wallNow)
{
    DispatchOrders orders;
    if (!m_leads) {
        return orders;
    }
    loseLapsedRuns(now);
    if (m_placementDirty || now >= m_nextPlacement) {
        placeWaiting(now, wallNow, orders);
        m_placementDirty = false;
        m_nextPlacement = now + placementIntervalMs;
    }
    emitStarts(now, orders);
    reviewAnswers(now, orders);
    emitStops(now, orders);
    emitRenewals(now, orders);
    forgetOldJobs(wallNow);
    std::move(m_changes.begin(), m_changes.end(), std::back_inserter(orders.changes));
    std::move(m_notes.begin(), m_notes.end(), std::back_inserter(orders.notes));
    m_changes.clear();
    m_notes.clear();
    return orders;
}

std::int64_t Dispatcher::extendLease(WorkerView &view, SteadyTimeMs now)
{
    const std::int64_t until = *view.clockMs + (now - view.clockAt) + m_rules.leaseMs;
    view.leaseUntilMs = std::max(view.leaseUntilMs, until);
    return view.leaseUntilMs;
}

void Dispatcher::emitRenewals(SteadyTimeMs now, DispatchOrders &orders)
{
    for (auto &[id, view] : m_workers) {
        if (view.renewing || now < view.nextRenewAt) {
            continue;
        }
        const WorkerRecord *record = m_book.worker(id);
        if (record == nullptr) {
            continue;
        }
        RenewOrder order{id, record->address, view.proposedEnd, std::nullopt, 0};
        const auto ends = m_endsUnderWay.find(id);
        if (ends != m_endsUnderWay.end() && !ends->second.empty()) {
            // Ends that are not recorded yet would be listed again at once. The lease must not run
            // out while the journal has no quorum, though.
            const bool leaseIsLong = view.clockMs
                    && view.leaseUntilMs - (*view.clockMs + (now - view.clockAt))
                            > m_rules.leaseMs / 2;
            if (leaseIsLong) {
                continue;
            }
            order.ackCursor = *ends->second.begin() - 1;
        }
        order.ackCursor = std::max(order.ackCursor, view.ackCursor);
        view.ackCursor = order.ackCursor;
        // An unanswered renewal may still arrive. Were the lease extended by each attempt, the
        // tasks of a worker that is gone could never be held to have ended.
        if (view.clockMs && view.renewFailures == 0) {
            order.leaseUntilMs = extendLease(view, now);
        }
        if (view.renewedAt != 0 && view.renewFailures == 0) {
            order.waitMs = view.lastingStarts                 ? m_rules.startingRenewWaitMs
                    : view.reserved.size() > view.lastingRuns ? m_rules.busyRenewWaitMs
                                                              : m_rules.renewWaitMs;
            if (view.runs.empty()) {
                view.nextRenewAt = now + m_rules.renewWaitMs + idleRenewPauseMs;
            }
        }
        view.renewing = true;
        view.renewSentAt = now;
        orders.renewals.push_back(std::move(order));
    }
}

void Dispatcher::emitStarts(SteadyTimeMs now, DispatchOrders &orders)
{
    std::erase_if(m_startWorkers, [&](const std::string &id) {
        const auto found = m_workers.find(id);
        return found == m_workers.end() || !emitStartsOn(id, found->second, now, orders);
    });
}

bool Dispatcher::emitStartsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                              DispatchOrders &orders)
{
    const WorkerRecord *record = m_book.worker(id);
    // Before the first answer of a term the worker may still take an earlier leader's orders.
    const bool maySend =
            record != nullptr && view.renewedAt != 0 && view.clockMs && view.renewFailures == 0;
    bool waits = false;
    for (auto &[task, run] : view.runs) {
        if (run.state != RunState::ToSend || run.stopping) {
            continue;
        }
        // A run whose end is under way must not begin: its task may already be assigned anew
        // when the start arrives.
        if (!maySend || now < run.nextSendAt || m_proposedEnds.contains({task, run.run})) {
            waits = true;
            continue;
        }
        const JobRecord *job = m_book.job(task.job);
        if (job == nullptr || job->phase != JobPhase::Active) {
            continue;
        }
        StartOrder order{id,
                         record->address,
                         task,
                         run.run,
                         job->spec.payload,
                         extendLease(view, now),
                         m_book.task(task)->checkpoint,
                         {}};
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
    return waits;
}

void Dispatcher::emitStops(SteadyTimeMs now, DispatchOrders &orders)
{
    std::erase_if(m_stopWorkers, [&](const std::string &id) {
        const auto found = m_workers.find(id);
        return found == m_workers.end() || !emitStopsOn(id, found->second, now, orders);
    });
    for (StopOrder &stray : m_strayStops) {
        const WorkerRecord *record = m_book.worker(stray.worker);
        if (record != nullptr) {
            stray.address = record->address;
            orders.notes.push_back(
                    {"stop", taskName(stray.task), stray.run, stray.worker, "not-assigned", 0});
            orders.stops.push_back(std::move(stray));
        }
    }
    m_strayStops.clear();
}

bool Dispatcher::emitStopsOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                             DispatchOrders &orders)
{
    const WorkerRecord *record = m_book.worker(id);
    bool waits = false;
    for (auto &[task, run] : view.runs) {
        const JobRecord *job = m_book.job(task.job);
        const bool ended = job == nullptr || job->phase != JobPhase::Active;
        if (!ended && !run.stopping) {
            continue;
        }
        // Until its end is recorded the stop is repeated.
        waits = true;
        if (run.state == RunState::ToSend && run.sends == 0) {
            proposeEnd(task, run.run, RunEnd::Refused, {});
            continue;
        }
        if (record == nullptr || now < run.nextStopAt || view.renewedAt == 0) {
            continue;
        }
        run.stopping = true;
        run.nextStopAt = now + m_rules.stopGraceMs + m_rules.retryMs;
        orders.stops.push_back({id, record->address, task, run.run});
        orders.notes.push_back({"stop", taskName(task), run.run, id,
                                ended ? "job-ended" : "placed-elsewhere", now - view.renewedAt});
    }
    return waits;
}

void Dispatcher::reviewAnswers(SteadyTimeMs now, DispatchOrders &orders)
{
    for (const std::string &id : m_answeredWorkers) {
        const auto found = m_workers.find(id);
        if (found != m_workers.end() && m_book.worker(id) != nullptr) {
            stopStalledRuns(id, found->second, now);
            emitPacesOn(id, found->second, now, orders);
        }
    }
    m_answeredWorkers.clear();
}

void Dispatcher::stopStalledRuns(const std::string &id, WorkerView &view, SteadyTimeMs now)
{
    for (auto &[task, run] : view.runs) {
        // A worker can hang with a good health check; its tasks then make no progress at all,
        // while a long task's percentage moves.
        if (run.state != RunState::Running || run.stopping || run.percent >= 100 || run.reading != 0
            || now - run.progressAt <= m_rules.stallMs) {
            continue;
        }
        const JobRecord *job = m_book.job(task.job);
        if (job == nullptr || job->spec.steps[task.step].lasting
            || job->spec.steps[task.step].gang) {
            continue;
        }
        run.stopping = true;
        view.avoidUntil = now + m_rules.quarantineMs;
        m_failedOn[task] = id;
        m_stopWorkers.insert(id);
    }
}

void Dispatcher::emitPacesOn(const std::string &id, WorkerView &view, SteadyTimeMs now,
                             DispatchOrders &orders)
{
    bool pressed = false;
    bool anyFills = false;
    for (const auto &[task, run] : view.runs) {
        const JobRecord *job = m_book.job(task.job);
        if (job == nullptr) {
            continue;
        }
        const StepSpec &step = job->spec.steps[task.step];
        anyFills = anyFills || step.fills;
        pressed = pressed
                || (step.targetMs > 0 && !step.fills && run.state == RunState::Running
                    && static_cast<double>(run.reading)
                            > static_cast<double>(step.targetMs) * m_rules.paceTargetShare);
    }
    if (!anyFills) {
        return;
    }
    if (pressed) {
        view.paceRestoreAt = now + m_rules.paceRestoreMs;
    }
    const std::int64_t percent = now < view.paceRestoreAt ? 0 : 100;
    const std::string address = m_book.worker(id)->address;
    for (auto &[task, run] : view.runs) {
        const JobRecord *job = m_book.job(task.job);
        if (job == nullptr || !job->spec.steps[task.step].fills || run.state != RunState::Running
            || run.pacePercent == percent) {
            continue;
        }
        run.pacePercent = percent;
        orders.paces.push_back({id, address, task, run.run, percent});
        orders.notes.push_back({"pace", taskName(task), run.run, id,
                                percent == 0 ? "target-pressed" : "target-relieved",
                                now - view.renewedAt});
    }
}

void Dispatcher::loseLapsedRuns(SteadyTimeMs now)
{
    // Leases of an earlier leader are bounded by the longest lease that a worker grants.
    const auto earlierMs = static_cast<std::int64_t>(
            static_cast<double>(m_rules.maxLeaseMs + m_rules.lapseMarginMs)
            / (1 - m_rules.clockDrift));
    for (auto &[id, view] : m_workers) {
        // A worker that answers tells itself what has ended.
        if (view.renewFailures == 0 || view.lapsed || view.runs.empty()
            || now - m_leadAt < earlierMs) {
            continue;
        }
        if (view.clockMs
            && view.leastClock(now, m_rules.clockDrift)
                    <= view.leaseUntilMs + m_rules.lapseMarginMs) {
            continue;
        }
        if (m_book.worker(id) == nullptr) {
            continue;
        }
        view.lapsed = true;
        m_notes.push_back({"worker-lost",
                           {},
                           0,
                           id,
                           "lease-ended",
                           view.renewedAt == 0 ? -1 : now - view.renewedAt});
        for (const auto &[task, run] : view.runs) {
            proposeEnd(task, run.run, RunEnd::WorkerLost, {});
        }
    }
}

void Dispatcher::forgetOldJobs(WallTimeMs wallNow)
{
    if (wallNow < m_nextForget) {
        return;
    }
    m_nextForget = wallNow + forgetIntervalMs;
    for (const auto &[id, job] : m_book.jobs()) {
        if (job.isSettled() && job.endedAtMs + m_rules.retentionMs < wallNow) {
            m_changes.emplace_back(JobForgotten{id});
        }
    }
}

} // namespace dandelionloom

#include "Scheduling/Dispatcher.h"

#include <limits>

// Workers that start again under their id. Orders for the earlier incarnation may reach the next
// one, which has the same id and has seen no fencing token. Before the next one is recorded, and
// with that the end of the earlier runs, it has to answer a call of a new generation.

namespace dandelionloom {

namespace {

/// Interval of the checks of a worker that still lists runs of its earlier incarnation.
constexpr std::int64_t restartCheckMs = 50;

/// Checks without an answer after which an announcement is dropped, which may name an address that
/// nobody has. A worker announces itself again every 1.5 s.
constexpr std::uint32_t maxFailedChecks = 4;

} // namespace

std::uint64_t Dispatcher::generationOf(const std::string &worker) const
{
    const auto found = m_generations.find(worker);
    return found == m_generations.end() ? 0 : found->second;
}

bool Dispatcher::isRestartConfirmed(const std::string &worker) const
{
    const auto found = m_restarts.find(worker);
    return found != m_restarts.end() && found->second.confirmed;
}

void Dispatcher::onRestartAnnounced(const WorkerAnnouncement &announcement, SteadyTimeMs now)
{
    const WorkerRecord &worker = announcement.worker;
    WorkerRestart &restart = m_restarts[worker.id];
    if (restart.startTimeMs != worker.startTimeMs) {
        if (restart.confirmed && restart.startTimeMs > worker.startTimeMs) {
            // Delayed.
            return;
        }
        restart = {};
        restart.startTimeMs = worker.startTimeMs;
    }
    if (!recordAnnouncement(restart.order, announcement.sequence, now)) {
        return;
    }
    const bool draining = worker.draining || (restart.announced && restart.announced->draining);
    restart.address = worker.address;
    restart.announced = worker;
    restart.announced->draining = draining;
}

void Dispatcher::confirmRestart(const WorkerRecord &worker, std::int64_t startTimeMs,
                                SteadyTimeMs now)
{
    WorkerRestart &restart = m_restarts[worker.id];
    if (restart.startTimeMs != startTimeMs) {
        restart = {};
        restart.startTimeMs = startTimeMs;
        restart.address = worker.address;
    }
    restart.nextCheckAt = now;
    if (restart.confirmed) {
        return;
    }
    restart.confirmed = true;
    ++m_generations[worker.id];
    m_decisions.push_back({"worker-restarted", {}, 0, worker.id, "same-id", -1});
    // The view of the earlier incarnation is discarded: its clock, its leases and the numbers of
    // its ends mean nothing to the next one. Its runs remain assigned until they can't start there.
    resetWorker(worker.id);
    syncRuns(worker.id);
    WorkerView &view = m_workers[worker.id];
    view.otherLeaseEnd = now + m_options.lateOrderMs + otherLeaseMs(m_options);
    for (auto &[task, run] : view.runs) {
        run.state = RunState::Unknown;
        run.sends = 1;
        run.startUnanswered = true;
    }
}

void Dispatcher::emitRestartChecks(SteadyTimeMs now, DispatchOrders &orders)
{
    for (auto &[id, restart] : m_restarts) {
        if (restart.checkInFlight || restart.recordProposed || now < restart.nextCheckAt) {
            continue;
        }
        restart.checkInFlight = true;
        restart.checkGeneration = generationOf(id);
        if (restart.confirmed) {
            m_workers[id].renewSentAt = now;
        }
        orders.renewals.push_back({id, restart.address, 0, std::nullopt, 0, restart.startTimeMs,
                                   restart.checkGeneration});
    }
}

void Dispatcher::onRestartChecked(const WorkerRecord &worker,
                                  const Result<RenewAnswer, CallFault> &answer, SteadyTimeMs now)
{
    WorkerRestart &restart = m_restarts.at(worker.id);
    restart.checkInFlight = false;
    restart.nextCheckAt = now + m_options.retryMs;
    if (!isOk(answer)) {
        if (errorOf(answer) == CallFault::OtherIncarnation) {
            // Another worker has the address. A restart that was confirmed shows that the recorded
            // incarnation has ended all the same.
            if (restart.confirmed) {
                restart.recordProposed = true;
                m_changes.emplace_back(WorkerLeft{worker.id, worker.startTimeMs});
            } else {
                m_restarts.erase(worker.id);
            }
        } else if (restart.confirmed) {
            // Its runs are lost when all leases have ended that an order can have given it.
            onRenewalFailed(worker, m_workers[worker.id], now);
        } else if (++restart.failedChecks >= maxFailedChecks) {
            m_restarts.erase(worker.id);
        }
        return;
    }
    restart.failedChecks = 0;
    const RenewAnswer &list = valueOf(answer);
    // An answer without a start time contradicts no announcement.
    const std::int64_t startTimeMs = list.startTimeMs == 0 ? restart.startTimeMs : list.startTimeMs;
    if (startTimeMs < restart.startTimeMs) {
        m_decisions.push_back({"announcement-refuted", {}, 0, worker.id, "earlier-start", -1});
        m_restarts.erase(worker.id);
        return;
    }
    if (startTimeMs > restart.startTimeMs || !restart.confirmed
        || restart.checkGeneration != generationOf(worker.id)) {
        // The answer was given before the worker has seen the next generation.
        confirmRestart(worker, startTimeMs, now);
        return;
    }
    WorkerView &view = m_workers[worker.id];
    view.renewFailures = 0;
    view.silentSince = 0;
    view.leasesExpired = false;
    for (const EndedRun &row : list.ended) {
        onEndedRow(worker.id, view, row);
    }
    if (list.running.empty()) {
        restart.recordProposed = true;
        if (restart.announced) {
            m_changes.emplace_back(WorkerJoined{*restart.announced});
        } else {
            m_changes.emplace_back(WorkerLeft{worker.id, worker.startTimeMs});
        }
        return;
    }
    // Orders for the earlier incarnation were carried out by this one.
    restart.nextCheckAt = now + restartCheckMs;
    if (now >= restart.nextStopAt) {
        restart.nextStopAt = now + m_options.stopGraceMs + m_options.retryMs;
        for (const RunningRun &row : list.running) {
            m_orphanStops.push_back(
                    {worker.id, restart.address, row.task, row.run, restart.checkGeneration});
        }
    }
}

void Dispatcher::onIncarnationRecorded(const WorkerRecord &worker, SteadyTimeMs now)
{
    for (const auto &[id, other] : m_state.workers()) {
        if (id != worker.id && other.address == worker.address) {
            // The announcement may be wrong. Whoever answers at the address tells whether the
            // earlier worker has ended, see renewed().
            m_workers[id].nextRenewAt = now;
        }
    }
    const auto restart = m_restarts.find(worker.id);
    if (restart == m_restarts.end()
        && m_state.hasLeft(worker.id, std::numeric_limits<std::int64_t>::min())) {
        // Orders for an incarnation that has left may still be on their way.
        ++m_generations[worker.id];
    }
    if (m_generations.contains(worker.id)) {
        m_workers[worker.id].otherLeaseEnd = now + otherLeaseMs(m_options);
    }
    if (restart != m_restarts.end() && restart->second.startTimeMs <= worker.startTimeMs) {
        m_announcements[worker.id] = restart->second.order;
        m_restarts.erase(restart);
    }
}

} // namespace dandelionloom

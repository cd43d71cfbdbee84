#include "Scheduling/MaintenancePlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dandelionloom {

namespace {

/// Instances of a wave that are drained in addition to those that may be unavailable now, so that
/// the next one is ready when one returns.
constexpr std::uint32_t drainAhead = 1;

/// Interval at which it is logged that an instance waits. A wave of the largest fleet has two
/// hundred that wait at once.
constexpr std::int64_t waitLogIntervalMs = 3000;

/// Maximum number of workers with long-running tasks that are checked in one pass; each check
/// examines all tasks of the worker's steps.
constexpr std::size_t maxExaminedCandidates = 8;

bool isFinished(const MaintenanceWave &wave, const std::string &instance)
{
    return wave.finished.contains(instance);
}

} // namespace

std::uint32_t maintenanceConcurrency(const MaintenanceWave &wave, const MaintenanceOptions &options,
                                     WallTimeMs wallNow)
{
    const auto remaining = static_cast<double>(wave.instances.size() - wave.finished.size());
    // The wall clock may jump. As the elapsed time is clamped to the duration, a jump can only
    // speed up or slow down the wave.
    const std::int64_t elapsed =
            std::clamp<std::int64_t>(wallNow - wave.acceptedAtMs, 0, wave.durationMs);
    const double timeRemaining = static_cast<double>(wave.durationMs) * options.durationShare
            - static_cast<double>(elapsed);
    const double required = timeRemaining <= static_cast<double>(options.instanceMs)
            ? remaining
            : std::ceil(remaining * static_cast<double>(options.instanceMs) / timeRemaining);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(required), 1,
                                     std::max(wave.maxAtOnce, 1U));
}

MaintenancePlanner::MaintenancePlanner(const SchedulerState &state, Dispatcher &dispatcher,
                                       InstanceOrderLog &orderLog, MaintenanceOptions options)
    : m_state(state), m_dispatcher(dispatcher), m_orderLog(orderLog), m_options(options)
{ }

void MaintenancePlanner::beginTerm(std::uint64_t term)
{
    m_term = term;
    m_instances.clear();
    m_missedListings.clear();
    m_progress.clear();
    m_earlierOrders.clear();
    m_changes.clear();
    m_decisions.clear();
}

bool MaintenancePlanner::mayBegin(const MaintenanceOrder &order, SteadyTimeMs now) const
{
    const auto found = m_progress.find(order.instance);
    return found != m_progress.end() && now - m_listedAt <= maxListAgeMs
            && !hasOtherWorker(order.instance, found->second.worker)
            && m_dispatcher.disruptionBudgetViolation(found->second.worker, now).empty();
}

bool MaintenancePlanner::hasOtherWorker(const std::string &instance,
                                        const std::string &worker) const
{
    const auto listed = m_instances.find(instance);
    return listed != m_instances.end() && listed->second.state == InstanceState::InService
            && listed->second.worker != worker;
}

void MaintenancePlanner::followWorker(const std::string &instance, Progress &progress)
{
    if (hasOtherWorker(instance, progress.worker)) {
        // The worker has ended, and tasks may run on its successor by now.
        m_dispatcher.setCordoned(progress.worker, false);
        m_dispatcher.setLeaving(progress.worker, false);
        progress.worker = m_instances.at(instance).worker;
    }
    // A worker that has restarted or announced itself since is not cordoned yet.
    m_dispatcher.setCordoned(progress.worker, true);
    if (progress.phase == Phase::Ordered) {
        m_dispatcher.setLeaving(progress.worker, true);
    }
}

void MaintenancePlanner::trackEarlierOrders(SteadyTimeMs now)
{
    for (const auto &[id, instance] : m_instances) {
        const std::string worker = m_orderLog.workerWithPendingOrder(id, m_term, now);
        if (!worker.empty() && worker == instance.worker
            && m_earlierOrders.emplace(id, worker).second) {
            m_decisions.push_back({"earlier-order", id, 0, worker, "counts-as-leaving", -1});
        }
    }
    for (const auto &[id, worker] : m_earlierOrders) {
        // A worker that has restarted since is not cordoned yet.
        m_dispatcher.setCordoned(worker, true);
        m_dispatcher.setLeaving(worker, true);
    }
    std::erase_if(m_earlierOrders, [&](const auto &item) {
        if (!m_orderLog.mayOrder(item.first, m_term, now)) {
            return false;
        }
        if (repeatEarlierOrder(item.first, item.second, now)) {
            m_decisions.push_back({"earlier-order", item.first, 0, item.second, "repeated", -1});
            return true;
        }
        m_dispatcher.setCordoned(item.second, false);
        m_dispatcher.setLeaving(item.second, false);
        m_decisions.push_back({"earlier-order", item.first, 0, item.second, "pause-over", -1});
        return true;
    });
}

bool MaintenancePlanner::repeatEarlierOrder(const std::string &instance, const std::string &worker,
                                            SteadyTimeMs now)
{
    const auto listed = m_instances.find(instance);
    const bool isPending = listed != m_instances.end() && listed->second.worker == worker
            && listed->second.state == InstanceState::InService;
    const auto wave =
            std::find_if(m_state.waves().begin(), m_state.waves().end(), [&](const auto &item) {
                const std::vector<std::string> &instances = item.second.instances;
                return !item.second.isCompleted() && !isFinished(item.second, instance)
                        && std::find(instances.begin(), instances.end(), instance)
                        != instances.end();
            });
    if (!isPending || wave == m_state.waves().end() || m_progress.contains(instance)
        || !m_orderLog.claim(instance)) {
        return false;
    }
    Progress &progress = m_progress[instance];
    progress = {wave->first, Phase::Ordered, now, now, worker};
    progress.unanswered = true;
    return true;
}

bool MaintenancePlanner::hasWork() const
{
    return !m_progress.empty()
            || std::any_of(m_state.waves().begin(), m_state.waves().end(),
                           [](const auto &item) { return !item.second.isCompleted(); });
}

void MaintenancePlanner::listed(const std::vector<ListedInstance> &instances, SteadyTimeMs readAt)
{
    m_listedAt = readAt;
    m_instances.clear();
    for (const ListedInstance &instance : instances) {
        m_instances[instance.instance] = instance;
    }
    for (const auto &[id, wave] : m_state.waves()) {
        for (const std::string &instance : wave.instances) {
            if (m_instances.contains(instance)) {
                m_missedListings.erase(instance);
            } else if (!isFinished(wave, instance)
                       && ++m_missedListings[instance] >= m_options.missedListings) {
                m_changes.emplace_back(MaintenanceBegun{id, instance});
                m_decisions.push_back({"maintenance-skipped", instance, 0, {}, "instance-gone", 0});
            }
        }
    }
}

void MaintenancePlanner::updateMaintenanceDue()
{
    std::set<std::string> workers;
    for (const auto &[id, wave] : m_state.waves()) {
        if (wave.isCompleted()) {
            continue;
        }
        for (const std::string &instance : wave.instances) {
            const auto listed = m_instances.find(instance);
            if (listed != m_instances.end() && !isFinished(wave, instance)) {
                workers.insert(listed->second.worker);
            }
        }
    }
    m_dispatcher.setMaintenanceDue(std::move(workers));
}

void MaintenancePlanner::release(const std::string &instance)
{
    const auto found = m_progress.find(instance);
    if (found != m_progress.end()) {
        m_dispatcher.setCordoned(found->second.worker, false);
        m_dispatcher.setLeaving(found->second.worker, false);
        m_progress.erase(found);
        m_orderLog.release(instance);
    }
}

void MaintenancePlanner::answered(const MaintenanceOrder &order, std::optional<InstanceFault> fault,
                                  SteadyTimeMs now)
{
    const auto found = m_progress.find(order.instance);
    if (found == m_progress.end()) {
        return;
    }
    Progress &progress = found->second;
    if (!fault) {
        progress.phase = Phase::InMaintenance;
        progress.since = now;
        m_changes.emplace_back(MaintenanceBegun{order.wave, order.instance});
        // The provider also confirms an order that it carried out for an earlier leader; the
        // current worker then keeps running. Only the next listing shows whether it has ended (see
        // finishReturned()).
        return;
    }
    m_decisions.push_back({"maintenance-refused", order.instance, 0, progress.worker,
                           std::string(instanceFaultNames.name(*fault)), -1});
    if (*fault == InstanceFault::NoAnswer) {
        // Maintenance may have begun. Repeating the same order shows the result; until then the
        // instance counts as unavailable.
        progress.phase = Phase::Ordered;
        progress.unanswered = true;
        progress.nextOrderAt = now + m_options.retryMs;
        return;
    }
    if (*fault == InstanceFault::NotSent || *fault == InstanceFault::Throttled) {
        if (progress.unanswered) {
            // An earlier order may still be carried out, so the instance stays unavailable.
            progress.nextOrderAt = now + m_options.retryMs;
            return;
        }
        progress.phase = Phase::Draining;
        progress.nextOrderAt = now + m_options.retryMs;
        m_dispatcher.setLeaving(progress.worker, false);
        return;
    }
    if (*fault == InstanceFault::Busy && progress.unanswered) {
        // The instance may be busy with the unanswered order. The next listing shows whether its
        // worker has ended (see finishReturned()).
        progress.phase = Phase::InMaintenance;
        progress.since = now;
        return;
    }
    release(order.instance);
}

std::uint32_t MaintenancePlanner::unavailableCount(const MaintenanceWave &wave) const
{
    std::uint32_t unavailable = 0;
    for (const std::string &instance : wave.instances) {
        const auto progress = m_progress.find(instance);
        const auto listed = m_instances.find(instance);
        const bool ordered =
                progress != m_progress.end() && progress->second.phase != Phase::Draining;
        const bool down =
                listed != m_instances.end() && listed->second.state == InstanceState::Maintenance;
        // An order of an earlier leader may still be carried out.
        if (ordered || down || m_earlierOrders.contains(instance)) {
            ++unavailable;
        }
    }
    return unavailable;
}

std::vector<std::string> MaintenancePlanner::candidates(const MaintenanceWave &wave,
                                                        SteadyTimeMs now) const
{
    // Workers within the disruption budgets of their steps come first, as these budgets finally
    // limit the speed of a wave. Idle workers come next, and those over budget or not examined
    // last.
    enum class Priority { WithinBudget, Idle, OverBudget };
    std::vector<std::tuple<Priority, std::int64_t, std::string>> ranked;
    std::size_t examined = 0;
    for (const std::string &instance : wave.instances) {
        const auto listed = m_instances.find(instance);
        if (isFinished(wave, instance) || m_progress.contains(instance)
            || listed == m_instances.end() || listed->second.state != InstanceState::InService
            || !m_orderLog.mayOrder(instance, m_term, now)) {
            continue;
        }
        const WorkerView *view = m_dispatcher.view(listed->second.worker);
        Priority rank = Priority::Idle;
        if (view != nullptr && view->longRunningCount > 0) {
            const bool withinBudget = examined++ < maxExaminedCandidates
                    && m_dispatcher.disruptionBudgetViolation(listed->second.worker, now).empty();
            rank = withinBudget ? Priority::WithinBudget : Priority::OverBudget;
        }
        ranked.emplace_back(rank, view == nullptr ? -1 : view->used.processorMilli, instance);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> instances;
    instances.reserve(ranked.size());
    for (auto &[rank, used, instance] : ranked) {
        instances.push_back(std::move(instance));
    }
    return instances;
}

void MaintenancePlanner::proposeWorkerLeft(Progress &progress)
{
    // The worker may have left by itself and started again under its id since.
    if (m_state.worker(progress.worker) != nullptr && progress.orderedStartTimeMs != 0
        && !progress.leftProposed) {
        progress.leftProposed = true;
        m_changes.emplace_back(WorkerLeft{progress.worker, progress.orderedStartTimeMs});
    }
}

void MaintenancePlanner::order(const std::string &instance, Progress &progress,
                               MaintenanceOrders &orders)
{
    const WorkerRecord *worker = m_state.worker(progress.worker);
    progress.orderedStartTimeMs = worker == nullptr ? 0 : worker->startTimeMs;
    progress.nextOrderAt = 0;
    orders.begin.push_back({instance, progress.wave, progress.worker});
}

void MaintenancePlanner::finishReturned(SteadyTimeMs now, MaintenanceOrders &orders)
{
    for (auto item = m_progress.begin(); item != m_progress.end();) {
        Progress &progress = item->second;
        const auto listed = m_instances.find(item->first);
        // A listing from before the order still shows the instance in service. In a standby pool
        // there is no worker to tell the difference.
        const bool listedSince =
                progress.phase == Phase::InMaintenance && m_listedAt > progress.since;
        const bool inService =
                listed != m_instances.end() && listed->second.state == InstanceState::InService;
        const bool sameWorker = inService && listed->second.worker == progress.worker;
        if (listedSince && sameWorker && !progress.worker.empty()) {
            orders.dispatchDecisions.push_back({"maintenance-ended", item->first, 0,
                                                progress.worker, "carried-out-before",
                                                now - progress.since});
            m_dispatcher.setCordoned(progress.worker, false);
            m_dispatcher.setLeaving(progress.worker, false);
            m_orderLog.release(item->first);
            item = m_progress.erase(item);
            continue;
        }
        if (listedSince) {
            proposeWorkerLeft(progress);
        }
        const bool returned = listedSince && inService && (progress.worker.empty() || !sameWorker);
        const bool overdue = progress.phase == Phase::InMaintenance
                && now - progress.since >= m_options.returnLimitMs;
        if (returned || overdue) {
            orders.dispatchDecisions.push_back({"maintenance-ended", item->first, 0,
                                                progress.worker, returned ? "returned" : "overdue",
                                                now - progress.since});
            // Without a listing since, the worker may still run. A worker that answers gets tasks.
            m_dispatcher.setCordoned(progress.worker, false);
            m_dispatcher.setLeaving(progress.worker, false);
            m_orderLog.release(item->first);
            item = m_progress.erase(item);
        } else {
            ++item;
        }
    }
}

void MaintenancePlanner::releaseFinished(SteadyTimeMs now)
{
    std::vector<std::string> drained;
    for (auto &[instance, progress] : m_progress) {
        const auto wave = m_state.waves().find(progress.wave);
        if (progress.phase == Phase::InMaintenance
            || (wave != m_state.waves().end() && !isFinished(wave->second, instance))) {
            continue;
        }
        if (progress.phase == Phase::Draining) {
            drained.push_back(instance);
        } else {
            // The order may still be carried out. A later listing shows whether it was.
            progress.phase = Phase::InMaintenance;
            progress.since = now;
        }
    }
    for (const std::string &instance : drained) {
        release(instance);
    }
}

MaintenanceOrders MaintenancePlanner::step(SteadyTimeMs now, WallTimeMs wallNow)
{
    MaintenanceOrders orders;
    trackEarlierOrders(now);
    updateMaintenanceDue();
    releaseFinished(now);
    finishReturned(now, orders);
    for (const auto &[id, wave] : m_state.waves()) {
        if (!wave.isCompleted()) {
            stepWave(wave, now, wallNow, orders);
        }
    }
    std::move(m_changes.begin(), m_changes.end(), std::back_inserter(orders.changes));
    std::move(m_decisions.begin(), m_decisions.end(), std::back_inserter(orders.dispatchDecisions));
    m_changes.clear();
    m_decisions.clear();
    return orders;
}

void MaintenancePlanner::stepWave(const MaintenanceWave &wave, SteadyTimeMs now, WallTimeMs wallNow,
                                  MaintenanceOrders &orders)
{
    if (m_instances.empty() || now - m_listedAt > maxListAgeMs) {
        return;
    }
    const std::uint32_t concurrency = maintenanceConcurrency(wave, m_options, wallNow);
    std::uint32_t unavailable = unavailableCount(wave);
    std::uint32_t draining = 0;
    std::vector<std::string> awaited;
    for (auto &[instance, progress] : m_progress) {
        if (progress.wave != wave.id || progress.phase == Phase::InMaintenance
            || isFinished(wave, instance)) {
            continue;
        }
        followWorker(instance, progress);
        if (progress.phase == Phase::Ordered) {
            // The unanswered order may not have arrived, and other tasks of a step may have become
            // unavailable since.
            if (progress.nextOrderAt != 0 && now >= progress.nextOrderAt
                && m_dispatcher.disruptionBudgetViolation(progress.worker, now).empty()) {
                order(instance, progress, orders);
            }
            continue;
        }
        ++draining;
        const bool empty = m_dispatcher.shortRunsOn(progress.worker) == 0
                || now - progress.since >= m_options.drainLimitMs;
        if (!empty || now < progress.nextOrderAt || unavailable >= concurrency) {
            continue;
        }
        const std::string fault = m_dispatcher.disruptionBudgetViolation(progress.worker, now);
        if (!fault.empty() && m_dispatcher.isAwaited(progress.worker, now)) {
            awaited.push_back(instance);
            continue;
        }
        if (!fault.empty()) {
            progress.nextOrderAt = now + m_options.retryMs;
            m_dispatcher.evictOneTask(progress.worker, now);
            if (now >= progress.nextWaitLogAt) {
                progress.nextWaitLogAt = now + waitLogIntervalMs;
                orders.dispatchDecisions.push_back(
                        {"maintenance-waits", instance, 0, progress.worker, fault, 0});
            }
            continue;
        }
        progress.phase = Phase::Ordered;
        m_dispatcher.setLeaving(progress.worker, true);
        ++unavailable;
        --draining;
        order(instance, progress, orders);
        orders.dispatchDecisions.push_back({"maintenance", instance, 0, progress.worker,
                                            "wave-" + std::to_string(wave.id),
                                            now - progress.since});
    }
    // The waiting task may be the one that exhausts the disruption budget.
    for (const std::string &instance : awaited) {
        orders.dispatchDecisions.push_back({"maintenance-waits", instance, 0,
                                            m_progress.at(instance).worker,
                                            "long-running-task-waits", 0});
        release(instance);
        --draining;
    }
    const std::uint32_t drainTarget = std::max(concurrency, unavailable) - unavailable + drainAhead;
    for (const std::string &instance : candidates(wave, now)) {
        if (draining >= drainTarget) {
            return;
        }
        const std::string &worker = m_instances.at(instance).worker;
        if (m_dispatcher.isAwaited(worker, now) || !m_orderLog.claim(instance)) {
            continue;
        }
        m_progress[instance] = {wave.id, Phase::Draining, now, 0, worker};
        m_dispatcher.setCordoned(worker, true);
        ++draining;
    }
}

} // namespace dandelionloom

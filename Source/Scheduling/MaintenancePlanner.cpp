#include "Scheduling/MaintenancePlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dandelionloom {

namespace {

/// Instances of one wave that are emptied beyond those that may be away now, so that the next one
/// is ready when one returns.
constexpr std::uint32_t preparedAhead = 1;

/// Workers with lasting tasks that one step examines; each costs a look at all tasks of its steps.
constexpr std::size_t examinedCandidates = 8;

bool isFinished(const MaintenanceWave &wave, const std::string &instance)
{
    return std::find(wave.finished.begin(), wave.finished.end(), instance) != wave.finished.end();
}

} // namespace

std::uint32_t maintenancePace(const MaintenanceWave &wave, const MaintenanceRules &rules,
                              WallTimeMs wallNow)
{
    const auto left = static_cast<double>(wave.instances.size() - wave.finished.size());
    // The time of day may jump; within the duration it can do no more than hurry or slow the wave.
    const std::int64_t passed =
            std::clamp<std::int64_t>(wallNow - wave.acceptedAtMs, 0, wave.durationMs);
    const double timeLeft = static_cast<double>(wave.durationMs) * rules.durationShare
            - static_cast<double>(passed);
    const double needed = timeLeft <= static_cast<double>(rules.instanceMs)
            ? left
            : std::ceil(left * static_cast<double>(rules.instanceMs) / timeLeft);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(needed), 1,
                                     std::max(wave.maxAtOnce, 1U));
}

MaintenancePlanner::MaintenancePlanner(const JobBook &book, Dispatcher &dispatcher,
                                       InstanceOrderLog &orderLog, MaintenanceRules rules)
    : m_book(book), m_dispatcher(dispatcher), m_orderLog(orderLog), m_rules(rules)
{ }

void MaintenancePlanner::lead(std::uint64_t term)
{
    m_term = term;
    m_instances.clear();
    m_missing.clear();
    m_progress.clear();
    m_orderedEarlier.clear();
    m_changes.clear();
    m_notes.clear();
}

bool MaintenancePlanner::mayBegin(const MaintenanceOrder &order, SteadyTimeMs now) const
{
    const auto found = m_progress.find(order.instance);
    return found != m_progress.end()
            && m_dispatcher.takeAwayFault(found->second.worker, now).empty();
}

void MaintenancePlanner::reviewEarlierOrders(SteadyTimeMs now)
{
    for (const auto &[id, instance] : m_instances) {
        const std::string worker = m_orderLog.endangeredWorker(id, m_term, now);
        if (!worker.empty() && worker == instance.worker
            && m_orderedEarlier.emplace(id, worker).second) {
            m_dispatcher.setCordoned(instance.worker, true);
            m_dispatcher.setLeaving(instance.worker, true);
            m_notes.push_back({"earlier-order", id, 0, worker, "counts-as-leaving", -1});
        }
    }
    std::erase_if(m_orderedEarlier, [&](const auto &item) {
        if (!m_orderLog.mayOrder(item.first, m_term, now)) {
            return false;
        }
        m_dispatcher.setCordoned(item.second, false);
        m_dispatcher.setLeaving(item.second, false);
        m_notes.push_back({"earlier-order", item.first, 0, item.second, "pause-over", -1});
        return true;
    });
}

bool MaintenancePlanner::hasWork() const
{
    return !m_progress.empty()
            || std::any_of(m_book.waves().begin(), m_book.waves().end(),
                           [](const auto &item) { return !item.second.isCompleted(); });
}

void MaintenancePlanner::listed(const std::vector<ListedInstance> &instances, SteadyTimeMs readAt)
{
    m_listedAt = readAt;
    m_instances.clear();
    for (const ListedInstance &instance : instances) {
        m_instances[instance.instance] = instance;
    }
    for (const auto &[id, wave] : m_book.waves()) {
        for (const std::string &instance : wave.instances) {
            if (m_instances.contains(instance)) {
                m_missing.erase(instance);
            } else if (!isFinished(wave, instance)
                       && ++m_missing[instance] >= m_rules.missingReadings) {
                m_changes.emplace_back(MaintenanceBegun{id, instance});
                m_notes.push_back({"maintenance-skipped", instance, 0, {}, "instance-gone", 0});
            }
        }
    }
}

void MaintenancePlanner::markDueWorkers()
{
    std::set<std::string> workers;
    for (const auto &[id, wave] : m_book.waves()) {
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
        progress.phase = Phase::Away;
        progress.since = now;
        m_changes.emplace_back(MaintenanceBegun{order.wave, order.instance});
        // The provider also confirms what it had done for an earlier leader. Then the worker of
        // today runs on; confirmGone() tells by the next reading of the list.
        return;
    }
    m_notes.push_back({"maintenance-refused", order.instance, 0, progress.worker,
                       std::string(instanceFaultNames.name(*fault)), -1});
    if (*fault == InstanceFault::NoAnswer) {
        // It may have begun: the same order again tells, and until then the instance is away.
        progress.phase = Phase::Ordered;
        progress.nextOrderAt = now + m_rules.retryMs;
        return;
    }
    if (*fault == InstanceFault::NotSent || *fault == InstanceFault::Throttled) {
        progress.phase = Phase::Preparing;
        progress.nextOrderAt = now + m_rules.retryMs;
        m_dispatcher.setLeaving(progress.worker, false);
        return;
    }
    release(order.instance);
}

std::uint32_t MaintenancePlanner::awayCount(const MaintenanceWave &wave) const
{
    std::uint32_t away = 0;
    for (const std::string &instance : wave.instances) {
        const auto progress = m_progress.find(instance);
        const auto listed = m_instances.find(instance);
        const bool ordered =
                progress != m_progress.end() && progress->second.phase != Phase::Preparing;
        const bool down =
                listed != m_instances.end() && listed->second.state == InstanceState::Maintenance;
        if (ordered || down) {
            ++away;
        }
    }
    return away;
}

std::vector<std::string> MaintenancePlanner::candidates(const MaintenanceWave &wave,
                                                        SteadyTimeMs now) const
{
    // Workers of which a task may be taken away now come first: the steps' budgets are what a wave
    // waits for in the end. Those that must wait come last.
    enum class Rank { MayLeave, Empty, MustWait };
    std::vector<std::tuple<Rank, std::int64_t, std::string>> ranked;
    std::size_t examined = 0;
    for (const std::string &instance : wave.instances) {
        const auto listed = m_instances.find(instance);
        if (isFinished(wave, instance) || m_progress.contains(instance)
            || listed == m_instances.end() || listed->second.state != InstanceState::InService
            || !m_orderLog.mayOrder(instance, m_term, now)) {
            continue;
        }
        const WorkerView *view = m_dispatcher.view(listed->second.worker);
        Rank rank = Rank::Empty;
        if (view != nullptr && view->lastingRuns > 0) {
            const bool mayLeave = examined++ < examinedCandidates
                    && m_dispatcher.takeAwayFault(listed->second.worker, now).empty();
            rank = mayLeave ? Rank::MayLeave : Rank::MustWait;
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

void MaintenancePlanner::confirmGone(Progress &progress)
{
    const WorkerRecord *worker = m_book.worker(progress.worker);
    if (worker != nullptr && !progress.gone) {
        progress.gone = true;
        m_changes.emplace_back(WorkerLeft{worker->id, worker->born});
    }
}

void MaintenancePlanner::finishReturned(SteadyTimeMs now, MaintenanceOrders &orders)
{
    for (auto item = m_progress.begin(); item != m_progress.end();) {
        Progress &progress = item->second;
        const auto listed = m_instances.find(item->first);
        // A reading from before the order still shows the instance in service. In a standby pool
        // no worker tells the difference.
        const bool wasRead = progress.phase == Phase::Away && m_listedAt > progress.since;
        const bool inService =
                listed != m_instances.end() && listed->second.state == InstanceState::InService;
        const bool sameWorker = inService && listed->second.worker == progress.worker;
        if (wasRead && sameWorker && !progress.worker.empty()) {
            orders.notes.push_back({"maintenance-ended", item->first, 0, progress.worker,
                                    "carried-out-before", now - progress.since});
            m_dispatcher.setCordoned(progress.worker, false);
            m_dispatcher.setLeaving(progress.worker, false);
            m_orderLog.release(item->first);
            item = m_progress.erase(item);
            continue;
        }
        if (wasRead) {
            confirmGone(progress);
        }
        const bool back = wasRead && inService && (progress.worker.empty() || !sameWorker);
        const bool overdue =
                progress.phase == Phase::Away && now - progress.since >= m_rules.returnLimitMs;
        if (back || overdue) {
            orders.notes.push_back({"maintenance-ended", item->first, 0, progress.worker,
                                    back ? "returned" : "overdue", now - progress.since});
            m_orderLog.release(item->first);
            item = m_progress.erase(item);
        } else {
            ++item;
        }
    }
}

MaintenanceOrders MaintenancePlanner::step(SteadyTimeMs now, WallTimeMs wallNow)
{
    MaintenanceOrders orders;
    reviewEarlierOrders(now);
    markDueWorkers();
    finishReturned(now, orders);
    for (const auto &[id, wave] : m_book.waves()) {
        if (!wave.isCompleted()) {
            stepWave(wave, now, wallNow, orders);
        }
    }
    std::move(m_changes.begin(), m_changes.end(), std::back_inserter(orders.changes));
    std::move(m_notes.begin(), m_notes.end(), std::back_inserter(orders.notes));
    m_changes.clear();
    m_notes.clear();
    return orders;
}

void MaintenancePlanner::stepWave(const MaintenanceWave &wave, SteadyTimeMs now, WallTimeMs wallNow,
                                  MaintenanceOrders &orders)
{
    if (m_instances.empty()) {
        return;
    }
    const std::uint32_t pace = maintenancePace(wave, m_rules, wallNow);
    std::uint32_t away = awayCount(wave);
    std::uint32_t preparing = 0;
    for (auto &[instance, progress] : m_progress) {
        if (progress.wave != wave.id || progress.phase == Phase::Away
            || isFinished(wave, instance)) {
            continue;
        }
        if (progress.phase == Phase::Ordered) {
            // The order that got no answer may not have arrived, and another task of a step may
            // have gone away since.
            if (progress.nextOrderAt != 0 && now >= progress.nextOrderAt
                && m_dispatcher.takeAwayFault(progress.worker, now).empty()) {
                progress.nextOrderAt = 0;
                orders.begin.push_back({instance, wave.id, progress.worker});
            }
            continue;
        }
        ++preparing;
        const bool empty = m_dispatcher.shortRunsOn(progress.worker) == 0
                || now - progress.since >= m_rules.drainLimitMs;
        if (!empty || now < progress.nextOrderAt || away >= pace) {
            continue;
        }
        const std::string fault = m_dispatcher.takeAwayFault(progress.worker, now);
        if (!fault.empty()) {
            progress.nextOrderAt = now + m_rules.retryMs;
            m_dispatcher.evacuateOne(progress.worker, now);
            orders.notes.push_back({"maintenance-waits", instance, 0, progress.worker, fault, 0});
            continue;
        }
        progress.phase = Phase::Ordered;
        progress.nextOrderAt = 0;
        m_dispatcher.setLeaving(progress.worker, true);
        ++away;
        --preparing;
        orders.begin.push_back({instance, wave.id, progress.worker});
        orders.notes.push_back({"maintenance", instance, 0, progress.worker,
                                "wave-" + std::to_string(wave.id), now - progress.since});
    }
    const std::uint32_t wanted = std::max(pace, away) - away + preparedAhead;
    for (const std::string &instance : candidates(wave, now)) {
        if (preparing >= wanted) {
            return;
        }
        if (!m_orderLog.claim(instance)) {
            continue;
        }
        const std::string &worker = m_instances.at(instance).worker;
        m_progress[instance] = {wave.id, Phase::Preparing, now, 0, worker};
        m_dispatcher.setCordoned(worker, true);
        ++preparing;
    }
}

} // namespace dandelionloom

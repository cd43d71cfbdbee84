#include "Scheduling/PoolBalancer.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom {

PoolBalancer::PoolBalancer(const SchedulerState &state, Dispatcher &dispatcher,
                           InstanceOrderLog &orderLog, const MaintenancePlanner &maintenance,
                           PoolBalancerOptions options)
    : m_state(state), m_dispatcher(dispatcher), m_orderLog(orderLog), m_maintenance(maintenance),
      m_options(options)
{ }

void PoolBalancer::beginTerm(std::uint64_t term, SteadyTimeMs now)
{
    m_term = term;
    m_termStartedAt = now;
    m_instances.clear();
    m_listedAt = now;
    m_progress.clear();
    m_surplusSince.clear();
    m_draining.clear();
    m_changes.clear();
    m_decisions.clear();
}

void PoolBalancer::listed(const std::vector<ListedInstance> &instances, SteadyTimeMs readAt)
{
    m_listedAt = readAt;
    m_instances.clear();
    for (const ListedInstance &instance : instances) {
        m_instances[instance.instance] = instance;
    }
}

bool PoolBalancer::isEmpty(const ListedInstance &instance, SteadyTimeMs now) const
{
    const WorkerView *view = m_dispatcher.view(instance.worker);
    const WorkerRecord *worker = m_state.worker(instance.worker);
    return view != nullptr && worker != nullptr && !worker->draining && view->reserved.empty()
            && view->runs.empty() && (!view->cordoned || m_draining.contains(instance.instance))
            && m_dispatcher.hasRecentAnswer(instance.worker, now);
}

bool PoolBalancer::isDrainable(const ListedInstance &instance) const
{
    const WorkerView *view = m_dispatcher.view(instance.worker);
    const WorkerRecord *worker = m_state.worker(instance.worker);
    return view != nullptr && worker != nullptr && !worker->draining && view->longRunningCount == 0
            && (!view->cordoned || m_draining.contains(instance.instance));
}

void PoolBalancer::finishArrived(SteadyTimeMs now)
{
    for (auto item = m_progress.begin(); item != m_progress.end();) {
        const Progress &progress = item->second;
        const auto listed = m_instances.find(item->first);
        const ServiceConfig *pool = m_state.service(progress.pool);
        const bool listedInPool = listed != m_instances.end()
                && listed->second.pool == progress.pool
                && listed->second.state == InstanceState::InService
                && listed->second.worker != progress.worker;
        // Instances of a standby pool are off and run no worker that could announce itself.
        const bool arrived = listedInPool
                && ((pool != nullptr && pool->standby)
                    || m_state.worker(listed->second.worker) != nullptr);
        // A listing from before the order still shows the instance where it was.
        const bool overdue =
                now - progress.since >= m_options.arrivalLimitMs && m_listedAt > progress.since;
        if (progress.ordered && (arrived || overdue)) {
            m_dispatcher.setCordoned(progress.worker, false);
            m_dispatcher.setLeaving(progress.worker, false);
            m_orderLog.release(item->first);
            item = m_progress.erase(item);
        } else {
            ++item;
        }
    }
}

std::vector<PoolStatus> PoolBalancer::poolStatuses(SteadyTimeMs now)
{
    std::map<std::string, PoolStatus> pools;
    std::map<std::string, ServiceDemand> demands = m_dispatcher.demands(now);
    for (const ServiceConfig &service : m_state.configuration().services) {
        PoolStatus &pool = pools[service.name];
        pool.pool = service.name;
        pool.standby = service.standby;
        const ServiceDemand &demand = demands[service.name];
        pool.longRunningSpread = demand.longRunningSpread;
        pool.longRunningMissing = demand.longRunningMissing;
        pool.backlogCoreMs = demand.backlogCoreMs;
        pool.runnableMilli = demand.runnableMilli;
        pool.arrivingMilli = demand.arrivingMilli;
        pool.foreseenMilli = demand.foreseenMilli;
        pool.turnUnknown = demand.turnUnknown;
    }
    for (const auto &[id, instance] : m_instances) {
        const auto moving = m_progress.find(id);
        const auto pool =
                pools.find(moving != m_progress.end() ? moving->second.pool : instance.pool);
        if (pool == pools.end()) {
            continue;
        }
        PoolStatus &status = pool->second;
        if (moving != m_progress.end()) {
            ++status.instances;
            ++status.arriving;
            continue;
        }
        if (instance.state != InstanceState::InService || m_maintenance.isBusy(id)) {
            continue;
        }
        if (status.standby) {
            ++status.instances;
            continue;
        }
        const WorkerView *view = m_dispatcher.view(instance.worker);
        const WorkerRecord *worker = m_state.worker(instance.worker);
        if (view == nullptr || worker == nullptr || worker->draining
            || !m_dispatcher.hasRecentAnswer(instance.worker, now)) {
            continue;
        }
        ++status.instances;
        status.instanceMilli = std::max(status.instanceMilli, worker->capacity.processorMilli);
        status.longRunningMilli += m_dispatcher.longRunningMilli(*worker, *view);
        if (view->longRunningCount > 0) {
            ++status.pinned;
        } else if (isEmpty(instance, now)) {
            ++status.empty;
        } else if (isDrainable(instance)) {
            ++status.drainable;
        }
    }
    std::vector<PoolStatus> result;
    for (auto &[name, pool] : pools) {
        const bool surplus = wantedInstances(pool, m_options.demand) < pool.instances;
        SteadyTimeMs &since = m_surplusSince[name];
        if (!surplus || since == 0) {
            since = now;
        }
        pool.surplusSince = since;
        result.push_back(pool);
    }
    return result;
}

bool PoolBalancer::isMovable(const ListedInstance &instance, const PoolTransfer &transfer,
                             SteadyTimeMs now) const
{
    const std::string &id = instance.instance;
    return instance.pool == transfer.from && !m_progress.contains(id) && !m_maintenance.isBusy(id)
            && instance.state == InstanceState::InService
            && !m_rejectedMoves.contains({id, transfer.to}) && !m_orderLog.isClaimed(id)
            && m_orderLog.mayOrder(id, m_term, now);
}

void PoolBalancer::carryOut(const PoolTransfer &transfer, SteadyTimeMs now,
                            std::uint32_t &remaining, std::map<std::string, std::string> &draining,
                            BalanceOrders &orders)
{
    struct Choice
    {
        const ListedInstance *instance = nullptr;
        std::size_t tasks = 0;
        bool isDraining = false;
    };
    const ServiceConfig *from = m_state.service(transfer.from);
    const ServiceConfig *to = m_state.service(transfer.to);
    const bool fromStandby = from != nullptr && from->standby;
    const bool toStandby = to != nullptr && to->standby;
    std::vector<Choice> choices;
    for (const auto &[id, instance] : m_instances) {
        if (!isMovable(instance, transfer, now) || draining.contains(id)) {
            continue;
        }
        if (fromStandby || isEmpty(instance, now)) {
            choices.push_back({&instance, 0, false});
        } else if (!toStandby && isDrainable(instance)) {
            choices.push_back(
                    {&instance,
                     std::max<std::size_t>(m_dispatcher.view(instance.worker)->reserved.size(), 1),
                     m_draining.contains(id)});
        }
    }
    // Empty instances come first, then those that drain already, then those with the fewest tasks.
    std::stable_sort(choices.begin(), choices.end(), [](const Choice &left, const Choice &right) {
        return std::make_tuple(left.tasks != 0, !left.isDraining, left.tasks)
                < std::make_tuple(right.tasks != 0, !right.isDraining, right.tasks);
    });
    choices.resize(std::min<std::size_t>(choices.size(), transfer.count));
    for (const Choice &choice : choices) {
        const ListedInstance &instance = *choice.instance;
        const std::string &id = instance.instance;
        if (choice.tasks != 0 || remaining == 0) {
            if (!fromStandby) {
                draining[id] = instance.worker;
            }
            continue;
        }
        m_orderLog.claim(id);
        m_progress[id] = {transfer.to, instance.worker, false, now, now};
        m_dispatcher.setCordoned(instance.worker, true);
        m_dispatcher.setLeaving(instance.worker, true);
        --remaining;
        orders.dispatchDecisions.push_back({"move", id, 0, instance.worker,
                                            transfer.from + ">" + transfer.to,
                                            now - m_termStartedAt});
    }
}

void PoolBalancer::setDraining(std::map<std::string, std::string> draining)
{
    for (const auto &[id, worker] : m_draining) {
        // Whoever claimed the instance in the meantime keeps its worker cordoned.
        if (!draining.contains(id) && !m_orderLog.isClaimed(id)) {
            m_dispatcher.setCordoned(worker, false);
        }
    }
    for (const auto &[id, worker] : draining) {
        m_dispatcher.setCordoned(worker, true);
    }
    m_draining = std::move(draining);
}

BalanceOrders PoolBalancer::step(SteadyTimeMs now)
{
    BalanceOrders orders;
    finishArrived(now);
    if (!m_instances.empty() && now - m_listedAt <= maxListAgeMs) {
        std::uint32_t remaining = std::max(
                m_options.maxOrdersPerStep,
                static_cast<std::uint32_t>(m_instances.size() / m_options.instancesPerOrder));
        std::map<std::string, std::string> draining;
        for (const PoolTransfer &transfer :
             planTransfers(poolStatuses(now), m_options.demand, now)) {
            carryOut(transfer, now, remaining, draining, orders);
        }
        setDraining(std::move(draining));
    }
    for (auto &[id, progress] : m_progress) {
        if (!progress.ordered) {
            // A worker that has restarted since is not cordoned yet.
            m_dispatcher.setCordoned(progress.worker, true);
            m_dispatcher.setLeaving(progress.worker, true);
        }
        if (!progress.ordered && progress.nextOrderAt != 0 && now >= progress.nextOrderAt) {
            const WorkerRecord *worker = m_state.worker(progress.worker);
            progress.orderedStartTimeMs = worker == nullptr ? 0 : worker->startTimeMs;
            progress.nextOrderAt = 0;
            orders.moves.push_back({id, progress.pool, progress.worker});
        }
    }
    std::move(m_changes.begin(), m_changes.end(), std::back_inserter(orders.changes));
    std::move(m_decisions.begin(), m_decisions.end(), std::back_inserter(orders.dispatchDecisions));
    m_changes.clear();
    m_decisions.clear();
    return orders;
}

bool PoolBalancer::mayMove(const MoveOrder &order, SteadyTimeMs now) const
{
    const auto listed = m_instances.find(order.instance);
    const bool hasOtherWorker = listed != m_instances.end()
            && listed->second.state == InstanceState::InService && listed->second.pool != order.pool
            && listed->second.worker != order.worker;
    const WorkerView *view = m_dispatcher.view(order.worker);
    return now - m_listedAt <= maxListAgeMs && !hasOtherWorker
            && (view == nullptr || view->reserved.empty());
}

void PoolBalancer::answered(const MoveOrder &order, std::optional<InstanceFault> fault,
                            SteadyTimeMs now)
{
    const auto found = m_progress.find(order.instance);
    if (found == m_progress.end()) {
        return;
    }
    Progress &progress = found->second;
    if (!fault) {
        progress.ordered = true;
        progress.since = now;
        const WorkerRecord *worker = m_state.worker(progress.worker);
        if (worker != nullptr && progress.orderedStartTimeMs != 0) {
            m_changes.emplace_back(WorkerLeft{progress.worker, progress.orderedStartTimeMs});
        }
        if (worker != nullptr && worker->startTimeMs != progress.orderedStartTimeMs) {
            // The next worker has joined under the same id before the answer arrived.
            m_dispatcher.setCordoned(progress.worker, false);
            m_dispatcher.setLeaving(progress.worker, false);
        }
        return;
    }
    m_decisions.push_back({"move-refused", order.instance, 0, progress.worker,
                           std::string(instanceFaultNames.name(*fault)), -1});
    if (*fault == InstanceFault::NoAnswer || *fault == InstanceFault::Throttled) {
        // The move may have begun; repeating the same order shows the result.
        progress.unanswered = progress.unanswered || *fault == InstanceFault::NoAnswer;
        progress.nextOrderAt = now + m_options.retryMs;
        return;
    }
    if (*fault == InstanceFault::NotSent && progress.unanswered
        && now - progress.since < m_options.arrivalLimitMs) {
        // An earlier order may still be carried out; until then the instance gets no tasks.
        progress.nextOrderAt = now + m_options.retryMs;
        return;
    }
    if (*fault == InstanceFault::Invalid) {
        m_rejectedMoves.insert({order.instance, order.pool});
    }
    m_dispatcher.setCordoned(progress.worker, false);
    m_dispatcher.setLeaving(progress.worker, false);
    m_orderLog.release(order.instance);
    m_progress.erase(found);
}

} // namespace dandelionloom

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Ports/InstanceProvider.h"
#include "Scheduling/Dispatcher.h"
#include "Scheduling/InstanceOrderLog.h"
#include "Scheduling/MaintenancePlanner.h"
#include "Scheduling/PoolDemand.h"

namespace dandelionloom {

struct PoolBalancerOptions
{
    PoolDemandOptions demand;
    std::int64_t retryMs = 500;
    /// Time after which a moved instance whose worker has not appeared no longer counts towards a
    /// pool.
    std::int64_t arrivalLimitMs = 6000;
    /// Maximum number of orders per step, which keeps bursts below the provider's rate limit.
    std::uint32_t maxOrdersPerStep = 8;
    /// A larger fleet may have one order per step for this many instances: a peak of 4 to 6 s that
    /// needs a third of the fleet elsewhere must not be over before the instances arrive.
    std::size_t instancesPerOrder = 40;
};

struct MoveOrder
{
    std::string instance;
    std::string pool;
    /// Worker that the order shuts down; empty for none.
    std::string worker;
};

struct BalanceOrders
{
    std::vector<MoveOrder> moves;
    std::vector<JobChange> changes;
    std::vector<DispatchDecision> dispatchDecisions;
};

/// Moves instances between pools as their demand rises and falls. Only instances without tasks
/// move, so no work is lost; those with short tasks are drained first. A state machine like
/// Dispatcher.
class PoolBalancer
{
public:
    PoolBalancer(const SchedulerState &state, Dispatcher &dispatcher, InstanceOrderLog &orderLog,
                 const MaintenancePlanner &maintenance, PoolBalancerOptions options);

    void beginTerm(std::uint64_t term, SteadyTimeMs now);
    /// `readAt` is the time at which the listing began.
    void listed(const std::vector<ListedInstance> &instances, SteadyTimeMs readAt);
    /// True if the order still ends no task: the instance may have another worker by now.
    bool mayMove(const MoveOrder &order, SteadyTimeMs now) const;
    void answered(const MoveOrder &order, std::optional<InstanceFault> fault, SteadyTimeMs now);
    BalanceOrders step(SteadyTimeMs now);

private:
    struct Progress
    {
        std::string pool;
        std::string worker;
        bool ordered = false;
        SteadyTimeMs since = 0;
        SteadyTimeMs nextOrderAt = 0;
        /// An order got no answer: it may be carried out even if a later one is not sent.
        bool unanswered = false;
        /// Incarnation of the worker when the last order was given; 0 before the first.
        std::int64_t orderedStartTimeMs = 0;
    };

    std::vector<PoolStatus> poolStatuses(SteadyTimeMs now);
    bool isEmpty(const ListedInstance &instance, SteadyTimeMs now) const;
    /// True if the instance is empty as soon as its short tasks have ended.
    bool isDrainable(const ListedInstance &instance) const;
    bool isMovable(const ListedInstance &instance, const PoolTransfer &transfer,
                   SteadyTimeMs now) const;
    /// Orders the moves of a transfer, and adds to `draining` the instances that get empty first.
    /// `remaining` is the number of orders that this step may still give.
    void carryOut(const PoolTransfer &transfer, SteadyTimeMs now, std::uint32_t &remaining,
                  std::map<std::string, std::string> &draining, BalanceOrders &orders);
    /// Cordons the workers of the instances in `draining` and of no others.
    void setDraining(std::map<std::string, std::string> draining);
    void finishArrived(SteadyTimeMs now);

    const SchedulerState &m_state;
    Dispatcher &m_dispatcher;
    InstanceOrderLog &m_orderLog;
    const MaintenancePlanner &m_maintenance;
    const PoolBalancerOptions m_options;
    SteadyTimeMs m_termStartedAt = 0;
    std::uint64_t m_term = 0;
    std::map<std::string, ListedInstance> m_instances;
    SteadyTimeMs m_listedAt = 0;
    std::map<std::string, Progress> m_progress;
    std::map<std::string, SteadyTimeMs> m_surplusSince;
    /// Instances that get no new tasks, so that they can move, and their workers.
    std::map<std::string, std::string> m_draining;
    /// Instances and the pools that rejected them; these moves are not tried again.
    std::set<std::pair<std::string, std::string>> m_rejectedMoves;
    std::vector<JobChange> m_changes;
    std::vector<DispatchDecision> m_decisions;
};

} // namespace dandelionloom

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

struct BalanceRules
{
    PoolDemandRules demand;
    std::int64_t retryMs = 500;
    /// A moved instance whose worker does not appear within this time counts for no pool any more.
    std::int64_t arrivalLimitMs = 6000;
    /// Orders of one step, so that a burst stays below the provider's rate.
    std::uint32_t ordersPerStep = 8;
};

struct MoveOrder
{
    std::string instance;
    std::string pool;
    /// Worker that the order ends; empty for none.
    std::string worker;
};

struct BalanceOrders
{
    std::vector<MoveOrder> moves;
    std::vector<JobChange> changes;
    std::vector<DispatchNote> notes;
};

/// Moves instances between pools as their demand rises and falls. Only instances without any task
/// move, so a move throws no work away. A step function like the Dispatcher.
class PoolBalancer
{
public:
    PoolBalancer(const JobBook &book, Dispatcher &dispatcher, InstanceOrderLog &orderLog,
                 const MaintenancePlanner &maintenance, BalanceRules rules);

    void lead(std::uint64_t term, SteadyTimeMs now);
    void listed(const std::vector<ListedInstance> &instances);
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
    };

    std::vector<PoolFacts> facts(SteadyTimeMs now);
    bool isEmpty(const ListedInstance &instance, SteadyTimeMs now) const;
    void finishArrived(SteadyTimeMs now);

    const JobBook &m_book;
    Dispatcher &m_dispatcher;
    InstanceOrderLog &m_orderLog;
    const MaintenancePlanner &m_maintenance;
    const BalanceRules m_rules;
    SteadyTimeMs m_leadAt = 0;
    std::uint64_t m_term = 0;
    std::map<std::string, ListedInstance> m_instances;
    std::map<std::string, Progress> m_progress;
    std::map<std::string, SteadyTimeMs> m_surplusSince;
    /// Pools that do not take an instance.
    std::set<std::pair<std::string, std::string>> m_unfit;
    std::vector<JobChange> m_changes;
    std::vector<DispatchNote> m_notes;
};

} // namespace dandelionloom

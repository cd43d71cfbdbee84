#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Ports/InstanceProvider.h"
#include "Scheduling/Dispatcher.h"
#include "Scheduling/InstanceOrderLog.h"
#include "Scheduling/JobBook.h"

namespace dandelionloom {

struct MaintenanceRules
{
    /// Longest wait for short tasks to end before maintenance takes what is left.
    std::int64_t drainLimitMs = 4000;
    /// Pause before an order that was refused is repeated.
    std::int64_t retryMs = 500;
    /// An instance whose worker has not come back after this time counts as down no longer.
    std::int64_t returnLimitMs = 12000;
    /// Time that one instance is away for its maintenance, emptying included.
    std::int64_t instanceMs = 4000;
    /// Part of a wave's duration in which it is to be done, so that a loss of the leader or a
    /// task that forbids a step does not make it late.
    double durationShare = 0.5;
    /// Readings of the list without an instance after which it is gone.
    std::uint32_t missingReadings = 3;
};

struct MaintenanceOrder
{
    std::string instance;
    std::uint64_t wave = 0;
    /// Worker that the order ends; empty for none.
    std::string worker;
};

struct MaintenanceOrders
{
    std::vector<MaintenanceOrder> begin;
    std::vector<JobChange> changes;
    std::vector<DispatchNote> notes;
};

/// Instances of a wave that should be away at once: no more than its duration asks for, as each of
/// them is missing where queues peak.
std::uint32_t maintenancePace(const MaintenanceWave &wave, const MaintenanceRules &rules,
                              WallTimeMs wallNow);

/// Carries maintenance waves through: empties a worker, checks that no step loses more lasting
/// tasks than it allows, and orders the maintenance of at most as many instances at once as the
/// wave permits. A step function like the Dispatcher.
class MaintenancePlanner
{
public:
    MaintenancePlanner(const JobBook &book, Dispatcher &dispatcher, InstanceOrderLog &orderLog,
                       MaintenanceRules rules);

    void lead(std::uint64_t term);
    /// `readAt` is when the reading was begun.
    void listed(const std::vector<ListedInstance> &instances, SteadyTimeMs readAt);
    void answered(const MaintenanceOrder &order, std::optional<InstanceFault> fault,
                  SteadyTimeMs now);
    /// True if the order may still be sent once its record is in the journal: other tasks of a step
    /// may have gone away meanwhile.
    bool mayBegin(const MaintenanceOrder &order, SteadyTimeMs now) const;
    MaintenanceOrders step(SteadyTimeMs now, WallTimeMs wallNow);
    bool hasWork() const;
    /// True while the instance is prepared for maintenance or under it.
    bool isBusy(const std::string &instance) const { return m_progress.contains(instance); }

private:
    enum class Phase { Preparing, Ordered, Away };
    struct Progress
    {
        std::uint64_t wave = 0;
        Phase phase = Phase::Preparing;
        SteadyTimeMs since = 0;
        SteadyTimeMs nextOrderAt = 0;
        std::string worker;
        /// The end of the worker was proposed.
        bool gone = false;
    };

    void stepWave(const MaintenanceWave &wave, SteadyTimeMs now, WallTimeMs wallNow,
                  MaintenanceOrders &orders);
    /// Proposes the end of the worker, once a reading of the list shows that it has ended.
    void confirmGone(Progress &progress);
    void finishReturned(SteadyTimeMs now, MaintenanceOrders &orders);
    /// Instances that an earlier leader may have ordered count as leaving, as the provider may
    /// carry the order out late.
    void reviewEarlierOrders(SteadyTimeMs now);
    std::uint32_t awayCount(const MaintenanceWave &wave) const;
    std::vector<std::string> candidates(const MaintenanceWave &wave, SteadyTimeMs now) const;
    void release(const std::string &instance);
    void markDueWorkers();

    const JobBook &m_book;
    Dispatcher &m_dispatcher;
    InstanceOrderLog &m_orderLog;
    const MaintenanceRules m_rules;
    std::uint64_t m_term = 0;
    std::map<std::string, ListedInstance> m_instances;
    SteadyTimeMs m_listedAt = 0;
    std::map<std::string, std::uint32_t> m_missing;
    std::map<std::string, Progress> m_progress;
    /// Worker of each instance that an order of an earlier leader may still end.
    std::map<std::string, std::string> m_orderedEarlier;
    std::vector<JobChange> m_changes;
    std::vector<DispatchNote> m_notes;
};

} // namespace dandelionloom

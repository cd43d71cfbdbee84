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
#include "Scheduling/SchedulerState.h"

namespace dandelionloom {

struct MaintenanceOptions
{
    /// Longest time to wait for short tasks to end; maintenance then interrupts the remaining ones.
    std::int64_t drainLimitMs = 4000;
    /// Delay before a refused order is repeated.
    std::int64_t retryMs = 500;
    /// Time after which an instance whose worker has not returned no longer counts as unavailable.
    std::int64_t returnLimitMs = 12000;
    /// Expected downtime of one instance, including the drain.
    std::int64_t instanceMs = 4000;
    /// Fraction of a wave's duration in which it should complete; the rest is reserve for a loss of
    /// the leader or an exhausted disruption budget.
    double durationShare = 0.5;
    /// Consecutive listings without an instance after which it counts as gone.
    std::uint32_t missedListings = 3;
};

struct MaintenanceOrder
{
    std::string instance;
    std::uint64_t wave = 0;
    /// Worker that the order shuts down; empty for none.
    std::string worker;
};

struct MaintenanceOrders
{
    std::vector<MaintenanceOrder> begin;
    std::vector<JobChange> changes;
    std::vector<DispatchDecision> dispatchDecisions;
};

/// Number of instances of a wave that should be unavailable at once: no more than its duration
/// requires, as each of them reduces the capacity for peaks.
std::uint32_t maintenanceConcurrency(const MaintenanceWave &wave, const MaintenanceOptions &options,
                                     WallTimeMs wallNow);

/// Carries out maintenance waves: drains a worker, checks the disruption budgets of its steps, and
/// orders the maintenance of at most as many instances at once as the wave permits. A state machine
/// like Dispatcher.
class MaintenancePlanner
{
public:
    MaintenancePlanner(const SchedulerState &state, Dispatcher &dispatcher,
                       InstanceOrderLog &orderLog, MaintenanceOptions options);

    void beginTerm(std::uint64_t term);
    /// `readAt` is the time at which the listing was requested.
    void listed(const std::vector<ListedInstance> &instances, SteadyTimeMs readAt);
    void answered(const MaintenanceOrder &order, std::optional<InstanceFault> fault,
                  SteadyTimeMs now);
    /// True if the order may still be sent after its record has been committed: other tasks of a
    /// step may have become unavailable in the meantime.
    bool mayBegin(const MaintenanceOrder &order, SteadyTimeMs now) const;
    MaintenanceOrders step(SteadyTimeMs now, WallTimeMs wallNow);
    bool hasWork() const;
    /// True while the instance is drained for maintenance or under maintenance.
    bool isBusy(const std::string &instance) const { return m_progress.contains(instance); }

private:
    enum class Phase { Draining, Ordered, InMaintenance };
    struct Progress
    {
        std::uint64_t wave = 0;
        Phase phase = Phase::Draining;
        SteadyTimeMs since = 0;
        SteadyTimeMs nextOrderAt = 0;
        std::string worker;
        /// Incarnation of the worker when the last order was given; 0 before the first.
        std::int64_t orderedStartTimeMs = 0;
        /// Time from which on it is logged again that the order waits.
        SteadyTimeMs nextWaitLogAt = 0;
        /// An order got no answer: it may be carried out even if a later one is not sent or
        /// refused.
        bool unanswered = false;
        /// The change WorkerLeft has been proposed.
        bool leftProposed = false;
    };

    /// True if the last listing shows another worker on the instance, in service.
    bool hasOtherWorker(const std::string &instance, const std::string &worker) const;
    /// Makes the worker that the instance has now the one to be drained.
    void followWorker(const std::string &instance, Progress &progress);
    void stepWave(const MaintenanceWave &wave, SteadyTimeMs now, WallTimeMs wallNow,
                  MaintenanceOrders &orders);
    /// Gives an order for the instance.
    void order(const std::string &instance, Progress &progress, MaintenanceOrders &orders);
    /// Proposes WorkerLeft, once a listing shows that the worker has ended.
    void proposeWorkerLeft(Progress &progress);
    /// Ends the drain of instances that count as finished for another reason than an order of this
    /// term.
    void releaseFinished(SteadyTimeMs now);
    void finishReturned(SteadyTimeMs now, MaintenanceOrders &orders);
    /// Marks instances with an order of an earlier leader as leaving, as the provider may carry out
    /// the order late.
    void trackEarlierOrders(SteadyTimeMs now);
    /// Repeats an order of an earlier leader that may not have been carried out yet, before others
    /// are given. The provider then refuses the earlier one. False if it is not needed any more.
    bool repeatEarlierOrder(const std::string &instance, const std::string &worker,
                            SteadyTimeMs now);
    std::uint32_t unavailableCount(const MaintenanceWave &wave) const;
    std::vector<std::string> candidates(const MaintenanceWave &wave, SteadyTimeMs now) const;
    void release(const std::string &instance);
    void updateMaintenanceDue();

    const SchedulerState &m_state;
    Dispatcher &m_dispatcher;
    InstanceOrderLog &m_orderLog;
    const MaintenanceOptions m_options;
    std::uint64_t m_term = 0;
    std::map<std::string, ListedInstance> m_instances;
    SteadyTimeMs m_listedAt = 0;
    std::map<std::string, std::uint32_t> m_missedListings;
    std::map<std::string, Progress> m_progress;
    /// Workers that an order of an earlier leader may still shut down, by instance.
    std::map<std::string, std::string> m_earlierOrders;
    std::vector<JobChange> m_changes;
    std::vector<DispatchDecision> m_decisions;
};

} // namespace dandelionloom

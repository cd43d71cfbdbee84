#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

struct PoolDemandOptions
{
    /// Time in which the backlog of a pool should be completed. A job's objective allows it to wait
    /// for about as long as its work takes, so a backlog of one second is still on time.
    double drainSeconds = 0.6;
    /// Headroom factor on the backlog: run times vary, and rounding loses part of an instance.
    double headroom = 1.15;
    /// Factor on the tasks that can run now, for the tasks that become runnable while an instance
    /// moves.
    double runnableHeadroom = 2.0;
    /// Factor on the processor time of arriving jobs, for which instances are moved before the jobs
    /// wait. A peak lasts a few seconds and a move takes 1.5 s, so waiting for a backlog would lose
    /// the first third of the peak. Above 1, as work varies and rounding loses part of an instance.
    double arrivalHeadroom = 1.3;
    /// Factor on the processor time that the next turn is expected to need.
    double foreseenHeadroom = 1.0;
    /// Time for which a pool must have had a surplus before the surplus moves to the standby pool.
    /// Moving an instance there and back costs as much as about three idle seconds of it.
    std::int64_t standbyAfterMs = 2500;
};

/// Inputs of the balancer for one pool.
struct PoolStatus
{
    std::string pool;
    /// The pool holds spare instances that are switched off and cost nothing.
    bool standby = false;
    /// Instances in service or moving into the pool.
    std::uint32_t instances = 0;
    /// Those of them that move into the pool.
    std::uint32_t arriving = 0;
    /// Instances that hold long-running tasks and therefore stay.
    std::uint32_t pinned = 0;
    /// Workers required by the long-running step with the widest spread.
    std::uint32_t longRunningSpread = 0;
    /// Further workers required by long-running tasks that have waited for a worker for long.
    std::uint32_t longRunningMissing = 0;
    /// Instances without any task, which can move immediately.
    std::uint32_t empty = 0;
    /// Instances with short tasks only, which can move once these have ended.
    std::uint32_t drainable = 0;
    /// Core-milliseconds of accepted, unfinished work.
    double backlogCoreMs = 0;
    /// Thousandths of a core required by all short tasks that run or could start now.
    std::int64_t runnableMilli = 0;
    /// Thousandths of a core that recent arrivals keep busy if jobs continue to arrive at that
    /// rate.
    std::int64_t arrivingMilli = 0;
    /// Thousandths of a core for the work that the pool's next turn is expected to bring.
    std::int64_t foreseenMilli = 0;
    /// The pool may have a turn that has not been seen yet. Its instances are not switched off.
    bool turnUnknown = false;
    /// Thousandths of a core reserved for long-running tasks.
    std::int64_t longRunningMilli = 0;
    /// Thousandths of a core per instance.
    std::int64_t instanceMilli = 1;
    /// Time at which the pool last had no surplus.
    SteadyTimeMs surplusSince = 0;
};

/// Instances that a pool requires for its backlog, its arriving jobs and its long-running tasks.
std::uint32_t requiredInstances(const PoolStatus &pool, const PoolDemandOptions &options);

/// The same with the instances for its next turn.
std::uint32_t wantedInstances(const PoolStatus &pool, const PoolDemandOptions &options);

struct PoolTransfer
{
    std::string from;
    std::string to;
    std::uint32_t count = 0;

    bool operator==(const PoolTransfer &) const = default;
};

/// Plans transfers that bring pools closer to their required size, for demand that peaks in one
/// pool after another and exceeds its capacity. Instances come first from pools with a surplus,
/// whether they are empty or first have to be drained, then from the standby pool. What is then
/// left over prepares pools for their next turn, and a sustained surplus of empty instances moves
/// to the standby pool. Instances that a pool keeps for its next turn serve no other pool: they
/// would be missing when the turn begins, and return too late.
std::vector<PoolTransfer> planTransfers(const std::vector<PoolStatus> &pools,
                                        const PoolDemandOptions &options, SteadyTimeMs now);

} // namespace dandelionloom

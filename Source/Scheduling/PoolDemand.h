#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

struct PoolDemandRules
{
    /// Time in which the waiting work of a pool is to be done. A job's objective allows it to wait
    /// about as long as its work takes, so a backlog of a second is still in time.
    double drainSeconds = 0.6;
    /// Room beyond the computed need: run times vary, and rounding loses part of an instance.
    double headroom = 1.15;
    /// Room for tasks that can run now, and for those that follow while an instance moves.
    double growth = 2.0;
    /// Room for arriving jobs that is fetched before they wait, as a share of what they keep busy.
    /// A peak lasts for seconds and a move takes 1.5 s, so waiting for a backlog loses the peak's
    /// first third; beyond 1, as work varies and rounding loses part of an instance.
    double arrivalShare = 1.3;
    /// Surplus must have lasted this long before an instance is parked. A move and its way back
    /// cost as much as an instance that idles for about three seconds.
    std::int64_t parkAfterMs = 2500;
};

/// One pool as the balancer sees it.
struct PoolFacts
{
    std::string pool;
    /// Its instances are off and cost nothing.
    bool standby = false;
    /// Instances in service or on their way into the pool.
    std::uint32_t instances = 0;
    /// Instances that hold lasting tasks and stay.
    std::uint32_t pinned = 0;
    /// Workers that the widest step of lasting tasks is spread over.
    std::uint32_t lastingSpread = 0;
    /// Instances that hold no task at all and could leave at once.
    std::uint32_t empty = 0;
    /// Core-milliseconds of accepted work that has not ended.
    double waitingCoreMs = 0;
    /// Thousandths of a core of all short tasks that run or could start now.
    std::int64_t runnableMilli = 0;
    /// Thousandths of a core that jobs keep busy if they go on to arrive as lately.
    std::int64_t arrivingMilli = 0;
    /// Thousandths of a core that lasting tasks hold.
    std::int64_t lastingMilli = 0;
    /// Thousandths of a core of one instance.
    std::int64_t instanceMilli = 1;
    /// When the pool was last seen without surplus.
    SteadyTimeMs surplusSince = 0;
};

/// Instances that a pool needs for its waiting work and its lasting tasks.
std::uint32_t wantedInstances(const PoolFacts &pool, const PoolDemandRules &rules);

struct PoolTransfer
{
    std::string from;
    std::string to;
    std::uint32_t count = 0;

    bool operator==(const PoolTransfer &) const = default;
};

/// Transfers that bring the pools closer to their needs. Answers demand that rises in one pool
/// after the other above what the pool holds: the pools whose turn is over give first what is
/// empty, then standby, and what nobody needs for a while is parked.
std::vector<PoolTransfer> planTransfers(const std::vector<PoolFacts> &pools,
                                        const PoolDemandRules &rules, SteadyTimeMs now);

} // namespace dandelionloom

#include "Scheduling/PoolDemand.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

namespace {

struct Balance
{
    const PoolStatus *status = nullptr;
    /// Instances missing for the present demand, and for the next turn in addition.
    std::uint32_t shortage = 0;
    std::uint32_t foreseenShortage = 0;
    /// Instances that the pool can give away.
    std::uint32_t surplus = 0;
};

using Shortage = std::uint32_t Balance::*;

/// Takes instances from the surplus of other pools. Returns how many are still required.
std::uint32_t takeFrom(std::vector<Balance> &donors, const std::string &to, std::uint32_t required,
                       bool standby, std::vector<PoolTransfer> &transfers)
{
    for (Balance &donor : donors) {
        if (required == 0) {
            break;
        }
        if (donor.status->standby != standby || donor.status->pool == to || donor.surplus == 0) {
            continue;
        }
        const std::uint32_t count = std::min(donor.surplus, required);
        donor.surplus -= count;
        required -= count;
        transfers.push_back({donor.status->pool, to, count});
    }
    return required;
}

Balance balanceOf(const PoolStatus &pool, const PoolDemandOptions &options)
{
    Balance balance{&pool};
    if (pool.standby) {
        balance.surplus = pool.instances;
        return balance;
    }
    const std::uint32_t required = requiredInstances(pool, options);
    const std::uint32_t wanted = wantedInstances(pool, options);
    balance.shortage = required > pool.instances ? required - pool.instances : 0;
    balance.foreseenShortage = wanted > std::max(required, pool.instances)
            ? wanted - std::max(required, pool.instances)
            : 0;
    balance.surplus = std::min(pool.instances > wanted ? pool.instances - wanted : 0,
                               pool.empty + pool.drainable);
    return balance;
}

std::uint32_t instancesFor(double milli, const PoolStatus &pool)
{
    return static_cast<std::uint32_t>(
            std::ceil(milli / static_cast<double>(std::max<std::int64_t>(pool.instanceMilli, 1))));
}

} // namespace

std::uint32_t requiredInstances(const PoolStatus &pool, const PoolDemandOptions &options)
{
    const double drainMilli = pool.backlogCoreMs / options.drainSeconds;
    const double backlogMilli =
            std::min(drainMilli * options.headroom,
                     static_cast<double>(pool.runnableMilli) * options.runnableHeadroom);
    const double coresMilli =
            std::max(backlogMilli,
                     static_cast<double>(pool.arrivingMilli) * options.arrivalHeadroom)
            + static_cast<double>(pool.longRunningMilli);
    // The capacity of the present instances is of no use to these tasks, however much there is.
    const std::uint32_t extended = pool.longRunningMissing == 0
            ? 0
            : pool.instances - pool.arriving + pool.longRunningMissing;
    return std::max(
            {instancesFor(coresMilli, pool), pool.pinned, pool.longRunningSpread, extended, 1U});
}

std::uint32_t wantedInstances(const PoolStatus &pool, const PoolDemandOptions &options)
{
    const double foreseenMilli = static_cast<double>(pool.foreseenMilli) * options.foreseenHeadroom
            + static_cast<double>(pool.longRunningMilli);
    return std::max(requiredInstances(pool, options), instancesFor(foreseenMilli, pool));
}

std::vector<PoolTransfer> planTransfers(const std::vector<PoolStatus> &pools,
                                        const PoolDemandOptions &options, SteadyTimeMs now)
{
    std::vector<Balance> balances;
    std::string standbyPool;
    for (const PoolStatus &pool : pools) {
        standbyPool = pool.standby ? pool.pool : standbyPool;
        balances.push_back(balanceOf(pool, options));
    }
    std::vector<PoolTransfer> transfers;
    const std::vector<Balance> before = balances;
    const auto serve = [&](Shortage shortage) {
        // Pools with the largest shortage come first.
        std::vector<Balance> recipients = before;
        std::stable_sort(recipients.begin(), recipients.end(),
                         [shortage](const Balance &left, const Balance &right) {
                             return left.*shortage > right.*shortage;
                         });
        for (const Balance &recipient : recipients) {
            std::uint32_t remaining = recipient.*shortage;
            for (const bool standby : {false, true}) {
                remaining =
                        takeFrom(balances, recipient.status->pool, remaining, standby, transfers);
            }
        }
    };
    serve(&Balance::shortage);
    serve(&Balance::foreseenShortage);
    if (standbyPool.empty()) {
        return transfers;
    }
    for (Balance &donor : balances) {
        // Short tasks that still run are not interrupted, and need no other instance, until another
        // pool needs theirs.
        const std::uint32_t count = std::min(donor.surplus, donor.status->empty);
        if (!donor.status->standby && !donor.status->turnUnknown && count > 0
            && now - donor.status->surplusSince >= options.standbyAfterMs) {
            transfers.push_back({donor.status->pool, standbyPool, count});
        }
    }
    return transfers;
}

} // namespace dandelionloom

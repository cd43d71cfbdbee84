#include "Scheduling/PoolDemand.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

namespace {

struct Balance
{
    const PoolStatus *status = nullptr;
    std::uint32_t shortage = 0;
    /// Instances that the pool can give away now.
    std::uint32_t surplus = 0;
};

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
    const auto instances = static_cast<std::uint32_t>(std::ceil(
            coresMilli / static_cast<double>(std::max<std::int64_t>(pool.instanceMilli, 1))));
    return std::max({instances, pool.pinned, pool.longRunningSpread, 1U});
}

std::vector<PoolTransfer> planTransfers(const std::vector<PoolStatus> &pools,
                                        const PoolDemandOptions &options, SteadyTimeMs now)
{
    std::vector<Balance> balances;
    std::string standbyPool;
    for (const PoolStatus &pool : pools) {
        Balance balance{&pool, 0, 0};
        if (pool.standby) {
            standbyPool = pool.pool;
            balance.surplus = pool.instances;
        } else {
            const std::uint32_t required = requiredInstances(pool, options);
            balance.shortage = required > pool.instances ? required - pool.instances : 0;
            balance.surplus =
                    std::min(pool.instances > required ? pool.instances - required : 0, pool.empty);
        }
        balances.push_back(balance);
    }
    std::vector<PoolTransfer> transfers;
    // Pools with the largest shortage come first.
    std::vector<Balance> recipients = balances;
    std::stable_sort(recipients.begin(), recipients.end(),
                     [](const Balance &left, const Balance &right) {
                         return left.shortage > right.shortage;
                     });
    for (const Balance &recipient : recipients) {
        const std::uint32_t remaining =
                takeFrom(balances, recipient.status->pool, recipient.shortage, false, transfers);
        takeFrom(balances, recipient.status->pool, remaining, true, transfers);
    }
    if (standbyPool.empty()) {
        return transfers;
    }
    for (Balance &donor : balances) {
        if (!donor.status->standby && donor.surplus > 0
            && now - donor.status->surplusSince >= options.standbyAfterMs) {
            transfers.push_back({donor.status->pool, standbyPool, donor.surplus});
        }
    }
    return transfers;
}

} // namespace dandelionloom
